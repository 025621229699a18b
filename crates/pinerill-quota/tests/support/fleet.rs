//! Simulates a fleet of several zones whose limits are divided: control machines, of which one
//! leads, and nodes. Messages are late, lost or repeated; machines freeze and restart; zones
//! are cut off. A run depends only on its seed.

use std::collections::{BTreeMap, HashMap};

use pinerill_quota::borrower::{Admission, Borrower, Urgency};
use pinerill_quota::bucket::TokenBucket;
use pinerill_quota::follow_up::{combined, follow_up};
use pinerill_quota::fraction::divided_tolerance;
use pinerill_quota::leader::LeaderLender;
use pinerill_quota::lender::{Lender, LONGEST_WAIT_MS};
use pinerill_quota::limit::RequestLimit;
use pinerill_quota::message::{TenantAsk, TenantLoan};
use pinerill_quota::part::PartHolder;
use pinerill_quota::renewal::{PartAnswer, PartRequest, PART_LIFETIME_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{excess, poisson, TOLERANCE};

pub const ZONES: usize = 3;
pub const MACHINES: usize = 6;
const RENEWAL_MS: u64 = 225;
const ZONE_LENDER_TIMEOUT_MS: u64 = 75;
const AVOIDANCE_MS: u64 = 1_000;
const REFUSAL_MEMORY_MS: u64 = 500;
const LEADER_TIMEOUT_MS: u64 = 400;
const PREFETCH_INTERVAL_MS: u64 = 100;

pub fn zone_of(number: usize) -> usize {
    number % ZONES
}

/// How limits are enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The leader alone lends.
    SingleLender,
    /// Limits are divided among zones.
    Divided,
}

/// Random faults of messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct Network {
    pub lost: f64,
    pub repeated: f64,
    pub late: f64,
    pub latest_ms: u64,
}

#[derive(Debug, Clone)]
pub struct Tenant {
    pub limit: RequestLimit,
    pub demand_per_s: f64,
    pub nodes: Vec<usize>,
}

/// A call, from its arrival until it is decided.
#[derive(Debug, Clone, Copy)]
struct Call {
    tenant: usize,
    sent_ms: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Renew(PartRequest),
    Renewed(u64, Option<PartAnswer>),
    Borrow(usize, u64, Vec<TenantAsk>),
    /// To the leader.
    BorrowReserve(usize, u64, Vec<TenantAsk>),
    Lent(u64, Vec<Option<TenantLoan>>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Machine(usize),
    Node(usize),
}

impl Process {
    fn zone(self) -> usize {
        match self {
            Process::Machine(number) | Process::Node(number) => zone_of(number),
        }
    }
}

#[derive(Debug, Clone)]
struct Envelope {
    from: Process,
    to: Process,
    /// Number of starts of the receiver for an answer, which a later process doesn't get.
    start: Option<u64>,
    message: Message,
}

struct Machine {
    starts: u64,
    frozen: bool,
    /// Messages received while frozen.
    inbox: Vec<Envelope>,
    holder: PartHolder,
    renew_ms: u64,
    /// Term and state of the leader, also of one that was replaced while it was frozen.
    leading: Option<(u64, LeaderLender, Lender)>,
    limits: HashMap<String, RequestLimit>,
}

struct Exchange {
    id: u64,
    asked_ms: u64,
    to: usize,
    is_second: bool,
    asks: Vec<TenantAsk>,
    /// What applies if the leader is silent.
    without_leader: Vec<Option<TenantLoan>>,
}

#[derive(Default)]
struct Node {
    borrower: Borrower,
    exchange: Option<Exchange>,
    exchanges: u64,
    prefetch_ms: u64,
    avoided: [u64; MACHINES],
    /// The machine that lent last as lender of the zone.
    lender: Option<usize>,
    waiting: Vec<Call>,
}

/// Results of a run, for one tenant or for all.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub arrived: u64,
    pub refused: u64,
    /// Calls that waited 75 ms or longer for a token, or in vain.
    pub slow: u64,
    /// Calls that one bucket for the whole fleet would refuse.
    pub baseline: u64,
    /// Largest sum of the parts of a limit on which processes may act.
    pub largest_sum: u16,
}

pub struct Fleet {
    pub now_ms: u64,
    way: Way,
    rng: Pcg64Mcg,
    network: Network,
    machines: Vec<Machine>,
    nodes: Vec<Node>,
    cut: [bool; ZONES],
    pub term: u64,
    pub leader: Option<usize>,
    elect_ms: u64,
    tenants: Vec<Tenant>,
    limits: Vec<Vec<(u64, RequestLimit)>>,
    runs: Vec<Vec<u64>>,
    flights: BTreeMap<u64, Vec<Envelope>>,
    pub outcome: Outcome,
    buckets: Vec<TokenBucket>,
    pub in_bursts: bool,
}

fn name(tenant: usize) -> String {
    format!("t{tenant}")
}

fn address(machine: usize) -> String {
    format!("m{machine}")
}

impl Fleet {
    pub fn new(way: Way, nodes: usize, tenants: Vec<Tenant>, network: Network, seed: u64) -> Self {
        let mut fleet = Fleet {
            now_ms: 1_000,
            way,
            rng: Pcg64Mcg::seed_from_u64(seed),
            network,
            machines: Vec::new(),
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            cut: [false; ZONES],
            term: 0,
            leader: None,
            elect_ms: 1_000,
            limits: tenants.iter().map(|one| vec![(0, one.limit)]).collect(),
            buckets: tenants
                .iter()
                .map(|one| TokenBucket::with_tokens(0, one.limit.burst))
                .collect(),
            runs: vec![Vec::new(); tenants.len()],
            tenants,
            flights: BTreeMap::new(),
            outcome: Outcome::default(),
            in_bursts: true,
        };
        fleet.machines = (0..MACHINES).map(|one| fleet.machine(one, 0)).collect();
        fleet
    }

    fn machine(&self, number: usize, starts: u64) -> Machine {
        let tolerance = divided_tolerance(&TOLERANCE, ZONES + 1).unwrap();
        Machine {
            starts,
            frozen: false,
            inbox: Vec::new(),
            holder: PartHolder::new(&address(number), tolerance, self.now_ms),
            renew_ms: self.now_ms + number as u64 * 37,
            leading: None,
            limits: self.limits_in_force(),
        }
    }

    fn limits_in_force(&self) -> HashMap<String, RequestLimit> {
        let all = self.tenants.iter().enumerate();
        all.map(|(number, one)| (name(number), one.limit)).collect()
    }

    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].frozen = true;
        self.lose_leader(machine);
    }

    /// Lets a machine go on. A former leader first serves what it received when it still led.
    pub fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        for envelope in std::mem::take(&mut self.machines[machine].inbox) {
            self.receive(envelope, true);
        }
    }

    pub fn is_frozen(&self, machine: usize) -> bool {
        self.machines[machine].frozen
    }

    pub fn restart_machine(&mut self, machine: usize) {
        let starts = self.machines[machine].starts + 1;
        self.machines[machine] = self.machine(machine, starts);
        self.lose_leader(machine);
    }

    pub fn restart_node(&mut self, node: usize) {
        let exchanges = self.nodes[node].exchanges;
        self.nodes[node] = Node {
            exchanges,
            ..Node::default()
        };
    }

    pub fn restart_everything(&mut self) {
        self.flights.clear();
        (0..MACHINES).for_each(|machine| self.restart_machine(machine));
        (0..self.nodes.len()).for_each(|node| self.restart_node(node));
    }

    pub fn set_cut(&mut self, zone: usize, is_cut: bool) {
        self.cut[zone] = is_cut;
        if is_cut && self.leader.is_some_and(|leader| zone_of(leader) == zone) {
            self.leader
                .into_iter()
                .for_each(|one| self.lose_leader(one));
        }
    }

    pub fn is_cut(&self, zone: usize) -> bool {
        self.cut[zone]
    }

    fn lose_leader(&mut self, machine: usize) {
        if self.leader == Some(machine) {
            self.leader = None;
            self.elect_ms = self.now_ms + self.rng.gen_range(500..1_400);
        }
    }

    pub fn set_limit(&mut self, tenant: usize, limit: RequestLimit) {
        self.tenants[tenant].limit = limit;
        self.limits[tenant].push((self.now_ms, limit));
    }

    pub fn set_callers(&mut self, tenant: usize, nodes: Vec<usize>) {
        self.tenants[tenant].nodes = nodes;
    }

    /// Returns the control machine of a zone that holds parts.
    pub fn zone_lender(&self, zone: usize) -> usize {
        let of_zone = (0..MACHINES).filter(|one| zone_of(*one) == zone);
        let mut holding = of_zone.filter(|one| self.machines[*one].holder.holds_any(self.now_ms));
        holding.next().unwrap_or(zone)
    }

    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }

    /// Returns the largest excess over limit and tolerance of any tenant in any window.
    pub fn excess(&mut self) -> f64 {
        let lag_ms = 2 * TOLERANCE.window_ms + PART_LIFETIME_MS;
        let all = self.runs.iter_mut().zip(&self.limits);
        all.map(|(runs, limits)| excess(runs, limits, lag_ms))
            .fold(f64::MIN, f64::max)
    }

    /// Returns the number of admitted calls.
    pub fn admitted(&self) -> usize {
        self.runs.iter().map(Vec::len).sum()
    }

    pub fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += 1;
        self.elect();
        let due = self.flights.remove(&self.now_ms).unwrap_or_default();
        for envelope in due {
            self.receive(envelope, false);
        }
        for machine in 0..MACHINES {
            self.run_machine(machine);
        }
        for tenant in 0..self.tenants.len() {
            self.arrive(tenant);
        }
        for node in 0..self.nodes.len() {
            self.run_node(node);
        }
        if self.way == Way::Divided {
            let sums = (0..self.tenants.len()).map(|tenant| self.sum_of_parts(tenant));
            let largest = sums.max().unwrap_or(0);
            self.outcome.largest_sum = self.outcome.largest_sum.max(largest);
        }
    }

    /// Returns the sum of the parts of a limit on which processes may act now.
    fn sum_of_parts(&self, tenant: usize) -> u16 {
        let (now_ms, tenant) = (self.now_ms, name(tenant));
        let held = self.machines.iter();
        let held = held.map(|machine| machine.holder.part_of(now_ms, &tenant));
        let leading = self.leader.map(|leader| &self.machines[leader].leading);
        let own = leading.and_then(Option::as_ref);
        let own = own.map_or(0, |(_, divided, _)| {
            divided.division().own_part(now_ms, &tenant)
        });
        own + held.sum::<u16>()
    }

    /// Returns the parts of a limit: those of the machines, and last that of the leader.
    pub fn parts(&self, tenant: usize) -> Vec<u16> {
        let machines = self.machines.iter();
        let held = machines.map(|machine| machine.holder.part_of(self.now_ms, &name(tenant)));
        let mut parts: Vec<u16> = held.collect();
        parts.push(self.sum_of_parts(tenant) - parts.iter().sum::<u16>());
        parts
    }

    fn elect(&mut self) {
        if self.leader.is_some() || self.now_ms < self.elect_ms {
            return;
        }
        let able = |one: &usize| !self.machines[*one].frozen && !self.cut[zone_of(*one)];
        let able: Vec<usize> = (0..MACHINES).filter(able).collect();
        if able.len() <= MACHINES / 2 {
            return;
        }
        let leader = able[self.rng.gen_range(0..able.len())];
        self.leader = Some(leader);
        self.term += 1;
        let tolerance = divided_tolerance(&TOLERANCE, ZONES + 1).unwrap();
        let members = (0..MACHINES).map(|one| (address(one), format!("z{}", zone_of(one))));
        let divided = LeaderLender::begin(self.term, self.now_ms, tolerance, members.collect());
        let single = Lender::new(TOLERANCE, self.now_ms);
        self.machines[leader].leading = Some((self.term, divided, single));
    }

    fn send(&mut self, from: Process, to: Process, start: Option<u64>, message: Message) {
        let copies = 1 + usize::from(self.rng.gen_bool(self.network.repeated));
        for _ in 0..copies {
            if self.rng.gen_bool(self.network.lost) {
                continue;
            }
            let crosses = u64::from(from.zone() != to.zone());
            let late_ms = match self.rng.gen_bool(self.network.late) {
                true => self.rng.gen_range(0..self.network.latest_ms),
                false => 0,
            };
            let arrives_ms = self.now_ms + 1 + crosses + late_ms;
            let envelope = Envelope {
                from,
                to,
                start,
                message: message.clone(),
            };
            self.flights.entry(arrives_ms).or_default().push(envelope);
        }
    }

    fn is_linked(&self, from: Process, to: Process) -> bool {
        let (from, to) = (from.zone(), to.zone());
        from == to || !(self.cut[from] || self.cut[to])
    }

    fn receive(&mut self, envelope: Envelope, was_queued: bool) {
        if !was_queued && !self.is_linked(envelope.from, envelope.to) {
            return;
        }
        match envelope.to {
            Process::Machine(number) if self.machines[number].frozen => {
                self.machines[number].inbox.push(envelope);
            }
            Process::Machine(number) => self.serve(number, envelope, was_queued),
            Process::Node(number) => {
                if let Message::Lent(id, loans) = envelope.message {
                    self.settle_exchange(number, id, &loans);
                }
            }
        }
    }

    fn serve(&mut self, number: usize, envelope: Envelope, was_queued: bool) {
        let now_ms = self.now_ms;
        let from = envelope.from;
        let machine = &mut self.machines[number];
        let is_leader = self.leader == Some(number);
        let (start, answer) = match envelope.message {
            Message::Renew(request) => {
                // A leader that froze between its check and its answer goes on with old state.
                let leading = machine.leading.as_mut().filter(|_| is_leader || was_queued);
                let Some((_, lender, _)) = leading else {
                    return;
                };
                let answer = lender.renew(now_ms, &request, &machine.limits);
                (envelope.start, Message::Renewed(request.number, answer))
            }
            Message::Renewed(number, Some(answer)) => {
                if envelope.start == Some(machine.starts) {
                    let limits = &machine.limits;
                    let limit_of = |tenant: &str| limits.get(tenant).copied();
                    machine.holder.apply(now_ms, number, &answer, limit_of);
                    if matches!(answer, PartAnswer::Session(_)) {
                        machine.renew_ms = now_ms;
                    }
                }
                return;
            }
            Message::Borrow(node, id, asks) => {
                let limits = &machine.limits;
                let limit_of = |tenant: &str| limits.get(tenant).copied();
                let node = format!("n{node}");
                let loans = machine.holder.lend(now_ms, &node, &asks, limit_of);
                (None, Message::Lent(id, loans))
            }
            Message::BorrowReserve(node, id, asks) if is_leader => {
                let Some((_, divided, single)) = machine.leading.as_mut() else {
                    return;
                };
                let node = format!("n{node}");
                let limits = &machine.limits;
                let loans = match self.way {
                    Way::Divided => divided.lend(now_ms, &node, &asks, limits),
                    Way::SingleLender => {
                        single.lend(now_ms, &node, &asks, |one| limits.get(one).copied())
                    }
                };
                (
                    None,
                    Message::Lent(id, loans.into_iter().map(Some).collect()),
                )
            }
            _ => return,
        };
        self.send(Process::Machine(number), from, start, answer);
    }

    fn run_machine(&mut self, number: usize) {
        let now_ms = self.now_ms;
        // Route tables reach a machine only while it is connected.
        if now_ms.is_multiple_of(100) && !self.cut[zone_of(number)] {
            self.machines[number].limits = self.limits_in_force();
        }
        let machine = &mut self.machines[number];
        if self.way == Way::SingleLender || machine.frozen || now_ms < machine.renew_ms {
            return;
        }
        machine.renew_ms = now_ms + RENEWAL_MS;
        let Some(leader) = self.leader else {
            return;
        };
        let limits = &machine.limits;
        let limit_of = |tenant: &str| limits.get(tenant).copied();
        let request = machine.holder.next_request(now_ms, limit_of);
        let start = Some(machine.starts);
        let (from, to) = (Process::Machine(number), Process::Machine(leader));
        self.send(from, to, start, Message::Renew(request));
    }

    fn arrive(&mut self, tenant: usize) {
        let factor = match (self.in_bursts, self.now_ms % 5_800 >= 3_400) {
            (false, _) => 1.0,
            (true, true) => 1.9,
            (true, false) => 0.365,
        };
        let expected = self.tenants[tenant].demand_per_s * factor / 1_000.0;
        for _ in 0..poisson(&mut self.rng, expected) {
            let nodes = &self.tenants[tenant].nodes;
            let node = nodes[self.rng.gen_range(0..nodes.len())];
            let sent_ms = self.now_ms;
            self.outcome.arrived += 1;
            let limit = self.tenants[tenant].limit;
            let burst = limit.burst.max(1.0);
            let taken = self.buckets[tenant].take(sent_ms, limit.rate_per_s, burst);
            self.outcome.baseline += u64::from(taken.is_err());
            let call = Call { tenant, sent_ms };
            let admission = self.nodes[node].borrower.admit(sent_ms, &name(tenant));
            self.decide(node, call, admission);
        }
    }

    fn decide(&mut self, node: usize, call: Call, admission: Admission) {
        let waited_ms = self.now_ms - call.sent_ms;
        match admission {
            Admission::Passes => {
                self.outcome.slow += u64::from(waited_ms >= ZONE_LENDER_TIMEOUT_MS);
                self.runs[call.tenant].push(call.sent_ms);
            }
            Admission::LimitReached { .. } => self.outcome.refused += 1,
            Admission::Waits if waited_ms >= LONGEST_WAIT_MS => {
                let borrower = &mut self.nodes[node].borrower;
                borrower.cancel_wait(self.now_ms, &name(call.tenant));
                self.outcome.refused += 1;
                self.outcome.slow += 1;
            }
            Admission::Waits => self.nodes[node].waiting.push(call),
        }
    }

    fn run_node(&mut self, number: usize) {
        self.check_timeout(number);
        for call in std::mem::take(&mut self.nodes[number].waiting) {
            let borrower = &mut self.nodes[number].borrower;
            let admission = borrower.recheck(self.now_ms, &name(call.tenant));
            self.decide(number, call, admission);
        }
        let node = &self.nodes[number];
        let is_due = match node.borrower.urgency(self.now_ms) {
            Urgency::None => false,
            Urgency::Soon => self.now_ms >= node.prefetch_ms,
            Urgency::Now => true,
        };
        if is_due && node.exchange.is_none() {
            self.ask(number);
        }
    }

    /// Returns the lender that a node asks next, and whether it is asked as the leader.
    fn lender_for(&self, number: usize) -> Option<(usize, bool)> {
        let usable = |one: &usize| self.now_ms >= self.nodes[number].avoided[*one];
        let mut near = (0..MACHINES).filter(|one| zone_of(*one) == zone_of(number));
        let of_zone = match self.way {
            Way::Divided => {
                let known = self.nodes[number].lender.filter(usable);
                let lender = known.or_else(|| near.find(usable));
                lender.map(|one| (one, false))
            }
            Way::SingleLender => None,
        };
        of_zone.or_else(|| self.leader.filter(usable).map(|one| (one, true)))
    }

    fn ask(&mut self, number: usize) {
        let Some((to, as_leader)) = self.lender_for(number) else {
            return;
        };
        let now_ms = self.now_ms;
        let asks = self.nodes[number].borrower.next_asks(now_ms);
        if !asks.is_empty() {
            self.begin_exchange(number, to, asks, as_leader.then_some(Vec::new()));
        }
    }

    /// Begins an exchange; `without_leader` is `None` if it is with the zone lender, and empty
    /// if the leader is the first that is asked.
    fn begin_exchange(
        &mut self,
        number: usize,
        to: usize,
        asks: Vec<TenantAsk>,
        without_leader: Option<Vec<Option<TenantLoan>>>,
    ) {
        let node = &mut self.nodes[number];
        node.exchanges += 1;
        let id = node.exchanges;
        let message = match without_leader {
            None => Message::Borrow(number, id, asks.clone()),
            Some(_) => Message::BorrowReserve(number, id, asks.clone()),
        };
        node.exchange = Some(Exchange {
            id,
            asked_ms: self.now_ms,
            to,
            is_second: without_leader.is_some(),
            asks,
            without_leader: without_leader.unwrap_or_default(),
        });
        self.send(Process::Node(number), Process::Machine(to), None, message);
    }

    fn settle_exchange(&mut self, number: usize, id: u64, loans: &[Option<TenantLoan>]) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        let Some(exchange) = node.exchange.take_if(|exchange| exchange.id == id) else {
            return;
        };
        node.prefetch_ms = now_ms + PREFETCH_INTERVAL_MS;
        if exchange.is_second {
            let loans: Vec<TenantLoan> = loans.iter().flatten().copied().collect();
            match exchange.without_leader.is_empty() {
                true => {
                    let asked_ms = exchange.asked_ms;
                    let borrower = &mut node.borrower;
                    borrower.apply_loans(now_ms, asked_ms, &exchange.asks, &loans);
                }
                false => {
                    let loans = combined(&loans, &exchange.without_leader);
                    node.borrower.apply_urgent(now_ms, &exchange.asks, &loans);
                }
            }
            return;
        }
        node.lender = Some(exchange.to);
        if loans.iter().all(Option::is_none) {
            node.avoided[exchange.to] = now_ms + REFUSAL_MEMORY_MS;
            node.lender = None;
        }
        let rest = follow_up(exchange.asks, loans);
        let (asks, loans) = rest.answered;
        node.borrower
            .apply_loans(now_ms, exchange.asked_ms, &asks, &loans);
        self.ask_leader(number, rest.asks, rest.without_leader);
    }

    fn ask_leader(&mut self, number: usize, asks: Vec<TenantAsk>, rest: Vec<Option<TenantLoan>>) {
        let usable = |one: &usize| self.now_ms >= self.nodes[number].avoided[*one];
        match self.leader.filter(usable) {
            _ if asks.is_empty() => {}
            Some(leader) => self.begin_exchange(number, leader, asks, Some(rest)),
            None => self.go_on_without_leader(number, &asks, &rest),
        }
    }

    fn go_on_without_leader(
        &mut self,
        number: usize,
        asks: &[TenantAsk],
        rest: &[Option<TenantLoan>],
    ) {
        let known = asks.iter().zip(rest);
        let known = known.filter_map(|(ask, loan)| Some((ask.clone(), (*loan)?)));
        let (asks, loans): (Vec<_>, Vec<_>) = known.unzip();
        let borrower = &mut self.nodes[number].borrower;
        borrower.apply_urgent(self.now_ms, &asks, &loans);
    }

    fn check_timeout(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[number];
        let timeout_ms = match self.way {
            Way::Divided => ZONE_LENDER_TIMEOUT_MS,
            Way::SingleLender => LEADER_TIMEOUT_MS,
        };
        let is_over = |one: &mut Exchange| now_ms >= one.asked_ms + timeout_ms;
        let Some(exchange) = node.exchange.take_if(is_over) else {
            return;
        };
        if self.way == Way::Divided {
            node.avoided[exchange.to] = now_ms + AVOIDANCE_MS;
        }
        if exchange.is_second {
            self.go_on_without_leader(number, &exchange.asks, &exchange.without_leader);
            return;
        }
        let unanswered = vec![None; exchange.asks.len()];
        let rest = follow_up(exchange.asks, &unanswered);
        self.ask_leader(number, rest.asks, rest.without_leader);
    }
}
