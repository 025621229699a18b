//! Proposes gathered commands and hands the replies back.

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::batcher::{CommandBatch, CommandBatcher};
use super::command::{JobCommand, JobEntry, JobReplies, JobReply};
use super::machine::JobMachine;
use super::stamper::Stamper;
use crate::codec::{decode, encode};
use crate::host::{GroupHandle, ProposeError};

/// Commands taken in at once.
const INTAKE_LIMIT: usize = 1024;

type Waiter = oneshot::Sender<Result<JobReply, ProposeError>>;

struct Submission {
    command: JobCommand,
    waiter: Waiter,
}

/// A handle on the task that proposes a group's commands. The task ends with
/// the last clone.
#[derive(Clone)]
pub struct JobProposer {
    submissions: mpsc::Sender<Submission>,
}

impl JobProposer {
    /// Starts the task. Must be called within a tokio runtime.
    pub fn start(group: GroupHandle<JobMachine>) -> Self {
        let (submissions, inbox) = mpsc::channel(INTAKE_LIMIT);
        let task = ProposerTask {
            stamper: Stamper::new(),
            group,
            batcher: CommandBatcher::default(),
            under_way: JoinSet::new(),
        };
        tokio::spawn(task.run(inbox));
        Self { submissions }
    }

    /// Resolves with the command's reply once it is committed and applied
    /// here.
    ///
    /// # Errors
    /// As [`GroupHandle::propose`].
    pub async fn propose(&self, command: JobCommand) -> Result<JobReply, ProposeError> {
        let (waiter, reply) = oneshot::channel();
        let submission = Submission { command, waiter };
        let sent = self.submissions.send(submission).await;
        sent.map_err(|_| ProposeError::Stopped)?;
        reply.await.unwrap_or(Err(ProposeError::Unknown))
    }
}

struct ProposerTask {
    group: GroupHandle<JobMachine>,
    batcher: CommandBatcher<Waiter>,
    stamper: Stamper,
    under_way: JoinSet<()>,
}

impl ProposerTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Submission>) {
        let mut taken = Vec::new();
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut taken, INTAKE_LIMIT) => {
                    if count == 0 {
                        break;
                    }
                }
                Some(_) = self.under_way.join_next() => self.batcher.finished(),
            }
            for submission in taken.drain(..) {
                self.take_in(submission);
            }
            while let Some(batch) = self.batcher.next_batch() {
                self.propose(batch);
            }
        }
        // Every caller is gone, and with it whoever waits for a reply.
        self.under_way.detach_all();
    }

    fn take_in(&mut self, submission: Submission) {
        let Submission { command, waiter } = submission;
        if let Err(waiter) = self.batcher.push(command, waiter) {
            let _ = waiter.send(Err(ProposeError::Busy));
        }
    }

    fn propose(&mut self, batch: CommandBatch<Waiter>) {
        let entry = JobEntry {
            now_ms: self.stamper.stamp(&self.group),
            commands: batch.commands,
        };
        let group = self.group.clone();
        let waiters = batch.waiters;
        self.under_way.spawn(async move {
            let answer = group.propose(encode(&entry)).await;
            hand_back(waiters, answer);
        });
    }
}

fn hand_back(waiters: Vec<Waiter>, answer: Result<Vec<u8>, ProposeError>) {
    let replies = answer.map(|bytes| decode::<JobReplies>(&bytes));
    match replies {
        Ok(Ok(replies)) if replies.len() == waiters.len() => {
            for (waiter, reply) in waiters.into_iter().zip(replies) {
                let _ = waiter.send(Ok(reply));
            }
        }
        Ok(_) => refuse(waiters, &ProposeError::Unknown),
        Err(error) => refuse(waiters, &error),
    }
}

fn refuse(waiters: Vec<Waiter>, error: &ProposeError) {
    for waiter in waiters {
        let _ = waiter.send(Err(error.clone()));
    }
}
