//! Division of leases among tenants.

use std::time::Instant;

use pinerill_calls::job::{CallJobId, NewCallItem, NewCallJob};
use pinerill_calls::message::encode;
use pinerill_cluster::lease_shares::{pick, TenantItems};
use pinerill_cluster::leases::{LeaseArgs, LeaseBook, LeaseSettings};
use pinerill_cluster::machine::{ClusterMachine, Command, StampedCommand};
use pinerill_control::host::{StateMachine, TableWriter};
use proptest::prelude::*;

const RECLAIM_END: u64 = 1_500;

struct NullTable;

impl TableWriter for NullTable {
    fn put(&mut self, _key: &[u8], _value: &[u8]) {}
    fn delete(&mut self, _key: &[u8]) {}
}

/// A leader with jobs: tenant, name, items and time within which the results are due.
struct Leader {
    machine: ClusterMachine,
    book: LeaseBook,
}

impl Leader {
    fn with_jobs(jobs: &[(Option<&str>, &str, usize, u64)]) -> Self {
        let mut machine = ClusterMachine::default();
        for (tenant, name, items, target_ms) in jobs {
            let item = |number: usize| NewCallItem {
                id: format!("{name}-{number}"),
                tokens: 1,
                call: vec![],
            };
            let job = NewCallJob {
                id: CallJobId::new(*tenant, name),
                host: "h".to_owned(),
                path: "/b/".to_owned(),
                items: (0..*items).map(item).collect(),
                result_target_ms: *target_ms,
                give_up_ms: 600_000,
                attempts: 3,
                max_waiting_tokens: 0,
                route: "r".to_owned(),
            };
            let command = Command::SubmitJob {
                job: Box::new(job),
                room_bytes: None,
            };
            let bytes = encode(&StampedCommand {
                elapsed_ms: 0,
                command,
            });
            let applied = machine.apply(1, &bytes, &mut NullTable);
            assert!(applied.is_ok(), "{applied:?}");
        }
        Leader {
            machine,
            book: LeaseBook::new(SETTINGS, 0),
        }
    }

    /// The same leader without division among tenants.
    fn without_shares(mut self) -> Self {
        let settings = LeaseSettings {
            shares_among_tenants: false,
            ..SETTINGS
        };
        self.book = LeaseBook::new(settings, 0);
        self
    }

    /// Leases items to a node that holds none; returns their jobs' names and indexes.
    fn lease(&mut self, node: &str, want: usize, run_ms: u64) -> Vec<(String, u32)> {
        let clock = self.machine.clock_ms();
        let request = LeaseArgs {
            node,
            held: &[],
            want,
            run_ms,
            ..LeaseArgs::default()
        };
        let jobs = self.machine.jobs();
        let decision = self.book.lease(RECLAIM_END, jobs, clock, &request);
        let leased = decision.leased.iter().map(|position| {
            let record = jobs.record(position.job).expect("a job");
            (record.id.name().to_owned(), position.index)
        });
        leased.collect()
    }
}

const SETTINGS: LeaseSettings = LeaseSettings {
    duration_ms: 3_000,
    reclaim_ms: RECLAIM_END,
    shares_among_tenants: true,
};

fn items(name: &str, indexes: std::ops::Range<u32>) -> Vec<(String, u32)> {
    indexes.map(|index| (name.to_owned(), index)).collect()
}

#[test]
fn without_the_setting_items_are_leased_by_due_time_alone() {
    let jobs = [
        (Some("large"), "many", 100, 20_000),
        (Some("small"), "few", 3, 30_000),
    ];
    let mut leader = Leader::with_jobs(&jobs).without_shares();
    assert_eq!(leader.lease("x", 8, 1_000), items("many", 0..8));
}

#[test]
fn items_that_can_be_on_time_go_before_late_ones_of_other_tenants() {
    let mut leader = Leader::with_jobs(&[
        (Some("late"), "late", 3, 1_000),
        (Some("large"), "many", 100, 60_000),
    ]);
    assert_eq!(leader.lease("x", 4, 50_000), items("many", 0..4));
}

#[test]
fn late_items_of_one_tenant_do_not_hold_back_others() {
    // All items are due before a run of 50 s can end, those of the large tenant first.
    let mut leader = Leader::with_jobs(&[
        (Some("large"), "many", 5_000, 1_000),
        (Some("small"), "few", 3, 40_000),
    ]);
    let leased = leader.lease("x", 8, 50_000);
    assert_eq!(leased.iter().filter(|(job, _)| job == "few").count(), 3);
    assert_eq!(leased.len(), 8);
    assert_eq!(leader.lease("y", 2, 50_000), items("many", 5..7));
}

#[test]
fn cost_of_a_lease_with_10_000_queued_items() {
    let one_job = [(None, "many", 10_000, 20_000)];
    let names: Vec<String> = (0..10_000).map(|number| format!("job-{number}")).collect();
    let many_jobs: Vec<_> = names
        .iter()
        .map(|name| (None, name.as_str(), 1, 20_000))
        .collect();
    for (what, jobs) in [("one job", &one_job[..]), ("10,000 jobs", &many_jobs)] {
        let mut leader = Leader::with_jobs(jobs);
        for want in [0, 4] {
            let began = Instant::now();
            assert_eq!(leader.lease("x", want, 0).len(), want);
            println!("{what}, {want} items wanted: {:?}", began.elapsed());
        }
    }
}

#[test]
fn leases_of_all_nodes_count() {
    let mut leader = Leader::with_jobs(&[(Some("large"), "many", 100, 20_000)]);
    assert_eq!(leader.lease("x", 6, 0).len(), 6);
    let mut both = Leader::with_jobs(&[
        (Some("large"), "many", 100, 20_000),
        (Some("small"), "few", 100, 30_000),
    ]);
    assert_eq!(both.lease("x", 1, 0), items("many", 0..1));
    assert_eq!(both.lease("y", 1, 0), items("few", 0..1));
    assert_eq!(
        both.lease("z", 2, 0),
        [items("many", 1..2), items("few", 1..2)].concat()
    );
}

#[test]
fn with_one_tenant_or_none_the_most_urgent_items_on_time_go_first() {
    for tenant in [None, Some("only")] {
        let mut leader = Leader::with_jobs(&[
            (tenant, "late", 2, 1_000),
            (tenant, "relaxed", 2, 60_000),
            (tenant, "urgent", 2, 20_000),
        ]);
        let leased = leader.lease("x", 5, 5_000);
        let order = [
            items("urgent", 0..2),
            items("relaxed", 0..2),
            items("late", 0..1),
        ];
        assert_eq!(leased, order.concat());
    }
}

#[test]
fn callers_without_a_tenant_count_as_one() {
    let mut leader = Leader::with_jobs(&[
        (None, "a", 9, 20_000),
        (None, "b", 9, 21_000),
        (Some("t"), "c", 9, 22_000),
    ]);
    let leased = leader.lease("x", 6, 0);
    assert_eq!(leased.iter().filter(|(job, _)| job == "c").count(), 3);
    assert!(leased.iter().all(|(job, _)| job != "b"));
}

proptest! {
    #[test]
    fn no_tenant_gets_an_item_beyond_its_share_while_another_waits(
        tenants in prop::collection::vec((0_usize..20, 0_usize..20), 1..8), want in 0_usize..60,
    ) {
        let mut place = 0;
        let all: Vec<TenantItems<(usize, usize)>> = tenants.iter().enumerate()
            .map(|(number, (leased, queued))| TenantItems {
                leased: *leased,
                queued: (0..*queued).map(|item| { place += 1; (place, (number, item)) }).collect(),
            })
            .collect();
        let picked = pick(&all, want);
        let queued: usize = tenants.iter().map(|(_, queued)| queued).sum();
        prop_assert_eq!(picked.len(), want.min(queued));
        let new = |number| picked.iter().filter(|(tenant, _)| *tenant == number).count();
        for (number, (leased, queued)) in tenants.iter().enumerate() {
            let own: Vec<usize> = picked.iter().filter(|(tenant, _)| *tenant == number)
                .map(|(_, item)| *item).collect();
            prop_assert!(own.iter().copied().eq(0..own.len()), "in order");
            if new(number) == *queued {
                continue;
            }
            // This tenant's items still wait, so nobody else got one beyond its number.
            for (other, (other_leased, _)) in tenants.iter().enumerate() {
                let total = other_leased + new(other);
                prop_assert!(new(other) == 0 || total <= leased + new(number) + 1);
            }
        }
    }
}
