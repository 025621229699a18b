//! What really ran at the engines, whatever anybody says of it.

use std::collections::BTreeMap;

use pinerill_types::JobId;
use pinerill_wire::message::AttemptRef;

/// One item of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemId {
    /// The job.
    pub job: JobId,
    /// Its index.
    pub index: u32,
}

/// One run at an engine.
#[derive(Clone, Debug)]
struct Run {
    started_ms: u64,
    /// Its answer, once it came to its end.
    answer: Option<String>,
}

/// Runs of all engines.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    runs: BTreeMap<ItemId, Vec<Run>>,
}

/// Names a run in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunId {
    item: ItemId,
    number: usize,
}

impl Ledger {
    /// A run starts.
    pub fn start(&mut self, now_ms: u64, item: ItemId) -> RunId {
        let runs = self.runs.entry(item).or_default();
        runs.push(Run {
            started_ms: now_ms,
            answer: None,
        });
        RunId {
            item,
            number: runs.len() - 1,
        }
    }

    /// A run comes to its end. Its answer is like that of no other run.
    pub fn finish(&mut self, run: RunId, custom_id: &str) -> String {
        let answer = format!("{custom_id} run {} of {:?}", run.number, run.item);
        let runs = self.runs.get_mut(&run.item);
        if let Some(one) = runs.and_then(|runs| runs.get_mut(run.number)) {
            one.answer = Some(answer.clone());
        }
        answer
    }

    /// When an item was started, each time.
    pub fn starts(&self, item: ItemId) -> Vec<u64> {
        let runs = self.runs.get(&item).into_iter().flatten();
        runs.map(|run| run.started_ms).collect()
    }

    /// Whether a run of this item gave this answer.
    pub fn gave(&self, item: ItemId, answer: &str) -> bool {
        let mut runs = self.runs.get(&item).into_iter().flatten();
        runs.any(|run| run.answer.as_deref() == Some(answer))
    }
}

impl From<AttemptRef> for ItemId {
    fn from(attempt: AttemptRef) -> Self {
        ItemId {
            job: attempt.job,
            index: attempt.index,
        }
    }
}
