//! Counting of failed runs over repeated reports, message formats, snapshots and leaders.

mod support;

use std::collections::BTreeSet;

use pinerill_calls::formats::{decode_request, encode_request};
use pinerill_calls::job::{
    CallJobId, ItemOutcome, ItemRef, ItemReport, ListedState, NewCallItem, NewCallJob,
};
use pinerill_calls::message::{CallsRequest, Format};
use pinerill_cluster::machine::{write_command, ClusterMachine, Command, StampedCommand};
use pinerill_control::host::StateMachine;
use proptest::prelude::*;
use support::golden;
use support::Table;

const ITEMS: usize = 3;
const ATTEMPTS: u32 = 3;

fn job_id() -> CallJobId {
    CallJobId::new(Some("tenant"), "job")
}

fn job() -> NewCallJob {
    let items = (0..ITEMS).map(|number| NewCallItem {
        id: format!("item-{number}"),
        tokens: 1,
        call: vec![1],
    });
    NewCallJob {
        id: job_id(),
        host: "h".to_owned(),
        path: "/b/".to_owned(),
        items: items.collect(),
        result_target_ms: 20_000,
        give_up_ms: 60_000,
        attempts: ATTEMPTS,
        max_waiting_tokens: 0,
        route: "r".to_owned(),
    }
}

fn failure(index: u32, run: u64) -> ItemReport {
    let job = job_id();
    let item = ItemRef { job, index };
    let end = ItemOutcome::Failed { run };
    ItemReport { item, end }
}

fn formats() -> impl Strategy<Value = Format> {
    prop::sample::select(Format::newest_first().collect::<Vec<_>>())
}

/// What may happen between the failure of a run and its count.
#[derive(Debug, Clone)]
enum Step {
    /// A node of a build with format `sent` reports failed runs, and a leader writes them in
    /// format `stored`.
    Report {
        failures: Vec<(u32, u64)>,
        sent: Format,
        stored: Format,
    },
    /// A replica restores a snapshot in the format in force, and goes on.
    Restore,
    /// A proposal of an earlier leader is applied once more.
    RepeatCommand,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let failure = (0..ITEMS as u32, 0u64..6);
    let failures = prop::collection::vec(failure, 1..4);
    let report =
        (failures, formats(), formats()).prop_map(|(failures, sent, stored)| Step::Report {
            failures,
            sent,
            stored,
        });
    let step = prop_oneof![
        4 => report,
        1 => Just(Step::Restore),
        1 => Just(Step::RepeatCommand),
    ];
    prop::collection::vec(step, 0..40)
}

struct Group {
    machine: ClusterMachine,
    table: Table,
    index: u64,
    last: Vec<u8>,
}

impl Group {
    fn with_job(format: Format) -> Self {
        let mut group = Group {
            machine: ClusterMachine::default(),
            table: Table::default(),
            index: 0,
            last: Vec::new(),
        };
        let job = Box::new(job());
        let room_bytes = None;
        group.propose(Command::SubmitJob { job, room_bytes }, format);
        group
    }

    fn propose(&mut self, command: Command, format: Format) {
        let elapsed_ms = 0;
        let stamped = StampedCommand {
            elapsed_ms,
            command,
        };
        self.last = write_command(stamped, format).expect("expressible");
        self.apply_last();
    }

    fn apply_last(&mut self) {
        self.index += 1;
        support::apply(&mut self.machine, self.index, &self.last, &mut self.table);
    }

    fn restore(&mut self) {
        let snapshot = self.machine.snapshot();
        self.machine = ClusterMachine::default();
        self.machine.restore(&snapshot).expect("a snapshot");
    }

    fn dead(&self) -> BTreeSet<u32> {
        let (_, record) = self.machine.jobs().find(&job_id()).expect("the job");
        let dead = record.listed.iter();
        dead.filter(|one| one.state == ListedState::Dead)
            .map(|one| one.index)
            .collect()
    }
}

/// Returns the reports as the leader reads them from a node of a build with this format.
fn over_the_wire(failures: &[(u32, u64)], format: Format) -> Vec<ItemReport> {
    let reports = failures.iter().map(|(index, run)| failure(*index, *run));
    let request = CallsRequest::ReportItems(reports.collect());
    let bytes = encode_request(request, format).expect("expressible");
    match decode_request(&bytes).expect("a request") {
        (_, CallsRequest::ReportItems(reports)) => reports,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #[test]
    fn each_failed_run_counts_once_over_formats_snapshots_and_repeated_reports(
        first in formats(),
        steps in steps(),
    ) {
        let mut group = Group::with_job(first);
        let mut runs: [BTreeSet<u64>; ITEMS] = Default::default();
        for step in steps {
            match step {
                Step::Report { failures, sent, stored } => {
                    for (index, run) in &failures {
                        runs[*index as usize].insert(*run);
                    }
                    let reports = over_the_wire(&failures, sent);
                    group.propose(Command::ReportItems(reports), stored);
                }
                Step::Restore => group.restore(),
                Step::RepeatCommand => group.apply_last(),
            }
            let expected: BTreeSet<u32> = (0..ITEMS as u32)
                .filter(|index| runs[*index as usize].len() >= ATTEMPTS as usize)
                .collect();
            prop_assert_eq!(group.dead(), expected);
        }
    }
}

#[test]
fn reports_written_by_other_builds_name_the_failed_run() {
    for golden in golden::all() {
        let mut runs = Vec::new();
        for bytes in golden.entries("request") {
            let (_, request) = decode_request(bytes).expect("a request");
            if let CallsRequest::ReportItems(reports) = request {
                let ends = reports.into_iter().map(|report| report.end);
                runs.extend(ends.filter(|end| matches!(end, ItemOutcome::Failed { .. })));
            }
        }
        let named = |end: &ItemOutcome| matches!(end, ItemOutcome::Failed { run } if *run != 0);
        assert!(!runs.is_empty(), "format {}", golden.format);
        assert!(runs.iter().all(named), "format {}: {runs:?}", golden.format);
    }
}
