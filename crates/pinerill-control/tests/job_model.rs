//! Generated runs of the job group's state machine against a naive model,
//! with restores from snapshots and replays over a table that is ahead.

mod common;
mod job_support;

use std::collections::BTreeMap;

use job_support::model::{Model, ModelItem, ModelJob};
use job_support::*;
use pinerill_control::job::{JobMachine, JobReply, LEASE_STEP_LIMIT_MS};
use pinerill_control::machine::StateMachine;
use pinerill_types::job::{AttemptEnd, ItemCounts, ItemState, JobState};
use pinerill_types::JobId;
use pinerill_wire::message::AttemptRef;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TENANTS: [&str; 2] = ["anna", "bela"];
const NODES: [&str; 3] = ["node-0", "node-1", "node-2"];
const ITEMS: u32 = 5;

#[derive(Debug, Clone)]
enum Step {
    Submit {
        tenant: usize,
        key: u8,
        from: usize,
        to: usize,
    },
    Lease {
        node: usize,
        question: Ask,
        limit: u32,
    },
    End {
        pick: usize,
        end: AttemptEnd,
    },
    Renew {
        pick: usize,
    },
    Cancel {
        tenant: usize,
        pick: usize,
    },
    Pass {
        ms: u64,
    },
    Restore,
}

#[derive(Debug, Clone, Copy)]
enum Ask {
    Next,
    Again,
    Overtaken,
    Restarted,
}

fn step() -> impl Strategy<Value = Step> {
    let end = prop_oneof![
        4 => (0..2u8).prop_map(|text| AttemptEnd::Completed(text.to_string())),
        1 => Just(AttemptEnd::Failed("0".into())),
        2 => Just(AttemptEnd::Released),
        1 => Just(AttemptEnd::Indeterminate("0".into())),
    ];
    let question = prop_oneof![
        6 => Just(Ask::Next), 2 => Just(Ask::Again),
        1 => Just(Ask::Overtaken), 1 => Just(Ask::Restarted),
    ];
    let items = ITEMS as usize;
    prop_oneof![
        3 => (0..2usize, 0..3u8, 0..items, 1..=items)
            .prop_map(|(tenant, key, from, to)| Step::Submit { tenant, key, from: from.min(to), to }),
        3 => (0..2usize, 0..3u8)
            .prop_map(|(tenant, key)| Step::Submit { tenant, key, from: 0, to: ITEMS as usize }),
        6 => (0..3usize, question, 0..6u32)
            .prop_map(|(node, question, limit)| Step::Lease { node, question, limit }),
        8 => (any::<usize>(), end).prop_map(|(pick, end)| Step::End { pick, end }),
        2 => any::<usize>().prop_map(|pick| Step::Renew { pick }),
        1 => (0..2usize, any::<usize>()).prop_map(|(tenant, pick)| Step::Cancel { tenant, pick }),
        3 => (1..2 * LEASE_MS).prop_map(|ms| Step::Pass { ms }),
        1 => Just(Step::Restore),
    ]
}

struct Run {
    jobs: Jobs,
    model: Model,
    /// Log length and snapshot at some moment.
    saved: (usize, Vec<u8>),
}

impl Run {
    fn submit(&mut self, tenant: usize, key: u8, from: usize, to: usize) {
        let mut whole = job(TENANTS[tenant], &key.to_string(), ITEMS);
        for item in whole.items.iter_mut().step_by(2) {
            item.at_most_once = true;
        }
        let response = self.jobs.submit(&part(&whole, from, to));
        let new = ModelJob {
            whole,
            state: JobState::Receiving,
            items: Vec::new(),
        };
        let model = self.model.jobs.entry(response.job).or_insert(new);
        let received = model.items.len();
        if model.state == JobState::Receiving && from <= received {
            for item in model.whole.items.iter().take(to).skip(received) {
                model.items.push(ModelItem {
                    once: item.at_most_once,
                    state: ItemState::Pending,
                    attempt: 0,
                    lapses: 0,
                    report: None,
                    lease: (0, 0, 0),
                    result: String::new(),
                });
            }
            if model.items.len() == ITEMS as usize {
                model.state = JobState::InProgress;
            }
        }
        assert_eq!(response.received as usize, model.items.len());
        assert_eq!(response.state, model.state);
    }

    fn lease(&mut self, number: usize, question: Ask, limit: u32) {
        let model = &mut self.model;
        let node = &mut model.nodes[number];
        let first = node.sequence == 0;
        let question = if first { Ask::Next } else { question };
        match question {
            Ask::Next => node.sequence += 1,
            Ask::Restarted => (node.incarnation, node.sequence) = (node.incarnation + 1, 1),
            Ask::Again | Ask::Overtaken => {}
        }
        let (incarnation, sequence) = (node.incarnation, node.sequence);
        let asked = if matches!(question, Ask::Overtaken) {
            sequence.saturating_sub(1)
        } else {
            sequence
        };
        let leased = self
            .jobs
            .lease(&ask(NODES[number], incarnation, asked, limit));
        let lease = (number, incarnation, model.lease_clock + LEASE_MS);
        if asked < sequence {
            return assert_eq!(leased, [], "overtaken");
        }
        if matches!(question, Ask::Again | Ask::Overtaken) {
            let mut answer = model.nodes[number].answer.clone();
            answer.retain(|attempt| model.is_leased(*attempt));
            assert_eq!(leased, answer);
        } else {
            let reason = "the node that held the lease was restarted";
            model.lapse_where(reason, |item, _| {
                item.lease.0 == number && item.lease.1 != incarnation
            });
            model.settle();
            self.check_new_leases(&leased, limit);
            self.model.nodes[number].answer = leased.clone();
            self.model.attempts.extend(&leased);
        }
        for attempt in leased {
            self.model.item(attempt).lease = lease;
        }
    }

    fn check_new_leases(&mut self, leased: &[AttemptRef], limit: u32) {
        let running = self
            .model
            .jobs
            .values()
            .filter(|job| job.state == JobState::InProgress);
        let items = running.flat_map(|job| &job.items);
        let pending = items
            .filter(|item| item.state == ItemState::Pending)
            .count();
        assert_eq!(leased.len(), pending.min(limit as usize));
        for attempt in leased {
            let item = self.model.item(*attempt);
            assert_eq!(item.state, ItemState::Pending);
            assert_eq!(attempt.attempt, item.attempt + 1);
            item.state = ItemState::Leased;
            item.attempt += 1;
            item.report = None;
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Submit {
                tenant,
                key,
                from,
                to,
            } => self.submit(tenant, key, from, to),
            Step::Lease {
                node,
                question,
                limit,
            } => self.lease(node, question, limit),
            Step::End { pick, end } => {
                if let Some(attempt) = self.pick(pick) {
                    let verdict = self.jobs.end(attempt, end.clone());
                    assert_eq!(verdict, self.model.end(attempt, &end));
                }
            }
            Step::Renew { pick } => {
                if let Some(attempt) = self.pick(pick) {
                    let held = self.jobs.renew(&[attempt]).is_empty();
                    assert_eq!(held, self.model.is_leased(attempt));
                    let ends = self.model.lease_clock + LEASE_MS;
                    let item = self.model.item(attempt);
                    item.lease.2 = if held { ends } else { item.lease.2 };
                }
            }
            Step::Cancel { tenant, pick } => {
                let ids: Vec<JobId> = self.model.jobs.keys().copied().collect();
                if let Some(id) = ids.get(pick % ids.len().max(1)) {
                    let reply = self.jobs.cancel(TENANTS[tenant], *id);
                    let own = self.model.jobs[id].whole.tenant.as_str() == TENANTS[tenant];
                    assert_eq!(matches!(reply, JobReply::Cancelled(_)), own);
                    if own {
                        self.model.cancel(*id);
                    }
                }
            }
            Step::Pass { ms } => {
                self.jobs.now_ms += ms;
                self.model.tell_time(self.jobs.now_ms);
                self.jobs.maintain();
                self.model
                    .lapse_where("the lease ran out", |item, clock| item.lease.2 <= clock);
            }
            Step::Restore => {
                self.saved = (self.jobs.log.len(), self.jobs.machine.snapshot());
                let mut machine = JobMachine::new(0);
                machine.restore(&self.saved.1).unwrap();
                self.jobs.machine = machine;
            }
        }
        self.model.settle();
        self.check();
    }

    fn pick(&self, pick: usize) -> Option<AttemptRef> {
        let attempts = &self.model.attempts;
        attempts.get(pick % attempts.len().max(1)).copied()
    }

    fn check(&self) {
        for (id, job) in &self.model.jobs {
            let tenant = job.whole.tenant.as_str();
            let status = self.jobs.status(tenant, *id).unwrap();
            let count = |state| job.items.iter().filter(|item| item.state == state).count() as u32;
            let unreceived = ITEMS - job.items.len() as u32;
            let cancelled = job.state == JobState::Cancelled;
            let counts = ItemCounts {
                total: ITEMS,
                pending: count(ItemState::Pending),
                leased: count(ItemState::Leased),
                completed: count(ItemState::Completed),
                failed: count(ItemState::Failed),
                cancelled: count(ItemState::Cancelled) + if cancelled { unreceived } else { 0 },
                indeterminate: count(ItemState::Indeterminate),
            };
            assert_eq!((status.state, status.counts), (job.state, counts));
            let results = self.jobs.output(tenant, *id, 2);
            let ended = job.items.iter().filter(|item| item.state.is_final());
            let unreceived = if cancelled { unreceived } else { 0 };
            assert_eq!(results.len(), ended.count() + unreceived as usize);
            for result in results {
                let Some(item) = job.items.get(result.index as usize) else {
                    continue;
                };
                assert_eq!(result.state, item.state);
                if matches!(item.state, ItemState::Completed | ItemState::Failed) {
                    assert_eq!(result.body, item.result);
                }
            }
        }
    }

    /// A replica that starts from a snapshot over a table that is ahead ends
    /// where the others are.
    fn check_replay(&self) {
        let mut machine = JobMachine::new(GROUP);
        machine.restore(&self.saved.1).unwrap();
        let mut table = self.jobs.table.clone();
        for (index, entry) in self.jobs.log.iter().enumerate().skip(self.saved.0) {
            machine
                .apply(index as u64 + 1, entry, &mut table)
                .expect("a command");
        }
        assert_eq!(machine.snapshot(), self.jobs.machine.snapshot());
        assert_eq!(table, self.jobs.table);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn machine_does_what_the_naive_model_does(steps in proptest::collection::vec(step(), 1..80)) {
        let jobs = Jobs::new();
        let saved = (0, jobs.machine.snapshot());
        let model = Model {
            jobs: BTreeMap::new(),
            nodes: Default::default(),
            attempts: Vec::new(),
            lease_clock: LEASE_STEP_LIMIT_MS,
            now_ms: START_MS,
        };
        let mut run = Run { jobs, model, saved };
        for step in steps {
            run.take(step);
        }
        run.check_replay();
    }
}
