//! Carries the bytes of one relayed connection, each direction by itself.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::link::{LinkState, Passage};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks on their way in one direction.
const CHUNKS_UNDER_WAY: usize = 64;

/// Direction of bytes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the one who connects to the target.
    Forward,
    /// Back.
    Backward,
}

type Chunk = (Instant, Vec<u8>);

/// Why a direction ended.
enum End {
    /// Its sender closed it; the other direction may go on.
    Closed,
    /// The connection failed, or lost bytes in a cut.
    Broken,
}

/// Relays until both directions ended or one broke.
pub async fn run(caller: TcpStream, target: TcpStream, state: watch::Receiver<LinkState>) {
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let forward = direction(Direction::Forward, caller_read, target_write, state.clone());
    let backward = direction(Direction::Backward, target_read, caller_write, state);
    tokio::pin!(forward, backward);
    let (first, forward_ended) = tokio::select! {
        end = &mut forward => (end, true),
        end = &mut backward => (end, false),
    };
    if matches!(first, End::Broken) {
        return;
    }
    match forward_ended {
        true => backward.await,
        false => forward.await,
    };
}

async fn direction(
    direction: Direction,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
) -> End {
    let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
    let reading = read_chunks(read, sender, state.clone());
    let writing = write_chunks(direction, write, receiver, state);
    tokio::pin!(reading, writing);
    tokio::select! {
        end = &mut writing => end,
        () = &mut reading => writing.await,
    }
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    state: watch::Receiver<LinkState>,
) {
    loop {
        let mut chunk = vec![0; CHUNK_BYTES];
        let size = read.read(&mut chunk).await.unwrap_or(0);
        if size == 0 {
            return;
        }
        chunk.truncate(size);
        let delay = Duration::from_micros(state.borrow().delay_us);
        if sender.send((Instant::now() + delay, chunk)).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    direction: Direction,
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    mut state: watch::Receiver<LinkState>,
) -> End {
    while let Some((arrives_at, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(arrives_at).await;
        if let Err(end) = wait_for_passage(direction, &mut state).await {
            return end;
        }
        if write.write_all(&chunk).await.is_err() {
            return End::Broken;
        }
    }
    if let Err(end) = wait_for_passage(direction, &mut state).await {
        return end;
    }
    match write.shutdown().await {
        Ok(()) => End::Closed,
        Err(_) => End::Broken,
    }
}

/// Waits until bytes pass. A cut loses the bytes at hand, so the connection is
/// broken once the cut ends.
async fn wait_for_passage(
    direction: Direction,
    state: &mut watch::Receiver<LinkState>,
) -> Result<(), End> {
    let mut lost = false;
    loop {
        let passage = state.borrow_and_update().passage(direction);
        match passage {
            Passage::Open if lost => return Err(End::Broken),
            Passage::Open => return Ok(()),
            Passage::Cut => lost = true,
            Passage::Frozen => {}
        }
        if state.changed().await.is_err() {
            return Err(End::Broken);
        }
    }
}
