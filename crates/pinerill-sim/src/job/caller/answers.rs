//! What a caller makes of answers.

use pinerill_control::host::ProposeError;
use pinerill_control::job::{JobReply, Rejection};
use pinerill_types::job::JobState;

use super::{Caller, Work};
use crate::cluster::{CallAnswer, CallResult, Cluster};
use crate::defect::{has_shell_defect, ShellDefect};
use crate::job::node::only_reply;
use crate::job::service::{JobGroup, JobView};
use crate::job::world::World;

impl Caller {
    pub(in crate::job) fn answered(
        &mut self,
        cluster: &mut Cluster<JobGroup>,
        world: &mut World,
        answer: CallAnswer<JobGroup>,
    ) {
        if !self.stub.close(answer.call) {
            return;
        }
        let Some(running) = &mut self.running else {
            return;
        };
        match answer.result {
            CallResult::Proposed(Ok(reply)) => match only_reply(&reply) {
                Some(reply) => self.replied(cluster, world, reply),
                None => cluster.violate("replies fit", format!("{reply:?}")),
            },
            CallResult::Read(Ok(view)) => self.read(cluster, world, view),
            CallResult::Proposed(Err(ProposeError::NotLeader { leader })) => {
                self.stub.retry(cluster, leader);
            }
            CallResult::Proposed(Err(ProposeError::Unknown)) | CallResult::TimedOut => {
                running.unsure = true;
                let early = ShellDefect::CancelBeforeCommit;
                if matches!(running.work, Work::Cancel) && has_shell_defect(cluster.defect(), early)
                {
                    let job = running.job;
                    self.was_cancelled(cluster, world, job);
                    return self.end(cluster);
                }
                self.stub.retry(cluster, None);
            }
            _ => self.stub.retry(cluster, None),
        }
    }

    fn replied(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, reply: JobReply) {
        let Some(running) = &mut self.running else {
            return;
        };
        let own = &mut self.jobs[running.job];
        let client = self.stub.client().0;
        cluster.note(|| format!("caller {client} hears {reply:?}"));
        match reply {
            JobReply::Submitted(response) => {
                let id = *own.id.get_or_insert(response.job);
                if id != response.job {
                    let detail = format!("{id} and then {} for one key", response.job);
                    cluster.violate("a job sent again is the same job", detail);
                }
                let early = has_shell_defect(cluster.defect(), ShellDefect::AcceptEarly);
                if response.state == JobState::Receiving && !early {
                    running.work = Work::Submit {
                        from: response.received,
                    };
                    running.attempts = 0;
                    return self.attempt(cluster, world);
                }
                own.accepted = true;
                world.facts.accepted(id);
            }
            JobReply::Cancelled(status) => {
                if status.state == JobState::Cancelled {
                    let job = running.job;
                    self.was_cancelled(cluster, world, job);
                }
            }
            JobReply::Rejected(Rejection::Conflict(_)) => {
                if !matches!(running.work, Work::Clash) {
                    let detail = format!("{:?} of {:?}", running.work, own.id);
                    cluster.violate("the same body is no conflict", detail);
                }
            }
            other => cluster.violate("replies fit", format!("{other:?}")),
        }
        self.end(cluster);
    }

    fn was_cancelled(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, job: usize) {
        if let Some(id) = self.jobs[job].id {
            world.facts.cancelled(cluster.now_ms(), id);
        }
    }

    fn read(&mut self, cluster: &mut Cluster<JobGroup>, world: &mut World, view: JobView) {
        let Some(running) = &self.running else {
            return;
        };
        let (place, floor) = (running.job, running.floor);
        let own = &mut self.jobs[place];
        let Some(id) = own.id else {
            return;
        };
        let now_ms = cluster.now_ms();
        match view {
            JobView::Status(status) => {
                world.facts.status_read(now_ms, id, floor, status.as_ref());
                let ended = |state| matches!(state, JobState::Completed | JobState::Cancelled);
                let has_ended = status.is_some_and(|status| ended(status.state));
                if self.stopping && has_ended {
                    self.running = None;
                    self.begin(cluster, world, Work::Output, place);
                    return self.attempt(cluster, world);
                }
            }
            JobView::Output(Some(results)) => {
                world.facts.output_read(now_ms, id, floor, &results);
                own.done = self.stopping && results.len() == own.whole.items.len();
            }
            JobView::Output(None) => world.facts.status_read(now_ms, id, floor, None),
            other => cluster.violate("replies fit", format!("{other:?}")),
        }
        self.end(cluster);
    }
}
