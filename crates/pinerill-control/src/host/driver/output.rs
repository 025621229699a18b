//! Carrying out what the replica wants done.

use pinerill_replica::{Committed, DropReason, Dropped, EntryKind, Output, Persist};
use pinerill_storage::{decode_snapshot, Operation, StorageError, WriteBatch};

use super::{Answer, Effect, GroupDriver, PendingRequest, StoredWrite};
use crate::host::error::{change_error, propose_error, read_error};
use crate::host::{StateMachine, TableWriter, UnreadableState};

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

impl<M: StateMachine, R> GroupDriver<M, R> {
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
        let role = output.role.map(Effect::RoleChanged);
        self.effects.extend(role);
        if let Some(persist) = output.persist {
            self.persist(persist);
        }
        self.effects
            .extend(output.messages.into_iter().map(Effect::Send));
        self.apply(output.committed);
        for read in output.reads {
            if let Some(PendingRequest::Reads(reads)) = self.requests.remove(&read.token) {
                self.visibility.wait(read.index, reads);
            }
        }
        for dropped in output.dropped {
            self.refuse(dropped);
        }
        self.answer_reads();
        if self.halted {
            return;
        }
        for request in output.snapshot_requests {
            self.read_snapshot_chunk(request);
        }
        if let Some(up_to) = output.compact_to {
            self.compact_log(up_to);
        }
        self.save_snapshot_if_due();
    }

    fn persist(&mut self, persist: Persist) {
        let installed = persist.snapshot.is_some();
        let prepared = self
            .install(&persist)
            .and_then(|()| WriteBatch::from_persist(self.group, &persist));
        if self.halted {
            return;
        }
        let write = StoredWrite::Persist {
            sequence: persist.sequence,
            installed,
        };
        let effect = match prepared {
            Ok(batch) => Effect::Write { batch, write },
            Err(error) => Effect::Failed(error),
        };
        self.effects.push(effect);
    }

    /// Puts a received snapshot in place of the machine's state.
    fn install(&mut self, persist: &Persist) -> Result<(), StorageError> {
        let Some(snapshot) = &persist.snapshot else {
            return Ok(());
        };
        let decoded = decode_snapshot(&snapshot.data)?;
        let restored = self.machine.write().restore(&decoded.memory);
        if let Err(error) = restored {
            self.halt(snapshot.meta.index, UnreadableState(format!("{error:#}")));
            return Ok(());
        }
        log::info!(
            event = "snapshot_installing", group:% = self.group, index = snapshot.meta.index,
            bytes = snapshot.data.len(), replaced_index = self.visibility.applied(); ""
        );
        self.effects.push(Effect::SnapshotInstalled);
        self.visibility.applied_up_to(snapshot.meta.index, true);
        self.snapshot_index = snapshot.meta.index;
        self.bytes_since_snapshot = 0;
        Ok(())
    }

    fn apply(&mut self, committed: Vec<Committed>) {
        if committed.is_empty() || self.halted {
            return;
        }
        let mut last_index = self.visibility.applied();
        let mut entries = 0;
        let mut unreadable = None;
        let mut table = BatchTableWriter {
            operations: Vec::new(),
        };
        let machine = self.machine.clone();
        let mut machine = machine.write();
        for Committed { entry, token } in committed {
            let applied = match &entry.kind {
                EntryKind::Command(command) => machine.apply(entry.index, command, &mut table),
                EntryKind::Empty | EntryKind::Membership(_) => Ok(Vec::new()),
            };
            let answer = match applied {
                Ok(answer) => answer,
                Err(error) => {
                    unreadable = Some((entry.index, error));
                    break;
                }
            };
            self.bytes_since_snapshot += entry.size() as u64;
            last_index = entry.index;
            entries += 1;
            if let Some(token) = token {
                self.answer_applied(token, answer);
            }
        }
        drop(machine);
        self.effects.push(Effect::Applied { entries });
        self.write_table(last_index, table.operations);
        if let Some((index, error)) = unreadable {
            self.halt(index, error);
        }
    }

    fn halt(&mut self, index: u64, error: UnreadableState) {
        self.halted = true;
        // Whoever waits learns that the outcome is not known.
        self.requests.clear();
        self.reads.clear();
        self.effects.push(Effect::Unreadable { index, error });
    }

    fn write_table(&mut self, last_index: u64, operations: Vec<Operation>) {
        let written = !operations.is_empty();
        self.visibility.applied_up_to(last_index, written);
        if written {
            let batch = WriteBatch {
                group: self.group,
                operations,
            };
            let write = StoredWrite::Table;
            self.effects.push(Effect::Write { batch, write });
        }
    }

    fn answer(&mut self, request: R, answer: Answer) {
        self.effects.push(Effect::Answer { request, answer });
    }

    fn answer_applied(&mut self, token: u64, answer: Vec<u8>) {
        match self.requests.remove(&token) {
            Some(PendingRequest::Propose(request)) => {
                self.answer(request, Answer::Proposed(Ok(answer)));
            }
            Some(PendingRequest::Change(request)) => {
                self.answer(request, Answer::Changed(Ok(())));
            }
            Some(PendingRequest::Reads(_)) | None => {}
        }
    }

    fn answer_reads(&mut self) {
        for (index, request) in self.visibility.take_visible() {
            self.answer(request, Answer::Read(Ok(index)));
        }
    }

    fn refuse(&mut self, dropped: Dropped) {
        let reason: DropReason = dropped.reason;
        match self.requests.remove(&dropped.token) {
            Some(PendingRequest::Propose(request)) => {
                self.answer(request, Answer::Proposed(Err(propose_error(reason))));
            }
            Some(PendingRequest::Change(request)) => {
                self.answer(request, Answer::Changed(Err(change_error(reason))));
            }
            Some(PendingRequest::Reads(reads)) => {
                for request in reads {
                    self.answer(request, Answer::Read(Err(read_error(reason))));
                }
            }
            None => {}
        }
    }
}
