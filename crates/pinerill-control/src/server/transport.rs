//! Carries messages of replicated groups over the connections to the other
//! control machines.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_replica::{Entry, Envelope, Message, ReplicaId};
use pinerill_wire::connection::PeerPool;
use pinerill_wire::message::Notification;
use tokio::sync::mpsc;

use crate::host::Transport;

/// Messages to one machine that may wait; more are dropped, and the replicas
/// send again.
const QUEUE_LIMIT: usize = 4096;
/// Most messages in one notification.
const BATCH_LIMIT: usize = 256;
/// Most bytes of entries and snapshots in one notification: far below the
/// limit of a frame.
const BATCH_BYTES: usize = 2 << 20;

/// Queues messages by destination; one task each sends what has gathered.
pub struct PeerTransport {
    pool: PeerPool,
    queues: Mutex<HashMap<ReplicaId, mpsc::Sender<Envelope>>>,
    dropped: Arc<AtomicU64>,
}

impl PeerTransport {
    /// A transport over `pool`. Must be used within a tokio runtime.
    pub fn new(pool: PeerPool) -> Self {
        Self {
            pool,
            queues: Mutex::default(),
            dropped: Arc::default(),
        }
    }

    /// Messages dropped because a queue was full.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn start_queue(&self, to: ReplicaId) -> mpsc::Sender<Envelope> {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        tokio::spawn(send_batches(self.pool.clone(), to, receiver));
        sender
    }
}

impl Transport for PeerTransport {
    fn send(&self, to: ReplicaId, envelope: Envelope) {
        let mut queues = self.queues.lock();
        let queue = queues.entry(to).or_insert_with(|| self.start_queue(to));
        if queue.try_send(envelope).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends until the transport is dropped. Messages that gathered while the
/// last ones were handed over share a notification.
async fn send_batches(pool: PeerPool, to: ReplicaId, mut queue: mpsc::Receiver<Envelope>) {
    while let Some(first) = queue.recv().await {
        let mut bytes = approximate_bytes(&first);
        let mut batch = vec![first];
        while batch.len() < BATCH_LIMIT && bytes < BATCH_BYTES {
            let Ok(next) = queue.try_recv() else { break };
            bytes += approximate_bytes(&next);
            batch.push(next);
        }
        pool.notify_replica(to.0, Notification::Replica(batch));
    }
}

fn approximate_bytes(envelope: &Envelope) -> usize {
    match &envelope.message {
        Message::AppendRequest(append) => append.entries.iter().map(Entry::size).sum(),
        Message::SnapshotChunk(chunk) => chunk.bytes.len(),
        _ => 0,
    }
}
