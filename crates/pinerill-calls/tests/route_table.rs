//! Guards against invalid route tables that pass validation, and against calls that are routed to
//! the wrong route or distributed to targets against their weights.

use pinerill_calls::table::{
    AllowedRegions, RequestLimits, Route, RouteIndex, RouteKind, RouteTable, Service, TableError,
    Target,
};

fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 10,
        slots: Some(4),
        cache_tokens: None,
        health_path: None,
        slow_start: None,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 0,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        gap_ms: None,
        caller_idle_timeout_ms: None,
        batch: None,
        is_public: false,
        allowed_regions: AllowedRegions::default(),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable {
        version: 1,
        routes,
        services: vec![service("s")],
        limits: RequestLimits::default(),
        tenants: None,
    }
}

#[test]
fn a_valid_table_passes_validation() {
    let valid = table(vec![route("a", "h", "/a/"), route("b", "h", "/b/")]);
    assert_eq!(valid.check(), Ok(()));
}

#[test]
fn each_fault_of_a_route_is_reported_with_its_name() {
    let name = || "a".to_owned();
    let mut unknown = route("a", "h", "/a/");
    unknown.targets[0].service = "other".to_owned();
    let mut weightless = route("a", "h", "/a/");
    weightless.targets[0].weight = 0;
    let mut timeless = route("a", "h", "/a/");
    timeless.timeout_ms = 0;
    let unknown_service = TableError::UnknownService {
        route: name(),
        service: "other".to_owned(),
    };
    let doubled = vec![route("b", "h", "/a/"), route("a", "h", "/a/")];
    let cases = [
        (vec![unknown], unknown_service),
        (
            vec![weightless],
            TableError::ZeroTotalWeight { route: name() },
        ),
        (vec![timeless], TableError::ZeroTimeout { route: name() }),
        (
            vec![route("a", "h", "/a")],
            TableError::MalformedPrefix { route: name() },
        ),
        (doubled, TableError::DuplicateRoute { route: name() }),
    ];
    for (invalid, expected) in cases {
        assert_eq!(table(invalid).check(), Err(expected));
    }
}

#[test]
fn services_with_the_same_name_are_rejected() {
    let mut doubled = table(vec![]);
    doubled.services.push(service("s"));
    let expected = TableError::DuplicateService {
        service: "s".to_owned(),
    };
    assert_eq!(doubled.check(), Err(expected));
}

#[test]
fn the_longest_matching_prefix_of_the_host_selects_the_route() {
    let index = RouteIndex::new(table(vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("other", "g", "/a/b/c/"),
    ]));
    let found = |host: &str, path: &str| index.route(host, path).map(|route| route.name.clone());
    assert_eq!(found("h", "/a/b/c/d"), Some("long".to_owned()));
    assert_eq!(found("h", "/a/x"), Some("short".to_owned()));
    assert_eq!(found("H:8080", "/a/x"), Some("short".to_owned()));
    assert_eq!(found("h", "/x"), None);
    assert_eq!(found("unknown", "/a/x"), None);
}

#[test]
fn targets_are_selected_in_proportion_to_their_weights() {
    let mut split = route("a", "h", "/a/");
    split.targets = [("x", 3), ("y", 0), ("z", 1)]
        .map(|(service, weight)| Target {
            service: service.to_owned(),
            weight,
        })
        .to_vec();
    let drawn: Vec<&str> = (0..8)
        .filter_map(|point| split.target_at(point))
        .map(|target| target.service.as_str())
        .collect();
    assert_eq!(drawn, ["x", "x", "x", "z", "x", "x", "x", "z"]);
}

/// Guards against streams that go on at the service to which their route has moved.
#[test]
fn a_change_of_the_table_names_the_services_that_get_streams_of_others() {
    let index = |routes: &[(&str, &[(&str, u64)])]| {
        let routes = routes.iter().map(|(prefix, targets)| Route {
            kind: RouteKind::ResumableStream,
            targets: targets
                .iter()
                .map(|(service, weight)| Target {
                    service: (*service).to_owned(),
                    weight: *weight,
                })
                .collect(),
            ..route("r", "h", prefix)
        });
        RouteIndex::new(table(routes.collect()))
    };
    let moved = |before: &[(&str, &[(&str, u64)])], after: &[(&str, &[(&str, u64)])]| {
        let (before, after) = (index(before), index(after));
        let services = after.services_moved_to(&before);
        services.into_iter().map(str::to_owned).collect::<Vec<_>>()
    };
    let at_a = ("/", &[("a", 1)][..]);
    let at_b = ("/", &[("b", 1)][..]);
    let split = ("/", &[("a", 9), ("b", 1)][..]);
    let unused = ("/", &[("a", 9), ("b", 0)][..]);
    let inner_at_b = ("/x/", &[("b", 1)][..]);
    assert_eq!(moved(&[at_a], &[at_b]), ["b"]);
    assert_eq!(moved(&[split], &[at_b]), ["b"]);
    assert_eq!(moved(&[at_a], &[at_a, inner_at_b]), ["b"]);
    assert_eq!(moved(&[at_a, inner_at_b], &[at_a]), ["a"]);
    // A route with several services is not sure of either one without a record.
    assert!(moved(&[at_a], &[split]).is_empty());
    assert!(moved(&[unused], &[at_a]).is_empty());
    assert!(moved(&[at_a, inner_at_b], &[at_a, inner_at_b]).is_empty());
    assert!(moved(&[], &[at_a]).is_empty());
}
