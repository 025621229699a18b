//! Leases by what nodes can start: which services have free slots there, and where items may run.

use pinerill_calls::job::{CallJobId, ItemRef, NewCallItem, NewCallJob};
use pinerill_calls::message::{encode, ServiceCapacity};
use pinerill_calls::table::{
    AllowedRegions, RequestLimits, Route, RouteKind, RouteTable, Service, Target,
};
use pinerill_cluster::leases::{LeaseArgs, LeaseBook, LeaseDecision, LeaseRules, LeaseSettings};
use pinerill_cluster::machine::{ClusterMachine, Command, StampedCommand};
use pinerill_control::host::{StateMachine, TableWriter};

/// Time at which a leadership that began at 0 starts to grant leases.
const START: u64 = 1_500;
/// Time for which an item is not leased again to the node that returned it, milliseconds.
const RETURN_HOLD: u64 = 500;

struct NullTable;

impl TableWriter for NullTable {
    fn put(&mut self, _key: &[u8], _value: &[u8]) {}
    fn delete(&mut self, _key: &[u8]) {}
}

fn route(name: &str, services: &[&str]) -> Route {
    let targets = services.iter().map(|service| Target {
        service: (*service).to_owned(),
        weight: 1,
    });
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Batch,
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 0,
        targets: targets.collect(),
        attempts: 3,
        gap_ms: None,
        caller_idle_timeout_ms: None,
        batch: None,
        is_public: true,
        allowed_regions: AllowedRegions::default(),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let targets = routes.iter().flat_map(|route| &route.targets);
    let services = targets.map(|target| Service {
        name: target.service.clone(),
        max_connections: 10,
        slots: None,
        cache_tokens: None,
        health_path: None,
        slow_start: None,
    });
    RouteTable {
        version: 1,
        services: services.collect(),
        routes,
        limits: RequestLimits::default(),
        tenants: None,
    }
}

/// One route for each of two services.
fn two_services() -> RouteTable {
    table(vec![route("busy", &["busy"]), route("idle", &["idle"])])
}

fn capacity(services: &[(&str, u32)]) -> Vec<ServiceCapacity> {
    let services = services.iter().map(|(service, items)| ServiceCapacity {
        service: (*service).to_owned(),
        items: *items,
    });
    services.collect()
}

fn reference(job: &str, index: u32) -> ItemRef {
    ItemRef {
        job: CallJobId::new(None, job),
        index,
    }
}

struct Leader {
    machine: ClusterMachine,
    book: LeaseBook,
    table: RouteTable,
    region: Option<&'static str>,
}

impl Leader {
    fn new(table: RouteTable) -> Self {
        Self::with_settings(table, LeaseSettings::default())
    }

    fn with_settings(table: RouteTable, settings: LeaseSettings) -> Self {
        Leader {
            machine: ClusterMachine::default(),
            book: LeaseBook::new(settings, 0),
            table,
            region: None,
        }
    }

    /// Submits a job that has the name of its route.
    fn submit(&mut self, route: &str, items: usize, target_ms: u64) {
        self.submit_as(route, route, items, target_ms);
    }

    fn submit_as(&mut self, route: &str, job: &str, items: usize, target_ms: u64) {
        let item = |number: usize| NewCallItem {
            id: format!("{job}-{number}"),
            tokens: 1,
            call: vec![],
        };
        let job = NewCallJob {
            id: CallJobId::new(None, job),
            host: "h".to_owned(),
            path: format!("/{route}/"),
            items: (0..items).map(item).collect(),
            result_target_ms: target_ms,
            give_up_ms: 600_000,
            attempts: 3,
            max_waiting_tokens: 0,
            route: route.to_owned(),
        };
        let command = Command::SubmitJob {
            job: Box::new(job),
            room_bytes: None,
        };
        let bytes = encode(&StampedCommand {
            elapsed_ms: 0,
            command,
        });
        let applied = self.machine.apply(1, &bytes, &mut NullTable);
        assert!(applied.is_ok(), "{applied:?}");
    }

    fn decide(&mut self, now: u64, request: &LeaseArgs<'_>) -> LeaseDecision {
        let rules = LeaseRules {
            table: Some(&self.table),
            region: self.region,
        };
        let (jobs, clock) = (self.machine.jobs(), self.machine.clock_ms());
        self.book.lease_by_rules(now, jobs, clock, request, &rules)
    }

    /// Leases up to `want` items to a node that states these services; returns jobs and indexes.
    fn lease(&mut self, node: &str, want: usize, services: &[(&str, u32)]) -> Vec<(String, u32)> {
        let services = capacity(services);
        let request = LeaseArgs {
            node,
            want,
            services: Some(&services),
            ..LeaseArgs::default()
        };
        let decision = self.decide(START, &request);
        self.names(&decision)
    }

    fn names(&self, decision: &LeaseDecision) -> Vec<(String, u32)> {
        let leased = decision.leased.iter().map(|position| {
            let record = self.machine.jobs().record(position.job).expect("a job");
            (record.id.name().to_owned(), position.index)
        });
        leased.collect()
    }
}

fn items(job: &str, indexes: std::ops::Range<u32>) -> Vec<(String, u32)> {
    indexes.map(|index| (job.to_owned(), index)).collect()
}

/// Guards against items that never run beside idle workers: those of a full service are due earlier,
/// and took all leases.
#[test]
fn items_of_a_full_service_do_not_hold_up_those_of_another() {
    let mut leader = Leader::new(two_services());
    leader.submit("busy", 120, 20_000);
    leader.submit("idle", 20, 30_000);
    assert_eq!(leader.lease("x", 4, &[("idle", 4)]), items("idle", 0..4));
    assert_eq!(leader.lease("y", 4, &[("busy", 4)]), items("busy", 0..4));
}

/// Guards against leases for slots that a service does not have, while another one's stay free.
#[test]
fn a_node_gets_of_each_service_what_it_can_start_the_most_urgent_first() {
    let mut leader = Leader::new(two_services());
    leader.submit_as("busy", "soon", 3, 20_000);
    leader.submit_as("busy", "later", 3, 40_000);
    leader.submit("idle", 20, 30_000);
    let leased = leader.lease("x", 6, &[("busy", 4), ("idle", 1)]);
    let expected = [
        items("soon", 0..3),
        items("idle", 0..1),
        items("later", 0..1),
    ];
    assert_eq!(leased, expected.concat());
}

/// A node of an older build does not state services; it gets the items that are due first, and those
/// of a full service may still hold up others there.
#[test]
fn a_node_that_states_no_services_gets_the_items_that_are_due_first() {
    let mut leader = Leader::new(two_services());
    leader.submit("busy", 120, 20_000);
    leader.submit("idle", 20, 30_000);
    let request = LeaseArgs {
        node: "older",
        want: 4,
        ..LeaseArgs::default()
    };
    let decision = leader.decide(START, &request);
    assert_eq!(leader.names(&decision), items("busy", 0..4));
}

/// Guards against items of a route that a configuration has removed: they took all leases.
#[test]
fn items_of_a_removed_route_do_not_hold_up_others() {
    let mut leader = Leader::new(table(vec![route("idle", &["idle"])]));
    leader.submit("removed", 120, 20_000);
    leader.submit("idle", 20, 30_000);
    assert_eq!(leader.lease("x", 4, &[("idle", 4)]), items("idle", 0..4));
    leader.table = table(vec![route("idle", &["idle"]), route("removed", &["idle"])]);
    assert_eq!(leader.lease("y", 2, &[("idle", 2)]), items("removed", 0..2));
}

/// Guards against items of a split route that wait for one of its services while another one has
/// free slots, and against more of them than both can start.
#[test]
fn items_of_a_split_route_are_leased_for_any_of_its_services() {
    let mut leader = Leader::new(table(vec![route("split", &["old", "new"])]));
    leader.submit("split", 20, 20_000);
    assert_eq!(leader.lease("x", 8, &[("new", 2)]), items("split", 0..2));
    let leased = leader.lease("y", 8, &[("new", 1), ("old", 3)]);
    assert_eq!(leased, items("split", 2..6));
    leader.table = table(vec![route("split", &["newer"])]);
    assert_eq!(leader.lease("z", 8, &[("new", 8)]), []);
    assert_eq!(leader.lease("z", 8, &[("newer", 1)]), items("split", 6..7));
}

/// Items of the most urgent job stay queued for eligible nodes and don't block items of other
/// jobs.
#[test]
fn items_are_leased_only_to_nodes_eligible_for_their_job() {
    let mut restricted = route("home", &["svc"]);
    restricted.allowed_regions = AllowedRegions::from_list(["here".to_owned()]);
    let mut leader = Leader::new(table(vec![restricted, route("any", &["svc"])]));
    leader.submit("home", 2, 20_000);
    leader.submit("any", 2, 30_000);
    leader.region = Some("away");
    assert_eq!(leader.lease("away", 4, &[("svc", 4)]), items("any", 0..2));
    leader.region = Some("here");
    assert_eq!(leader.lease("here", 4, &[("svc", 4)]), items("home", 0..2));
}

/// Guards against an item that one node can't place and that takes its leases again and again. It is
/// withheld from that node for half a second; other nodes get it at once.
#[test]
fn an_item_that_was_returned_goes_to_other_nodes_first() {
    let mut leader = Leader::new(two_services());
    leader.submit("idle", 3, 20_000);
    let services = capacity(&[("idle", 1)]);
    assert_eq!(leader.lease("x", 1, &[("idle", 1)]), items("idle", 0..1));
    let returned = [reference("idle", 0)];
    let request = LeaseArgs {
        node: "x",
        want: 1,
        services: Some(&services),
        returned: &returned,
        ..LeaseArgs::default()
    };
    let decision = leader.decide(START, &request);
    assert_eq!(leader.names(&decision), items("idle", 1..2));
    let other = LeaseArgs {
        node: "y",
        returned: &[],
        ..request
    };
    let decision = leader.decide(START, &other);
    assert_eq!(leader.names(&decision), items("idle", 0..1));
    // Both are free again, and the hold of the first one has passed.
    for node in ["x", "y"] {
        let empty = LeaseArgs {
            node,
            ..LeaseArgs::default()
        };
        leader.decide(START + RETURN_HOLD, &empty);
    }
    let again = LeaseArgs {
        returned: &[],
        ..request
    };
    let decision = leader.decide(START + RETURN_HOLD, &again);
    assert_eq!(leader.names(&decision), items("idle", 0..1));
}

/// Guards against a request that is held open while its node has sent a later one: what it states of
/// the node's items is outdated, and would free those that run.
#[test]
fn an_outdated_request_frees_and_leases_nothing() {
    let mut leader = Leader::new(two_services());
    leader.submit("idle", 8, 20_000);
    let services = capacity(&[("idle", 2)]);
    let first = LeaseArgs {
        node: "x",
        want: 2,
        services: Some(&services),
        number: 1,
        ..LeaseArgs::default()
    };
    let second = LeaseArgs { number: 2, ..first };
    let decision = leader.decide(START, &second);
    assert_eq!(leader.names(&decision), items("idle", 0..2));
    let outdated = leader.decide(START, &first);
    assert!(outdated.is_superseded);
    assert_eq!((outdated.leased, outdated.freed), (vec![], vec![]));
    assert_eq!(leader.lease("y", 2, &[("idle", 2)]), items("idle", 2..4));
    // The same request once more, because its answer was lost, counts.
    let decision = leader.decide(START, &second);
    assert_eq!(leader.names(&decision), items("idle", 0..2));
}

/// Guards against requests that cost more the more items of other services wait: with 50,000 in
/// front, and with as many that may not run in the node's region.
#[test]
fn a_request_does_not_pass_through_the_items_of_full_services() {
    let mut restricted = route("home", &["idle"]);
    restricted.allowed_regions = AllowedRegions::from_list(["here".to_owned()]);
    let routes = vec![
        route("busy", &["busy"]),
        route("idle", &["idle"]),
        restricted,
    ];
    let mut leader = Leader::new(table(routes));
    leader.region = Some("away");
    for job in 0..50 {
        leader.submit_as("busy", &format!("busy-{job}"), 1_000, 20_000);
        leader.submit_as("home", &format!("home-{job}"), 1_000, 20_000);
    }
    leader.submit("idle", 20, 30_000);
    assert_eq!(leader.lease("x", 4, &[("idle", 4)]), items("idle", 0..4));
    let jobs_passed_over = 50;
    assert!(
        leader.book.examined() < jobs_passed_over + 20,
        "{}",
        leader.book.examined()
    );
}

/// Guards against the same faults where leases are divided among tenants.
#[test]
fn a_division_among_tenants_heeds_what_a_node_can_start() {
    let settings = LeaseSettings {
        shares_among_tenants: true,
        ..LeaseSettings::default()
    };
    let mut leader = Leader::with_settings(two_services(), settings);
    leader.submit("busy", 120, 20_000);
    leader.submit("idle", 20, 30_000);
    assert_eq!(leader.lease("x", 4, &[("idle", 3)]), items("idle", 0..3));
    assert_eq!(leader.lease("y", 4, &[("busy", 1)]), items("busy", 0..1));
}
