//! The strategy that the product uses: the leader lends tokens to the nodes.

use pinerill_quota::borrower::{Admission, Borrower, Urgency};
use pinerill_quota::lender::{Lender, LONGEST_WAIT_MS};
use pinerill_quota::message::{TenantAsk, TenantLoan};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::{Answer, Call, Strategy, World, TOLERANCE};

/// Network latency in one direction.
const LATENCY_MS: u64 = 1;
const PREFETCH_INTERVAL_MS: u64 = 100;
const TIMEOUT_MS: u64 = 400;
/// Overhead in bytes of one loan request or answer for frames and packets, without the
/// entries for tenants.
const MESSAGE_BYTES: u64 = 120;
const TENANT_ASK_BYTES: u64 = 13;
const TENANT_LOAN_BYTES: u64 = 4;

/// Loan requests in flight; `loans` is `None` if the answer is lost.
struct LoanExchange {
    asked_ms: u64,
    answered_ms: u64,
    asks: Vec<TenantAsk>,
    loans: Option<Vec<TenantLoan>>,
}

#[derive(Default)]
struct Node {
    borrower: Borrower,
    ask: Option<LoanExchange>,
    prefetch_from_ms: u64,
    waiting: Vec<Call>,
}

pub struct Loans {
    nodes: Vec<Node>,
    lender: Lender,
    leaders: u32,
    bytes: u64,
    pub asks: u64,
}

fn tenant_name(tenant: usize) -> String {
    format!("t{tenant}")
}

impl Loans {
    pub fn new(nodes: usize) -> Self {
        Loans {
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            lender: Lender::new(TOLERANCE, 0),
            leaders: 1,
            bytes: 0,
            asks: 0,
        }
    }

    fn ask(&mut self, now_ms: u64, node: usize, world: &World, rng: &mut Pcg64Mcg) {
        let asks = self.nodes[node].borrower.next_asks(now_ms);
        if asks.is_empty() {
            return;
        }
        let is_reachable = world.has_leader && !world.partitioned[node];
        let loans = is_reachable.then(|| {
            let limit_of = |tenant: &str| {
                let number: usize = tenant[1..].parse().ok()?;
                Some(world.tenants[number].limit)
            };
            self.lender
                .lend(now_ms, &format!("n{node}"), &asks, limit_of)
        });
        self.asks += 1;
        self.bytes += 2 * MESSAGE_BYTES;
        self.bytes += asks.len() as u64 * (TENANT_ASK_BYTES + TENANT_LOAN_BYTES);
        let arrives = !rng.gen_bool(world.lost_part);
        let takes_ms = match is_reachable && arrives {
            true => 2 * LATENCY_MS,
            false => TIMEOUT_MS,
        };
        self.nodes[node].ask = Some(LoanExchange {
            asked_ms: now_ms,
            answered_ms: now_ms + takes_ms,
            asks,
            loans: loans.filter(|_| arrives),
        });
    }

    fn settle(&mut self, now_ms: u64, node: usize) -> Vec<(Call, Answer)> {
        let node = &mut self.nodes[node];
        let due = node
            .ask
            .as_ref()
            .is_some_and(|ask| now_ms >= ask.answered_ms);
        if due {
            if let Some(ask) = node.ask.take() {
                if let Some(loans) = ask.loans {
                    node.borrower
                        .apply_loans(now_ms, ask.asked_ms, &ask.asks, &loans);
                }
                let urgent = ask.asks.iter().any(|one| one.urgent > 0);
                node.prefetch_from_ms = now_ms + if urgent { 0 } else { PREFETCH_INTERVAL_MS };
            }
        }
        let mut settled = Vec::new();
        for call in std::mem::take(&mut node.waiting) {
            let tenant = tenant_name(call.tenant);
            match node.borrower.recheck(now_ms, &tenant) {
                Admission::Passes => settled.push((call, Answer::Passes)),
                Admission::LimitReached { .. } => settled.push((call, Answer::Rejected)),
                Admission::Waits if now_ms >= call.sent_ms + LONGEST_WAIT_MS => {
                    node.borrower.cancel_wait(now_ms, &tenant);
                    settled.push((call, Answer::Rejected));
                }
                Admission::Waits => node.waiting.push(call),
            }
        }
        settled
    }
}

impl Strategy for Loans {
    fn admit(&mut self, now_ms: u64, call: Call) -> Answer {
        let node = &mut self.nodes[call.node];
        let tenant = tenant_name(call.tenant);
        match node.borrower.admit(now_ms, &tenant) {
            Admission::Passes => Answer::Passes,
            Admission::LimitReached { .. } => Answer::Rejected,
            Admission::Waits => {
                node.waiting.push(call);
                Answer::Waits
            }
        }
    }

    fn step(&mut self, now_ms: u64, world: &World, rng: &mut Pcg64Mcg) -> Vec<(Call, Answer)> {
        if world.leaders != self.leaders {
            self.leaders = world.leaders;
            self.lender = Lender::new(TOLERANCE, now_ms);
        }
        for node in &world.restarted {
            self.nodes[*node] = Node::default();
        }
        let mut settled = Vec::new();
        for node in 0..self.nodes.len() {
            if world.frozen[node] {
                continue;
            }
            settled.extend(self.settle(now_ms, node));
            let state = &self.nodes[node];
            let may_ask_ahead = now_ms >= state.prefetch_from_ms;
            let asks = state.ask.is_none()
                && match state.borrower.urgency(now_ms) {
                    Urgency::None => false,
                    Urgency::Soon => may_ask_ahead,
                    Urgency::Now => true,
                };
            if asks {
                self.ask(now_ms, node, world, rng);
            }
        }
        settled
    }

    fn return_token(&mut self, now_ms: u64, call: Call, passed_ms: u64) {
        let borrower = &mut self.nodes[call.node].borrower;
        borrower.return_token(now_ms, &tenant_name(call.tenant), passed_ms);
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}
