//! The state machine under observation: every replica must apply the same
//! commands at the same indexes, with the same answers.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_control::machine::{StateMachine, TableWriter, UnreadableState};

/// A command applied for the first time anywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Its index.
    pub index: u64,
    /// The command.
    pub command: Vec<u8>,
    /// The machine's answer.
    pub answer: Vec<u8>,
}

/// What all replicas of a group have applied.
#[derive(Debug, Default)]
pub struct AppliedLog {
    hashes: BTreeMap<u64, u64>,
    fresh: Vec<Applied>,
    differing: Vec<u64>,
}

/// A hash that is the same in every run.
pub(super) fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl AppliedLog {
    fn record(&mut self, index: u64, command: &[u8], answer: &[u8]) {
        let hash = hash_of(&(command, answer));
        match self.hashes.get(&index) {
            Some(known) if *known == hash => {}
            Some(_) => self.differing.push(index),
            None => {
                self.hashes.insert(index, hash);
                self.fresh.push(Applied {
                    index,
                    command: command.to_vec(),
                    answer: answer.to_vec(),
                });
            }
        }
    }

    /// Commands applied for the first time since the last call.
    pub fn take_fresh(&mut self) -> Vec<Applied> {
        std::mem::take(&mut self.fresh)
    }

    /// Indexes at which replicas differed since the last call.
    pub fn take_differing(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.differing)
    }
}

/// A state machine that records what it applies.
pub struct Observed<M> {
    /// The machine itself.
    pub inner: M,
    log: Arc<Mutex<AppliedLog>>,
}

impl<M> Observed<M> {
    /// Observes `inner`.
    pub fn new(inner: M, log: Arc<Mutex<AppliedLog>>) -> Self {
        Observed { inner, log }
    }
}

impl<M: StateMachine> StateMachine for Observed<M> {
    fn apply(
        &mut self,
        index: u64,
        command: &[u8],
        table: &mut dyn TableWriter,
    ) -> Result<Vec<u8>, UnreadableState> {
        let answer = self.inner.apply(index, command, table)?;
        self.log.lock().record(index, command, &answer);
        Ok(answer)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.inner.snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        self.inner.restore(bytes)
    }
}
