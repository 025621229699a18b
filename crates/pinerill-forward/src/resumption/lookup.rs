//! Records origins of streams, asks other nodes for them and answers their questions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_calls::protocol::Refusal;
use pinerill_process::clock::{timeout_at, BootTime};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use super::decision::{
    decide, Knowledge, LeaderHistory, ResumptionBasis, ResumptionDecision, ResumptionInputs,
};
use super::origins::{longest_stream_life_ms, KnownOrigin, OriginLedger, OriginRecord, StreamKey};
use crate::call::Call;
use crate::cluster::DirectoryKind;
use crate::fleet::{ListedVersions, RequiredSoftware, ServiceKey, StreamOrigin};
use crate::node::Node;

/// Share of a call's time up to its first event for which a node that has just started awaits what
/// the leader tells. The rest is for the worker.
const HISTORY_WAIT_DIVISOR: u32 = 2;

/// Longest time for which answers of other nodes are awaited. A busy node answers within some tens
/// of milliseconds.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in milliseconds since the leader's last answer up to which a node counts as hearing it. The
/// leader answers a watch after half a second if nothing changes.
const LEADER_CONTACT_MS: u64 = 1_000;

/// Question of a node about a stream that a caller continues there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    /// Number that the reply repeats.
    pub(crate) query: u64,
    /// The stream; `None` if the caller did not name it.
    pub(crate) stream: Option<StreamKey>,
    /// Service of the call.
    pub(crate) service: ServiceKey,
    /// Period in milliseconds for which the versions of the service are asked.
    pub(crate) period_ms: u64,
}

/// Answer to an [`OriginQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginReply {
    /// Number of the query.
    pub(crate) query: u64,
    /// What the answering node knows of the stream's origin.
    pub(crate) origin: KnownOrigin,
    /// Versions of the service that it has seen.
    pub(crate) versions: ListedVersions,
}

/// A node's state about streams that callers may continue.
#[derive(Default)]
pub(crate) struct Resumptions {
    origins: Mutex<OriginLedger>,
    /// Lookups that await answers, by the number of their query.
    lookups: Mutex<HashMap<u64, UnboundedSender<Knowledge>>>,
}

/// A lookup that awaits answers, until it is dropped.
struct Lookup<'node> {
    resumptions: &'node Resumptions,
    query: u64,
    answers: UnboundedReceiver<Knowledge>,
}

impl Resumptions {
    fn begin_lookup(&self) -> Lookup<'_> {
        let (sender, answers) = unbounded_channel();
        let query = rand::random();
        self.lookups.lock().insert(query, sender);
        Lookup {
            resumptions: self,
            query,
            answers,
        }
    }

    /// Returns the number of streams whose origin is recorded.
    pub(crate) fn recorded(&self) -> usize {
        self.origins.lock().len()
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.resumptions.lookups.lock().remove(&self.query);
    }
}

impl Node {
    /// Returns what a call requires of the software of its worker. If the call continues a stream,
    /// the origin of the stream is looked up.
    ///
    /// # Errors
    /// Returns a refusal if the stream could be mixed from two versions.
    pub(crate) async fn required_software(&self, call: &Call) -> Result<RequiredSoftware, Refusal> {
        if call.head.resume_after.is_none() || !call.route.kind.is_stream() {
            return Ok(RequiredSoftware::Any);
        }
        let began = BootTime::now();
        let (decision, inputs) = self.look_up(call).await;
        let (required, basis) = match decision {
            ResumptionDecision::Continue(required, basis) => (Some(required), basis),
            ResumptionDecision::Refuse | ResumptionDecision::Wait => {
                (None, ResumptionBasis::Unknown)
            }
        };
        self.metrics.resumption(basis.label());
        log::info!(
            event = "resumption", id = call.head.id.as_str(), resumes:? = call.head.resumes,
            resume_after:? = call.head.resume_after, basis = basis.label(), own:? = inputs.own,
            asked = inputs.asked, answers:? = inputs.answers,
            directory_age_ms = self.directory_age_ms(), ms = began.elapsed().as_millis() as u64; ""
        );
        required.ok_or(Refusal::NotRun {
            reason: "the software version that began the stream is not known",
            retry_after: None,
        })
    }

    async fn look_up(&self, call: &Call) -> (ResumptionDecision, ResumptionInputs) {
        let mut lookup = self.resumptions.begin_lookup();
        let query = OriginQuery {
            query: lookup.query,
            stream: call.continued_stream(),
            service: ServiceKey::of(&call.service),
            period_ms: longest_stream_life_ms(call.route.timeout_ms),
        };
        let mut inputs = ResumptionInputs {
            own: self.knowledge_for(&query),
            history: self.leader_history(),
            is_named: query.stream.is_some(),
            asked: 0,
            answers: Vec::new(),
            hears_leader: self.hears_leader(),
            has_one_service: call.route.only_service().is_some(),
            is_final: false,
        };
        let mut until = self.ask_others(call, &query, &mut inputs);
        let allowed = call.first_event_deadline().remaining() / HISTORY_WAIT_DIVISOR;
        let history = &self.known_state.version_history;
        let mut told = pin!(history.wait(BootTime::now() + allowed));
        loop {
            let decision = decide(&inputs);
            if decision != ResumptionDecision::Wait {
                return (decision, inputs);
            }
            tokio::select! {
                () = &mut told, if inputs.history == LeaderHistory::Awaited => {
                    inputs.history = LeaderHistory::Settled;
                    inputs.own = self.knowledge_for(&query);
                    inputs.hears_leader = self.hears_leader();
                    if inputs.asked == 0 {
                        until = self.ask_others(call, &query, &mut inputs);
                    }
                }
                answer = timeout_at(until, lookup.answers.recv()), if !inputs.is_final => {
                    match answer {
                        Ok(Some(answer)) => inputs.answers.push(answer),
                        Ok(None) | Err(_) => inputs.is_final = true,
                    }
                }
            }
        }
    }

    /// Asks other nodes for the origin unless it is known. Returns the time until which their answers
    /// are awaited.
    fn ask_others(
        &self,
        call: &Call,
        query: &OriginQuery,
        inputs: &mut ResumptionInputs,
    ) -> BootTime {
        if inputs.own.origin == KnownOrigin::Unknown {
            inputs.asked = self.peers.ask_for_origin(query);
            inputs.is_final = false;
        }
        call.deadline.min(BootTime::now() + LOOKUP_TIMEOUT)
    }

    fn leader_history(&self) -> LeaderHistory {
        let is_told = *self.known_state.directory_kind.lock() == DirectoryKind::Complete;
        match is_told && !self.known_state.version_history.is_read() {
            true => LeaderHistory::Awaited,
            false => LeaderHistory::Settled,
        }
    }

    fn hears_leader(&self) -> bool {
        self.control_silent_ms() <= LEADER_CONTACT_MS
    }

    fn knowledge_for(&self, query: &OriginQuery) -> Knowledge {
        let now_ms = self.now_ms();
        let origins = self.resumptions.origins.lock();
        let origin = query.stream.map(|stream| origins.find(now_ms, stream));
        drop(origins);
        Knowledge {
            origin: origin.unwrap_or(KnownOrigin::Unknown),
            versions: self.with_fleet(|fleet, now_ms| {
                fleet.listed_versions(now_ms, query.service, query.period_ms)
            }),
        }
    }

    /// Records the worker that began the stream of a call, here and at other nodes. Called before
    /// its first event is passed on.
    pub(crate) fn record_origin(&self, call: &Call, origin: StreamOrigin) {
        let Some(stream) = call.stream_key() else {
            return;
        };
        let life_ms = longest_stream_life_ms(call.route.timeout_ms);
        let record = OriginRecord {
            stream,
            origin,
            life_ms,
        };
        self.keep_origin(&record);
        let versions =
            self.with_fleet(|fleet, now_ms| fleet.listed_versions(now_ms, origin.service, life_ms));
        let crosses_zones = versions == ListedVersions::Several;
        self.peers.share_origin(&record, crosses_zones);
    }

    /// Keeps a record of this or another node.
    pub(crate) fn keep_origin(&self, record: &OriginRecord) {
        let now_ms = self.now_ms();
        self.resumptions.origins.lock().record(now_ms, record);
    }

    /// Answers the question of another node.
    pub(crate) fn answer_origin_query(&self, from: SocketAddr, query: &OriginQuery) {
        let Knowledge { origin, versions } = self.knowledge_for(query);
        let reply = OriginReply {
            query: query.query,
            origin,
            versions,
        };
        self.peers.reply_to_origin_query(from, reply);
    }

    /// Passes the answer of another node on to the lookup that awaits it, if it still does.
    pub(crate) fn take_origin_reply(&self, reply: &OriginReply) {
        let knowledge = Knowledge {
            origin: reply.origin,
            versions: reply.versions,
        };
        if let Some(lookup) = self.resumptions.lookups.lock().get(&reply.query) {
            // Sending fails only if the lookup has just ended.
            let _ = lookup.send(knowledge);
        }
    }

    /// Removes records of streams that can't be continued any more.
    pub(crate) fn forget_old_origins(&self) {
        let now_ms = self.now_ms();
        self.resumptions.origins.lock().remove_expired(now_ms);
    }
}
