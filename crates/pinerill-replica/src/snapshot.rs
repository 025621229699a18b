//! Snapshots in chunks, installation and log compaction.

use crate::log::Log;
use crate::progress::{ProgressState, SnapshotTransfer};
use crate::{
    DropReason, Message, Replica, ReplicaId, Snapshot, SnapshotChunk, SnapshotChunkResponse,
    SnapshotMeta, SnapshotRequest,
};

/// An unanswered chunk is sent again after this many heartbeat intervals.
const CHUNK_RETRY_HEARTBEATS: u64 = 5;

/// A snapshot that is being received.
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Replica {
    /// A snapshot of this replica's own state is durable.
    pub(crate) fn snapshot_saved(&mut self, meta: SnapshotMeta) {
        let wanted = self.log.start_of_margin(
            meta.index,
            self.config.compaction_margin,
            self.config.compaction_margin_bytes,
        );
        let transfer_bytes = self.config.transfer_margin_bytes;
        let kept_at_most = self
            .log
            .start_of_margin(meta.index, u64::MAX, transfer_bytes);
        let in_transfer = self.lowest_snapshot_in_transfer().max(kept_at_most);
        let target = wanted.min(in_transfer);
        if target > self.log.base_index() {
            self.log.compact(target);
            self.output.compact_to = Some(target);
        }
    }

    /// Entries behind a snapshot in transfer are kept: the follower needs
    /// them next.
    fn lowest_snapshot_in_transfer(&self) -> u64 {
        let Some(leading) = &self.leading else {
            return u64::MAX;
        };
        let indexes = leading.progress.values().filter_map(|progress| {
            let ProgressState::Snapshot(transfer) = &progress.state else {
                return None;
            };
            transfer.meta.as_ref().map(|meta| meta.index)
        });
        indexes.min().unwrap_or(u64::MAX)
    }

    fn transfer_to(&mut self, peer: ReplicaId) -> Option<&mut SnapshotTransfer> {
        match &mut self.progress(peer)?.state {
            ProgressState::Snapshot(transfer) => Some(transfer),
            _ => None,
        }
    }

    pub(crate) fn snapshot_chunk_read(
        &mut self,
        to: ReplicaId,
        meta: SnapshotMeta,
        offset: u64,
        bytes: Vec<u8>,
        done: bool,
    ) {
        let Some(transfer) = self.transfer_to(to) else {
            return;
        };
        transfer.meta = Some(meta);
        transfer.offset = offset;
        transfer.chunk = Some((bytes, done));
        self.send_chunk(to);
    }

    fn send_chunk(&mut self, to: ReplicaId) {
        let term = self.term();
        let now_ms = self.now_ms;
        let Some(transfer) = self.transfer_to(to) else {
            return;
        };
        let (Some(meta), Some((bytes, done))) = (&transfer.meta, &transfer.chunk) else {
            return;
        };
        let chunk = SnapshotChunk {
            term,
            meta: meta.clone(),
            offset: transfer.offset,
            bytes: bytes.clone(),
            done: *done,
        };
        transfer.sent_ms = now_ms;
        self.send_now(to, Message::SnapshotChunk(chunk));
    }

    pub(crate) fn on_chunk_response(&mut self, from: ReplicaId, response: SnapshotChunkResponse) {
        if response.term > self.term() {
            self.become_follower(response.term, None);
            return;
        }
        if response.term < self.term() || !self.note_contact(from) {
            return;
        }
        if response.installed {
            self.chunk_installed(from, response.index);
        } else {
            self.chunk_received(from, response);
        }
    }

    fn chunk_installed(&mut self, from: ReplicaId, index: u64) {
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress(from) {
            progress.accepted(index, now_ms);
        }
        self.advance_commit();
        self.continue_transfer();
    }

    fn chunk_received(&mut self, from: ReplicaId, response: SnapshotChunkResponse) {
        let now_ms = self.now_ms;
        let Some(transfer) = self.transfer_to(from) else {
            return;
        };
        let current = transfer.meta.as_ref().map(|meta| meta.index);
        let Some((bytes, _)) = &transfer.chunk else {
            return;
        };
        let end = transfer.offset + bytes.len() as u64;
        // The current offset repeats an earlier answer. Anything else but the
        // end of the current chunk means that the follower lost its place.
        let repeated = response.next_offset == transfer.offset && end > transfer.offset;
        if current != Some(response.index) || repeated {
            return;
        }
        let advances = response.next_offset == end;
        let offset = if advances { end } else { 0 };
        transfer.chunk = None;
        transfer.offset = offset;
        transfer.sent_ms = now_ms;
        let request = SnapshotRequest { to: from, offset };
        self.output.snapshot_requests.push(request);
    }

    /// Sends unanswered chunks again; gives up on followers that are silent.
    pub(crate) fn retry_stalled_snapshots(&mut self) {
        let now_ms = self.now_ms;
        let retry_ms = CHUNK_RETRY_HEARTBEATS * self.config.heartbeat_ms;
        let silence_ms = self.config.election_max_ms;
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut stalled = Vec::new();
        for (peer, progress) in &mut leading.progress {
            let ProgressState::Snapshot(transfer) = &progress.state else {
                continue;
            };
            if now_ms > progress.last_contact_ms + silence_ms {
                let next_index = progress.match_index + 1;
                progress.probe_from(next_index);
            } else if now_ms >= transfer.sent_ms + retry_ms {
                stalled.push(*peer);
            }
        }
        for peer in stalled {
            self.retry_chunk(peer);
        }
    }

    fn retry_chunk(&mut self, to: ReplicaId) {
        let now_ms = self.now_ms;
        let Some(transfer) = self.transfer_to(to) else {
            return;
        };
        if transfer.chunk.is_some() {
            self.send_chunk(to);
            return;
        }
        transfer.sent_ms = now_ms;
        let offset = transfer.offset;
        let request = SnapshotRequest { to, offset };
        self.output.snapshot_requests.push(request);
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let index = chunk.meta.index;
        if !self.follow(from, chunk.term) {
            self.answer_chunk(from, index, 0, false);
            return;
        }
        if index <= self.commit {
            self.answer_chunk(from, index, 0, true);
            return;
        }
        self.start_incoming(from, &chunk);
        let Some(incoming) = &mut self.incoming_snapshot else {
            self.answer_chunk(from, index, 0, false);
            return;
        };
        let fits = chunk.offset == incoming.data.len() as u64;
        if fits {
            incoming.data.extend_from_slice(&chunk.bytes);
        }
        if fits && chunk.done {
            self.install_incoming();
            self.answer_chunk(from, index, 0, true);
        } else {
            let next_offset = incoming.data.len() as u64;
            self.answer_chunk(from, index, next_offset, false);
        }
    }

    /// Makes `incoming_snapshot` the one the chunk belongs to, or empties it.
    fn start_incoming(&mut self, from: ReplicaId, chunk: &SnapshotChunk) {
        let same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.from == from && incoming.meta == chunk.meta);
        if same && chunk.offset > 0 {
            return;
        }
        self.incoming_snapshot = (chunk.offset == 0).then(|| IncomingSnapshot {
            from,
            meta: chunk.meta.clone(),
            data: Vec::new(),
        });
    }

    fn answer_chunk(&mut self, to: ReplicaId, index: u64, next_offset: u64, installed: bool) {
        let response = Message::SnapshotChunkResponse(SnapshotChunkResponse {
            term: self.term(),
            index,
            next_offset,
            installed,
        });
        if installed {
            self.send_after_all(to, response);
        } else {
            self.send_after_hard_state(to, response);
        }
    }

    /// Entries collected for the state machine are older than the snapshot
    /// that is installed before them.
    fn drop_unapplied(&mut self) {
        for committed in std::mem::take(&mut self.output.committed) {
            if let Some(token) = committed.token {
                self.drop_request(token, DropReason::Unknown);
            }
        }
    }

    /// Replaces log and state. Entries behind the snapshot are dropped: they
    /// are not known to agree with it, and the leader sends them again.
    fn install_incoming(&mut self) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let meta = incoming.meta;
        if self.log.term_at(meta.index) == Some(meta.term) {
            // The log already holds the snapshot's last entry, so all that
            // the snapshot covers is in the log too and is committed.
            self.commit_up_to(meta.index);
            return;
        }
        self.drop_unapplied();
        self.drop_undecided_up_to(meta.index);
        self.log = Log::new(&meta, Vec::new());
        self.commit = meta.index;
        self.applied = meta.index;
        self.durability.install(Snapshot {
            meta,
            data: incoming.data,
        });
    }
}
