//! Nodes that tell each other of crashes, under lost, late, doubled and reordered news,
//! zones that are cut off and nodes that start with an empty memory: whatever happens, a
//! request that crashes its workers runs no more than a few times once the nodes that can
//! hear each other have had time to.

mod support;

use std::collections::BTreeMap;

use pinerill_calls::directory::WorkerId;
use pinerill_forward::crash::ledger::{CrashLedger, CrashReport, Verdict, CRASHES_AT_ONE_POINT};
use pinerill_forward::crash::{RequestFingerprint, WorkerStart};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use support::entry;

/// Time within which nodes that hear each other must know, milliseconds.
const NEWS_MS: u64 = 3_000;
/// Runs allowed later than that after the last crash that blocks the request.
const LATER_RUNS: usize = 3;
/// Pause between two tellings of what others may have missed, and how many are told.
const TELL_PAUSE_MS: u64 = 500;
const TOLD_AGAIN: usize = 3;
/// Relays of a zone.
const RELAYS: usize = 2;
/// Chance that a datagram is lost, and that it is doubled.
const LOST: f64 = 0.1;
const DOUBLED: f64 = 0.05;
/// Longest time on the way, milliseconds.
const LATE_MS: u64 = 300;
const DAY_MS: u64 = 30_000;

fn guilty() -> RequestFingerprint {
    RequestFingerprint::of_parts(&[b"guilty"])
}

fn worker(start: usize) -> WorkerStart {
    WorkerStart::of(&entry(WorkerId::new(&format!("start-{start}"), None)))
}

struct SimulatedNode {
    zone: usize,
    /// Among the first of its zone.
    is_relay: bool,
    ledger: CrashLedger,
    /// When it last started, or its zone was cut off or joined again.
    troubled_ms: u64,
    next_telling_ms: u64,
}

/// Datagrams by the time of their arrival: to whom, from whom, what.
type Datagrams = BTreeMap<u64, Vec<(usize, usize, Vec<CrashReport>)>>;

struct Simulation {
    draw: StdRng,
    now_ms: u64,
    nodes: Vec<SimulatedNode>,
    /// Zone that hears no other one.
    cut: Option<usize>,
    on_the_way: Datagrams,
    starts: usize,
    /// When the request ran, and whether its node was out of trouble.
    runs: Vec<(u64, bool)>,
}

impl Simulation {
    fn new(seed: u64, zones: usize, nodes_a_zone: usize) -> Self {
        let nodes = (0..zones * nodes_a_zone).map(|number| SimulatedNode {
            zone: number % zones,
            is_relay: number / zones < RELAYS,
            ledger: CrashLedger::default(),
            troubled_ms: 0,
            next_telling_ms: number as u64 * 37 % TELL_PAUSE_MS,
        });
        Simulation {
            draw: StdRng::seed_from_u64(seed),
            now_ms: 1,
            nodes: nodes.collect(),
            cut: None,
            on_the_way: BTreeMap::new(),
            starts: 0,
            runs: Vec::new(),
        }
    }

    fn send(&mut self, from: usize, to: usize, reports: &[CrashReport]) {
        let (from_zone, to_zone) = (self.nodes[from].zone, self.nodes[to].zone);
        let is_cut = self
            .cut
            .is_some_and(|cut| from_zone == cut || to_zone == cut);
        if from == to || reports.is_empty() || (from_zone != to_zone && is_cut) {
            return;
        }
        if self.draw.gen_bool(LOST) {
            return;
        }
        let copies = if self.draw.gen_bool(DOUBLED) { 2 } else { 1 };
        for _ in 0..copies {
            let arrival = self.now_ms + self.draw.gen_range(1..=LATE_MS);
            let arrivals = self.on_the_way.entry(arrival).or_default();
            arrivals.push((to, from, reports.to_vec()));
        }
    }

    fn tell_zone(&mut self, from: usize, reports: &[CrashReport]) {
        for to in 0..self.nodes.len() {
            if self.nodes[to].zone == self.nodes[from].zone {
                self.send(from, to, reports);
            }
        }
    }

    /// A relay tells those of other zones.
    fn tell_relays(&mut self, from: usize, reports: &[CrashReport]) {
        for to in 0..self.nodes.len() {
            let other = &self.nodes[to];
            if self.nodes[from].is_relay && other.is_relay && other.zone != self.nodes[from].zone {
                self.send(from, to, reports);
            }
        }
    }

    fn hear(&mut self, to: usize, from: usize, reports: &[CrashReport]) {
        let now_ms = self.now_ms;
        let ledger = &mut self.nodes[to].ledger;
        let news = reports.iter().filter(|report| ledger.take(now_ms, report));
        let news: Vec<CrashReport> = news.copied().collect();
        match self.nodes[to].zone == self.nodes[from].zone {
            true => self.tell_relays(to, &news),
            false => self.tell_zone(to, &news),
        }
    }

    fn tell_again(&mut self, from: usize) {
        let now_ms = self.now_ms;
        self.nodes[from].next_telling_ms = now_ms + TELL_PAUSE_MS;
        let reports = self.nodes[from].ledger.to_tell(now_ms, 32);
        let zone = self.nodes[from].zone;
        let near = (0..self.nodes.len()).filter(|to| self.nodes[*to].zone == zone && *to != from);
        let near: Vec<usize> = near.collect();
        let told: Vec<usize> = near
            .choose_multiple(&mut self.draw, TOLD_AGAIN)
            .copied()
            .collect();
        for to in told {
            self.send(from, to, &reports);
        }
        self.tell_relays(from, &reports);
    }

    /// The request comes to a node, which sends it to a worker unless it knows it.
    fn arrive(&mut self, at: usize) {
        let node = &self.nodes[at];
        if node.ledger.verdict(guilty()) == Verdict::Blocked {
            return;
        }
        let is_calm = self.now_ms >= node.troubled_ms + NEWS_MS;
        self.runs.push((self.now_ms, is_calm));
        self.starts += 1;
        let report = CrashReport {
            request: guilty(),
            worker: worker(self.starts),
            reach: 0,
            is_cleared: false,
            age_ms: 0,
        };
        self.nodes[at].ledger.take(self.now_ms, &report);
        self.tell_zone(at, &[report]);
        self.tell_relays(at, &[report]);
    }

    fn trouble(&mut self) {
        let now_ms = self.now_ms;
        match self.draw.gen_range(0..3) {
            0 => {
                let at = self.draw.gen_range(0..self.nodes.len());
                self.nodes[at].ledger = CrashLedger::default();
                self.nodes[at].troubled_ms = now_ms;
            }
            1 => {
                let zone = self.draw.gen_range(0..2);
                self.cut = Some(zone);
                self.note_cut(zone);
            }
            _ => {
                if let Some(zone) = self.cut.take() {
                    self.note_cut(zone);
                }
            }
        }
    }

    fn note_cut(&mut self, zone: usize) {
        let now_ms = self.now_ms;
        for node in self.nodes.iter_mut().filter(|node| node.zone == zone) {
            node.troubled_ms = now_ms;
        }
    }

    fn play(&mut self) {
        while self.now_ms < DAY_MS {
            if let Some(arrived) = self.on_the_way.remove(&self.now_ms) {
                for (to, from, reports) in arrived {
                    self.hear(to, from, &reports);
                }
            }
            for node in 0..self.nodes.len() {
                if self.now_ms >= self.nodes[node].next_telling_ms {
                    self.tell_again(node);
                }
            }
            if self.draw.gen_bool(0.005) {
                let at = self.draw.gen_range(0..self.nodes.len());
                self.arrive(at);
            }
            if self.draw.gen_bool(0.000_3) {
                self.trouble();
            }
            // A zone that is cut off is out of touch as long as it is.
            if let Some(zone) = self.cut {
                self.note_cut(zone);
            }
            self.now_ms += 1;
        }
    }

    /// Runs at calm nodes later than the news of the crash that blocks the request.
    fn later_runs(&self) -> usize {
        let Some((third_ms, _)) = self.runs.get(CRASHES_AT_ONE_POINT - 1) else {
            return 0;
        };
        let later = self
            .runs
            .iter()
            .filter(|(at_ms, is_calm)| *is_calm && *at_ms > third_ms + NEWS_MS);
        later.count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn a_request_that_crashes_its_workers_hardly_runs_once_nodes_had_time_to_hear(
        seed: u64,
        zones in 1_usize..5,
        nodes_a_zone in 1_usize..7,
    ) {
        let mut simulation = Simulation::new(seed, zones, nodes_a_zone);
        simulation.play();
        let later = simulation.later_runs();
        prop_assert!(later <= LATER_RUNS, "{later} of {} runs", simulation.runs.len());
    }
}
