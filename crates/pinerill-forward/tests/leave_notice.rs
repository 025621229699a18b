//! Guards against sending requests to a worker after its leave notice has expired.
//!
//! Readings of the list, watches, a node's own readings and a worker's answers arrive in any order,
//! late or never; leaders change; the worker leaves at some moment. The rule that knowledge is
//! dated from its origin is simulated next to defective variants, in which knowledge is dated later
//! than its origin or replaced by older knowledge; the simulation must detect each of them.

use pinerill_calls::directory::{
    Directory, DirectoryHistory, DirectoryUpdate, WorkerEntry, WorkerId, WorkerState,
};
use pinerill_forward::fleet::{ChoiceSettings, Eligibility, Fleet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOTICE_MS: u64 = 3_000;
const SEEDS: u64 = 2_000;
const STEPS: usize = 300;
const LONGEST_STEP_MS: u64 = 120;
/// Minimum number of steps at which the worker may be sent to. Without it the test would also pass
/// if the worker were hardly ever used.
const MIN_SENDING_STEPS: usize = 10_000;

/// Time from which the age of knowledge is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AgeBasis {
    /// Its origin: the start of the reading, or the time at which the worker was asked.
    Origin,
    /// The leader's answer: the directory counts as fresh whenever the leader answers.
    LeaderAnswer,
    /// The end of the reading.
    ReadingEnd,
    /// The receipt of the leader's answer: the age in the answer is subtracted from that time
    /// instead of the time of the request.
    AnswerReceipt,
    /// The worker's answer.
    WorkerAnswer,
    /// The origin, but a node's own reading replaces its knowledge even if that is newer.
    AcceptsOlderReading,
}

struct Watch {
    asked_ms: u64,
    arrived_ms: Option<u64>,
}

struct Answer {
    asked_ms: u64,
    update: Option<DirectoryUpdate>,
    age_ms: Option<u64>,
}

struct Reading {
    began_ms: u64,
    workers: Vec<WorkerEntry>,
}

struct Simulation {
    age_basis: AgeBasis,
    random: StdRng,
    now_ms: u64,
    left_ms: Option<u64>,
    leader: DirectoryHistory,
    leader_reading: Option<Reading>,
    watch: Option<Watch>,
    answer: Option<Answer>,
    directory: Option<Directory>,
    own_reading: Option<Reading>,
    /// When the worker's health was requested, and whether it answered that it stays, once it did.
    health_check: Option<(u64, Option<bool>)>,
    fleet: Fleet,
}

fn worker_id() -> WorkerId {
    WorkerId::new("w", None)
}

impl Simulation {
    fn new(age_basis: AgeBasis, seed: u64) -> Self {
        let settings = ChoiceSettings {
            leave_notice_ms: NOTICE_MS,
            ..ChoiceSettings::default()
        };
        Simulation {
            age_basis,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            left_ms: None,
            leader: DirectoryHistory::default(),
            leader_reading: None,
            watch: None,
            answer: None,
            directory: None,
            own_reading: None,
            health_check: None,
            fleet: Fleet::new("z", settings),
        }
    }

    /// Returns the workers that the list shows. A leaving worker is listed as draining for
    /// `NOTICE_MS` and then not at all.
    fn listed_workers(&self) -> Vec<WorkerEntry> {
        let gone_ms = self.left_ms.map(|left_ms| left_ms + NOTICE_MS);
        if gone_ms.is_some_and(|gone_ms| self.now_ms > gone_ms) {
            return Vec::new();
        }
        let state = match self.left_ms {
            Some(_) => WorkerState::Draining,
            None => WorkerState::Ready,
        };
        vec![WorkerEntry {
            id: worker_id(),
            service: "s".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "z".to_owned(),
            slots: 4,
            state,
            cold_left_ms: 0,
            version: None,
        }]
    }

    fn begin_reading(&self) -> Option<Reading> {
        Some(Reading {
            began_ms: self.now_ms,
            workers: self.listed_workers(),
        })
    }

    fn end_leader_reading(&mut self) {
        let Some(reading) = self.leader_reading.take() else {
            return;
        };
        let known_since_ms = match self.age_basis {
            AgeBasis::ReadingEnd => self.now_ms,
            _ => reading.began_ms,
        };
        self.leader.record_reading(known_since_ms, reading.workers);
    }

    fn answer_watch(&mut self) {
        let Some(Watch {
            asked_ms,
            arrived_ms: Some(arrived_ms),
        }) = self.watch.take()
        else {
            return;
        };
        self.answer = Some(Answer {
            asked_ms,
            update: self
                .leader
                .update_from(self.directory.as_ref().map(Directory::digest)),
            age_ms: self.leader.age_ms(arrived_ms),
        });
    }

    fn receive_answer(&mut self) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        if let Some(update) = answer.update {
            self.directory = Directory::apply_update(self.directory.as_ref(), update).ok();
            if let Some(directory) = &self.directory {
                self.fleet.apply_directory(self.now_ms, directory.workers());
            }
        }
        let (Some(_), Some(age_ms)) = (&self.directory, answer.age_ms) else {
            return;
        };
        let listed_ms = match self.age_basis {
            AgeBasis::LeaderAnswer => self.now_ms as i64,
            AgeBasis::AnswerReceipt => self.now_ms as i64 - age_ms as i64,
            _ => answer.asked_ms as i64 - age_ms as i64,
        };
        self.fleet.confirm_directory(listed_ms);
    }

    fn end_own_reading(&mut self) {
        let Some(reading) = self.own_reading.take() else {
            return;
        };
        let began_ms = reading.began_ms as i64;
        self.directory = None;
        if self.age_basis == AgeBasis::AcceptsOlderReading {
            self.fleet.apply_directory(self.now_ms, &reading.workers);
            self.fleet.confirm_directory(began_ms);
        } else {
            let (now_ms, fleet) = (self.now_ms, &mut self.fleet);
            let _ = fleet.apply_listing(now_ms, began_ms, &reading.workers);
        }
    }

    fn receive_health_answer(&mut self) {
        if let Some((asked_ms, Some(true))) = self.health_check.take() {
            let known_since_ms = match self.age_basis {
                AgeBasis::WorkerAnswer => self.now_ms,
                _ => asked_ms,
            };
            self.fleet.confirm_worker(known_since_ms, &worker_id());
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.gen_range(0..LONGEST_STEP_MS);
        match self.random.gen_range(0..100) {
            0..=23 => self.leader_reading = self.leader_reading.take().or(self.begin_reading()),
            24..=30 => self.end_leader_reading(),
            31 => {
                self.leader = DirectoryHistory::default();
                self.leader_reading = None;
            }
            32..=46 => {
                self.watch = Some(Watch {
                    asked_ms: self.now_ms,
                    arrived_ms: None,
                });
            }
            47..=60 => {
                if let Some(watch) = &mut self.watch {
                    watch.arrived_ms.get_or_insert(self.now_ms);
                }
            }
            61..=72 => self.answer_watch(),
            73..=84 => self.receive_answer(),
            85 => self.own_reading = self.own_reading.take().or(self.begin_reading()),
            86 => self.end_own_reading(),
            87..=90 => self.health_check = Some((self.now_ms, None)),
            91..=94 => {
                let is_staying = self.left_ms.is_none();
                if let Some((_, answer)) = &mut self.health_check {
                    answer.get_or_insert(is_staying);
                }
            }
            95..=97 => self.receive_health_answer(),
            _ => {
                self.left_ms.get_or_insert(self.now_ms);
            }
        }
    }

    fn may_send(&self) -> bool {
        self.fleet.eligibility(self.now_ms, &worker_id()) == Eligibility::Confirmed
    }
}

/// Totals over all seeds.
#[derive(Debug, Default)]
struct Outcome {
    /// Number of steps at which something may be sent to the worker.
    sending: usize,
    /// Number of these steps that are after the end of the leave notice.
    late: usize,
}

fn simulate(age_basis: AgeBasis) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(age_basis, seed);
        for _ in 0..STEPS {
            simulation.step();
            if simulation.may_send() {
                outcome.sending += 1;
                let until = simulation.left_ms.map(|left_ms| left_ms + NOTICE_MS);
                outcome.late += usize::from(until.is_some_and(|until| simulation.now_ms >= until));
            }
        }
    }
    outcome
}

#[test]
fn nothing_is_sent_to_a_worker_after_its_leave_notice_expires() {
    let outcome = simulate(AgeBasis::Origin);
    assert_eq!(outcome.late, 0);
    assert!(outcome.sending >= MIN_SENDING_STEPS, "{outcome:?}");
}

#[test]
fn simulation_detects_knowledge_dated_later_than_its_origin() {
    for age_basis in [
        AgeBasis::LeaderAnswer,
        AgeBasis::ReadingEnd,
        AgeBasis::AnswerReceipt,
        AgeBasis::WorkerAnswer,
        AgeBasis::AcceptsOlderReading,
    ] {
        let outcome = simulate(age_basis);
        assert!(
            outcome.late > 0,
            "{age_basis:?} is not detected: {outcome:?}"
        );
    }
}

/// Guards against workers that become unconfirmed, and so unused, without a fault: the list is read
/// once a second, which takes up to 300 ms, and nodes ask twice a second.
#[test]
fn worker_stays_confirmed_while_the_list_is_read_regularly() {
    let mut simulation = Simulation::new(AgeBasis::Origin, 0);
    let mut unconfirmed = 0;
    for tick in 0..3_000_u64 {
        simulation.now_ms = tick * 10;
        match simulation.now_ms % 1_000 {
            0 => simulation.leader_reading = simulation.begin_reading(),
            300 => simulation.end_leader_reading(),
            _ => {}
        }
        if simulation.now_ms % 500 == 250 {
            simulation.receive_answer();
            simulation.watch = Some(Watch {
                asked_ms: simulation.now_ms,
                arrived_ms: Some(simulation.now_ms + 100),
            });
            simulation.answer_watch();
        }
        unconfirmed += usize::from(simulation.now_ms > 2_000 && !simulation.may_send());
    }
    assert_eq!(unconfirmed, 0);
}

/// The clock that dates knowledge continues during a suspension, so what the node knew before has
/// expired when the machine resumes.
#[test]
fn knowledge_from_before_a_suspension_has_expired_after_it() {
    let mut simulation = Simulation::new(AgeBasis::Origin, 0);
    simulation.own_reading = simulation.begin_reading();
    simulation.end_own_reading();
    assert!(simulation.may_send());
    simulation.now_ms += NOTICE_MS;
    assert_eq!(
        simulation
            .fleet
            .eligibility(simulation.now_ms, &worker_id()),
        Eligibility::Unconfirmed
    );
}
