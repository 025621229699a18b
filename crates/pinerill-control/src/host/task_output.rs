//! Carrying out what the replica wants done.

use pinerill_replica::{Committed, Dropped, EntryKind, Envelope, Output, Persist, RoleChange};
use pinerill_storage::{decode_snapshot, Operation, StorageError, WriteBatch};

use super::counters::count;
use super::error::{change_error, propose_error, read_error};
use super::event::{PendingRequest, StoredWrite};
use super::task::GroupTask;
use super::{StateMachine, TableWriter};

/// Collects table writes as operations for the store.
struct BatchTableWriter {
    operations: Vec<Operation>,
}

impl TableWriter for BatchTableWriter {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.operations.push(Operation::PutState {
            key: key.to_vec(),
            value: value.to_vec(),
        });
    }

    fn delete(&mut self, key: &[u8]) {
        self.operations
            .push(Operation::DeleteState { key: key.to_vec() });
    }
}

impl<M: StateMachine> GroupTask<M> {
    /// Carries out outputs until none asks for another step at once.
    pub(super) fn carry_out_all(&mut self) {
        loop {
            let output = self.replica.take_output();
            let again = !output.snapshot_requests.is_empty();
            self.carry_out(output);
            if !again {
                return;
            }
        }
    }

    /// The order matters for the store: the log before the table writes of
    /// its entries, table writes before the snapshot that covers them.
    fn carry_out(&mut self, output: Output) {
        if let Some(change) = output.role {
            self.role_changed(change);
        }
        if let Some(persist) = output.persist {
            self.persist(persist);
        }
        self.send(output.messages);
        self.apply(output.committed);
        for read in output.reads {
            if let Some(PendingRequest::Reads { replies }) = self.requests.remove(&read.token) {
                self.visibility.wait(read.index, replies);
            }
        }
        for dropped in output.dropped {
            self.refuse(dropped);
        }
        count(&self.shared.counters.reads, self.visibility.answer());
        for request in output.snapshot_requests {
            self.read_snapshot_chunk(request);
        }
        if let Some(up_to) = output.compact_to {
            self.compact_log(up_to);
        }
        self.save_snapshot_if_due();
    }

    fn role_changed(&mut self, change: RoleChange) {
        count(&self.shared.counters.role_changes, 1);
        let leader = change.leader.map(|leader| leader.to_string());
        log::info!(
            "group {}: {:?} in term {}, leader {}",
            self.group,
            change.role,
            change.term,
            leader.as_deref().unwrap_or("unknown"),
        );
    }

    fn persist(&mut self, persist: Persist) {
        let installed = persist.snapshot.is_some();
        let prepared = self
            .install(&persist)
            .and_then(|()| WriteBatch::from_persist(self.group, &persist));
        let write = StoredWrite::Persist {
            sequence: persist.sequence,
            installed,
        };
        let completion = self.completion(write);
        match prepared {
            Ok(batch) => self.shared.store.write(batch, completion),
            Err(error) => completion(Err(error)),
        }
    }

    /// Puts a received snapshot in place of the machine's state.
    fn install(&mut self, persist: &Persist) -> Result<(), StorageError> {
        let Some(snapshot) = &persist.snapshot else {
            return Ok(());
        };
        let decoded = decode_snapshot(&snapshot.data)?;
        let restored = self.machine.write().restore(&decoded.memory);
        restored.map_err(super::task_snapshot::refused_snapshot)?;
        count(&self.shared.counters.snapshots_installed, 1);
        self.visibility.applied_up_to(snapshot.meta.index, true);
        self.snapshot_index = snapshot.meta.index;
        self.bytes_since_snapshot = 0;
        Ok(())
    }

    fn send(&self, messages: Vec<Envelope>) {
        count(&self.shared.counters.messages_sent, messages.len());
        for envelope in messages {
            self.shared.transport.send(envelope.to, envelope);
        }
    }

    fn apply(&mut self, committed: Vec<Committed>) {
        let Some(last) = committed.last() else {
            return;
        };
        let last_index = last.entry.index;
        count(&self.shared.counters.entries_applied, committed.len());
        let mut table = BatchTableWriter {
            operations: Vec::new(),
        };
        let machine = self.machine.clone();
        let mut machine = machine.write();
        for Committed { entry, token } in committed {
            self.bytes_since_snapshot += entry.size() as u64;
            let answer = match &entry.kind {
                EntryKind::Command(command) => machine.apply(entry.index, command, &mut table),
                EntryKind::Empty | EntryKind::Membership(_) => Vec::new(),
            };
            if let Some(token) = token {
                self.answer(token, answer);
            }
        }
        drop(machine);
        self.write_table(last_index, table.operations);
    }

    fn write_table(&mut self, last_index: u64, operations: Vec<Operation>) {
        let written = !operations.is_empty();
        self.visibility.applied_up_to(last_index, written);
        if written {
            let batch = WriteBatch {
                group: self.group,
                operations,
            };
            let completion = self.completion(StoredWrite::Table);
            self.shared.store.write(batch, completion);
        }
    }

    fn answer(&mut self, token: u64, answer: Vec<u8>) {
        match self.requests.remove(&token) {
            Some(PendingRequest::Propose { reply, .. }) => drop(reply.send(Ok(answer))),
            Some(PendingRequest::Change { reply }) => drop(reply.send(Ok(()))),
            Some(PendingRequest::Reads { .. }) | None => {}
        }
    }

    fn refuse(&mut self, dropped: Dropped) {
        let reason = dropped.reason;
        match self.requests.remove(&dropped.token) {
            Some(PendingRequest::Propose { reply, .. }) => {
                let _ = reply.send(Err(propose_error(reason)));
            }
            Some(PendingRequest::Change { reply }) => {
                let _ = reply.send(Err(change_error(reason)));
            }
            Some(PendingRequest::Reads { replies }) => {
                for reply in replies {
                    let _ = reply.send(Err(read_error(reason)));
                }
            }
            None => {}
        }
    }
}
