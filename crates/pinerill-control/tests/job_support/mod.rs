//! Shared by the tests of jobs: a machine with a table in memory.
#![allow(dead_code)]

pub mod model;

use pinerill_control::codec::{decode, encode};
use pinerill_control::job::{
    read_page, JobCommand, JobEntry, JobMachine, JobReplies, JobReply, Rejection,
};
use pinerill_control::machine::StateMachine;
use pinerill_types::job::{AttemptEnd, ItemCounts, ItemInput, ItemState, JobState, JobStatus};
use pinerill_types::{Digest, JobId, TenantName};
use pinerill_wire::message::{
    AttemptRef, AttemptReport, AttemptVerdict, CancelJob, EndAttempts, ItemResult,
    JobOutputRequest, LeaseItems, LeaseWant, RenewLeases, SubmitJob, SubmitJobResponse,
};

use crate::common::MemoryTable;

pub const GROUP: u32 = 3;
pub const LEASE_MS: u64 = 1_500;
pub const SERVICE: &str = "fanar";
pub const RETENTION_MS: u64 = 10_000_000;
pub const START_MS: u64 = 1_000_000;

/// A machine that is fed entries as a log would.
#[derive(Clone)]
pub struct Jobs {
    pub machine: JobMachine,
    pub table: MemoryTable,
    pub log: Vec<Vec<u8>>,
    pub now_ms: u64,
}

impl Jobs {
    pub fn new() -> Self {
        Self {
            machine: JobMachine::new(GROUP),
            table: MemoryTable::default(),
            log: Vec::new(),
            now_ms: START_MS,
        }
    }

    pub fn apply(&mut self, command: JobCommand) -> JobReply {
        let entry = encode(&JobEntry {
            now_ms: self.now_ms,
            commands: vec![command],
        });
        self.log.push(entry.clone());
        let index = self.log.len() as u64;
        let replies = self
            .machine
            .apply(index, &entry, &mut self.table)
            .expect("a command");
        let mut replies: JobReplies = decode(&replies).unwrap();
        assert_eq!(replies.len(), 1);
        replies.remove(0)
    }

    pub fn submit(&mut self, part: &SubmitJob) -> SubmitJobResponse {
        match self.apply(JobCommand::Submit(part.clone())) {
            JobReply::Submitted(response) => response,
            other => panic!("{other:?}"),
        }
    }

    /// A whole job that is accepted.
    pub fn accept(&mut self, part: &SubmitJob) -> JobId {
        let response = self.submit(part);
        assert_eq!(response.state, JobState::InProgress);
        response.job
    }

    pub fn rejected(&mut self, command: JobCommand) -> Rejection {
        match self.apply(command) {
            JobReply::Rejected(rejection) => rejection,
            other => panic!("{other:?}"),
        }
    }

    pub fn lease(&mut self, ask: &LeaseItems) -> Vec<AttemptRef> {
        match self.apply(JobCommand::Lease(ask.clone())) {
            JobReply::Leased(attempts) => attempts,
            other => panic!("{other:?}"),
        }
    }

    pub fn end(&mut self, attempt: AttemptRef, end: AttemptEnd) -> AttemptVerdict {
        let ends = EndAttempts {
            group: GROUP,
            node: "node-1".into(),
            reports: vec![AttemptReport { attempt, end }],
        };
        match self.apply(JobCommand::End(ends)) {
            JobReply::Ended(verdicts) => verdicts[0],
            other => panic!("{other:?}"),
        }
    }

    pub fn renew(&mut self, attempts: &[AttemptRef]) -> Vec<AttemptRef> {
        let renewal = RenewLeases {
            group: GROUP,
            node: "node-1".into(),
            lease_ms: LEASE_MS,
            attempts: attempts.to_vec(),
        };
        match self.apply(JobCommand::Renew(renewal)) {
            JobReply::Renewed { lost } => lost,
            other => panic!("{other:?}"),
        }
    }

    pub fn cancel(&mut self, tenant: &str, job: JobId) -> JobReply {
        let tenant = tenant.into();
        self.apply(JobCommand::Cancel(CancelJob { tenant, job }))
    }

    /// Lets time pass in small steps, so that leases age all of it.
    pub fn pass(&mut self, total_ms: u64) {
        let end = self.now_ms + total_ms;
        while self.now_ms < end {
            self.now_ms = end.min(self.now_ms + 1_000);
            self.maintain();
        }
    }

    /// Leases and completes whatever waits.
    pub fn complete_all(&mut self) {
        for sequence in 1.. {
            let leased = self.lease(&ask("completer", 1, sequence, 1_000));
            if leased.is_empty() {
                return;
            }
            for attempt in leased {
                self.end(attempt, completed("x"));
            }
        }
    }

    pub fn maintain(&mut self) {
        while let JobReply::Maintained { more: true } = self.apply(JobCommand::Maintain) {}
    }

    pub fn status(&self, tenant: &str, job: JobId) -> Option<JobStatus> {
        self.machine.status(&tenant.into(), job)
    }

    pub fn counts(&self, tenant: &str, job: JobId) -> ItemCounts {
        self.status(tenant, job).unwrap().counts
    }

    /// Every ended item, read page by page.
    pub fn output(&self, tenant: &str, job: JobId, limit: u32) -> Vec<ItemResult> {
        let total = self.counts(tenant, job).total;
        let mut results = Vec::new();
        let mut first_index = 0;
        while first_index < total {
            let ask = JobOutputRequest {
                tenant: tenant.into(),
                job,
                first_index,
                limit,
            };
            let plan = self.machine.plan_page(&ask).unwrap();
            let page = read_page(plan, &self.table).unwrap();
            assert!(page.next_index > first_index);
            first_index = page.next_index;
            results.extend(page.results);
        }
        results
    }

    pub fn item_states(&self, tenant: &str, job: JobId) -> Vec<ItemState> {
        let results = self.output(tenant, job, 100);
        results.iter().map(|result| result.state).collect()
    }
}

/// A whole job of `count` items in one part.
pub fn job(tenant: &str, key: &str, count: u32) -> SubmitJob {
    SubmitJob {
        group: GROUP,
        tenant: TenantName::from(tenant),
        service: SERVICE.into(),
        idempotency_key: key.to_owned(),
        body_digest: Digest::of(key.as_bytes()),
        total_items: count,
        deadline_ms: START_MS + 86_400_000,
        first_index: 0,
        items: (0..count).map(|index| item(index, false)).collect(),
        open_items_limit: 100_000,
        attempts_limit: 3,
        retention_ms: RETENTION_MS,
    }
}

/// The same job with every item marked as not to be repeated.
pub fn at_most_once(mut part: SubmitJob) -> SubmitJob {
    for item in &mut part.items {
        item.at_most_once = true;
    }
    part
}

/// The items `from..to` of a whole job.
pub fn part(whole: &SubmitJob, from: usize, to: usize) -> SubmitJob {
    SubmitJob {
        first_index: from as u32,
        items: whole.items[from..to].to_vec(),
        ..whole.clone()
    }
}

pub fn item(index: u32, at_most_once: bool) -> ItemInput {
    ItemInput {
        custom_id: format!("item-{index}"),
        url: "/v1/completions".to_owned(),
        body: format!(r#"{{"prompt":"{index}"}}"#),
        at_most_once,
    }
}

pub fn ask(node: &str, incarnation: u64, sequence: u64, limit: u32) -> LeaseItems {
    LeaseItems {
        group: GROUP,
        node: node.into(),
        incarnation,
        sequence,
        wants: vec![LeaseWant {
            service: SERVICE.into(),
            limit,
        }],
        lease_ms: LEASE_MS,
    }
}

pub fn completed(text: &str) -> AttemptEnd {
    AttemptEnd::Completed(text.to_owned())
}

pub fn indexes(attempts: &[AttemptRef]) -> Vec<u32> {
    attempts.iter().map(|attempt| attempt.index).collect()
}
