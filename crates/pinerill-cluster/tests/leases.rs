//! Which node runs which item.

use pinerill_calls::job::{CallJobId, ItemRef, NewCallItem, NewCallJob};
use pinerill_calls::message::encode;
use pinerill_cluster::leases::{LeaseArgs, LeaseBook, LeaseSettings};
use pinerill_cluster::machine::{ClusterMachine, Command, QueuePosition, StampedCommand};
use pinerill_control::host::{StateMachine, TableWriter};

const SETTINGS: LeaseSettings = LeaseSettings {
    duration_ms: 3_000,
    reclaim_ms: 1_500,
};
/// A time at which a leadership that began at 0 hands items out.
const READY: u64 = 1_500;

struct NoTable;

impl TableWriter for NoTable {
    fn put(&mut self, _key: &[u8], _value: &[u8]) {}
    fn delete(&mut self, _key: &[u8]) {}
}

fn apply(machine: &mut ClusterMachine, elapsed_ms: u64, command: Command) {
    let bytes = encode(&StampedCommand {
        elapsed_ms,
        command,
    });
    let applied = machine.apply(1, &bytes, &mut NoTable);
    assert!(applied.is_ok(), "{applied:?}");
}

fn submit(machine: &mut ClusterMachine, id: &str, items: usize, target_ms: u64) {
    let item = |number: usize| NewCallItem {
        id: format!("{id}-{number}"),
        tokens: 1,
        call: vec![],
    };
    let job = NewCallJob {
        id: CallJobId::new(None, id),
        host: "h".to_owned(),
        path: "/b/".to_owned(),
        items: (0..items).map(item).collect(),
        result_target_ms: target_ms,
        give_up_ms: 600_000,
        attempts: 3,
        max_waiting_tokens: 0,
        route: "r".to_owned(),
    };
    let command = Command::SubmitJob {
        job: Box::new(job),
        room_bytes: None,
    };
    apply(machine, 0, command);
}

fn reference(id: &str, index: u32) -> ItemRef {
    ItemRef {
        job: CallJobId::new(None, id),
        index,
    }
}

struct Leader {
    machine: ClusterMachine,
    book: LeaseBook,
}

impl Leader {
    fn with_job(items: usize) -> Self {
        let mut machine = ClusterMachine::default();
        submit(&mut machine, "a", items, 20_000);
        Leader {
            machine,
            book: LeaseBook::new(SETTINGS, 0),
        }
    }

    fn lease(&mut self, now: u64, node: &str, held: &[ItemRef], want: usize) -> (Vec<u32>, usize) {
        let clock = self.machine.clock_ms();
        let ask = LeaseArgs {
            node,
            held,
            want,
            run_ms: 0,
        };
        let decision = self.book.lease(now, self.machine.jobs(), clock, &ask);
        let leased = decision.leased.iter().map(|place| place.index);
        (leased.collect(), decision.stop.len())
    }
}

#[test]
fn an_item_is_at_one_node_at_a_time() {
    let mut leader = Leader::with_job(3);
    assert_eq!(leader.lease(READY, "x", &[], 2).0, [0, 1]);
    assert_eq!(leader.lease(READY, "y", &[], 2).0, [2]);
    assert_eq!(leader.lease(READY, "z", &[], 1).0, [0u32; 0]);
}

#[test]
fn a_lease_that_is_not_renewed_runs_out() {
    let mut leader = Leader::with_job(1);
    leader.lease(READY, "x", &[], 1);
    let almost = READY + SETTINGS.duration_ms - 1;
    assert_eq!(leader.lease(almost, "y", &[], 1).0, [0u32; 0]);
    assert_eq!(leader.lease(almost + 1, "y", &[], 1).0, [0]);
    // The first node is told to stop when it comes back.
    assert_eq!(leader.lease(almost + 2, "x", &[reference("a", 0)], 0).1, 1);
}

#[test]
fn a_renewed_lease_goes_on() {
    let mut leader = Leader::with_job(1);
    leader.lease(READY, "x", &[], 1);
    let held = [reference("a", 0)];
    for now in (READY..READY + 20_000).step_by(1_000) {
        assert_eq!(leader.lease(now, "x", &held, 0).1, 0);
        assert_eq!(leader.lease(now, "y", &[], 1).0, [0u32; 0]);
    }
}

#[test]
fn an_answer_that_was_lost_frees_its_items() {
    let mut leader = Leader::with_job(1);
    leader.lease(READY, "x", &[], 1);
    assert_eq!(leader.lease(READY + 100, "x", &[], 1).0, [0]);
}

#[test]
fn a_new_leader_hands_nothing_out_before_nodes_named_what_they_hold() {
    let mut leader = Leader::with_job(2);
    assert_eq!(leader.lease(0, "y", &[], 2).0, [0u32; 0]);
    assert_eq!(leader.lease(1_000, "x", &[reference("a", 0)], 0).1, 0);
    assert_eq!(leader.lease(READY, "y", &[], 2).0, [1]);
}

#[test]
fn an_item_that_ended_is_to_be_stopped() {
    let mut leader = Leader::with_job(1);
    leader.lease(READY, "x", &[], 1);
    apply(
        &mut leader.machine,
        0,
        Command::EndJob(CallJobId::new(None, "a")),
    );
    assert_eq!(leader.lease(READY, "x", &[reference("a", 0)], 0).1, 1);
}

/// Jobs in the order in which their items are handed out at 2,000 ms, if an item
/// runs for `run_ms`.
fn order_of_jobs(targets_ms: &[(&str, u64)], run_ms: u64) -> Vec<String> {
    let mut machine = ClusterMachine::default();
    for (id, target_ms) in targets_ms {
        submit(&mut machine, id, 1, *target_ms);
    }
    let retention_ms = 600_000;
    apply(&mut machine, 2_000, Command::Upkeep { retention_ms });
    let mut book = LeaseBook::new(SETTINGS, 0);
    let ask = LeaseArgs {
        node: "x",
        held: &[],
        want: targets_ms.len(),
        run_ms,
    };
    let decision = book.lease(READY, machine.jobs(), machine.clock_ms(), &ask);
    let job = |place: &QueuePosition| {
        let record = machine.jobs().record(place.job)?;
        Some(record.id.name().to_owned())
    };
    decision.leased.iter().filter_map(job).collect()
}

#[test]
fn the_most_urgent_item_goes_first_and_late_ones_last() {
    let targets = [("late", 1_000), ("soon", 5_000), ("later", 9_000)];
    assert_eq!(order_of_jobs(&targets, 0), ["soon", "later", "late"]);
}

#[test]
fn an_item_that_will_be_late_however_soon_it_begins_gives_way() {
    let targets = [("late", 1_000), ("soon", 5_000), ("later", 9_000)];
    assert_eq!(order_of_jobs(&targets, 4_000), ["later", "late", "soon"]);
}

/// Items of the most urgent job stay for nodes that may run them, and hold up no others.
#[test]
fn items_go_only_to_nodes_at_which_their_job_may_run() {
    let mut leader = Leader::with_job(2);
    submit(&mut leader.machine, "b", 2, 30_000);
    let clock = leader.machine.clock_ms();
    let ask = LeaseArgs {
        node: "away",
        held: &[],
        want: 4,
        run_ms: 0,
    };
    let elsewhere = CallJobId::new(None, "a");
    let (book, jobs) = (&mut leader.book, leader.machine.jobs());
    let away = book.lease_where(READY, jobs, clock, &ask, |job| job.id != elsewhere);
    let at_home = book.lease_where(READY, jobs, clock, &ask, |_| true);
    let of_job = |place: &QueuePosition| jobs.record(place.job).map(|record| record.id.clone());
    let leased: Vec<_> = away.leased.iter().filter_map(of_job).collect();
    assert_eq!(leased, vec![CallJobId::new(None, "b"); 2]);
    let leased: Vec<_> = at_home.leased.iter().filter_map(of_job).collect();
    assert_eq!(&leased[..2], vec![elsewhere; 2]);
}
