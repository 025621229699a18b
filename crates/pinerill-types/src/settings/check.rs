//! Checks that need more than a field's type.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{ClusterSettings, ControlSettings, LogSettings, NodeSettings, Problem, Settings};
use crate::id::is_name;

/// An election must outlast several heartbeats, or a late one starts it.
const ELECTION_HEARTBEATS: u64 = 3;
/// Levels that the log knows.
const LOG_LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// All problems of the settings; empty when a process may start with them.
pub fn check_settings(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_cluster(&settings.cluster, &mut problems);
    check_log(&settings.log, &mut problems);
    if let Some(control) = &settings.control {
        check_control(&settings.cluster, control, &mut problems);
    }
    if let Some(node) = &settings.node {
        check_node(node, &mut problems);
    }
    check_ports(settings, &mut problems);
    problems
}

fn check_cluster(cluster: &ClusterSettings, problems: &mut Vec<Problem>) {
    if !is_name(&cluster.name) {
        problems.push(Problem::new(
            "cluster.name",
            &cluster.name,
            "1 to 128 of A-Z a-z 0-9 . _ -",
        ));
    }
    if cluster.controls.is_empty() {
        let expected = "at least one IP:PORT of a control machine";
        problems.push(Problem::new("cluster.controls", "[]", expected));
    }
}

fn check_log(log: &LogSettings, problems: &mut Vec<Problem>) {
    if !LOG_LEVELS.contains(&log.level.as_str()) {
        let expected = "error, warn, info or debug";
        problems.push(Problem::new("log.level", &log.level, expected));
    }
    if log.counters_seconds == 0 {
        problems.push(Problem::new("log.counters_seconds", 0, "at least 1"));
    }
}

fn check_control(
    cluster: &ClusterSettings,
    control: &ControlSettings,
    problems: &mut Vec<Problem>,
) {
    check_name("control.name", control.name.as_str(), problems);
    check_name("control.zone", control.zone.as_str(), problems);
    if !cluster.controls.contains(&control.listen) {
        let expected = "one of cluster.controls";
        problems.push(Problem::new("control.listen", control.listen, expected));
    }
    if control.heartbeat_ms == 0 {
        problems.push(Problem::new("control.heartbeat_ms", 0, "at least 1"));
    }
    let shortest = control.heartbeat_ms * ELECTION_HEARTBEATS;
    if control.election_ms < shortest {
        let expected = format!("at least {shortest}, which is 3 heartbeats");
        let value = control.election_ms;
        problems.push(Problem::new("control.election_ms", value, expected));
    }
    if control.snapshot_entries == 0 {
        problems.push(Problem::new("control.snapshot_entries", 0, "at least 1"));
    }
    if control.concurrent_loads == 0 {
        problems.push(Problem::new("control.concurrent_loads", 0, "at least 1"));
    }
}

fn check_node(node: &NodeSettings, problems: &mut Vec<Problem>) {
    check_name("node.name", node.name.as_str(), problems);
    check_name("node.zone", node.zone.as_str(), problems);
    if node.neighbours.contains(&node.zone) {
        let expected = "zones other than node.zone";
        problems.push(Problem::new("node.neighbours", &node.zone, expected));
    }
    let at_least_one = [
        ("node.body_limit_kib", node.body_limit_kib),
        ("node.batch_limit_kib", node.batch_limit_kib),
        ("node.worker_subset", u64::from(node.worker_subset)),
        ("node.report_poll_ms", node.report_poll_ms),
    ];
    for (field, value) in at_least_one {
        if value == 0 {
            problems.push(Problem::new(field, value, "at least 1"));
        }
    }
}

fn check_name(field: &str, value: &str, problems: &mut Vec<Problem>) {
    if !is_name(value) {
        problems.push(Problem::new(field, value, "1 to 128 of A-Z a-z 0-9 . _ -"));
    }
}

fn check_ports(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut addresses: Vec<(&str, SocketAddr)> = Vec::new();
    if let Some(control) = &settings.control {
        addresses.push(("control.listen", control.listen));
        addresses.push(("control.admin", control.admin));
    }
    if let Some(node) = &settings.node {
        addresses.push(("node.listen", node.listen));
        addresses.push(("node.admin", node.admin));
    }
    let mut taken: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (field, address) in addresses {
        if address.port() == 0 {
            problems.push(Problem::new(field, address, "a port above 0"));
        }
        if let Some(other) = taken.insert(address, field) {
            let expected = format!("an address other than {other}'s");
            problems.push(Problem::new(field, address, expected));
        }
    }
}
