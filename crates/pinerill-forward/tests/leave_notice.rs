//! Nothing new goes to a worker later than its notice allows, whatever news come or don't.
//!
//! Readings of the list, watches, a node's own readings and a worker's answers come in any
//! order, late, or never; leaders change; the worker leaves at some moment. The design is played
//! beside defects of it: knowledge that is counted from a moment later than its origin, or that
//! older knowledge replaces.

use pinerill_calls::directory::{
    Directory, DirectoryHistory, DirectoryUpdate, WorkerEntry, WorkerId, WorkerState,
};
use pinerill_forward::fleet::{ChoiceSettings, Fleet, Standing};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOTICE_MS: u64 = 3_000;
const RUNS: u64 = 2_000;
const STEPS: usize = 300;
const LONGEST_STEP_MS: u64 = 120;
/// That nothing is sent late would be no proof if the worker were hardly sent to at all.
const LEAST_SENDING_STEPS: usize = 10_000;

/// From when on knowledge is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Counting {
    /// From its origin: the beginning of the reading, the question to the worker.
    Origin,
    /// The directory is fresh whenever the leader answers.
    LeaderAnswers,
    /// From the end of the reading.
    ReadingEnds,
    /// The age told is counted back from the receipt of the answer, not from the question.
    AnswerComes,
    /// From the worker's answer.
    WorkerAnswers,
    /// From its origin, but a node's own reading is taken in whatever it knows by then.
    OlderReadingTaken,
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
    shown: Vec<WorkerEntry>,
}

struct World {
    counting: Counting,
    random: StdRng,
    now_ms: u64,
    left_ms: Option<u64>,
    leader: DirectoryHistory,
    leader_reading: Option<Reading>,
    watch: Option<Watch>,
    answer: Option<Answer>,
    held: Option<Directory>,
    own_reading: Option<Reading>,
    /// When the worker was asked, and what it said, once it did.
    question: Option<(u64, Option<bool>)>,
    fleet: Fleet,
}

fn worker_id() -> WorkerId {
    WorkerId::new("w", None)
}

impl World {
    fn new(counting: Counting, seed: u64) -> Self {
        let settings = ChoiceSettings {
            leave_notice_ms: NOTICE_MS,
            ..ChoiceSettings::default()
        };
        World {
            counting,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            left_ms: None,
            leader: DirectoryHistory::default(),
            leader_reading: None,
            watch: None,
            answer: None,
            held: None,
            own_reading: None,
            question: None,
            fleet: Fleet::new("z", settings),
        }
    }

    /// The list shows a worker no more some time after it was shown as leaving.
    fn shown(&self) -> Vec<WorkerEntry> {
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
        }]
    }

    fn begin_reading(&self) -> Option<Reading> {
        Some(Reading {
            began_ms: self.now_ms,
            shown: self.shown(),
        })
    }

    fn end_leaders_reading(&mut self) {
        let Some(reading) = self.leader_reading.take() else {
            return;
        };
        let counted_ms = match self.counting {
            Counting::ReadingEnds => self.now_ms,
            _ => reading.began_ms,
        };
        self.leader.record_reading(counted_ms, reading.shown);
    }

    fn leader_answers(&mut self) {
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
                .update_from(self.held.as_ref().map(Directory::digest)),
            age_ms: self.leader.age_ms(arrived_ms),
        });
    }

    fn answer_comes(&mut self) {
        let Some(answer) = self.answer.take() else {
            return;
        };
        if let Some(update) = answer.update {
            self.held = Directory::apply_update(self.held.as_ref(), update).ok();
            if let Some(directory) = &self.held {
                self.fleet.take_directory(self.now_ms, directory.workers());
            }
        }
        let (Some(_), Some(age_ms)) = (&self.held, answer.age_ms) else {
            return;
        };
        let listed_ms = match self.counting {
            Counting::LeaderAnswers => self.now_ms as i64,
            Counting::AnswerComes => self.now_ms as i64 - age_ms as i64,
            _ => answer.asked_ms as i64 - age_ms as i64,
        };
        self.fleet.confirm_directory(listed_ms);
    }

    fn end_own_reading(&mut self) {
        let Some(reading) = self.own_reading.take() else {
            return;
        };
        let began_ms = reading.began_ms as i64;
        self.held = None;
        if self.counting == Counting::OlderReadingTaken {
            self.fleet.take_directory(self.now_ms, &reading.shown);
            self.fleet.confirm_directory(began_ms);
        } else {
            let (now_ms, fleet) = (self.now_ms, &mut self.fleet);
            let _ = fleet.take_reading(now_ms, began_ms, &reading.shown);
        }
    }

    fn worker_answers(&mut self) {
        if let Some((asked_ms, Some(true))) = self.question.take() {
            let counted_ms = match self.counting {
                Counting::WorkerAnswers => self.now_ms,
                _ => asked_ms,
            };
            self.fleet.confirm_worker(counted_ms, &worker_id());
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.gen_range(0..LONGEST_STEP_MS);
        match self.random.gen_range(0..100) {
            0..=23 => self.leader_reading = self.leader_reading.take().or(self.begin_reading()),
            24..=30 => self.end_leaders_reading(),
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
            61..=72 => self.leader_answers(),
            73..=84 => self.answer_comes(),
            85 => self.own_reading = self.own_reading.take().or(self.begin_reading()),
            86 => self.end_own_reading(),
            87..=90 => self.question = Some((self.now_ms, None)),
            91..=94 => {
                let stays = self.left_ms.is_none();
                if let Some((_, said)) = &mut self.question {
                    said.get_or_insert(stays);
                }
            }
            95..=97 => self.worker_answers(),
            _ => {
                self.left_ms.get_or_insert(self.now_ms);
            }
        }
    }

    fn sends(&self) -> bool {
        self.fleet.standing(self.now_ms, &worker_id()) == Standing::Confirmed
    }
}

/// What came out of many runs.
#[derive(Debug, Default)]
struct Outcome {
    /// Steps at which something would be sent to the worker.
    sending: usize,
    /// Those later than its notice allows.
    late: usize,
}

fn play(counting: Counting) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..RUNS {
        let mut world = World::new(counting, seed);
        for _ in 0..STEPS {
            world.step();
            if world.sends() {
                outcome.sending += 1;
                let until = world.left_ms.map(|left_ms| left_ms + NOTICE_MS);
                outcome.late += usize::from(until.is_some_and(|until| world.now_ms >= until));
            }
        }
    }
    outcome
}

#[test]
fn nothing_is_sent_to_a_worker_later_than_its_notice_allows() {
    let outcome = play(Counting::Origin);
    assert_eq!(outcome.late, 0);
    assert!(outcome.sending >= LEAST_SENDING_STEPS, "{outcome:?}");
}

#[test]
fn knowledge_counted_from_later_than_its_origin_breaks_the_notice() {
    for counting in [
        Counting::LeaderAnswers,
        Counting::ReadingEnds,
        Counting::AnswerComes,
        Counting::WorkerAnswers,
        Counting::OlderReadingTaken,
    ] {
        let outcome = play(counting);
        assert!(outcome.late > 0, "{counting:?} is not caught: {outcome:?}");
    }
}

/// Where all goes well, a worker that stays is never in doubt: the list is read once a second,
/// which takes up to 300 ms, and nodes ask twice a second.
#[test]
fn a_worker_is_not_in_doubt_while_the_list_is_read_as_usual() {
    let mut world = World::new(Counting::Origin, 0);
    let mut in_doubt = 0;
    for tick in 0..3_000_u64 {
        world.now_ms = tick * 10;
        match world.now_ms % 1_000 {
            0 => world.leader_reading = world.begin_reading(),
            300 => world.end_leaders_reading(),
            _ => {}
        }
        if world.now_ms % 500 == 250 {
            world.answer_comes();
            world.watch = Some(Watch {
                asked_ms: world.now_ms,
                arrived_ms: Some(world.now_ms + 100),
            });
            world.leader_answers();
        }
        in_doubt += usize::from(world.now_ms > 2_000 && !world.sends());
    }
    assert_eq!(in_doubt, 0);
}

/// A suspended machine's clock of beliefs goes on, so that what it knew has run out as it wakes.
#[test]
fn what_was_known_before_a_suspension_has_run_out_after_it() {
    let mut world = World::new(Counting::Origin, 0);
    world.own_reading = world.begin_reading();
    world.end_own_reading();
    assert!(world.sends());
    world.now_ms += NOTICE_MS;
    assert_eq!(
        world.fleet.standing(world.now_ms, &worker_id()),
        Standing::Unconfirmed
    );
}
