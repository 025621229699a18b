//! Asks the control machines; follows the leader.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::formats::{decode_response, directory_position, encode_positioned_watch};
use pinerill_calls::message::{CallsRequest, CallsResponse, ControlAddress, Format};
use pinerill_calls::session::{encode_for, unreadable_answer, FormattedAnswer, PeerFormats};
use pinerill_process::clock::BootTime;
use pinerill_wire::api::{CallError, CallErrorKind};
use pinerill_wire::connection::{Connection, Identity, LinkCounters};
use pinerill_wire::message::RefusalCode;
use thiserror::Error;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::sleep;

use super::older_leader::OlderLeader;

/// Pause before the next machine is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest wait for one machine beyond the time that it may hold the answer.
const TRY_TIME: Duration = Duration::from_millis(900);
/// Longest time to connect.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// After a failure an address is not asked again for this time, unless there is
/// no other: whoever needs an answer must not wait for a machine that others
/// have just waited for.
const AVOID_TIME: Duration = Duration::from_millis(700);

type Slot = Arc<AsyncMutex<Option<Connection>>>;

/// A request without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct CallFailure {
    /// Whether it may have been carried out.
    pub maybe_done: bool,
    /// It can't be right.
    pub invalid: bool,
    /// The last error, with its step and peer.
    pub message: String,
}

/// An answer, and whether an earlier try may have been carried out too.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub response: CallsResponse,
    /// Another try may have been carried out.
    pub maybe_done_before: bool,
    /// When the machine that answered was asked.
    pub asked: BootTime,
    /// The newest format that it reads and this build knows.
    pub format: Format,
}

/// Connections to control machines, opened when first needed.
pub struct ClusterClient {
    identity: Identity,
    addresses: Mutex<Addresses>,
    connections: Mutex<HashMap<SocketAddr, Slot>>,
    formats: PeerFormats,
    older_leader: Mutex<OlderLeader>,
    counters: Arc<LinkCounters>,
}

#[derive(Debug)]
struct Addresses {
    known: Vec<SocketAddr>,
    next: usize,
    leader: Option<SocketAddr>,
    /// Those of this node's zone that hold the group's state.
    near: Vec<SocketAddr>,
    /// Zones of all those that hold it.
    member_zones: Vec<String>,
    /// Until when those that failed are avoided.
    avoided: HashMap<SocketAddr, BootTime>,
}

impl Addresses {
    fn is_avoided(&self, address: &SocketAddr) -> bool {
        let until = self.avoided.get(address);
        until.is_some_and(|until| *until > BootTime::now())
    }

    /// The leader if it answers, otherwise each in turn; those that failed a
    /// moment ago only if there is no other.
    fn next(&mut self) -> SocketAddr {
        if let Some(leader) = self.leader.filter(|leader| !self.is_avoided(leader)) {
            return leader;
        }
        for _ in 0..self.known.len() {
            let address = self.turn();
            if !self.is_avoided(&address) {
                return address;
            }
        }
        self.turn()
    }

    fn turn(&mut self) -> SocketAddr {
        self.next = self.next.wrapping_add(1);
        self.known[self.next % self.known.len()]
    }
}

impl ClusterClient {
    /// A client that knows some control machines.
    pub fn new(identity: Identity, seeds: &[SocketAddr]) -> Self {
        let next = rand::random::<u32>() as usize;
        ClusterClient {
            identity,
            addresses: Mutex::new(Addresses {
                known: seeds.to_vec(),
                next,
                leader: None,
                near: Vec::new(),
                member_zones: Vec::new(),
                avoided: HashMap::new(),
            }),
            connections: Mutex::default(),
            formats: PeerFormats::default(),
            older_leader: Mutex::default(),
            counters: Arc::default(),
        }
    }

    /// Takes in which control machines there are, and where.
    pub fn update_control_machines(&self, controls: Vec<ControlAddress>) {
        let near = controls
            .iter()
            .filter(|one| one.is_member && one.zone == self.identity.zone);
        let near = near.map(|one| one.address).collect();
        let members = controls.iter().filter(|one| one.is_member);
        let member_zones = members.map(|one| one.zone.clone()).collect();
        self.update_addresses(controls.into_iter().map(|one| one.address).collect());
        let mut addresses = self.addresses.lock();
        addresses.near = near;
        addresses.member_zones = member_zones;
    }

    /// Zones of the control machines that hold the group's state, as far as they are known.
    pub fn member_zones(&self) -> Vec<String> {
        self.addresses.lock().member_zones.clone()
    }

    /// Takes in which control machines there are.
    pub fn update_addresses(&self, known: Vec<SocketAddr>) {
        if known.is_empty() {
            return;
        }
        let mut addresses = self.addresses.lock();
        if addresses.known != known {
            self.connections.lock().retain(|one, _| known.contains(one));
            addresses.known = known;
        }
    }

    /// Addresses of the control machines that are known.
    pub fn known_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.lock().known.clone()
    }

    /// Asks the leader, following hints and trying others, until `time` is up.
    /// `hold` is how long the machine may hold its answer.
    ///
    /// # Errors
    /// [`CallFailure`] with the last error.
    pub async fn call(
        &self,
        request: &CallsRequest,
        time: Duration,
        hold: Duration,
    ) -> Result<Answered, CallFailure> {
        let deadline = BootTime::now() + time;
        let mut failure = CallFailure {
            maybe_done: false,
            invalid: false,
            message: "no control machine was asked".to_owned(),
        };
        loop {
            let left = deadline.remaining();
            if left.is_zero() {
                return Err(failure);
            }
            let address = self.addresses.lock().next();
            let limit = left.min(TRY_TIME + hold);
            let asked = BootTime::now();
            match self.call_at(address, request, limit).await {
                Ok(answer) => {
                    self.addresses.lock().leader = Some(address);
                    return Ok(Answered {
                        response: answer.response,
                        maybe_done_before: failure.maybe_done,
                        asked,
                        format: answer.format,
                    });
                }
                Err(error) => {
                    let hinted = self.take_in(address, &error);
                    failure.maybe_done |= may_be_done(&error);
                    failure.invalid = is_invalid(&error);
                    failure.message = error.to_string();
                    if failure.invalid {
                        return Err(failure);
                    }
                    if !hinted {
                        sleep(RETRY_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Asks a member of the group in this node's zone something that any one can
    /// answer; the leader if there is none or it doesn't answer. A machine that is no
    /// member would only refuse.
    ///
    /// # Errors
    /// [`CallFailure`] with the last error.
    pub async fn call_near(
        &self,
        request: &CallsRequest,
        time: Duration,
        hold: Duration,
    ) -> Result<Answered, CallFailure> {
        let near = {
            let addresses = self.addresses.lock();
            let mut near = addresses.near.iter();
            near.find(|one| !addresses.is_avoided(one)).copied()
        };
        if let Some(address) = near {
            let limit = time.min(TRY_TIME + hold);
            let asked_at = BootTime::now();
            match self.call_at(address, request, limit).await {
                Ok(answer) => {
                    return Ok(Answered {
                        response: answer.response,
                        maybe_done_before: false,
                        asked: asked_at,
                        format: answer.format,
                    });
                }
                Err(error) => self.avoid_if_lost(address, &error),
            }
        }
        self.call(request, time, hold).await
    }

    async fn call_at(
        &self,
        address: SocketAddr,
        request: &CallsRequest,
        time: Duration,
    ) -> Result<FormattedAnswer, CallError> {
        let connection = self.connection(address).await?;
        let encode = |format| self.encode(format, request, address);
        let send = |request| connection.call(request, time);
        let (format, bytes) = self.formats.exchange(address, encode, send).await?;
        let response =
            decode_response(&bytes).map_err(|error| unreadable_answer(address, error))?;
        let response = match response {
            CallsResponse::Watch(watch) if format != Format::NEWEST => {
                let place = directory_position(&bytes).filter(|_| format < Format::DIGESTS);
                let watch = self.older_leader.lock().take_in(format, place, *watch);
                CallsResponse::Watch(Box::new(watch))
            }
            response => response,
        };
        Ok(FormattedAnswer { response, format })
    }

    /// A watch names what is held as an older leader names it; other requests differ in their
    /// form alone.
    fn encode(
        &self,
        format: Format,
        request: &CallsRequest,
        address: SocketAddr,
    ) -> Result<Vec<u8>, CallError> {
        let CallsRequest::Watch(watch) = request else {
            return encode_for(request.clone(), format, address);
        };
        if format == Format::NEWEST {
            return encode_for(request.clone(), format, address);
        }
        let (watch, place) = self.older_leader.lock().asked(format, watch.clone());
        match format < Format::DIGESTS {
            true => Ok(encode_positioned_watch(watch, place)),
            false => encode_for(CallsRequest::Watch(watch), format, address),
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let slot = self.connections.lock().entry(address).or_default().clone();
        let waited = BootTime::now();
        let mut held = slot.lock().await;
        if let Some(connection) = held.as_ref().filter(|one| !one.is_closed()) {
            return Ok(connection.clone());
        }
        let failed_meanwhile = {
            let addresses = self.addresses.lock();
            let until = addresses.avoided.get(&address);
            until.is_some_and(|until| *until > waited + AVOID_TIME)
        };
        if failed_meanwhile {
            return Err(not_connected(address));
        }
        let opening = Connection::open(address, &self.identity, self.counters.clone());
        let opened = tokio::time::timeout(CONNECT_TIME, opening).await;
        let opened = opened.unwrap_or_else(|_| Err(not_connected(address)));
        match opened {
            Ok(opened) => {
                *held = Some(opened.clone());
                Ok(opened)
            }
            Err(error) => {
                // Noted while the slot is held, for those that wait for it.
                self.avoid_if_lost(address, &error);
                Err(error)
            }
        }
    }

    /// A machine that refuses is there; one that doesn't answer is avoided.
    fn avoid_if_lost(&self, address: SocketAddr, error: &CallError) {
        if matches!(error.kind, CallErrorKind::Refused(_)) {
            return;
        }
        let until = BootTime::now() + AVOID_TIME;
        self.addresses.lock().avoided.insert(address, until);
    }

    /// Notes what a failure says of the leader; true if it named another one.
    fn take_in(&self, address: SocketAddr, error: &CallError) -> bool {
        self.avoid_if_lost(address, error);
        let mut addresses = self.addresses.lock();
        let hint = match &error.kind {
            CallErrorKind::Refused(refusal) if refusal.code == RefusalCode::NotLeader => {
                refusal.leader
            }
            _ => None,
        };
        let hint = hint.filter(|leader| *leader != address && !addresses.is_avoided(leader));
        if hint.is_some() {
            addresses.leader = hint;
        } else if addresses.leader == Some(address) {
            addresses.leader = None;
        }
        hint.is_some()
    }
}

fn not_connected(address: SocketAddr) -> CallError {
    CallError {
        kind: CallErrorKind::NotSent,
        step: "connect".to_owned(),
        peer: address.to_string(),
        message: "no answer in time".to_owned(),
    }
}

fn may_be_done(error: &CallError) -> bool {
    match &error.kind {
        CallErrorKind::NotSent => false,
        CallErrorKind::Unknown => true,
        CallErrorKind::Refused(refusal) => refusal.code == RefusalCode::OutcomeUnknown,
    }
}

fn is_invalid(error: &CallError) -> bool {
    matches!(&error.kind, CallErrorKind::Refused(refusal) if refusal.code == RefusalCode::Invalid)
}
