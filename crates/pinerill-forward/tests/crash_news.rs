//! Simulates nodes that exchange crash reports while datagrams are lost, late, duplicated and
//! reordered, zones are partitioned and nodes restart with an empty ledger. A request that crashes
//! its workers may run only a few more times once nodes that can reach each other had time to
//! exchange their reports.

mod support;

use std::collections::BTreeMap;

use pinerill_calls::directory::WorkerId;
use pinerill_forward::crash::ledger::{CrashLedger, CrashReport, Verdict, CRASHES_AT_ONE_POINT};
use pinerill_forward::crash::{RequestFingerprint, WorkerIncarnation};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use support::entry;

/// Time within which nodes that can reach each other must have received a report, milliseconds.
const PROPAGATION_MS: u64 = 3_000;
/// Limit on the runs after that time, counted from the crash that blocks the request.
const MAX_LATER_RUNS: usize = 3;
/// Pause between two resends of reports by a node, milliseconds.
const RESEND_PAUSE_MS: u64 = 500;
/// Number of random nodes of the zone that get each resend.
const RESEND_TARGETS: usize = 3;
/// Number of relays per zone.
const RELAYS: usize = 2;
/// Probability that a datagram is lost.
const LOSS_PROBABILITY: f64 = 0.1;
/// Probability that a datagram is duplicated.
const DUPLICATION_PROBABILITY: f64 = 0.05;
/// Longest delay of a datagram, milliseconds.
const MAX_DELAY_MS: u64 = 300;
const SIMULATED_MS: u64 = 30_000;

fn crashing_request() -> RequestFingerprint {
    RequestFingerprint::of_parts(&[b"guilty"])
}

fn worker(start: usize) -> WorkerIncarnation {
    WorkerIncarnation::of(&entry(WorkerId::new(&format!("start-{start}"), None)))
}

struct SimulatedNode {
    zone: usize,
    /// Whether it is among the first [`RELAYS`] nodes of its zone.
    is_relay: bool,
    ledger: CrashLedger,
    /// When it last restarted, or its zone was last partitioned or reconnected.
    disturbed_ms: u64,
    next_resend_ms: u64,
}

/// Datagrams by arrival time, as (receiver, sender, reports).
type Datagrams = BTreeMap<u64, Vec<(usize, usize, Vec<CrashReport>)>>;

struct Simulation {
    rng: StdRng,
    now_ms: u64,
    nodes: Vec<SimulatedNode>,
    /// Zone that is partitioned from all others.
    partitioned: Option<usize>,
    in_transit: Datagrams,
    incarnations: usize,
    /// Time of each run of the request, and whether its node was free of faults for long enough.
    runs: Vec<(u64, bool)>,
}

impl Simulation {
    fn new(seed: u64, zones: usize, nodes_a_zone: usize) -> Self {
        let nodes = (0..zones * nodes_a_zone).map(|number| SimulatedNode {
            zone: number % zones,
            is_relay: number / zones < RELAYS,
            ledger: CrashLedger::default(),
            disturbed_ms: 0,
            next_resend_ms: number as u64 * 37 % RESEND_PAUSE_MS,
        });
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 1,
            nodes: nodes.collect(),
            partitioned: None,
            in_transit: BTreeMap::new(),
            incarnations: 0,
            runs: Vec::new(),
        }
    }

    fn send(&mut self, from: usize, to: usize, reports: &[CrashReport]) {
        let (from_zone, to_zone) = (self.nodes[from].zone, self.nodes[to].zone);
        let is_partitioned = self
            .partitioned
            .is_some_and(|partitioned| from_zone == partitioned || to_zone == partitioned);
        if from == to || reports.is_empty() || (from_zone != to_zone && is_partitioned) {
            return;
        }
        if self.rng.gen_bool(LOSS_PROBABILITY) {
            return;
        }
        let copies = if self.rng.gen_bool(DUPLICATION_PROBABILITY) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let arrival = self.now_ms + self.rng.gen_range(1..=MAX_DELAY_MS);
            let arrivals = self.in_transit.entry(arrival).or_default();
            arrivals.push((to, from, reports.to_vec()));
        }
    }

    fn broadcast_to_zone(&mut self, from: usize, reports: &[CrashReport]) {
        for to in 0..self.nodes.len() {
            if self.nodes[to].zone == self.nodes[from].zone {
                self.send(from, to, reports);
            }
        }
    }

    /// Sends reports to the relays of other zones, if the sender is a relay.
    fn send_to_relays(&mut self, from: usize, reports: &[CrashReport]) {
        for to in 0..self.nodes.len() {
            let other = &self.nodes[to];
            if self.nodes[from].is_relay && other.is_relay && other.zone != self.nodes[from].zone {
                self.send(from, to, reports);
            }
        }
    }

    fn receive(&mut self, to: usize, from: usize, reports: &[CrashReport]) {
        let now_ms = self.now_ms;
        let ledger = &mut self.nodes[to].ledger;
        let changed = reports.iter().filter(|report| ledger.merge(now_ms, report));
        let changed: Vec<CrashReport> = changed.copied().collect();
        match self.nodes[to].zone == self.nodes[from].zone {
            true => self.send_to_relays(to, &changed),
            false => self.broadcast_to_zone(to, &changed),
        }
    }

    fn resend(&mut self, from: usize) {
        let now_ms = self.now_ms;
        self.nodes[from].next_resend_ms = now_ms + RESEND_PAUSE_MS;
        let reports = self.nodes[from].ledger.reports_to_resend(now_ms, 32);
        let zone = self.nodes[from].zone;
        let near = (0..self.nodes.len()).filter(|to| self.nodes[*to].zone == zone && *to != from);
        let near: Vec<usize> = near.collect();
        let targets: Vec<usize> = near
            .choose_multiple(&mut self.rng, RESEND_TARGETS)
            .copied()
            .collect();
        for to in targets {
            self.send(from, to, &reports);
        }
        self.send_to_relays(from, &reports);
    }

    /// Lets the request arrive at a node, which runs it at a worker, and crashes that, unless the
    /// request is blocked there.
    fn deliver_request(&mut self, at: usize) {
        let node = &self.nodes[at];
        if node.ledger.verdict(crashing_request()) == Verdict::Blocked {
            return;
        }
        let is_settled = self.now_ms >= node.disturbed_ms + PROPAGATION_MS;
        self.runs.push((self.now_ms, is_settled));
        self.incarnations += 1;
        let report = CrashReport {
            request: crashing_request(),
            worker: worker(self.incarnations),
            last_event: 0,
            is_cleared: false,
            age_ms: 0,
        };
        self.nodes[at].ledger.merge(self.now_ms, &report);
        self.broadcast_to_zone(at, &[report]);
        self.send_to_relays(at, &[report]);
    }

    fn inject_fault(&mut self) {
        let now_ms = self.now_ms;
        match self.rng.gen_range(0..3) {
            0 => {
                let at = self.rng.gen_range(0..self.nodes.len());
                self.nodes[at].ledger = CrashLedger::default();
                self.nodes[at].disturbed_ms = now_ms;
            }
            1 => {
                let zone = self.rng.gen_range(0..2);
                self.partitioned = Some(zone);
                self.mark_zone_disturbed(zone);
            }
            _ => {
                if let Some(zone) = self.partitioned.take() {
                    self.mark_zone_disturbed(zone);
                }
            }
        }
    }

    fn mark_zone_disturbed(&mut self, zone: usize) {
        let now_ms = self.now_ms;
        for node in self.nodes.iter_mut().filter(|node| node.zone == zone) {
            node.disturbed_ms = now_ms;
        }
    }

    fn run(&mut self) {
        while self.now_ms < SIMULATED_MS {
            if let Some(arrived) = self.in_transit.remove(&self.now_ms) {
                for (to, from, reports) in arrived {
                    self.receive(to, from, &reports);
                }
            }
            for node in 0..self.nodes.len() {
                if self.now_ms >= self.nodes[node].next_resend_ms {
                    self.resend(node);
                }
            }
            if self.rng.gen_bool(0.005) {
                let at = self.rng.gen_range(0..self.nodes.len());
                self.deliver_request(at);
            }
            if self.rng.gen_bool(0.000_3) {
                self.inject_fault();
            }
            // The nodes of a partitioned zone count as disturbed until it is reconnected.
            if let Some(zone) = self.partitioned {
                self.mark_zone_disturbed(zone);
            }
            self.now_ms += 1;
        }
    }

    /// Returns the number of runs at undisturbed nodes after the time within which the blocking
    /// crash must be known.
    fn later_runs(&self) -> usize {
        let Some((blocked_ms, _)) = self.runs.get(CRASHES_AT_ONE_POINT - 1) else {
            return 0;
        };
        let later = self
            .runs
            .iter()
            .filter(|(at_ms, is_settled)| *is_settled && *at_ms > blocked_ms + PROPAGATION_MS);
        later.count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn a_crashing_request_runs_only_a_few_times_once_reports_had_time_to_spread(
        seed: u64,
        zones in 1_usize..5,
        nodes_a_zone in 1_usize..7,
    ) {
        let mut simulation = Simulation::new(seed, zones, nodes_a_zone);
        simulation.run();
        let later = simulation.later_runs();
        prop_assert!(later <= MAX_LATER_RUNS, "{later} of {} runs", simulation.runs.len());
    }
}
