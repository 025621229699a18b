//! Prints how many items a second the job group's state machine accepts,
//! leases and completes on one core, with the codec of the log and of the
//! table, and what an item takes in memory. No log and no disk take part.

use std::time::{Duration, Instant};

use pinerill_control::codec::{decode, encode};
use pinerill_control::job::{JobCommand, JobEntry, JobMachine, JobReplies, JobReply};
use pinerill_control::machine::{StateMachine, TableWriter};
use pinerill_types::job::{AttemptEnd, ItemInput};
use pinerill_types::Digest;
use pinerill_wire::message::{
    AttemptRef, AttemptReport, EndAttempts, LeaseItems, LeaseWant, SubmitJob,
};

const JOBS: u32 = 32;
const ITEMS_PER_JOB: u32 = 63_000;
const ITEMS_PER_PART: u32 = 500;
const ITEMS_PER_LEASE: u32 = 256;
const PROMPT_BYTES: usize = 600;
const ANSWER_BYTES: usize = 400;
const PAGE_BYTES: u64 = 4096;

/// A table that only counts what it is given.
#[derive(Default)]
struct CountingTable {
    writes: u64,
    bytes: u64,
}

impl TableWriter for CountingTable {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.writes += 1;
        self.bytes += (key.len() + value.len()) as u64;
    }

    fn delete(&mut self, _key: &[u8]) {
        self.writes += 1;
    }
}

struct Bench {
    machine: JobMachine,
    table: CountingTable,
    entries: u64,
    /// Time within `apply`, decoding and the reply's encoding included.
    applying: Duration,
}

impl Bench {
    fn apply(&mut self, command: JobCommand) -> JobReply {
        self.entries += 1;
        let entry = encode(&JobEntry {
            now_ms: self.entries,
            commands: vec![command],
        });
        let start = Instant::now();
        let replies = self
            .machine
            .apply(self.entries, &entry, &mut self.table)
            .expect("a command");
        self.applying += start.elapsed();
        let mut replies: JobReplies = decode(&replies).expect("replies");
        replies.remove(0)
    }

    fn report(&mut self, step: &str, items: u32) {
        let seconds = self.applying.as_secs_f64();
        println!(
            "{step}: {items} items in {seconds:.2} s of apply, {:.0} items/s",
            f64::from(items) / seconds
        );
        self.applying = Duration::ZERO;
    }

    fn accept(&mut self, job: u32) {
        for first_index in (0..ITEMS_PER_JOB).step_by(ITEMS_PER_PART as usize) {
            let reply = self.apply(JobCommand::Submit(part(job, first_index)));
            assert!(matches!(reply, JobReply::Submitted(_)), "{reply:?}");
        }
    }

    fn lease(&mut self, sequence: u64) -> Vec<AttemptRef> {
        let ask = LeaseItems {
            group: 1,
            node: "node-1".into(),
            incarnation: 1,
            sequence,
            wants: vec![LeaseWant {
                service: "fanar".into(),
                limit: ITEMS_PER_LEASE,
            }],
            lease_ms: 30_000,
        };
        match self.apply(JobCommand::Lease(ask)) {
            JobReply::Leased(attempts) => attempts,
            other => panic!("{other:?}"),
        }
    }

    fn complete(&mut self, attempts: &[AttemptRef]) {
        let answer = "a".repeat(ANSWER_BYTES);
        let reports = attempts.iter().map(|attempt| AttemptReport {
            attempt: *attempt,
            end: AttemptEnd::Completed(answer.clone()),
        });
        let ends = EndAttempts {
            group: 1,
            node: "node-1".into(),
            reports: reports.collect(),
        };
        self.apply(JobCommand::End(ends));
    }
}

fn part(job: u32, first_index: u32) -> SubmitJob {
    let end = ITEMS_PER_JOB.min(first_index + ITEMS_PER_PART);
    let item = |index| ItemInput {
        custom_id: format!("ticket-{index}"),
        url: "/v1/completions".to_owned(),
        body: "p".repeat(PROMPT_BYTES),
        at_most_once: false,
    };
    SubmitJob {
        group: 1,
        tenant: format!("tenant-{}", job % 7).as_str().into(),
        service: "fanar".into(),
        idempotency_key: format!("job-{job}"),
        body_digest: Digest::default(),
        total_items: ITEMS_PER_JOB,
        deadline_ms: 86_400_000 + u64::from(job),
        first_index,
        items: (first_index..end).map(item).collect(),
        open_items_limit: u32::MAX,
        attempts_limit: 5,
        retention_ms: 86_400_000,
    }
}

/// Resident memory, bytes; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).map(str::parse::<u64>);
    pages.and_then(Result::ok).unwrap_or(0) * PAGE_BYTES
}

fn main() {
    let mut bench = Bench {
        machine: JobMachine::new(1),
        table: CountingTable::default(),
        entries: 0,
        applying: Duration::ZERO,
    };
    bench.accept(JOBS);
    bench.applying = Duration::ZERO;
    let resident = resident_bytes();
    for job in 0..JOBS {
        bench.accept(job);
    }
    let items = JOBS * ITEMS_PER_JOB;
    bench.report("accept", items);
    let grown = resident_bytes().saturating_sub(resident);
    println!(
        "memory: {:.1} bytes an item",
        grown as f64 / f64::from(items)
    );

    let start = Instant::now();
    let snapshot = bench.machine.snapshot();
    println!(
        "snapshot: {:.1} MB for {} items in {:.0} ms",
        snapshot.len() as f64 / 1e6,
        bench.machine.sizes().items,
        start.elapsed().as_secs_f64() * 1e3
    );
    drop(snapshot);

    let mut leased = Vec::new();
    for sequence in 1.. {
        let attempts = bench.lease(sequence);
        if attempts.is_empty() {
            break;
        }
        leased.push(attempts);
    }
    let all = items + ITEMS_PER_JOB;
    bench.report("lease", all);
    for attempts in &leased {
        bench.complete(attempts);
    }
    bench.report("complete", all);
    println!(
        "table: {} writes, {:.1} MB",
        bench.table.writes,
        bench.table.bytes as f64 / 1e6
    );
}
