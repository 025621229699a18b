//! What a node makes of answers.

use std::collections::BTreeMap;

use pinerill_control::codec::decode;
use pinerill_control::host::ProposeError;
use pinerill_control::job::{JobReplies, JobReply};
use pinerill_node::batch::{Input, NotAnswered};

use super::{NodeCall, WorkerNode};
use crate::cluster::{CallAnswer, CallKind, CallResult, Cluster};
use crate::job::service::{JobGroup, JobQuery, JobView, GROUP};
use crate::job::world::World;

impl WorkerNode {
    pub(in crate::job) fn answered(
        &mut self,
        cluster: &mut Cluster<JobGroup>,
        world: &mut World,
        answer: CallAnswer<JobGroup>,
    ) {
        let Some(call) = self.calls.remove(&answer.call) else {
            return;
        };
        self.follow_leader(cluster, &answer.result);
        let group = GROUP;
        let input = match (call, answer.result) {
            (NodeCall::Lease, CallResult::Proposed(Ok(reply))) => {
                if let Some(JobReply::Leased(attempts)) = only_reply(&reply) {
                    let kind = CallKind::Read(JobQuery::Leased(attempts));
                    return self.call(cluster, NodeCall::Items, kind);
                }
                let result = Err(NotAnswered);
                Input::Leased { group, result }
            }
            (
                NodeCall::Items | NodeCall::Preview,
                CallResult::Read(Ok(JobView::Leased(Some(items)))),
            ) => {
                let client = self.client.0;
                cluster.note(|| {
                    let items = items.iter().map(|one| (one.job, one.index, one.attempt));
                    format!("node {client} leases {:?}", items.collect::<Vec<_>>())
                });
                // One answer to one question, whichever way it came.
                let is_answer =
                    |call: &NodeCall| matches!(call, NodeCall::Lease | NodeCall::Preview);
                self.calls.retain(|_, call| !is_answer(call));
                let result = Ok(items);
                Input::Leased { group, result }
            }
            (NodeCall::Preview, _) => return,
            (NodeCall::Lease | NodeCall::Items, _) => {
                let result = Err(NotAnswered);
                Input::Leased { group, result }
            }
            (NodeCall::Renew, result) => Input::Renewed {
                group,
                result: match proposed(result) {
                    Some(JobReply::Renewed { lost }) => Ok(lost),
                    _ => Err(NotAnswered),
                },
            },
            (NodeCall::Report, result) => Input::Reported {
                group,
                result: match proposed(result) {
                    Some(JobReply::Ended(verdicts)) => Ok(verdicts),
                    _ => Err(NotAnswered),
                },
            },
            (NodeCall::Backlog, CallResult::Read(Ok(JobView::Backlog(pending)))) => {
                let groups = BTreeMap::from([(GROUP, pending)]);
                let waits = (pending > 0).then(|| (self.service.clone(), groups));
                Input::Backlog(waits.into_iter().collect())
            }
            (NodeCall::Backlog, _) => return,
        };
        self.step(cluster, world, input);
    }

    fn follow_leader(&mut self, cluster: &mut Cluster<JobGroup>, result: &CallResult<JobGroup>) {
        let leader = match result {
            CallResult::Proposed(Err(ProposeError::NotLeader { leader })) => *leader,
            CallResult::Proposed(Err(_)) | CallResult::Refused | CallResult::TimedOut => None,
            _ => return,
        };
        self.leader = cluster.leader_or_any_place(leader);
    }
}

fn proposed(result: CallResult<JobGroup>) -> Option<JobReply> {
    match result {
        CallResult::Proposed(Ok(reply)) => only_reply(&reply),
        _ => None,
    }
}

/// The reply to the only command of an entry.
pub(in crate::job) fn only_reply(bytes: &[u8]) -> Option<JobReply> {
    let replies: JobReplies = decode(bytes).ok()?;
    replies.into_iter().next()
}
