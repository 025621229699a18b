//! Replicated state machine: route table, jobs and control machines.

mod support;

use pinerill_calls::job::{
    CallJobId, ItemOutcome, ItemRef, ItemReport, ListedState, NewCallItem, NewCallJob,
};
use pinerill_calls::message::{decode, encode, MachineRecord, PutTable, SubmitOutcome};
use pinerill_calls::table::{RequestLimits, RouteTable};
use pinerill_cluster::machine::{
    call_key, text_key, Applied, ClusterMachine, Command, GiveUpReason, GivenUpItem, StampedCommand,
};
use pinerill_control::host::StateMachine;
use support::Table;

const GIVE_UP_MS: u64 = 60_000;

#[derive(Default)]
struct Group {
    machine: ClusterMachine,
    table: Table,
    index: u64,
}

impl Group {
    fn apply_after(&mut self, elapsed_ms: u64, command: Command) -> Applied {
        self.index += 1;
        let bytes = encode(&StampedCommand {
            elapsed_ms,
            command,
        });
        let answer = self
            .machine
            .apply(self.index, &bytes, &mut self.table)
            .expect("a command");
        decode(&answer).expect("an answer")
    }

    fn apply(&mut self, command: Command) -> Applied {
        self.apply_after(0, command)
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 1_000 {
            let retention_ms = 120_000;
            self.apply_after(1_000, Command::Upkeep { retention_ms });
        }
    }

    fn submit(&mut self, id: &str, items: usize) -> Applied {
        self.submit_with_limit(id, items, None)
    }

    fn submit_with_limit(&mut self, id: &str, items: usize, room_bytes: Option<u64>) -> Applied {
        let job = Box::new(job(id, items));
        self.apply(Command::SubmitJob { job, room_bytes })
    }

    fn report(&mut self, id: &str, index: u32, end: ItemOutcome) {
        let item = ItemRef {
            job: job_id(id),
            index,
        };
        self.apply(Command::ReportItems(vec![ItemReport { item, end }]));
    }

    fn listed(&self, id: &str) -> Vec<(u32, ListedState)> {
        let found = self.machine.jobs().find(&job_id(id));
        let (_, record) = found.expect("the job is there");
        record
            .listed
            .iter()
            .map(|one| (one.index, one.state))
            .collect()
    }
}

/// Returns the identifier of a job whose caller has no tenant.
fn job_id(name: &str) -> CallJobId {
    CallJobId::new(None, name)
}

fn job(id: &str, items: usize) -> NewCallJob {
    NewCallJob {
        id: job_id(id),
        host: "h".to_owned(),
        path: "/b/".to_owned(),
        items: (0..items)
            .map(|number| NewCallItem {
                id: format!("{id}-{number}"),
                tokens: 100,
                call: vec![number as u8],
            })
            .collect(),
        result_target_ms: 20_000,
        give_up_ms: GIVE_UP_MS,
        attempts: 3,
        max_waiting_tokens: 1_000,
        route: "r".to_owned(),
    }
}

fn completed(text: &[u8]) -> ItemOutcome {
    ItemOutcome::Completed(text.to_vec())
}

fn put_table(version: u64, document: &str) -> Command {
    Command::PutTable(Box::new(PutTable {
        table: RouteTable {
            version,
            routes: vec![],
            services: vec![],
            limits: RequestLimits::default(),
            tenants: None,
        },
        document: document.as_bytes().to_vec(),
    }))
}

#[test]
fn a_resubmitted_job_is_not_duplicated() {
    let mut group = Group::default();
    let accepted = Applied::Submitted(SubmitOutcome::Accepted);
    assert_eq!(group.submit("a", 8), accepted);
    assert_eq!(group.submit("a", 8), accepted);
    assert_eq!(group.machine.jobs().queue().len(), 8);
    assert_eq!(group.machine.jobs().waiting_tokens(&job_id("a"), "r"), 800);
}

#[test]
fn a_job_submitted_again_under_other_limits_keeps_its_first_ones() {
    let mut group = Group::default();
    group.submit("a", 1);
    let mut again = job("a", 1);
    again.attempts = 1;
    again.give_up_ms = 1_000;
    let job = Box::new(again);
    let room_bytes = None;
    group.apply(Command::SubmitJob { job, room_bytes });
    group.report("a", 0, ItemOutcome::Failed { run: 1 });
    group.report("a", 0, ItemOutcome::Failed { run: 2 });
    group.advance(GIVE_UP_MS);
    assert_eq!(group.listed("a"), []);
    group.report("a", 0, ItemOutcome::Failed { run: 3 });
    assert_eq!(group.listed("a"), [(0, ListedState::Dead)]);
}

#[test]
fn a_job_over_the_token_limit_leaves_no_state() {
    let mut group = Group::default();
    group.submit("a", 8);
    let rejected = Applied::Submitted(SubmitOutcome::OverLimit);
    assert_eq!(group.submit("b", 3), rejected);
    assert!(group.machine.jobs().find(&job_id("b")).is_none());
    assert_eq!(group.machine.jobs().queue().len(), 8);
}

#[test]
fn a_job_without_disk_space_leaves_no_state() {
    let mut group = Group::default();
    let room_bytes = Some(60_000);
    let accepted = Applied::Submitted(SubmitOutcome::Accepted);
    assert_eq!(group.submit_with_limit("a", 5, room_bytes), accepted);
    let usage_before = group.machine.jobs().store_usage().clone();
    let rejected = Applied::Submitted(SubmitOutcome::NoRoom);
    assert_eq!(group.submit_with_limit("b", 5, room_bytes), rejected);
    assert!(group.machine.jobs().find(&job_id("b")).is_none());
    assert_eq!(group.machine.jobs().store_usage(), &usage_before);
    assert_eq!(group.table.0.len(), 5);
    assert_eq!(group.submit_with_limit("a", 5, room_bytes), accepted);
}

#[test]
fn expected_space_follows_the_mean_size_of_stored_texts() {
    let mut group = Group::default();
    group.submit("a", 4);
    let expected = |group: &Group| {
        let jobs = group.machine.jobs();
        jobs.store_usage().expected_bytes(jobs.queue().len())
    };
    let before = expected(&group);
    group.report("a", 0, completed(&[7; 100]));
    assert!(expected(&group) < before / 2);
    group.report("a", 1, completed(&[7; 100_000]));
    assert!(expected(&group) > 200_000);
}

#[test]
fn all_space_is_released_once_jobs_are_deleted() {
    let mut group = Group::default();
    group.submit("a", 3);
    group.report("a", 0, completed(&[7; 5_000]));
    group.report("a", 1, ItemOutcome::Impossible);
    group.submit("b", 2);
    group.apply(Command::EndJob(job_id("b")));
    assert!(group.machine.jobs().store_usage().stored_bytes() > 5_000);
    group.advance(GIVE_UP_MS + 200_000);
    assert!(group.machine.jobs().is_empty());
    assert_eq!(group.machine.jobs().store_usage().stored_bytes(), 0);
}

#[test]
fn completed_items_free_space_in_the_token_limit() {
    let mut group = Group::default();
    group.submit("a", 8);
    group.report("a", 0, completed(b"x"));
    assert_eq!(
        group.submit("b", 3),
        Applied::Submitted(SubmitOutcome::Accepted)
    );
}

#[test]
fn the_first_result_of_an_item_counts_and_keeps_its_position() {
    let mut group = Group::default();
    group.submit("a", 2);
    group.report("a", 1, completed(b"first"));
    group.report("a", 1, completed(b"second"));
    group.report("a", 1, ItemOutcome::Impossible);
    group.report("a", 0, ItemOutcome::Impossible);
    let expected = [(1, ListedState::Completed), (0, ListedState::Dead)];
    assert_eq!(group.listed("a"), expected);
    assert_eq!(group.table.0.get(&text_key(0, 0)), Some(&b"first".to_vec()));
    assert!(!group.table.0.contains_key(&call_key(0, 0)));
}

#[test]
fn an_item_is_given_up_after_as_many_failures_as_its_route_allows() {
    let mut group = Group::default();
    group.submit("a", 1);
    group.report("a", 0, ItemOutcome::Failed { run: 1 });
    group.report("a", 0, ItemOutcome::Failed { run: 2 });
    assert_eq!(group.listed("a"), []);
    group.report("a", 0, ItemOutcome::Failed { run: 3 });
    assert_eq!(group.listed("a"), [(0, ListedState::Dead)]);
}

/// A node that receives no answer repeats its report, and both reports may be applied.
#[test]
fn a_repeated_failure_report_counts_once() {
    let mut group = Group::default();
    group.submit("a", 1);
    for _ in 0..4 {
        group.report("a", 0, ItemOutcome::Failed { run: 1 });
        group.report("a", 0, ItemOutcome::Failed { run: 2 });
    }
    assert_eq!(group.listed("a"), []);
    group.report("a", 0, ItemOutcome::Failed { run: 3 });
    assert_eq!(group.listed("a"), [(0, ListedState::Dead)]);
}

#[test]
fn an_item_is_given_up_after_its_time_limit_and_not_before() {
    let mut group = Group::default();
    group.submit("a", 1);
    group.advance(GIVE_UP_MS);
    assert_eq!(group.listed("a"), []);
    group.advance(1_000);
    assert_eq!(group.listed("a"), [(0, ListedState::Dead)]);
}

#[test]
fn each_given_up_item_is_recorded_with_its_reason() {
    let mut group = Group::default();
    group.submit("a", 4);
    group.report("a", 0, ItemOutcome::Impossible);
    for run in [7, 8, 9] {
        group.report("a", 1, ItemOutcome::Failed { run });
    }
    group.report("a", 2, completed(b"x"));
    group.advance(GIVE_UP_MS + 1_000);
    let given_up = group.machine.jobs().given_up();
    let item = |number: u32, reason| GivenUpItem {
        job: job_id("a"),
        id: format!("a-{number}"),
        reason,
    };
    let failed = GiveUpReason::FailedRuns {
        runs: vec![7, 8, 9],
        attempts: 3,
    };
    let too_old = GiveUpReason::TooOld {
        accepted_ms: 0,
        give_up_at_ms: GIVE_UP_MS,
        clock_ms: GIVE_UP_MS + 1_000,
    };
    let expected = [
        item(0, GiveUpReason::Impossible),
        item(1, failed),
        item(3, too_old),
    ];
    assert_eq!(given_up.after(0).cloned().collect::<Vec<_>>(), expected);
    assert_eq!(
        given_up.after(2).cloned().collect::<Vec<_>>(),
        expected[2..]
    );
    assert_eq!(given_up.after(3).count(), 0);
}

#[test]
fn the_record_of_given_up_items_is_bounded_and_not_in_snapshots() {
    let mut group = Group::default();
    let items = 1_000;
    let mut large = job("a", items);
    large.max_waiting_tokens = 0;
    let job = Box::new(large);
    let room_bytes = None;
    group.apply(Command::SubmitJob { job, room_bytes });
    for index in 0..items as u32 {
        group.report("a", index, ItemOutcome::Impossible);
    }
    let given_up = group.machine.jobs().given_up();
    assert_eq!(given_up.total(), items as u64);
    assert_eq!(given_up.after(0).count(), 256);
    assert_eq!(given_up.after(items as u64 - 10).count(), 10);
    let snapshot = group.machine.snapshot();
    group.machine.restore(&snapshot).expect("a snapshot");
    assert_eq!(group.machine.jobs().given_up().total(), 0);
    assert_eq!(group.machine.snapshot(), snapshot);
}

#[test]
fn a_suspended_leader_does_not_expire_items_at_once() {
    let mut group = Group::default();
    group.submit("a", 1);
    let retention_ms = 120_000;
    group.apply_after(10 * GIVE_UP_MS, Command::Upkeep { retention_ms });
    assert_eq!(group.listed("a"), []);
}

#[test]
fn an_ended_job_keeps_its_results_and_accepts_no_new_ones() {
    let mut group = Group::default();
    group.submit("a", 3);
    group.report("a", 2, completed(b"x"));
    let ended = group.apply(Command::EndJob(job_id("a")));
    assert_eq!(ended, Applied::Ended { known: true });
    assert!(group.machine.jobs().queue().is_empty());
    assert_eq!(group.machine.jobs().waiting_tokens(&job_id("a"), "r"), 0);
    group.report("a", 0, completed(b"late"));
    assert_eq!(group.listed("a"), [(2, ListedState::Completed)]);
    let again = group.apply(Command::EndJob(job_id("a")));
    assert_eq!(again, Applied::Ended { known: true });
}

#[test]
fn a_finished_job_is_deleted_after_its_retention_and_not_before() {
    let mut group = Group::default();
    group.submit("open", 1);
    group.machine.jobs();
    group.submit("done", 1);
    group.report("done", 0, completed(b"x"));
    group.advance(GIVE_UP_MS);
    assert!(group.machine.jobs().find(&job_id("done")).is_some());
    group.advance(61_000);
    assert!(group.machine.jobs().find(&job_id("done")).is_none());
    assert!(!group.table.0.contains_key(&text_key(1, 0)));
}

#[test]
fn the_highest_table_version_stays_in_force() {
    let mut group = Group::default();
    for (version, document) in [(5, "five"), (3, "three"), (5, "other five"), (7, "seven")] {
        assert_eq!(group.apply(put_table(version, document)), Applied::Done);
        let held = group.machine.table().expect("a table");
        let expected: &[u8] = if version == 7 { b"seven" } else { b"five" };
        assert_eq!(held.document, expected);
    }
}

#[test]
fn a_machine_with_a_new_data_folder_replaces_its_old_identity() {
    let record = |replica: u64, name: &str, port: u16| MachineRecord {
        replica,
        name: name.to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "z".to_owned(),
    };
    let mut group = Group::default();
    group.apply(Command::RecordMachine(record(1, "a", 1)));
    group.apply(Command::RecordMachine(record(2, "b", 2)));
    group.apply(Command::RecordMachine(record(3, "a", 1)));
    let known: Vec<u64> = group.machine.machines().keys().copied().collect();
    assert_eq!(known, [2, 3]);
    assert!(group.machine.replaced().contains(&1));
    // A delayed message of the old identity changes nothing.
    group.apply(Command::RecordMachine(record(1, "a", 1)));
    let known: Vec<u64> = group.machine.machines().keys().copied().collect();
    assert_eq!(known, [2, 3]);
}

#[test]
fn a_snapshot_restores_the_whole_state() {
    let mut group = Group::default();
    group.apply(put_table(5, "five"));
    group.submit("a", 3);
    group.report("a", 1, completed(b"x"));
    let mut restored = ClusterMachine::default();
    restored
        .restore(&group.machine.snapshot())
        .expect("a snapshot");
    assert_eq!(restored.snapshot(), group.machine.snapshot());
    assert_eq!(restored.jobs().queue(), group.machine.jobs().queue());
}

#[test]
fn an_unreadable_command_is_an_error_and_changes_nothing() {
    let mut group = Group::default();
    group.submit("a", 1);
    let before = group.machine.snapshot();
    let readable = encode(&StampedCommand {
        elapsed_ms: 1,
        command: Command::EndJob(job_id("a")),
    });
    let of_format = |byte: u8| [&[byte], &readable[1..]].concat();
    let unreadable = [
        Vec::new(),
        of_format(3),
        of_format(11),
        of_format(200),
        readable[..readable.len() - 1].to_vec(),
    ];
    for bytes in unreadable {
        let applied = group.machine.apply(2, &bytes, &mut group.table);
        assert!(applied.is_err(), "{bytes:?}: {applied:?}");
        assert_eq!(group.machine.snapshot(), before);
    }
}

#[test]
fn a_snapshot_of_an_unknown_format_is_rejected() {
    let mut bytes = ClusterMachine::default().snapshot();
    assert!(ClusterMachine::default().restore(&bytes).is_ok());
    for byte in [0, 3, 11] {
        bytes[0] = byte;
        assert!(ClusterMachine::default().restore(&bytes).is_err());
    }
}
