//! Checks a bundle as a whole: every problem names the field and what would
//! be right.

use std::fmt;

use super::change::BundleChange;
use super::document::{Bundle, Model, Service, Tenant};
use super::entry::EntryKind;
use crate::id::{is_name, ModelName, ServiceName, TenantName};

/// Shortest configuration lease, milliseconds: below it, a node would stop
/// serving at each election.
const LEASE_MINIMUM_MS: u64 = 2_000;
/// Hexadecimal digits of a key or a hash of 32 bytes.
const HEX_LENGTH: usize = 64;
/// All of a service's traffic, per cent.
const ALL_PERCENT: u32 = 100;

/// One thing that is wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The field, as a dotted path.
    pub field: String,
    /// The value found.
    pub value: String,
    /// What would be right.
    pub expected: String,
}

impl Problem {
    /// A problem of `field` with `value`.
    pub fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: value.to_string(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: `{}` is wrong: {}",
            self.field, self.value, self.expected
        )
    }
}

/// All problems of a bundle; empty when it may be rolled out.
pub fn check_bundle(bundle: &Bundle) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_policy(bundle, &mut problems);
    check_names(bundle, &mut problems);
    for (name, operator) in &bundle.operators {
        let field = format!("operators.{name}.public_key");
        check_hex(&field, &operator.public_key, &mut problems);
    }
    for (name, model) in &bundle.models {
        check_model(name.as_str(), model, &mut problems);
    }
    for (name, service) in &bundle.services {
        check_service(bundle, name, service, &mut problems);
    }
    for (name, tenant) in &bundle.tenants {
        check_tenant(bundle, name.as_str(), tenant, &mut problems);
    }
    problems
}

/// Problems that `change` brought into `bundle`, which has it applied already.
///
/// Costs time in proportion to the change, except that all services are
/// checked after a change of models, and all tenants after one that removes a
/// service. Finds a problem exactly when [`check_bundle`] does, provided the
/// bundle before the change had none.
pub fn check_change(bundle: &Bundle, change: &BundleChange) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_policy(bundle, &mut problems);
    for entry in &change.set {
        check_name(entry.key.kind, &entry.key.name, &mut problems);
        check_entry(bundle, entry.key.kind, &entry.key.name, &mut problems);
    }
    let set = change.set.iter().map(|entry| entry.key.kind);
    let removed = change.removed.iter().map(|key| key.kind);
    if set.chain(removed).any(|kind| kind == EntryKind::Model) {
        for (name, service) in &bundle.services {
            check_service(bundle, name, service, &mut problems);
        }
    }
    let mut removed = change.removed.iter().map(|key| key.kind);
    if removed.any(|kind| kind == EntryKind::Service) {
        for (name, tenant) in &bundle.tenants {
            check_tenant(bundle, name.as_str(), tenant, &mut problems);
        }
    }
    problems
}

fn check_entry(bundle: &Bundle, kind: EntryKind, name: &str, problems: &mut Vec<Problem>) {
    match kind {
        EntryKind::Policy => {}
        EntryKind::Operator => {
            if let Some(operator) = bundle.operators.get(&name.into()) {
                let field = format!("operators.{name}.public_key");
                check_hex(&field, &operator.public_key, problems);
            }
        }
        EntryKind::Model => {
            if let Some(model) = bundle.models.get(&ModelName::from(name)) {
                check_model(name, model, problems);
            }
        }
        EntryKind::Service => {
            let name = ServiceName::from(name);
            if let Some(service) = bundle.services.get(&name) {
                check_service(bundle, &name, service, problems);
            }
        }
        EntryKind::Tenant => {
            if let Some(tenant) = bundle.tenants.get(&TenantName::from(name)) {
                check_tenant(bundle, name, tenant, problems);
            }
        }
    }
}

fn check_policy(bundle: &Bundle, problems: &mut Vec<Problem>) {
    let policy = &bundle.policy;
    let operators = bundle.operators.len() as u32;
    if policy.sign_offs == 0 || policy.sign_offs > operators {
        problems.push(Problem::new(
            "policy.sign_offs",
            policy.sign_offs,
            format!("between 1 and the {operators} operators of this bundle"),
        ));
    }
    if policy.configuration_lease_ms < LEASE_MINIMUM_MS {
        problems.push(Problem::new(
            "policy.configuration_lease_ms",
            policy.configuration_lease_ms,
            format!("at least {LEASE_MINIMUM_MS}"),
        ));
    }
    if policy.result_retention_hours == 0 {
        problems.push(Problem::new(
            "policy.result_retention_hours",
            0,
            "at least 1",
        ));
    }
}

fn check_names(bundle: &Bundle, problems: &mut Vec<Problem>) {
    for name in bundle.operators.keys() {
        check_name(EntryKind::Operator, name.as_str(), problems);
    }
    for name in bundle.models.keys() {
        check_name(EntryKind::Model, name.as_str(), problems);
    }
    for name in bundle.services.keys() {
        check_name(EntryKind::Service, name.as_str(), problems);
    }
    for name in bundle.tenants.keys() {
        check_name(EntryKind::Tenant, name.as_str(), problems);
    }
}

fn check_name(kind: EntryKind, name: &str, problems: &mut Vec<Problem>) {
    if kind != EntryKind::Policy && !is_name(name) {
        problems.push(Problem::new(
            format!("{kind:?} name").to_lowercase(),
            name,
            "1 to 128 of A-Z a-z 0-9 . _ -",
        ));
    }
}

fn check_hex(field: &str, value: &str, problems: &mut Vec<Problem>) {
    let digits = value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if value.len() != HEX_LENGTH || !digits {
        problems.push(Problem::new(field, value, "64 hexadecimal digits"));
    }
}

fn check_model(name: &str, model: &Model, problems: &mut Vec<Problem>) {
    if !is_name(&model.version) {
        problems.push(Problem::new(
            format!("models.{name}.version"),
            &model.version,
            "1 to 128 of A-Z a-z 0-9 . _ -",
        ));
    }
    if model.weights.is_empty() {
        problems.push(Problem::new(
            format!("models.{name}.weights"),
            "",
            "a path in the weight store",
        ));
    }
    let placement = model.placement;
    if (placement.prefill == 0) != (placement.decode == 0) {
        problems.push(Problem::new(
            format!("models.{name}.placement"),
            format!("prefill {}, decode {}", placement.prefill, placement.decode),
            "both or neither above 0",
        ));
    }
}

fn check_service(
    bundle: &Bundle,
    name: &ServiceName,
    service: &Service,
    problems: &mut Vec<Problem>,
) {
    let field = |suffix: &str| format!("services.{name}.{suffix}");
    match bundle.models.get(&service.model) {
        None => problems.push(Problem::new(
            field("model"),
            &service.model,
            "one of this bundle's models",
        )),
        Some(model) => {
            let unknown = service
                .adapter
                .as_ref()
                .filter(|adapter| !model.adapters.contains_key(*adapter));
            if let Some(adapter) = unknown {
                let expected = format!("an adapter of model `{}`", service.model);
                problems.push(Problem::new(field("adapter"), adapter, expected));
            }
        }
    }
    if let Some(script) = &service.script {
        if script.share_percent > ALL_PERCENT {
            let value = script.share_percent;
            problems.push(Problem::new(
                field("script.share_percent"),
                value,
                "0 to 100",
            ));
        }
        if script.addresses.is_empty() {
            problems.push(Problem::new(
                field("script.addresses"),
                "[]",
                "at least one IP:PORT",
            ));
        }
    }
    if !(0.0..=1.0).contains(&service.sharing.tail_weight) {
        let value = service.sharing.tail_weight;
        problems.push(Problem::new(
            field("sharing.tail_weight"),
            value,
            "0.0 to 1.0",
        ));
    }
    if service.sharing.batch_attempts == 0 {
        problems.push(Problem::new(
            field("sharing.batch_attempts"),
            0,
            "at least 1",
        ));
    }
    if service.deadline_ms == 0 {
        problems.push(Problem::new(field("deadline_ms"), 0, "at least 1"));
    }
    if service.queue_ms > service.deadline_ms {
        let value = service.queue_ms;
        problems.push(Problem::new(
            field("queue_ms"),
            value,
            "at most deadline_ms",
        ));
    }
}

fn check_tenant(bundle: &Bundle, name: &str, tenant: &Tenant, problems: &mut Vec<Problem>) {
    for (index, hash) in tenant.key_hashes.iter().enumerate() {
        check_hex(
            &format!("tenants.{name}.key_hashes[{index}]"),
            hash,
            problems,
        );
    }
    for service in &tenant.services {
        if !bundle.services.contains_key(service) {
            problems.push(Problem::new(
                format!("tenants.{name}.services"),
                service,
                "one of this bundle's services",
            ));
        }
    }
    if tenant.requests_per_second.is_nan() || tenant.requests_per_second <= 0.0 {
        problems.push(Problem::new(
            format!("tenants.{name}.requests_per_second"),
            tenant.requests_per_second,
            "above 0",
        ));
    }
}
