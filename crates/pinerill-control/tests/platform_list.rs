//! The platform's list of machines as a control machine reads it.

mod server_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use server_support::{until, Fleet};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Revision of the list that doesn't change any more.
const LAST_REVISION: u64 = 4;
/// Polls after which an earlier list would have been taken.
const POLLS: usize = 8;
/// Time for which a poll is held while the list stays as it is.
const HELD: Duration = Duration::from_millis(50);

/// Lists with a new revision for each poll up to the last one. Where a connection carries a third
/// poll, the first answer on it comes once more before the one that is due.
#[derive(Clone, Default)]
struct Platform {
    /// Revisions that polls named, in the order of the polls.
    asked: Arc<Mutex<Vec<u64>>>,
}

impl Platform {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let address = listener.local_addr().expect("an address");
        let platform = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(platform.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut reader = BufReader::new(read);
        let mut answers: Vec<String> = Vec::new();
        while let Some(revision) = read_poll(&mut reader).await {
            self.asked.lock().push(revision);
            if let [first, _, ..] = answers.as_slice() {
                if write.write_all(first.as_bytes()).await.is_err() {
                    return;
                }
            }
            let answer = answer_after(revision).await;
            if write.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            answers.push(answer);
        }
    }
}

async fn answer_after(revision: u64) -> String {
    if revision == LAST_REVISION {
        sleep(HELD).await;
        return "HTTP/1.1 304 Not Modified\r\n\r\n".to_owned();
    }
    let body = format!(r#"{{"revision":{},"machines":[]}}"#, revision + 1);
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads a poll and returns the revision that it names; none at the end of the connection.
async fn read_poll(reader: &mut BufReader<tokio::net::tcp::OwnedReadHalf>) -> Option<u64> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let (_, named) = head.split_once("after=")?;
    named.split_once('&')?.0.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_an_earlier_list_never_replaces_the_newer_one() {
    let platform = Platform::default();
    let address = platform.start().await;
    let _fleet = Fleet::start_with(1, Some(address));
    until(|| async { (platform.asked.lock().len() >= POLLS).then_some(()) }).await;
    let asked = platform.asked.lock().clone();
    assert!(asked.is_sorted(), "an earlier list was taken: {asked:?}");
    assert_eq!(asked.last(), Some(&LAST_REVISION));
}
