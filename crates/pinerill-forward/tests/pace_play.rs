//! A play of workers that differ in pace and are slow for moments, without sockets or clocks: every
//! node chooses by its own [`Fleet`], which learns from the events, answers and peers it sees.

use std::collections::VecDeque;
use std::time::Duration;

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::protocol::LoadSample;
use pinerill_calls::table::ALL_REGIONS;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, ReportOrder, RequiredSoftware,
    WorkerCount,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 14;
const WORKERS: usize = 22;
const SLOTS: u32 = 4;
/// Time between two events at a worker of speed 1, milliseconds.
const EVENT_MS: f64 = 42.0;
/// Time factors of the workers, in turn.
const UNEVEN: [f64; 3] = [0.6, 1.0, 1.6];
const EVEN: [f64; 3] = [1.0; 3];
/// Work takes this factor longer in a share of the moments.
const SLOW_MOMENT: f64 = 2.5;
const SLOW_MOMENT_SHARE: f64 = 0.15;
const MOMENT_MS: u64 = 600;
/// Calls a second, in turn for a second each.
const CALLS_PER_S: [f64; 3] = [50.0, 200.0, 50.0];
/// Pause between two broadcasts of a node, milliseconds.
const BROADCAST_MS: u64 = 6;
/// Calls of the first seconds, in which paces become known, aren't counted.
const WARM_UP_MS: u64 = 5_000;
const END_MS: u64 = 20_000;
const SEEDS: [u64; 2] = [1, 2];
/// Age in milliseconds below which load samples tell of the moment, where they are used.
const MOMENT_AGE_MS: u64 = 300;

#[derive(Clone, Copy)]
struct Mode {
    speeds: [f64; 3],
    uses_pace: bool,
    moment_age_ms: u64,
    slow_moment_share: f64,
}

struct Call {
    node: usize,
    arrived_ms: u64,
    events: u64,
    began_ms: u64,
    done: f64,
    last_event_ms: Option<u64>,
}

struct SimulatedWorker {
    id: String,
    speed: f64,
    moment: f64,
    running: Vec<Call>,
    waiting: VecDeque<Call>,
}

struct Play {
    mode: Mode,
    random: StdRng,
    nodes: Vec<Fleet>,
    queues: Vec<VecDeque<Call>>,
    workers: Vec<SimulatedWorker>,
    /// Requests on their way to a worker, with the time of their arrival there.
    under_way: VecDeque<(u64, usize, Call)>,
    /// When each node may broadcast again, and the counts of its last broadcast.
    broadcasts: Vec<(u64, Vec<WorkerCount>)>,
    now_ms: u64,
    times: Vec<u64>,
    slot_ms: [u64; 3],
}

/// What callers and workers saw.
struct Outcome {
    mean_ms: f64,
    p95_ms: u64,
    /// Share of slot time in use at the fast, usual and slow workers.
    used: [f64; 3],
}

fn entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(&format!("w{number}"), None),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".to_owned(),
        slots: SLOTS,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

fn peer(node: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 2], node as u16).into()
}

impl Play {
    fn new(seed: u64, mode: Mode) -> Self {
        let entries: Vec<WorkerEntry> = (0..WORKERS).map(entry).collect();
        let settings = ChoiceSettings {
            moment_age_ms: mode.moment_age_ms,
            ..ChoiceSettings::default()
        };
        let fleet = |_| {
            let mut fleet = Fleet::new("z", settings);
            fleet.apply_directory(0, &entries);
            fleet
        };
        let worker = |number: usize| SimulatedWorker {
            id: format!("w{number}"),
            speed: mode.speeds[number % 3],
            moment: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        Play {
            mode,
            random: StdRng::seed_from_u64(seed),
            nodes: (0..NODES).map(fleet).collect(),
            queues: (0..NODES).map(|_| VecDeque::new()).collect(),
            workers: (0..WORKERS).map(worker).collect(),
            under_way: VecDeque::new(),
            broadcasts: vec![(0, Vec::new()); NODES],
            now_ms: 0,
            times: Vec::new(),
            slot_ms: [0; 3],
        }
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < END_MS {
            self.now_ms += 1;
            self.change_moments();
            self.arrive();
            self.place();
            self.reach_workers();
            self.work();
            self.broadcast();
        }
        self.times.sort_unstable();
        let total: u64 = self.times.iter().sum();
        let of_kind = |kind| (0..WORKERS).filter(|worker| worker % 3 == kind).count() as u64;
        let capacity = |kind| of_kind(kind) * u64::from(SLOTS) * (END_MS - WARM_UP_MS);
        let used = |kind: usize| self.slot_ms[kind] as f64 / capacity(kind) as f64;
        Outcome {
            mean_ms: total as f64 / self.times.len() as f64,
            p95_ms: self.times[self.times.len() * 95 / 100],
            used: [used(0), used(1), used(2)],
        }
    }

    fn change_moments(&mut self) {
        if !self.now_ms.is_multiple_of(MOMENT_MS) {
            return;
        }
        for worker in &mut self.workers {
            let is_slow = self.random.gen_bool(self.mode.slow_moment_share);
            worker.moment = if is_slow { SLOW_MOMENT } else { 1.0 };
        }
    }

    fn arrive(&mut self) {
        let rate = CALLS_PER_S[(self.now_ms / 1_000) as usize % 3];
        if !self.random.gen_bool(rate / 1_000.0) {
            return;
        }
        let node = self.random.gen_range(0..NODES);
        self.queues[node].push_back(Call {
            node,
            arrived_ms: self.now_ms,
            events: self.random.gen_range(4..=12),
            began_ms: 0,
            done: 0.0,
            last_event_ms: None,
        });
    }

    fn place(&mut self) {
        let prompt = Prompt::default();
        let request = PlacementRequest {
            service: "s",
            prompt: &prompt,
            except: &[],
            software: RequiredSoftware::Any,
            runs_once: false,
            homes: &ALL_REGIONS,
        };
        for (fleet, queue) in self.nodes.iter_mut().zip(&mut self.queues) {
            while let Some(call) = queue.pop_front() {
                match fleet.place(self.now_ms, &request, false, |_, _| true) {
                    Placement::Available(chosen) => {
                        let id = chosen.entry.id.as_str();
                        fleet.begin_request(self.now_ms, id, chosen.prefill_ms);
                        let worker = id[1..].parse().expect("a number");
                        self.under_way.push_back((self.now_ms + 1, worker, call));
                    }
                    Placement::Full | Placement::NoWorker => {
                        queue.push_front(call);
                        break;
                    }
                }
            }
        }
    }

    fn reach_workers(&mut self) {
        while self
            .under_way
            .front()
            .is_some_and(|(at_ms, _, _)| *at_ms <= self.now_ms)
        {
            let (_, number, mut call) = self.under_way.pop_front().expect("a call");
            let worker = &mut self.workers[number];
            let node = call.node;
            call.began_ms = self.now_ms;
            match worker.running.len() < SLOTS as usize {
                true => worker.running.push(call),
                false => worker.waiting.push_back(call),
            }
            let sample = LoadSample {
                running: worker.running.len() as u32,
                waiting: worker.waiting.len() as u32,
                slots: SLOTS,
                work_percent: Some((worker.moment * 100.0) as u32),
            };
            self.nodes[node].record_load(self.now_ms, &worker.id, sample);
        }
    }

    fn work(&mut self) {
        for number in 0..WORKERS {
            let worker = &mut self.workers[number];
            if self.now_ms > WARM_UP_MS {
                self.slot_ms[number % 3] += worker.running.len() as u64;
            }
            let step = 1.0 / (EVENT_MS * worker.speed * worker.moment);
            for call in &mut worker.running {
                let before = call.done as u64;
                call.done += step;
                if call.done as u64 == before {
                    continue;
                }
                let last_ms = call.last_event_ms.replace(self.now_ms);
                if let Some(last_ms) = last_ms.filter(|_| self.mode.uses_pace) {
                    let gap = Duration::from_millis(self.now_ms - last_ms);
                    self.nodes[call.node].record_gap(self.now_ms, &worker.id, gap);
                }
            }
            let is_done = |call: &mut Call| call.done as u64 >= call.events;
            for call in worker.running.extract_if(.., is_done) {
                let fleet = &mut self.nodes[call.node];
                fleet.end_request(&worker.id);
                fleet.record_run(
                    &worker.id,
                    Duration::from_millis(self.now_ms - call.began_ms),
                );
                if call.arrived_ms > WARM_UP_MS {
                    self.times.push(self.now_ms - call.arrived_ms);
                }
            }
            while worker.running.len() < SLOTS as usize {
                let Some(call) = worker.waiting.pop_front() else {
                    break;
                };
                worker.running.push(call);
            }
        }
    }

    fn broadcast(&mut self) {
        let order = ReportOrder {
            start: 1,
            sequence: self.now_ms,
        };
        for node in 0..NODES {
            let sends_paces = self.now_ms.is_multiple_of(1_000);
            if sends_paces {
                self.nodes[node].refresh_paces(self.now_ms);
            }
            let (pause_ms, sent) = &mut self.broadcasts[node];
            let mut counts = self.nodes[node].in_flight(self.now_ms);
            counts.sort_unstable_by_key(|count| count.worker.hash_with_node(peer(0)));
            let is_due = self.now_ms >= *pause_ms && counts != *sent;
            if !is_due && !sends_paces {
                continue;
            }
            *pause_ms = self.now_ms + BROADCAST_MS;
            sent.clone_from(&counts);
            let paces = match sends_paces {
                true => self.nodes[node].take_unsent_paces(self.now_ms),
                false => Vec::new(),
            };
            for other in (0..NODES).filter(|other| *other != node) {
                let fleet = &mut self.nodes[other];
                fleet.record_peer_counts(self.now_ms, peer(node), order, counts.clone());
                if !paces.is_empty() {
                    fleet.record_peer_paces(self.now_ms, peer(node), order, &paces);
                }
            }
        }
    }
}

/// Plays all seeds and returns the mean times and the p95 times, one of each seed.
fn play(name: &str, mode: Mode) -> (Vec<f64>, Vec<u64>) {
    let outcomes = SEEDS.map(|seed| {
        let outcome = Play::new(seed, mode).run();
        println!(
            "{name}, seed {seed}: mean {:.0} ms, p95 {} ms, slot time in use {:.2?}",
            outcome.mean_ms, outcome.p95_ms, outcome.used
        );
        (outcome.mean_ms, outcome.p95_ms)
    });
    outcomes.into_iter().unzip()
}

#[test]
fn calls_end_sooner_on_uneven_workers() {
    let mode = |uses_pace, moment_age_ms| Mode {
        speeds: UNEVEN,
        uses_pace,
        moment_age_ms,
        slow_moment_share: SLOW_MOMENT_SHARE,
    };
    let (equal, equal_p95) = play("equal", mode(false, 0));
    let (paced, paced_p95) = play("pace", mode(true, 0));
    play("pace and moments", mode(true, MOMENT_AGE_MS));
    for seed in 0..SEEDS.len() {
        assert!(
            paced[seed] < equal[seed] * 0.9,
            "{paced:?} against {equal:?}"
        );
        assert!(
            paced_p95[seed] <= equal_p95[seed],
            "{paced_p95:?} against {equal_p95:?}"
        );
    }
}

#[test]
fn even_workers_are_served_as_without_paces() {
    let mode = |uses_pace, moment_age_ms, slow_moment_share| Mode {
        speeds: EVEN,
        uses_pace,
        moment_age_ms,
        slow_moment_share,
    };
    let without = play("even and steady, equal", mode(false, 0, 0.0));
    let with = play("even and steady, pace", mode(true, 0, 0.0));
    assert_eq!(with, without);
    // Slow moments exceed the tolerance at times; then calls must not take longer.
    let (without, _) = play("even, equal", mode(false, 0, SLOW_MOMENT_SHARE));
    let (with, _) = play("even, pace", mode(true, 0, SLOW_MOMENT_SHARE));
    play(
        "even, pace and moments",
        mode(true, MOMENT_AGE_MS, SLOW_MOMENT_SHARE),
    );
    for seed in 0..SEEDS.len() {
        assert!(with[seed] < without[seed] * 1.02, "{with:?} {without:?}");
    }
}
