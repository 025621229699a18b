//! Assignment of items to nodes by leases.

use pinerill_calls::job::{CallJobId, ItemRef, NewCallItem, NewCallJob};
use pinerill_calls::message::encode;
use pinerill_cluster::leases::{LeaseArgs, LeaseBook, LeaseSettings};
use pinerill_cluster::machine::{ClusterMachine, Command, QueuePosition, StampedCommand};
use pinerill_control::host::{StateMachine, TableWriter};

const SETTINGS: LeaseSettings = LeaseSettings {
    duration_ms: 3_000,
    reclaim_ms: 1_500,
    shares_among_tenants: false,
};
/// Time at which a leadership that began at 0 starts to grant leases.
const RECLAIM_END: u64 = 1_500;

struct NullTable;

impl TableWriter for NullTable {
    fn put(&mut self, _key: &[u8], _value: &[u8]) {}
    fn delete(&mut self, _key: &[u8]) {}
}

fn apply(machine: &mut ClusterMachine, elapsed_ms: u64, command: Command) {
    let bytes = encode(&StampedCommand {
        elapsed_ms,
        command,
    });
    let applied = machine.apply(1, &bytes, &mut NullTable);
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
        let request = LeaseArgs {
            node,
            held,
            want,
            ..LeaseArgs::default()
        };
        let decision = self.book.lease(now, self.machine.jobs(), clock, &request);
        let leased = decision.leased.iter().map(|position| position.index);
        (leased.collect(), decision.stop.len())
    }
}

#[test]
fn an_item_is_leased_to_one_node_at_a_time() {
    let mut leader = Leader::with_job(3);
    assert_eq!(leader.lease(RECLAIM_END, "x", &[], 2).0, [0, 1]);
    assert_eq!(leader.lease(RECLAIM_END, "y", &[], 2).0, [2]);
    assert_eq!(leader.lease(RECLAIM_END, "z", &[], 1).0, [0u32; 0]);
}

#[test]
fn a_lease_that_is_not_renewed_expires() {
    let mut leader = Leader::with_job(1);
    leader.lease(RECLAIM_END, "x", &[], 1);
    let almost = RECLAIM_END + SETTINGS.duration_ms - 1;
    assert_eq!(leader.lease(almost, "y", &[], 1).0, [0u32; 0]);
    assert_eq!(leader.lease(almost + 1, "y", &[], 1).0, [0]);
    // The first node must stop the item when it returns.
    assert_eq!(leader.lease(almost + 2, "x", &[reference("a", 0)], 0).1, 1);
}

#[test]
fn a_renewed_lease_stays_with_its_node() {
    let mut leader = Leader::with_job(1);
    leader.lease(RECLAIM_END, "x", &[], 1);
    let held = [reference("a", 0)];
    for now in (RECLAIM_END..RECLAIM_END + 20_000).step_by(1_000) {
        assert_eq!(leader.lease(now, "x", &held, 0).1, 0);
        assert_eq!(leader.lease(now, "y", &[], 1).0, [0u32; 0]);
    }
}

#[test]
fn items_of_a_lost_answer_are_leased_again() {
    let mut leader = Leader::with_job(1);
    leader.lease(RECLAIM_END, "x", &[], 1);
    assert_eq!(leader.lease(RECLAIM_END + 100, "x", &[], 1).0, [0]);
}

#[test]
fn a_new_leader_grants_no_leases_before_the_reclaim_period_ends() {
    let mut leader = Leader::with_job(2);
    assert_eq!(leader.lease(0, "y", &[], 2).0, [0u32; 0]);
    assert_eq!(leader.lease(1_000, "x", &[reference("a", 0)], 0).1, 0);
    assert_eq!(leader.lease(RECLAIM_END, "y", &[], 2).0, [1]);
}

#[test]
fn a_node_must_stop_items_of_an_ended_job() {
    let mut leader = Leader::with_job(1);
    leader.lease(RECLAIM_END, "x", &[], 1);
    apply(
        &mut leader.machine,
        0,
        Command::EndJob(CallJobId::new(None, "a")),
    );
    assert_eq!(leader.lease(RECLAIM_END, "x", &[reference("a", 0)], 0).1, 1);
}

/// Returns the jobs in the order in which their items are leased at 2,000 ms if an item runs
/// for `run_ms`.
fn order_of_jobs(targets_ms: &[(&str, u64)], run_ms: u64) -> Vec<String> {
    let mut machine = ClusterMachine::default();
    for (id, target_ms) in targets_ms {
        submit(&mut machine, id, 1, *target_ms);
    }
    let retention_ms = 600_000;
    apply(&mut machine, 2_000, Command::Upkeep { retention_ms });
    let mut book = LeaseBook::new(SETTINGS, 0);
    let request = LeaseArgs {
        node: "x",
        held: &[],
        want: targets_ms.len(),
        run_ms,
        ..LeaseArgs::default()
    };
    let decision = book.lease(RECLAIM_END, machine.jobs(), machine.clock_ms(), &request);
    let job = |position: &QueuePosition| {
        let record = machine.jobs().record(position.job)?;
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
fn items_that_cannot_be_on_time_come_last() {
    let targets = [("late", 1_000), ("soon", 5_000), ("later", 9_000)];
    assert_eq!(order_of_jobs(&targets, 4_000), ["later", "late", "soon"]);
}
