//! Checks that need more than a field's type.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{ClusterSettings, ControlSettings, LogSettings, NodeSettings, Problem, Settings};
use crate::id::is_name;

/// An election must outlast several heartbeats, or a late one starts it.
const ELECTION_HEARTBEATS: u64 = 3;
/// Longest time of any setting, milliseconds: a day.
const LONGEST_MS: u64 = 24 * 60 * 60 * 1_000;
/// Longest time of any setting, seconds.
const LONGEST_SECONDS: u64 = LONGEST_MS / 1_000;
/// Longest body of any setting, KiB: a GiB.
const LARGEST_KIB: u64 = 1_024 * 1_024;
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
    let mut seen = BTreeSet::new();
    for address in &cluster.controls {
        check_port("cluster.controls", *address, problems);
        if !seen.insert(address) {
            let expected = "each address once";
            problems.push(Problem::new("cluster.controls", address, expected));
        }
    }
}

fn check_log(log: &LogSettings, problems: &mut Vec<Problem>) {
    if !LOG_LEVELS.contains(&log.level.as_str()) {
        let expected = "error, warn, info or debug";
        problems.push(Problem::new("log.level", &log.level, expected));
    }
    let (field, value) = ("log.counters_seconds", log.counters_seconds);
    check_range(field, value, 1, LONGEST_SECONDS, problems);
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
    if let Some(platform) = control.platform {
        check_port("control.platform", platform, problems);
    }
    check_election(control, problems);
    let (field, value) = ("control.snapshot_entries", control.snapshot_entries);
    check_at_least_one(field, value, problems);
    let loads = u64::from(control.concurrent_loads);
    check_at_least_one("control.concurrent_loads", loads, problems);
}

fn check_election(control: &ControlSettings, problems: &mut Vec<Problem>) {
    let (heartbeat, election) = (control.heartbeat_ms, control.election_ms);
    let (field, most) = ("control.heartbeat_ms", LONGEST_MS / ELECTION_HEARTBEATS);
    check_range(field, heartbeat, 1, most, problems);
    let shortest = heartbeat.min(most) * ELECTION_HEARTBEATS;
    if heartbeat <= most && election < shortest {
        let expected = format!("at least {shortest}, which is 3 times control.heartbeat_ms");
        problems.push(Problem::new("control.election_ms", election, expected));
    }
    check_range("control.election_ms", election, 0, LONGEST_MS, problems);
}

fn check_node(node: &NodeSettings, problems: &mut Vec<Problem>) {
    check_name("node.name", node.name.as_str(), problems);
    check_name("node.zone", node.zone.as_str(), problems);
    if node.neighbours.contains(&node.zone) {
        let expected = "zones other than node.zone";
        problems.push(Problem::new("node.neighbours", &node.zone, expected));
    }
    let kib = [
        ("node.body_limit_kib", node.body_limit_kib),
        ("node.batch_limit_kib", node.batch_limit_kib),
    ];
    for (field, value) in kib {
        check_range(field, value, 1, LARGEST_KIB, problems);
    }
    let subset = u64::from(node.worker_subset);
    check_at_least_one("node.worker_subset", subset, problems);
    let (field, value) = ("node.report_poll_ms", node.report_poll_ms);
    check_range(field, value, 1, LONGEST_MS, problems);
    let (field, value) = ("node.drain_lead_ms", node.drain_lead_ms);
    check_range(field, value, 0, LONGEST_MS, problems);
    check_range("node.drain_ms", node.drain_ms, 0, LONGEST_MS, problems);
}

fn check_at_least_one(field: &str, value: u64, problems: &mut Vec<Problem>) {
    if value == 0 {
        problems.push(Problem::new(field, value, "at least 1"));
    }
}

fn check_range(field: &str, value: u64, least: u64, most: u64, problems: &mut Vec<Problem>) {
    if value < least {
        problems.push(Problem::new(field, value, format!("at least {least}")));
    }
    if value > most {
        problems.push(Problem::new(field, value, format!("at most {most}")));
    }
}

fn check_port(field: &str, address: SocketAddr, problems: &mut Vec<Problem>) {
    if address.port() == 0 {
        problems.push(Problem::new(field, address, "a port above 0"));
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
    for (index, (field, address)) in addresses.iter().enumerate() {
        check_port(field, *address, problems);
        let earlier = addresses[..index].iter();
        for (other, _) in earlier.filter(|(_, other)| clash(*address, *other)) {
            let expected = format!("an address other than {other}'s");
            problems.push(Problem::new(*field, address, expected));
        }
    }
}

/// Whether one process can't listen at both: the unspecified address takes
/// the port of all.
fn clash(one: SocketAddr, other: SocketAddr) -> bool {
    let either_takes_all = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (one.ip() == other.ip() || either_takes_all)
}
