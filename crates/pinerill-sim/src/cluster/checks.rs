//! Rules of a replicated group, checked at every step.

use std::collections::BTreeMap;

use pinerill_control::host::driver::GroupDriver;
use pinerill_control::machine::StateMachine;
use pinerill_replica::{Entry, EntryKind, ReplicaId, Role, Status};
use pinerill_storage::{Operation, WriteBatch};

use super::observed::hash_of;
use crate::scenario::Violation;

/// At most one leader in a term.
const ELECTION_SAFETY: &str = "election safety";
/// Equal index and term mean equal entries.
const LOG_MATCHING: &str = "log matching";
/// Committed entries are never replaced.
const COMMITTED_STAYS: &str = "committed entries stay";
/// A leader has every committed entry of its own and lower terms.
const LEADER_COMPLETENESS: &str = "leader completeness";
/// A membership change waits for the one before.
const ONE_CHANGE: &str = "one membership change at a time";

/// What is known of the whole group, as no single replica knows it.
#[derive(Debug, Default)]
pub struct GroupChecks {
    leaders: BTreeMap<u64, ReplicaId>,
    entries: BTreeMap<(u64, u64), u64>,
    /// Term of each committed entry.
    committed: BTreeMap<u64, u64>,
    /// Elections won.
    elections: usize,
    violations: Vec<Violation>,
}

/// What was last checked of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckedUpTo {
    commit: u64,
    membership_index: u64,
}

impl CheckedUpTo {
    /// Nothing is checked yet of a process that starts in this state.
    pub fn starting(status: &Status) -> Self {
        CheckedUpTo {
            commit: status.commit,
            membership_index: status.membership_index,
        }
    }
}

impl GroupChecks {
    /// Records a broken rule.
    pub fn violate(&mut self, at_ms: u64, rule: &'static str, detail: String) {
        self.violations.push(Violation {
            at_ms,
            rule,
            detail,
        });
    }

    /// Rules broken so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// All broken rules.
    pub fn into_violations(self) -> Vec<Violation> {
        self.violations
    }

    /// Highest index known to be committed.
    pub fn committed_index(&self) -> u64 {
        self.committed
            .last_key_value()
            .map_or(0, |(index, _)| *index)
    }

    /// Elections won so far.
    pub fn elections(&self) -> usize {
        self.elections
    }

    /// Checks a write that a replica wants made durable.
    pub fn on_write(&mut self, now_ms: u64, batch: &WriteBatch) {
        for operation in &batch.operations {
            if let Operation::AppendEntries(entries) = operation {
                for entry in entries {
                    self.on_entry(now_ms, entry);
                }
            }
        }
    }

    fn on_entry(&mut self, now_ms: u64, entry: &Entry) {
        let position = (entry.index, entry.term);
        let hash = match &entry.kind {
            EntryKind::Empty => 0,
            EntryKind::Command(bytes) => hash_of(&bytes),
            EntryKind::Membership(members) => hash_of(&(&members.voters, &members.learners)),
        };
        let known = *self.entries.entry(position).or_insert(hash);
        if known != hash {
            let detail = format!(
                "two entries at index {} of term {}",
                entry.index, entry.term
            );
            self.violate(now_ms, LOG_MATCHING, detail);
        }
    }

    /// Checks a replica that has become leader.
    pub fn on_leader<M: StateMachine, R>(&mut self, now_ms: u64, driver: &GroupDriver<M, R>) {
        let status = driver.status();
        if status.role != Role::Leader {
            return;
        }
        self.elections += 1;
        let first = *self.leaders.entry(status.term).or_insert(status.id);
        if first != status.id {
            let detail = format!("{first} and {} lead term {}", status.id, status.term);
            self.violate(now_ms, ELECTION_SAFETY, detail);
        }
        // Entries of higher terms may be committed before a candidate of a lower term reads
        // the votes that it got before them; it finds no majority any more.
        let owed = self.committed.iter().rev();
        let mut owed = owed.filter(|(_, term)| **term <= status.term);
        let missing = owed.find(|(index, term)| {
            **index > status.last_index
                || driver.term_at(**index).is_some_and(|found| found != **term)
        });
        if let Some((index, term)) = missing {
            let detail = format!(
                "{} leads term {} without entry {index} of term {term}",
                status.id, status.term
            );
            self.violate(now_ms, LEADER_COMPLETENESS, detail);
        }
    }

    /// Checks a replica after a round of events.
    pub fn on_round<M: StateMachine, R>(
        &mut self,
        now_ms: u64,
        driver: &GroupDriver<M, R>,
        checked: &mut CheckedUpTo,
    ) {
        let status = driver.status();
        for index in (checked.commit + 1)..=status.commit {
            let Some(term) = driver.term_at(index) else {
                continue;
            };
            let known = *self.committed.entry(index).or_insert(term);
            if known != term {
                let detail = format!(
                    "{} commits entry {index} of term {term}, another of term {known}",
                    status.id
                );
                self.violate(now_ms, COMMITTED_STAYS, detail);
            }
        }
        checked.commit = checked.commit.max(status.commit);
        let changed = status.membership_index > checked.membership_index;
        let before_commits = checked.membership_index > self.committed_index();
        if changed && status.role == Role::Leader && before_commits {
            let detail = format!(
                "{} appends a change at {} before the one at {} is committed",
                status.id, status.membership_index, checked.membership_index
            );
            self.violate(now_ms, ONE_CHANGE, detail);
        }
        checked.membership_index = status.membership_index;
    }
}
