//! Limits how many batch items run at one engine.
//!
//! Batch items use the slots that online requests leave free. An engine admits
//! online requests before batch items and preempts batch items for them between
//! two steps, so a slot held by a batch item delays no online request. The cost
//! of batch items for the online tail latency is longer steps. The `tail_weight`
//! of a service says how many free slots batch leaves unused for shorter steps;
//! the next online requests take these slots without a pause of any item.
//!
//! There are two limits. Items are started and resumed up to
//! [`Window::start_limit`] and paused above [`Window::run_limit`]. The slots
//! between the two are reserved for the next arrivals, so that a single short
//! request pauses no item.
//!
//! This module does no I/O and reads no clock; the planner passes in the time.

/// Number of slots of an engine per item that may wait in the engine's queue, so
/// that a slot that becomes free is filled before the node can send another item.
const SLOTS_PER_QUEUED_ITEM: u32 = 8;
/// Exponent of the tail weight in the share of slots that batch leaves to the next
/// arrivals: 7 % at weight 0.8, all slots at 1.0, and nothing below 0.7.
const HEADROOM_EXPONENT: i32 = 12;
/// Upper bound of the share of slots left to arrivals at an engine that runs no
/// online request.
const MAX_IDLE_HEADROOM_SHARE: f64 = 0.25;
/// Time without growth after an online request had to wait, and without items in
/// the engine's queue after a preemption, at weights 0.0 and 1.0, milliseconds.
const ONLINE_DEMAND_DELAY_MS: (f64, f64) = (100.0, 1_000.0);
/// Time after an online arrival before an item is started at the engine, at
/// weights 0.0 and 1.0, milliseconds. The prefill of the item would lengthen the
/// steps that the arrival waits for. Paused items resume without a prefill, so
/// this does not apply to them.
const START_AFTER_ARRIVAL_MS: (f64, f64) = (0.0, 400.0);
/// Time between two starts at one engine, at weights 0.0 and 1.0, milliseconds.
/// Otherwise the successors of items that end together would start together, and
/// their prefills would fill several steps in a row.
const START_INTERVAL_MS: (f64, f64) = (0.0, 50.0);
/// Time between two doublings of the window, at weights 0.0 and 1.0, milliseconds.
const GROWTH_INTERVAL_MS: (f64, f64) = (50.0, 200.0);

/// The settings of a service for sharing engines between online and batch work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowPolicy {
    /// Weight of the online tail latency against batch throughput: at 1.0 only the
    /// tail latency counts, at 0.0 only the throughput.
    pub tail_weight: f64,
    /// Most batch items at one engine.
    pub limit: u32,
}

impl WindowPolicy {
    /// Interpolates linearly between the values for the weights 0.0 and 1.0.
    pub fn interpolate(&self, (throughput, tail): (f64, f64)) -> u64 {
        (throughput + (tail - throughput) * self.tail_weight) as u64
    }
}

/// The known load of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of requests that the engine can run at once.
    pub slots: u32,
    /// Online requests at the engine: an exact count of this node's own and an
    /// estimate of those of other nodes.
    pub online: u32,
}

impl EngineLoad {
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.online)
    }

    /// Returns the number of items that may wait in the engine's queue.
    fn queue_allowance(&self) -> u32 {
        self.slots.div_ceil(SLOTS_PER_QUEUED_ITEM)
    }

    /// Returns the number of slots to leave to the next online arrivals.
    fn headroom(&self, policy: WindowPolicy) -> u32 {
        let share = policy.tail_weight.powi(HEADROOM_EXPONENT);
        let share = match self.online {
            0 => share.min(MAX_IDLE_HEADROOM_SHARE),
            _ => share,
        };
        (share * f64::from(self.slots)).round() as u32
    }
}

/// An event that shows online demand at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnlineSignal {
    /// An online request arrived at the engine.
    Arrival,
    /// The engine preempted a batch item for an online request.
    Preemption,
    /// An online request waits for a slot.
    Waiting,
}

/// The limits on batch items at one engine. They shrink at once when online demand
/// appears and grow by doubling when the slots are free.
#[derive(Debug, Clone, Default)]
pub struct Window {
    run_limit: u32,
    start_limit: u32,
    /// The window does not grow before this time, because an online request waited.
    no_growth_until_ms: u64,
    next_start_ms: u64,
    /// No item may wait in the engine's queue before this time, because the engine
    /// preempted one.
    queue_allowed_from_ms: u64,
    next_growth_ms: u64,
}

impl Window {
    /// Returns the number of items that may keep running; the caller pauses those
    /// beyond it.
    pub fn run_limit(&self) -> u32 {
        self.run_limit
    }

    /// Returns the number of items up to which the caller starts or resumes more;
    /// never above [`Self::run_limit`].
    pub fn start_limit(&self) -> u32 {
        self.start_limit
    }

    /// Returns whether an item may begin its prefill now.
    pub fn allows_start(&self, now_ms: u64) -> bool {
        self.next_start_ms <= now_ms
    }

    /// Records the start of an item, which delays the next start.
    pub fn record_start(&mut self, now_ms: u64, policy: WindowPolicy) {
        let next = now_ms + policy.interpolate(START_INTERVAL_MS);
        self.next_start_ms = self.next_start_ms.max(next);
    }

    /// Shrinks the window at once in response to online demand.
    pub fn apply_signal(
        &mut self,
        now_ms: u64,
        signal: OnlineSignal,
        load: EngineLoad,
        policy: WindowPolicy,
    ) {
        match signal {
            OnlineSignal::Arrival => {
                let next = now_ms + policy.interpolate(START_AFTER_ARRIVAL_MS);
                self.next_start_ms = self.next_start_ms.max(next);
            }
            // No online request had to wait for a preemption, so only the items in
            // the engine's queue are withdrawn.
            OnlineSignal::Preemption => {
                self.queue_allowed_from_ms = now_ms + policy.interpolate(ONLINE_DEMAND_DELAY_MS)
            }
            OnlineSignal::Waiting => {
                self.no_growth_until_ms = now_ms + policy.interpolate(ONLINE_DEMAND_DELAY_MS)
            }
        }
        let kept = match signal {
            OnlineSignal::Waiting => 0,
            _ => self.max_items(now_ms, load, policy),
        };
        self.shrink(now_ms, kept, load, policy);
    }

    /// Applies the current load and lets the window grow if it is due.
    pub fn tick(&mut self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) {
        let max_items = self.max_items(now_ms, load, policy);
        self.shrink(now_ms, max_items, load, policy);
        let target = self.target(now_ms, load, policy);
        let is_delayed = now_ms < self.no_growth_until_ms || now_ms < self.next_growth_ms;
        if self.start_limit >= target || is_delayed {
            return;
        }
        self.start_limit = (self.start_limit * 2).clamp(1, target);
        // Once the window has grown to its target, `run_limit` also covers the slots
        // reserved for arrivals, so that an arrival pauses nothing.
        self.run_limit = match self.start_limit == target {
            true => max_items,
            false => self.run_limit.max(self.start_limit),
        };
        self.next_growth_ms = now_ms + policy.interpolate(GROWTH_INTERVAL_MS);
    }

    fn shrink(&mut self, now_ms: u64, max_items: u32, load: EngineLoad, policy: WindowPolicy) {
        self.run_limit = self.run_limit.min(max_items);
        let target = self.target(now_ms, load, policy);
        self.start_limit = self.start_limit.min(self.run_limit).min(target);
    }

    /// Returns the most items that fit beside the online requests: the free slots,
    /// plus some in the engine's queue unless the engine has just preempted.
    fn max_items(&self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) -> u32 {
        // All slots are headroom, so nothing may run beside online requests.
        let is_exclusive = load.headroom(policy) == load.slots;
        let queue_allowance = match self.queue_allowed_from_ms <= now_ms {
            true => load.queue_allowance(),
            false => 0,
        };
        match load.free() {
            0 => 0,
            _ if is_exclusive => 0,
            free => policy.limit.min(free + queue_allowance),
        }
    }

    /// Returns the number of items up to which the window grows.
    fn target(&self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) -> u32 {
        let max_items = self.max_items(now_ms, load, policy);
        match load.headroom(policy) {
            0 => max_items,
            headroom => max_items.min(load.free().saturating_sub(headroom)),
        }
    }
}
