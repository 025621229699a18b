//! Limits of submitted jobs by the route table in force.

use pinerill_calls::job::{CallJobId, NewCallJob};
use pinerill_calls::table::{
    AllowedRegions, BatchLimits, RequestLimits, Route, RouteIndex, RouteKind, RouteTable, Target,
};
use pinerill_cluster::job_limits::set_limits;
use proptest::prelude::*;

fn route(name: &str, host: &str, path_prefix: &str, batch: Option<BatchLimits>) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: match batch {
            Some(_) => RouteKind::Batch,
            None => RouteKind::Repeatable,
        },
        batch,
        caller_idle_timeout_ms: None,
        targets: vec![Target {
            service: "svc".to_owned(),
            weight: 1,
        }],
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 0,
        attempts: 3,
        gap_ms: None,
        is_public: false,
        allowed_regions: AllowedRegions::default(),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable {
        version: 2,
        routes,
        services: vec![],
        limits: RequestLimits::default(),
        tenants: None,
    }
}

fn job(host: &str, path: &str) -> NewCallJob {
    NewCallJob {
        id: CallJobId::new(None, "job"),
        host: host.to_owned(),
        path: path.to_owned(),
        items: vec![],
        result_target_ms: 1,
        give_up_ms: 2,
        attempts: 1,
        max_waiting_tokens: 4,
        route: "old".to_owned(),
    }
}

const LIMITS: BatchLimits = BatchLimits {
    result_target_ms: 20_000,
    give_up_ms: 60_000,
    max_waiting_tokens: 500,
};

#[test]
fn a_job_has_the_limits_of_its_route_in_the_table() {
    let general = route("general", "h", "/", Some(LIMITS.clone()));
    let mut special = route("special", "h", "/b/", Some(LIMITS));
    special.attempts = 5;
    let table = table(vec![special, general]);
    let mut limited = job("H:80", "/b/x");
    set_limits(&mut limited, &table);
    let expected = NewCallJob {
        result_target_ms: 20_000,
        give_up_ms: 60_000,
        attempts: 5,
        max_waiting_tokens: 500,
        route: "special".to_owned(),
        ..job("H:80", "/b/x")
    };
    assert_eq!(limited, expected);
}

#[test]
fn a_job_without_a_batch_route_keeps_its_limits() {
    let table = table(vec![
        route("calls", "h", "/", None),
        route("other", "other", "/", Some(LIMITS)),
    ]);
    for host in ["h", "unknown"] {
        let mut unchanged = job(host, "/b/x");
        set_limits(&mut unchanged, &table);
        assert_eq!(unchanged, job(host, "/b/x"));
    }
}

proptest! {
    #[test]
    fn a_table_and_its_index_find_the_same_route(
        routes in prop::collection::btree_set(("[ab]", "/([ab]/){0,3}"), 0..12),
        host in "[abAB](:80)?",
        path in "/([ab]/){0,4}[ab]?",
    ) {
        let routes = routes.iter().map(|(host, prefix)| {
            route(&format!("{host}{prefix}"), host, prefix, None)
        });
        let table = table(routes.collect());
        let index = RouteIndex::new(table.clone());
        let name = |route: &Route| route.name.clone();
        let indexed = index.route(&host, &path).map(|found| name(found));
        prop_assert_eq!(table.route(&host, &path).map(name), indexed);
    }
}
