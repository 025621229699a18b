//! Finds the control machine that can answer: any one, or a group's leader.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::sleep;

use crate::api::{CallError, CallErrorKind, ControlApi};
use crate::connection::{Connection, Identity, LinkCounters};
use crate::message::{GroupRecord, RefusalCode, Request, Response};

/// Pause before the next control machine is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for one machine before the next is asked: a leader that is
/// cut off in silence must not use up the whole time.
const LEADER_TRY: Duration = Duration::from_secs(2);
/// Longest time to connect to machines that have not named themselves yet.
const INTRODUCTION_TIME: Duration = Duration::from_millis(500);
/// A call is not started with less time than this left.
const SHORTEST_CALL: Duration = Duration::from_millis(1);

type Slot = Arc<AsyncMutex<Option<Connection>>>;

/// Connections to control machines, opened when first needed.
pub struct ControlClient {
    identity: Identity,
    /// In this process's own random order, so that nodes spread.
    addresses: Vec<SocketAddr>,
    /// Index in `addresses` of the machine in use.
    preferred: Mutex<usize>,
    leaders: Mutex<HashMap<u32, SocketAddr>>,
    /// Where a machine is reached, by the address at which it says it
    /// listens: the two differ where something stands in between.
    reached_at: Mutex<HashMap<SocketAddr, SocketAddr>>,
    slots: Mutex<HashMap<SocketAddr, Slot>>,
    counters: Arc<LinkCounters>,
}

impl ControlClient {
    /// A client of the control machines at `addresses` (at least one).
    pub fn new(identity: Identity, addresses: &[SocketAddr]) -> Self {
        let mut addresses = addresses.to_vec();
        addresses.shuffle(&mut rand::thread_rng());
        Self {
            identity,
            addresses,
            preferred: Mutex::new(0),
            leaders: Mutex::new(HashMap::new()),
            reached_at: Mutex::new(HashMap::new()),
            slots: Mutex::new(HashMap::new()),
            counters: Arc::new(LinkCounters::default()),
        }
    }

    /// Bytes and frames over all its connections.
    pub fn counters(&self) -> &Arc<LinkCounters> {
        &self.counters
    }

    /// Asks the machine at `address`.
    ///
    /// # Errors
    /// As [`Connection::call`].
    pub async fn call_at(
        &self,
        address: SocketAddr,
        request: Request,
        time: Duration,
    ) -> Result<Response, CallError> {
        let connection = self.connection(address).await?;
        connection.call(request, time).await
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let slot = self.slots.lock().entry(address).or_default().clone();
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|one| !one.is_closed()) {
            return Ok(connection.clone());
        }
        let opened = Connection::open(address, &self.identity, self.counters.clone()).await?;
        let listens_at = opened.peer().address;
        self.reached_at.lock().insert(listens_at, address);
        *held = Some(opened.clone());
        Ok(opened)
    }

    /// The address of the settings under which the machine that listens at
    /// `hint` is reached. Where none is known, those that were never
    /// connected are, so that they name themselves. No other address is ever
    /// connected to.
    async fn address_of(&self, hint: SocketAddr) -> Option<SocketAddr> {
        if let Some(known) = self.known_address(hint) {
            return Some(known);
        }
        let known: Vec<SocketAddr> = self.reached_at.lock().values().copied().collect();
        let unknown = self.addresses.iter().filter(|one| !known.contains(one));
        let attempts = unknown.map(|address| self.connection(*address));
        let all = futures::future::join_all(attempts);
        // One that does not answer must not hold the others up.
        let _ = tokio::time::timeout(INTRODUCTION_TIME, all).await;
        self.known_address(hint)
    }

    fn known_address(&self, hint: SocketAddr) -> Option<SocketAddr> {
        let reached_at = self.reached_at.lock().get(&hint).copied();
        reached_at.or_else(|| self.addresses.contains(&hint).then_some(hint))
    }

    fn preferred(&self) -> SocketAddr {
        self.addresses[*self.preferred.lock()]
    }

    /// Moves on to the next machine, unless another call already did.
    fn move_on_from(&self, address: SocketAddr) {
        let mut preferred = self.preferred.lock();
        if self.addresses[*preferred] == address {
            *preferred = (*preferred + 1) % self.addresses.len();
        }
    }

    fn leader(&self, group: u32) -> Option<SocketAddr> {
        self.leaders.lock().get(&group).copied()
    }

    fn forget_leader(&self, group: u32, address: SocketAddr) {
        let mut leaders = self.leaders.lock();
        if leaders.get(&group) == Some(&address) {
            leaders.remove(&group);
        }
    }
}

/// Whether another machine may answer what this one did not.
fn worth_elsewhere(error: &CallError) -> bool {
    match &error.kind {
        CallErrorKind::NotSent | CallErrorKind::Unknown => true,
        CallErrorKind::Refused(refusal) => matches!(
            refusal.code,
            RefusalCode::NotLeader
                | RefusalCode::UnknownGroup
                | RefusalCode::Unavailable
                | RefusalCode::OutcomeUnknown
        ),
    }
}

fn leader_hint(error: &CallError) -> Option<SocketAddr> {
    match &error.kind {
        CallErrorKind::Refused(refusal) => refusal.leader,
        _ => None,
    }
}

/// After which time the machine that refused says to come back.
fn retry_pause(error: &CallError) -> Option<Duration> {
    match &error.kind {
        CallErrorKind::Refused(refusal) => refusal.retry_after_ms.map(Duration::from_millis),
        _ => None,
    }
}

/// Time left until `end`, or none when it is as good as up.
fn time_left(end: Instant) -> Option<Duration> {
    end.checked_duration_since(Instant::now())
        .filter(|left| *left >= SHORTEST_CALL)
}

#[async_trait]
impl ControlApi for ControlClient {
    async fn call_any(&self, request: Request, timeout: Duration) -> Result<Response, CallError> {
        let end = Instant::now() + timeout;
        loop {
            let failed = match self.ask_each_once(&request, end).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let pause = failed.come_back_after.filter(|pause| {
                // Without time for another round, the answer is known now.
                time_left(end).is_some_and(|left| left > *pause)
            });
            match pause {
                Some(pause) => sleep(pause).await,
                None => return Err(failed.error),
            }
        }
    }

    async fn call_leader(
        &self,
        group: u32,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let end = Instant::now() + timeout;
        let mut guess = match self.leader(group) {
            Some(leader) => self.address_of(leader).await,
            None => None,
        }
        .unwrap_or_else(|| self.preferred());
        loop {
            let left = time_left(end).unwrap_or(SHORTEST_CALL);
            let share = left.min(LEADER_TRY);
            let error = match self.call_at(guess, request.clone(), share).await {
                Ok(response) => {
                    self.leaders.lock().insert(group, guess);
                    return Ok(response);
                }
                Err(error) => error,
            };
            if !worth_elsewhere(&error) {
                return Err(error);
            }
            self.forget_leader(group, guess);
            if time_left(end).is_none() {
                return Err(error);
            }
            let hinted = match leader_hint(&error) {
                Some(hint) => self.address_of(hint).await,
                None => None,
            };
            guess = match hinted.filter(|hinted| *hinted != guess) {
                Some(hinted) => hinted,
                None => {
                    sleep(RETRY_PAUSE).await;
                    self.next_after(guess)
                }
            };
        }
    }

    fn learn_groups(&self, groups: &[GroupRecord]) {
        let mut leaders = self.leaders.lock();
        for group in groups {
            if let Some(leader) = group.leader {
                leaders.insert(group.group, leader);
            }
        }
    }
}

/// A round in which no machine did what was asked.
struct FailedRound {
    /// What the last machine said.
    error: CallError,
    /// The shortest time after which a machine said to come back; none when
    /// none did.
    come_back_after: Option<Duration>,
}

impl ControlClient {
    /// Asks machine after machine, each once, until one does it.
    async fn ask_each_once(
        &self,
        request: &Request,
        end: Instant,
    ) -> Result<Response, FailedRound> {
        let mut come_back_after: Option<Duration> = None;
        let mut tries = 0;
        loop {
            let address = self.preferred();
            let share = time_left(end).unwrap_or(SHORTEST_CALL);
            let error = match self.call_at(address, request.clone(), share).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if !worth_elsewhere(&error) {
                return Err(FailedRound {
                    error,
                    come_back_after: None,
                });
            }
            let pauses = come_back_after.into_iter().chain(retry_pause(&error));
            come_back_after = pauses.min();
            self.move_on_from(address);
            tries += 1;
            if time_left(end).is_none() || tries >= self.addresses.len() {
                return Err(FailedRound {
                    error,
                    come_back_after,
                });
            }
        }
    }

    fn next_after(&self, address: SocketAddr) -> SocketAddr {
        let found = self.addresses.iter().position(|one| *one == address);
        let next = found.map_or(0, |index| (index + 1) % self.addresses.len());
        self.addresses[next]
    }
}
