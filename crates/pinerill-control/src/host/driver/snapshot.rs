//! Saving, sending and compacting behind snapshots.

use pinerill_replica::{Input, SnapshotRequest};
use pinerill_storage::{Operation, SnapshotStream, StorageError, WriteBatch};

use super::{Effect, GroupDriver, StoredWrite};
use crate::host::StateMachine;

impl<M: StateMachine, R> GroupDriver<M, R> {
    /// Saves a snapshot after enough entries or bytes. It is queued at the
    /// store behind the table writes of every entry that it covers.
    pub(super) fn save_snapshot_if_due(&mut self) {
        let applied = self.visibility.applied();
        let entries = applied - self.snapshot_index;
        let due = entries >= self.settings.snapshot_entries
            || (entries > 0 && self.bytes_since_snapshot >= self.settings.snapshot_bytes);
        if !due || self.saving_snapshot {
            return;
        }
        let Some(meta) = self.replica.snapshot_meta(applied) else {
            return;
        };
        self.saving_snapshot = true;
        self.snapshot_index = applied;
        self.bytes_since_snapshot = 0;
        let memory = self.machine.read().snapshot();
        let write = StoredWrite::Snapshot(meta.clone());
        self.write_one(Operation::SaveSnapshot { meta, memory }, write);
    }

    pub(super) fn compact_log(&mut self, up_to: u64) {
        self.write_one(Operation::CompactLog { up_to }, StoredWrite::Compaction);
    }

    fn write_one(&mut self, operation: Operation, write: StoredWrite) {
        let batch = WriteBatch {
            group: self.group,
            operations: vec![operation],
        };
        self.effects.push(Effect::Write { batch, write });
    }

    /// Reads the part of the stored snapshot that a follower needs next.
    pub(super) fn read_snapshot_chunk(&mut self, request: SnapshotRequest) {
        match self.next_chunk(request) {
            Ok(Some(input)) => self.step(input),
            Ok(None) => {}
            Err(error) => log::error!("group {}: snapshot for {}: {error}", self.group, request.to),
        }
    }

    fn next_chunk(&mut self, request: SnapshotRequest) -> Result<Option<Input>, StorageError> {
        let continued = self.outgoing_snapshots.take(request.to, request.offset);
        let reader = self.store.reader(self.group)?;
        let opened = match continued {
            Some(stream) => Some(stream),
            None => SnapshotStream::open(reader.as_ref())?,
        };
        let Some(mut stream) = opened else {
            return Ok(None);
        };
        let offset = stream.offset();
        let (bytes, done) =
            stream.next_chunk(reader.as_ref(), self.settings.snapshot_chunk_bytes)?;
        let meta = stream.meta().clone();
        if offset == 0 || done {
            log::info!(
                event = "snapshot_chunk_sent", group:% = self.group, to:% = request.to,
                index = meta.index, offset, bytes = bytes.len(), done; ""
            );
        }
        if !done {
            let now_ms = self.now_ms;
            self.outgoing_snapshots.keep(request.to, stream, now_ms);
        }
        Ok(Some(Input::SnapshotChunkRead {
            to: request.to,
            meta,
            offset,
            bytes,
            done,
        }))
    }
}
