//! How `pinerill job` ends for answers that only a node in trouble gives.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::thread::JoinHandle;

use support::{exit, pinerill, Finished, Folder, PROGRAM};

/// Answers one call with fixed bytes, then closes the connection.
struct Answering {
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl Answering {
    fn start(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let thread = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a call");
            let mut read = Vec::new();
            let mut buffer = [0; 4_096];
            while !read.windows(4).any(|window| window == b"\r\n\r\n") {
                let count = stream.read(&mut buffer).expect("the head");
                read.extend_from_slice(&buffer[..count]);
            }
            stream.write_all(answer.as_bytes()).expect("answer");
        });
        Self { address, thread }
    }
}

fn http(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}

/// `job output` against a node that gives `answer`.
fn output(answer: String) -> Finished {
    let folder = Folder::new();
    let key = folder.write("caller.key", "a-bearer-key\n");
    let node = Answering::start(answer);
    let address = node.address.to_string();
    let finished = pinerill(&["job", "output", "--node", &address, "--key-file", &key, "j"]);
    node.thread.join().expect("it was called");
    assert!(!finished.stderr.contains("a-bearer-key"), "{finished:?}");
    finished
}

fn failure(code: &str, outcome: &str) -> String {
    format!(r#"{{"error":{{"code":"{code}","message":"m","outcome":"{outcome}"}}}}"#)
}

#[test]
fn the_exit_code_follows_status_and_outcome() {
    let cases = [
        (
            "400 Bad Request",
            "invalid_request",
            "not_run",
            exit::WRONG_INPUT,
        ),
        ("401 Unauthorized", "unauthorized", "not_run", exit::REFUSED),
        ("404 Not Found", "unknown_job", "not_run", exit::REFUSED),
        (
            "409 Conflict",
            "idempotency_conflict",
            "not_run",
            exit::REFUSED,
        ),
        (
            "413 Payload Too Large",
            "body_too_large",
            "not_run",
            exit::WRONG_INPUT,
        ),
        (
            "429 Too Many Requests",
            "tenant_open_items",
            "not_run",
            exit::REFUSED,
        ),
        (
            "503 Service Unavailable",
            "draining",
            "not_run",
            exit::UNAVAILABLE,
        ),
        (
            "503 Service Unavailable",
            "control_unavailable",
            "unknown",
            exit::UNKNOWN,
        ),
        (
            "504 Gateway Timeout",
            "deadline_exceeded",
            "unknown",
            exit::UNKNOWN,
        ),
        (
            "500 Internal Server Error",
            "internal",
            "unknown",
            exit::UNKNOWN,
        ),
    ];
    for (status, code, outcome, expected) in cases {
        let message = output(http(status, &failure(code, outcome))).refused(expected);
        assert!(
            message.contains("read results with 127.0.0.1:"),
            "{message}"
        );
        assert!(message.contains(code), "{message}");
    }
}

/// Such results end with a line that holds only an error; a script must not
/// take them for all there are.
#[test]
fn results_that_end_with_an_error_are_not_a_success() {
    let item = r#"{"custom_id":"a","index":0,"state":"completed","response":{"body":{}}}"#;
    let error = r#"{"error":{"code":"control_unavailable","message":"no leader"}}"#;
    let body = format!("{item}\n{error}\n");
    let finished = output(http("200 OK", &body));
    assert_eq!(finished.code, exit::UNKNOWN, "{finished:?}");
    assert_eq!(finished.stdout, body);
    assert!(finished.stderr.contains("not whole"), "{finished:?}");
    assert!(finished.stderr.contains("no leader"), "{finished:?}");
}

#[test]
fn a_failed_item_in_the_last_line_is_no_failure_of_the_read() {
    let item = r#"{"custom_id":"a","index":0,"state":"failed","error":{"code":"c","message":"m"}}"#;
    let body = format!("{item}\n");
    assert_eq!(output(http("200 OK", &body)).done(), body);
}

#[test]
fn an_answer_that_is_cut_ends_with_5() {
    let whole = http("200 OK", &"x".repeat(100));
    let finished = output(whole[..whole.len() - 50].to_owned());
    assert_eq!(finished.code, exit::UNKNOWN, "{finished:?}");
    assert!(
        finished.stderr.contains("read results with 127.0.0.1:"),
        "{finished:?}"
    );
}

#[test]
fn a_document_without_an_end_of_line_gets_one() {
    assert_eq!(output(http("200 OK", "{}")).done(), "{}\n");
}

/// As in `pinerill settings example | head -1`.
#[test]
fn a_reader_that_has_gone_is_an_error_and_no_panic() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let output = Command::new(PROGRAM)
        .args(["settings", "example"])
        .stdout(Stdio::from(writer))
        .output()
        .expect("runs");
    let message = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(exit::FAILED), "{message}");
    assert!(
        message.starts_with("pinerill: write with standard output: "),
        "{message}"
    );
}
