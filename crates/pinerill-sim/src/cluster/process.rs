//! Starting processes, feeding their drivers and carrying out the effects.

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerill_control::host::driver::{Answer, DriverInput, Effect, GroupDriver, StoredWrite};
use pinerill_replica::{Envelope, ReplicaId, Role};
use pinerill_storage::{GroupStore, WriteBatch};

use super::checks::CheckedUpTo;
use super::core::Cluster;
use super::event::Event;
use super::machine::{OpenRequest, Process, RequestNumber};
use super::observed::Observed;
use super::service::{CallId, CallKind, CallResult, ClientId, GroupService};
use super::settings::GROUP;
use crate::defect::{has_shell_defect, replica_defects, ShellDefect};

/// Longest time until a waiting process takes its events in, milliseconds.
const MAX_ROUND_DELAY_MS: u64 = 2;
/// A slow sync takes at most this many times the usual longest.
const SLOW_SYNC_FACTOR: u64 = 30;

impl<S: GroupService> Cluster<S> {
    /// Starts the process at `place` from what its disk holds.
    pub(super) fn start_process(&mut self, place: usize, founders: &[ReplicaId]) {
        self.starts += 1;
        let start = self.starts;
        let seed = self.rng.number();
        let machine = &mut self.machines[place];
        machine.clock = machine.clock.restarted(self.now_ms);
        machine.frozen_until_ms = 0;
        let mut config = self.settings.replica_config(machine.replica, seed);
        config.defects = replica_defects(self.defect);
        let observed = Observed::new(S::machine(self.defect), self.applied.clone());
        let store = Arc::new(machine.store.clone());
        let driver = GroupDriver::start(config, founders, observed, store, self.settings.driver);
        let driver = match driver {
            Ok(driver) => driver,
            Err(error) => {
                self.violate("a process starts", error.to_string());
                return;
            }
        };
        let checked = CheckedUpTo::starting(&driver.status());
        machine.process = Some(Process {
            driver,
            start,
            inbox: Vec::new(),
            requests: BTreeMap::new(),
            stored: Arc::default(),
            round_at_ms: u64::MAX,
            syncing: None,
            checked,
        });
        self.note(|| format!("machine {place} starts"));
        self.schedule_round(place, self.now_ms);
    }

    /// Makes sure that a round happens at `at_ms` or before.
    pub(super) fn schedule_round(&mut self, place: usize, at_ms: u64) {
        let Some(process) = &mut self.machines[place].process else {
            return;
        };
        if at_ms >= process.round_at_ms {
            return;
        }
        process.round_at_ms = at_ms;
        let start = process.start;
        let machine = place;
        self.queue.add(at_ms, Event::Round { machine, start });
    }

    fn feed(&mut self, place: usize, input: DriverInput<RequestNumber>) {
        let delay = self.rng.between(0, MAX_ROUND_DELAY_MS);
        if let Some(process) = &mut self.machines[place].process {
            process.inbox.push(input);
            self.schedule_round(place, self.now_ms + delay);
        }
    }

    pub(super) fn on_message(&mut self, envelope: Envelope) {
        let Some(place) = self.place_of(envelope.to) else {
            return;
        };
        self.feed(place, DriverInput::Message(envelope));
    }

    pub(super) fn on_call(
        &mut self,
        call: CallId,
        client: ClientId,
        place: usize,
        kind: CallKind<S>,
    ) {
        self.next_request += 1;
        let request = self.next_request;
        let Some(process) = &mut self.machines[place].process else {
            self.answer(call, client, place, CallResult::Refused);
            return;
        };
        match OpenRequest::split(call, client, kind, request) {
            Some((open, input)) => {
                process.requests.insert(request, open);
                self.feed(place, input);
            }
            None => {
                let status = Box::new(process.driver.status());
                self.answer(call, client, place, CallResult::Status(status));
            }
        }
    }

    /// One round: whatever has arrived goes in, all at once.
    pub(super) fn on_round(&mut self, place: usize, start: u64) {
        let now_ms = self.now_ms;
        let machine = &mut self.machines[place];
        let frozen_until_ms = machine.frozen_until_ms;
        let local_ms = machine.clock.local_ms(now_ms);
        let Some(process) = machine.process.as_mut().filter(|one| one.start == start) else {
            return;
        };
        if now_ms < process.round_at_ms {
            return;
        }
        process.round_at_ms = u64::MAX;
        if now_ms < frozen_until_ms {
            self.schedule_round(place, frozen_until_ms);
            return;
        }
        let stored = std::mem::take(&mut *process.stored.lock());
        for write in stored {
            process.driver.handle(local_ms, DriverInput::Stored(write));
        }
        for input in std::mem::take(&mut process.inbox) {
            process.driver.handle(local_ms, input);
        }
        let effects = process.driver.finish_round(local_ms);
        self.checks
            .on_round(now_ms, &process.driver, &mut process.checked);
        for effect in self.in_shell_order(effects) {
            self.carry_out(place, effect);
        }
        self.schedule_deadline(place);
    }

    fn schedule_deadline(&mut self, place: usize) {
        let machine = &self.machines[place];
        if let Some(process) = &machine.process {
            let at_ms = machine.clock.virtual_ms(process.driver.next_deadline_ms());
            self.schedule_round(place, at_ms.max(self.now_ms + 1));
        }
    }

    /// The effects in their order, unless the shell has a defect.
    fn in_shell_order(&self, effects: Vec<Effect<RequestNumber>>) -> Vec<Effect<RequestNumber>> {
        if !has_shell_defect(self.defect, ShellDefect::SnapshotBeforeTable) {
            return effects;
        }
        let is_table = |effect: &Effect<RequestNumber>| {
            let write = StoredWrite::Table;
            matches!(effect, Effect::Write { write: found, .. } if *found == write)
        };
        let (table, mut others): (Vec<_>, Vec<_>) = effects.into_iter().partition(is_table);
        others.extend(table);
        others
    }

    fn carry_out(&mut self, place: usize, effect: Effect<RequestNumber>) {
        match effect {
            Effect::Write { batch, write } => self.write(place, batch, write),
            Effect::Send(envelope) => self.send(envelope),
            Effect::Answer { request, answer } => self.answer_request(place, request, answer),
            Effect::RoleChanged(change) => {
                self.note(|| {
                    let (role, term, leader) = (change.role, change.term, change.leader);
                    format!("machine {place} {role:?} in term {term}, leader {leader:?}")
                });
                if change.role == Role::Candidate {
                    self.candidacies += 1;
                }
                let process = self.machines[place].process.as_ref();
                if let (Role::Leader, Some(process)) = (change.role, process) {
                    self.checks.on_leader(self.now_ms, &process.driver);
                    self.observe("election won");
                }
            }
            Effect::Applied { entries } => {
                self.note(|| format!("machine {place} applies {entries}"));
            }
            Effect::SnapshotInstalled => {
                self.observe("snapshot installed");
                self.note(|| format!("machine {place} installs a snapshot"));
            }
            Effect::ProcessPaused { ms } => {
                self.note(|| format!("machine {place} was paused for {ms} ms"));
            }
            Effect::Failed(error) => {
                self.violate("a group runs on", format!("machine {place}: {error}"));
            }
            Effect::Unreadable { index, error } => {
                let what = format!("machine {place}, entry {index}: {error}");
                self.violate("a group runs on", what);
            }
        }
    }

    fn write(&mut self, place: usize, batch: WriteBatch, write: StoredWrite) {
        self.checks.on_write(self.now_ms, &batch);
        let machine = &mut self.machines[place];
        let Some(process) = &machine.process else {
            return;
        };
        let stored = process.stored.clone();
        let early = write == StoredWrite::Table
            && has_shell_defect(self.defect, ShellDefect::TableReportedBeforeSync);
        if early {
            stored.lock().push(write.clone());
        }
        let completion = Box::new(move |result: Result<(), _>| {
            if result.is_ok() && !early {
                stored.lock().push(write);
            }
        });
        machine.store.write(batch, completion);
        self.start_sync(place);
    }

    /// Starts a sync of everything that is queued, unless one runs.
    fn start_sync(&mut self, place: usize) {
        let settings = &self.settings;
        let longest = if self.rng.chance(settings.slow_sync_share) {
            settings.max_sync_ms * SLOW_SYNC_FACTOR
        } else {
            settings.max_sync_ms
        };
        let duration = self.rng.between(settings.min_sync_ms, longest);
        let machine = &mut self.machines[place];
        let pending = machine.store.pending();
        let Some(process) = &mut machine.process else {
            return;
        };
        if process.syncing.is_some() || pending == 0 {
            return;
        }
        process.syncing = Some(pending);
        let start = process.start;
        let event = Event::Synced {
            machine: place,
            start,
        };
        self.queue.add(self.now_ms + duration, event);
    }

    pub(super) fn on_synced(&mut self, place: usize, start: u64) {
        let machine = &mut self.machines[place];
        let Some(process) = machine.process.as_mut().filter(|one| one.start == start) else {
            return;
        };
        let batches = process.syncing.take().unwrap_or(0);
        machine.store.sync_first(batches);
        self.start_sync(place);
        self.schedule_round(place, self.now_ms);
    }

    fn answer_request(&mut self, place: usize, request: RequestNumber, answer: Answer) {
        let machine = &mut self.machines[place];
        let Some(process) = &mut machine.process else {
            return;
        };
        let Some(open) = process.requests.remove(&request) else {
            return;
        };
        let view = |query: &S::Query| {
            let reader = machine.store.reader(GROUP);
            let reader = reader.expect("the store in memory is always readable");
            let state = process.driver.machine().read();
            S::read(query, &state.inner, reader.as_ref())
        };
        let result = match (answer, &open.query) {
            (Answer::Proposed(result), _) => CallResult::Proposed(result),
            (Answer::Changed(result), _) => CallResult::Changed(result),
            (Answer::Read(Ok(_)), Some((query, _))) => CallResult::Read(Ok(view(query))),
            (Answer::Read(Err(_)), Some((query, true))) => CallResult::Unconfirmed(view(query)),
            (Answer::Read(Err(error)), _) => CallResult::Read(Err(error)),
            (Answer::Read(Ok(_)), None) => return,
        };
        self.answer(open.call, open.client, place, result);
    }
}
