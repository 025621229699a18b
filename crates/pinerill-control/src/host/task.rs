//! The task of one group: feeds the driver, wakes at its deadlines and
//! carries out its effects.

use std::sync::Arc;
use std::time::Duration;

use pinerill_replica::{GroupId, RoleChange};
use tokio::sync::{mpsc, watch};

use super::counters::count;
use super::driver::{Answer, DriverInput, Effect, GroupDriver, StoredWrite};
use super::event::{Event, Reply};
use super::group_host::Shared;
use super::inbox::{Arrived, WeakEventSender};
use super::{ChangeError, GroupStatus, ProposeError, StateMachine};

/// Pause of a halted group's task between two looks at its inbox, which wakes it anyway.
const HALTED_PAUSE: Duration = Duration::from_secs(60);
/// Events taken into one round.
const MAX_EVENTS: usize = 1024;

/// The task of one group.
pub(super) struct GroupTask<M> {
    group: GroupId,
    driver: GroupDriver<M, Reply>,
    shared: Arc<Shared>,
    /// Weak, so that a stopped host's store completions end nowhere.
    events: WeakEventSender,
    status: watch::Sender<GroupStatus>,
    /// Time on the host's clock when the task began.
    started: Duration,
    stopping: bool,
    /// The state can't be read by this build: nothing is answered, sent or written any more.
    /// The task stays, so that the process isn't started again and again over the same state.
    halted: bool,
}

impl<M: StateMachine> GroupTask<M> {
    pub(super) fn new(
        group: GroupId,
        driver: GroupDriver<M, Reply>,
        shared: Arc<Shared>,
        events: WeakEventSender,
        status: watch::Sender<GroupStatus>,
    ) -> Self {
        GroupTask {
            started: shared.settings.clock.time(),
            group,
            driver,
            shared,
            events,
            status,
            stopping: false,
            halted: false,
        }
    }

    /// Runs until the host stops or the store fails.
    pub(super) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Arrived>) {
        self.finish_round();
        let mut events = Vec::new();
        while !self.stopping {
            let until_deadline = self.until_deadline();
            tokio::select! {
                count = inbox.recv_many(&mut events, MAX_EVENTS) => {
                    if count == 0 {
                        break;
                    }
                }
                () = tokio::time::sleep(until_deadline) => {}
            }
            for arrived in events.drain(..) {
                match self.halted {
                    true => self.refuse(arrived.event),
                    false => self.handle(arrived),
                }
            }
            self.finish_round();
        }
        self.log_cut_requests();
        refuse_queued(inbox).await;
    }

    /// Callers that wait when the group stops are told that the outcome is unknown.
    fn log_cut_requests(&self) {
        let cut = self.driver.pending_requests();
        if cut == 0 {
            return;
        }
        let status = self.driver.status();
        log::warn!(
            event = "requests_cut", group:% = self.group, requests = cut, role:? = status.role,
            term = status.term, undecided = status.undecided; ""
        );
    }

    fn refuse(&mut self, event: Event) {
        match event {
            Event::Stop => self.stopping = true,
            other => refuse_event(other),
        }
    }

    fn now_ms(&self) -> u64 {
        self.ms_since_start(self.shared.settings.clock.time())
    }

    fn ms_since_start(&self, time: Duration) -> u64 {
        time.saturating_sub(self.started).as_millis() as u64
    }

    /// When an event counts. One that waited for the longest election timeout or more says nothing
    /// about now: another leader may have been elected meanwhile.
    fn counts_at_ms(&self, arrived: &Arrived) -> u64 {
        let settings = &self.shared.settings;
        let counts_at = arrived.counts_at(settings.clock.time(), settings.election_max);
        self.ms_since_start(counts_at)
    }

    /// Time until the driver must be called. A timer that was set before the machine was
    /// suspended fires late; what is due then is found by the clock.
    fn until_deadline(&self) -> Duration {
        if self.halted {
            return HALTED_PAUSE;
        }
        let left_ms = self.driver.next_deadline_ms().saturating_sub(self.now_ms());
        Duration::from_millis(left_ms)
    }

    fn finish_round(&mut self) {
        if self.halted {
            return;
        }
        let effects = self.driver.finish_round(self.now_ms());
        // Who is reached by a message or an answer may ask this process at once.
        self.publish_status();
        for effect in effects {
            self.carry_out(effect);
        }
        if self.halted {
            self.publish_status();
        }
    }

    fn handle(&mut self, arrived: Arrived) {
        let counts_at_ms = self.counts_at_ms(&arrived);
        let input = match arrived.event {
            Event::Message(envelope) => DriverInput::Message(envelope),
            Event::Propose {
                command,
                reply,
                permit,
            } => {
                count(&self.shared.counters.proposals, 1);
                let request = Reply::Propose {
                    reply,
                    proposed_at: arrived.at,
                    _permit: permit,
                };
                DriverInput::Propose { command, request }
            }
            Event::Read { reply } => DriverInput::Read {
                request: Reply::Read(reply),
            },
            Event::ChangeMembership { change, reply } => DriverInput::ChangeMembership {
                change,
                request: Reply::Change(reply),
            },
            Event::TransferLeadership { to } => DriverInput::TransferLeadership { to },
            Event::Drain => DriverInput::Drain,
            Event::Stored(Ok(write)) => {
                if matches!(write, StoredWrite::Snapshot(_)) {
                    count(&self.shared.counters.snapshots_saved, 1);
                }
                DriverInput::Stored(write)
            }
            Event::Stored(Err(error)) => {
                log::error!("group {}: stopped: {error}", self.group);
                self.stopping = true;
                return;
            }
            Event::Stop => {
                self.stopping = true;
                return;
            }
        };
        self.driver.handle(counts_at_ms, input);
    }

    fn carry_out(&mut self, effect: Effect<Reply>) {
        if self.halted {
            return;
        }
        let counters = &self.shared.counters;
        match effect {
            Effect::Write { batch, write } => {
                let completion = self.completion(write);
                self.shared.store.write(batch, completion);
            }
            Effect::Send(envelope) => {
                count(&counters.messages_sent, 1);
                self.shared.transport.send(envelope.to, envelope);
            }
            Effect::Answer { request, answer } => {
                if matches!(answer, Answer::Read(Ok(_))) {
                    count(&counters.reads, 1);
                }
                if answer == Answer::Proposed(Err(ProposeError::Unknown)) {
                    self.record_unknown_outcome(&request);
                }
                request.send(answer);
            }
            Effect::RoleChanged(change) => self.role_changed(change),
            Effect::Applied { entries } => count(&counters.entries_applied, entries),
            Effect::SnapshotInstalled => count(&counters.snapshots_installed, 1),
            Effect::ProcessPaused { ms } => self.record_process_pause(ms),
            Effect::Failed(error) => {
                log::error!("group {}: stopped: {error}", self.group);
                self.stopping = true;
            }
            Effect::Unreadable { index, error } => {
                log::error!(
                    event = "group_halted", group:% = self.group, index, error:%,
                    remedy = "run the build that wrote it, or a newer one"; ""
                );
                self.halted = true;
            }
        }
    }

    fn role_changed(&self, change: RoleChange) {
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

    fn record_process_pause(&self, ms: u64) {
        let counters = &self.shared.counters;
        count(&counters.process_pauses, 1);
        count(&counters.process_pause_ms, ms as usize);
        log::warn!(event = "process_paused", group:% = self.group, ms; "");
    }

    fn record_unknown_outcome(&self, request: &Reply) {
        count(&self.shared.counters.proposals_unknown, 1);
        let Reply::Propose { proposed_at, .. } = request else {
            return;
        };
        let waited = self
            .shared
            .settings
            .clock
            .time()
            .saturating_sub(*proposed_at);
        let status = self.driver.status();
        log::warn!(
            event = "proposal_unknown", group:% = self.group, waited_ms = waited.as_millis() as u64,
            role:? = status.role, term = status.term, undecided = status.undecided; ""
        );
    }

    /// A completion for the store that reports to this task.
    fn completion(&self, write: StoredWrite) -> pinerill_storage::Completion {
        let events = self.events.clone();
        Box::new(move |result| {
            if let Some(events) = events.upgrade() {
                let _ = events.send(Event::Stored(result.map(|()| write)));
            }
        })
    }

    fn publish_status(&self) {
        let mut status = GroupStatus::new(self.group, self.driver.status());
        status.halted = self.halted;
        self.status.send_if_modified(|current| {
            let modified = current.differs_from(&status);
            *current = status;
            modified
        });
    }
}

/// Requests that never reached the replica did nothing, and are told so. The end of the queue is
/// waited for: one that a caller is just putting in doesn't show yet, and would be kept in the
/// queue unanswered for as long as that caller holds the group's handle.
async fn refuse_queued(mut inbox: mpsc::UnboundedReceiver<Arrived>) {
    inbox.close();
    while let Some(arrived) = inbox.recv().await {
        refuse_event(arrived.event);
    }
}

fn refuse_event(event: Event) {
    match event {
        Event::Propose { reply, .. } => drop(reply.send(Err(ProposeError::Stopped))),
        Event::ChangeMembership { reply, .. } => {
            let stopped = ChangeError::Propose(ProposeError::Stopped);
            let _ = reply.send(Err(stopped));
        }
        // A dropped read is answered as stopped.
        _ => {}
    }
}
