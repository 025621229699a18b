//! Guards against access without a valid key, denied access to public routes, invalid tenants that
//! pass validation, keys in debug output, and jobs that are attributed to the wrong tenant.

use pinerill_calls::job::CallJobId;
use pinerill_calls::table::{
    AccessDenied, AllowedRegions, BatchLimits, PresentedKey, RequestLimits, Route, RouteIndex,
    RouteKind, RouteTable, Service, TableError, Target, Tenant,
};
use pinerill_quota::limit::RequestLimit;
use pinerill_types::KeyHash;
use proptest::prelude::*;

fn route(name: &str, prefix: &str, kind: RouteKind, is_public: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 3,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        gap_ms: None,
        caller_idle_timeout_ms: None,
        batch: (kind == RouteKind::Batch).then_some(BatchLimits {
            result_target_ms: 1,
            give_up_ms: 1,
            max_waiting_tokens: 0,
        }),
        is_public,
        allowed_regions: AllowedRegions::default(),
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
        rank: None,
        limit: None,
        allowed_regions: AllowedRegions::default(),
    }
}

fn table(tenants: Option<Vec<Tenant>>, public_jobs: bool) -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![
            route("calls", "/c/", RouteKind::Stream, false),
            route("open", "/o/", RouteKind::Repeatable, true),
            route("jobs", "/b/", RouteKind::Batch, public_jobs),
        ],
        services: vec![Service {
            name: "s".to_owned(),
            max_connections: 1,
            slots: None,
            cache_tokens: None,
            health_path: None,
            slow_start: None,
        }],
        limits: RequestLimits::default(),
        tenants,
    }
}

fn key(key: &str) -> PresentedKey {
    PresentedKey::Key(KeyHash::of(key.as_bytes()))
}

fn tenant_of(table: &RouteIndex, path: &str, key: PresentedKey) -> Result<String, AccessDenied> {
    let route = table.route("h", path).expect("a route").clone();
    let access = table.access(&route, key)?;
    Ok(access.name().unwrap_or_default().to_owned())
}

#[test]
fn a_table_without_tenants_grants_access_to_every_caller() {
    let open = RouteIndex::new(table(None, false));
    for key in [PresentedKey::Absent, PresentedKey::Unusable, key("any")] {
        assert_eq!(tenant_of(&open, "/c/", key), Ok(String::new()));
        assert!(open.access_to_jobs("h", key).is_ok());
    }
}

#[test]
fn a_table_with_tenants_requires_a_known_key_except_on_public_routes() {
    let tenants = vec![tenant("a", &["1", "2"]), tenant("b", &["3"])];
    let keyed = RouteIndex::new(table(Some(tenants), false));
    assert_eq!(tenant_of(&keyed, "/c/", key("2")), Ok("a".to_owned()));
    assert_eq!(tenant_of(&keyed, "/o/", key("3")), Ok("b".to_owned()));
    assert_eq!(tenant_of(&keyed, "/o/", key("4")), Ok(String::new()));
    let denied = [
        (PresentedKey::Absent, AccessDenied::NoKey),
        (PresentedKey::Unusable, AccessDenied::UnknownKey),
        (key("4"), AccessDenied::UnknownKey),
    ];
    for (key, reason) in denied {
        assert_eq!(tenant_of(&keyed, "/c/", key), Err(reason));
        assert_eq!(keyed.access_to_jobs("h", key), Err(reason));
        assert_eq!(keyed.access_to_jobs("other", key), Err(reason));
    }
    let without_tenants = RouteIndex::new(table(Some(Vec::new()), true));
    assert_eq!(
        tenant_of(&without_tenants, "/c/", key("1")),
        Err(AccessDenied::UnknownKey)
    );
    assert!(without_tenants
        .access_to_jobs("H:80", PresentedKey::Absent)
        .is_ok());
}

#[test]
fn the_rank_of_a_tenant_overrides_the_rank_of_the_route() {
    let mut urgent = tenant("a", &["1"]);
    urgent.rank = Some(0);
    let tenants = vec![urgent, tenant("b", &["2"])];
    let keyed = RouteIndex::new(table(Some(tenants), false));
    let route = keyed.route("h", "/c/").expect("a route").clone();
    let rank = |presented| {
        keyed
            .access(&route, presented)
            .expect("access")
            .rank(&route)
    };
    assert_eq!((rank(key("1")), rank(key("2"))), (0, 3));
}

#[test]
fn each_fault_of_a_tenant_is_reported() {
    let limited = |rate_per_s: f64, burst: f64| {
        let mut tenant = tenant("a", &["1"]);
        tenant.limit = Some(RequestLimit { rate_per_s, burst });
        vec![tenant]
    };
    let name = |name: &str| name.to_owned();
    let malformed = TableError::MalformedLimit { tenant: name("a") };
    let cases = [
        (
            vec![tenant("a", &["1"]), tenant("b", &["2", "1"])],
            TableError::DuplicateKey { tenant: name("b") },
        ),
        (
            vec![tenant("a", &["1"]), tenant("a", &["2"])],
            TableError::DuplicateTenant { tenant: name("a") },
        ),
        (
            vec![tenant("", &[])],
            TableError::UnusableTenantName { position: 0 },
        ),
        (
            vec![tenant("a\r\nb", &[])],
            TableError::UnusableTenantName { position: 0 },
        ),
        (limited(-1.0, 1.0), malformed.clone()),
        (limited(1.0, f64::NAN), malformed.clone()),
        (limited(f64::INFINITY, 1.0), malformed),
    ];
    for (tenants, fault) in cases {
        assert_eq!(table(Some(tenants), false).check(), Err(fault));
    }
    let twice = tenant("a", &["1", "1"]);
    assert_eq!(table(Some(vec![twice]), false).check(), Ok(()));
}

#[test]
fn debug_output_does_not_contain_keys() {
    let keyed = RouteIndex::new(table(Some(vec![tenant("a", &["secret"])]), false));
    let printed = format!("{keyed:?} {:?}", key("secret"));
    assert!(!printed.contains("secret"));
    assert!(printed.contains("KeyHash(..)"));
}

proptest! {
    /// Guards against job identifiers that mix up the tenant's name and the job's name: two jobs
    /// must be equal only if both names are equal, whichever characters the names contain.
    #[test]
    fn job_identifiers_separate_tenant_and_name(
        tenants in prop::array::uniform2("[ -~]{1,12}"),
        names in prop::array::uniform2("[ -~]{0,12}"),
    ) {
        let [one, other] = [0, 1].map(|index| CallJobId::new(Some(&tenants[index]), &names[index]));
        prop_assert_eq!(one.tenant(), Some(tenants[0].as_str()));
        prop_assert_eq!(one.name(), names[0].as_str());
        let same = tenants[0] == tenants[1] && names[0] == names[1];
        prop_assert_eq!(one == other, same);
        let open = CallJobId::new(None, &names[1]);
        prop_assert_eq!(open.tenant(), None);
        prop_assert_ne!(&one, &open);
        prop_assert_ne!(one.waiting_tokens_key(&names[1]), open.waiting_tokens_key(&names[1]));
    }
}
