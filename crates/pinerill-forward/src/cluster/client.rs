//! Sends requests to the control machines, preferring the leader and following its redirects.
//!
//! Nodes use it for watches, jobs and other requests. A request is retried at other machines until
//! its time is up; the result says whether an earlier attempt may have been carried out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
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

/// Pause between two attempts, unless the failed one named another leader.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Longest wait for the answer of one machine, in addition to the long poll time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of machines that are connected to for one attempt while the leader is unknown. The first
/// one that is reached is asked, so that one whose machine is down does not hold the request up.
const MAX_CANDIDATES: usize = 3;
/// Delay after which the next candidate is connected to as well. It is longer than connecting to
/// another region takes, so that a later candidate is asked only if the earlier ones can't be reached.
const NEXT_CANDIDATE_DELAY: Duration = Duration::from_millis(60);

/// Time for which an address is skipped after it failed to answer, unless there is no other. It
/// keeps further requests from waiting for a machine that a request has just timed out on.
const AVOID_TIME: Duration = Duration::from_millis(700);

/// Connection to one address; the lock is held while it is being opened.
type SharedConnection = Arc<AsyncMutex<Option<Connection>>>;

/// Failure of a request at all machines that it was sent to.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct CallFailure {
    /// Whether the request may have been carried out by one of the attempts.
    pub maybe_done: bool,
    /// Whether the machine rejected the request as invalid; such a request is not retried.
    pub invalid: bool,
    /// The error of the last attempt, with its step and peer.
    pub message: String,
}

/// The answer to a request, and what is known of earlier attempts.
#[derive(Debug)]
pub struct Answered {
    /// Decoded answer, translated to the present format.
    pub response: CallsResponse,
    /// Whether an earlier attempt may have been carried out too.
    pub maybe_done_before: bool,
    /// When the successful attempt began.
    pub sent_at: BootTime,
    /// Newest message format that both the answering machine and this build support.
    pub format: Format,
}

/// Client of the control machines. Opens one connection per machine when it is first needed.
pub struct ClusterClient {
    identity: Identity,
    addresses: Mutex<Addresses>,
    connections: Mutex<HashMap<SocketAddr, SharedConnection>>,
    formats: PeerFormats,
    older_leader: Mutex<OlderLeader>,
    counters: Arc<LinkCounters>,
}

#[derive(Debug)]
struct Addresses {
    /// Addresses from the settings, which are asked when no known machine answers.
    seeds: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    rotation: usize,
    leader: Option<SocketAddr>,
    /// Group members in this node's zone.
    near_members: Vec<SocketAddr>,
    /// Zones of all group members.
    member_zones: Vec<String>,
    /// Addresses that failed to answer, with the time until which they are skipped.
    avoided: HashMap<SocketAddr, BootTime>,
}

impl Addresses {
    fn is_avoided(&self, address: &SocketAddr) -> bool {
        let until = self.avoided.get(address);
        until.is_some_and(|until| *until > BootTime::now())
    }

    /// Returns the addresses for the next attempt, in order of preference: the known leader alone,
    /// otherwise the next few in rotation, otherwise the seeds: a leader that has just been elected
    /// may know no other machine. Skips avoided addresses unless all are avoided.
    fn candidates(&mut self) -> Vec<SocketAddr> {
        if let Some(leader) = self.leader.filter(|leader| !self.is_avoided(leader)) {
            return vec![leader];
        }
        // The rotation advances by one address per attempt, so that each is preferred in turn.
        self.rotation = self.rotation.wrapping_add(1);
        let mut candidates = self.next_in_rotation(&self.known);
        if candidates.is_empty() {
            candidates = self.next_in_rotation(&self.seeds);
        }
        if candidates.is_empty() {
            candidates.push(self.known[self.rotation % self.known.len()]);
        }
        candidates
    }

    fn next_in_rotation(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let count = addresses.len();
        let rotated = (0..count).map(|offset| addresses[(self.rotation + offset) % count]);
        rotated
            .filter(|address| !self.is_avoided(address))
            .take(MAX_CANDIDATES)
            .collect()
    }
}

impl ClusterClient {
    /// Creates a client that initially knows the given addresses of control machines. Requests
    /// panic while no address is known.
    pub fn new(identity: Identity, seeds: &[SocketAddr]) -> Self {
        let rotation = rand::random::<u32>() as usize;
        ClusterClient {
            identity,
            addresses: Mutex::new(Addresses {
                seeds: seeds.to_vec(),
                known: seeds.to_vec(),
                rotation,
                leader: None,
                near_members: Vec::new(),
                member_zones: Vec::new(),
                avoided: HashMap::new(),
            }),
            connections: Mutex::default(),
            formats: PeerFormats::default(),
            older_leader: Mutex::default(),
            counters: Arc::default(),
        }
    }

    /// Replaces the known control machines, with their zones and group membership.
    pub fn update_control_machines(&self, controls: Vec<ControlAddress>) {
        let near = controls
            .iter()
            .filter(|one| one.is_member && one.zone == self.identity.zone);
        let near = near.map(|one| one.address).collect();
        let members = controls.iter().filter(|one| one.is_member);
        let member_zones = members.map(|one| one.zone.clone()).collect();
        self.replace_known(controls.into_iter().map(|one| one.address).collect());
        let mut addresses = self.addresses.lock();
        addresses.near_members = near;
        addresses.member_zones = member_zones;
    }

    /// Returns the zones of the group members; empty before the first update of the machines.
    pub fn member_zones(&self) -> Vec<String> {
        self.addresses.lock().member_zones.clone()
    }

    /// Replaces the seeds, which are asked from now on. Ignores an empty list.
    pub fn update_seeds(&self, seeds: Vec<SocketAddr>) {
        if seeds.is_empty() {
            return;
        }
        self.addresses.lock().seeds.clone_from(&seeds);
        self.replace_known(seeds);
    }

    /// Replaces the known addresses and drops the connections to removed ones. Ignores an empty
    /// list.
    fn replace_known(&self, known: Vec<SocketAddr>) {
        if known.is_empty() {
            return;
        }
        let mut addresses = self.addresses.lock();
        if addresses.known != known {
            self.connections.lock().retain(|one, _| known.contains(one));
            addresses.known = known;
        }
    }

    /// Returns the addresses of all known control machines.
    pub fn known_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.lock().known.clone()
    }

    /// Sends a request to the leader, following redirects and falling back to other machines,
    /// until `time` is up. `long_poll` is how long the machine may delay its answer (long poll).
    ///
    /// # Errors
    /// Returns [`CallFailure`] with the last error when `time` is up, or at once if a machine
    /// rejects the request as invalid.
    pub async fn call(
        &self,
        request: &CallsRequest,
        time: Duration,
        long_poll: Duration,
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
            let candidates = self.addresses.lock().candidates();
            let (address, connected) = self.connect_first(&candidates).await;
            let limit = left.min(ATTEMPT_TIMEOUT + long_poll);
            let sent_at = BootTime::now();
            let answer = match connected {
                Ok(()) => self.call_address(address, request, limit).await,
                Err(error) => Err(error),
            };
            match answer {
                Ok(answer) => {
                    self.addresses.lock().leader = Some(address);
                    return Ok(Answered {
                        response: answer.response,
                        maybe_done_before: failure.maybe_done,
                        sent_at,
                        format: answer.format,
                    });
                }
                Err(error) => {
                    let hinted = self.handle_failure(address, &error);
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

    /// Sends a request that any group member can answer to a member in this node's zone. Falls
    /// back to [`ClusterClient::call`] if there is none or it fails. Machines outside the group
    /// are not used, since they would only refuse.
    ///
    /// # Errors
    /// Returns [`CallFailure`] with the last error.
    pub async fn call_near(
        &self,
        request: &CallsRequest,
        time: Duration,
        long_poll: Duration,
    ) -> Result<Answered, CallFailure> {
        let near = {
            let addresses = self.addresses.lock();
            let mut near = addresses.near_members.iter();
            near.find(|one| !addresses.is_avoided(one)).copied()
        };
        if let Some(address) = near {
            let limit = time.min(ATTEMPT_TIMEOUT + long_poll);
            let started = BootTime::now();
            match self.call_address(address, request, limit).await {
                Ok(answer) => {
                    return Ok(Answered {
                        response: answer.response,
                        maybe_done_before: false,
                        sent_at: started,
                        format: answer.format,
                    });
                }
                Err(error) => self.avoid_if_lost(address, &error),
            }
        }
        self.call(request, time, long_poll).await
    }

    /// Connects to the `candidates`, each [`NEXT_CANDIDATE_DELAY`] after the one before. Returns the
    /// first one that is reached, or the one that failed last with its error.
    async fn connect_first(
        &self,
        candidates: &[SocketAddr],
    ) -> (SocketAddr, Result<(), CallError>) {
        let connecting = candidates
            .iter()
            .zip(0..)
            .map(|(address, position)| async move {
                sleep(NEXT_CANDIDATE_DELAY * position).await;
                let connected = self.connection(*address).await;
                (*address, connected.map(drop))
            });
        let mut connecting: FuturesUnordered<_> = connecting.collect();
        let mut last = (candidates[0], Ok(()));
        while let Some(connected) = connecting.next().await {
            last = connected;
            if last.1.is_ok() {
                break;
            }
        }
        last
    }

    async fn call_address(
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
                let position = directory_position(&bytes).filter(|_| format < Format::DIGESTS);
                let watch = self
                    .older_leader
                    .lock()
                    .translate_response(format, position, *watch);
                CallsResponse::Watch(Box::new(watch))
            }
            response => response,
        };
        Ok(FormattedAnswer { response, format })
    }

    /// Encodes a request in the given format. In a watch, the digests of the directory and the
    /// processes are translated to those of an older leader; other requests differ only in their
    /// encoding.
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
        let (watch, position) = self
            .older_leader
            .lock()
            .translate_request(format, watch.clone());
        match format < Format::DIGESTS {
            true => Ok(encode_positioned_watch(watch, position)),
            false => encode_for(CallsRequest::Watch(watch), format, address),
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, CallError> {
        let slot = self.connections.lock().entry(address).or_default().clone();
        let waited = BootTime::now();
        let mut current = slot.lock().await;
        if let Some(connection) = current.as_ref().filter(|one| !one.is_closed()) {
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
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let opened = opened.unwrap_or_else(|_| Err(not_connected(address)));
        match opened {
            Ok(opened) => {
                *current = Some(opened.clone());
                Ok(opened)
            }
            Err(error) => {
                // Recorded before the lock is released, so that requests that wait for it fail at
                // once and do not connect again.
                self.avoid_if_lost(address, &error);
                Err(error)
            }
        }
    }

    /// Marks an address as avoided after an error, unless the machine answered with a refusal.
    fn avoid_if_lost(&self, address: SocketAddr, error: &CallError) {
        if matches!(error.kind, CallErrorKind::Refused(_)) {
            return;
        }
        let until = BootTime::now() + AVOID_TIME;
        self.addresses.lock().avoided.insert(address, until);
    }

    /// Updates the known leader after a failed attempt. Returns whether the machine named another
    /// leader that is not avoided.
    fn handle_failure(&self, address: SocketAddr, error: &CallError) -> bool {
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
