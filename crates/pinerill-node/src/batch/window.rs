//! How many batch items may run at one engine. Pure.
//!
//! Batch uses the slots that online requests leave free. An engine admits
//! online requests before batch and preempts batch for them between two steps,
//! so a slot that batch holds delays nobody; what batch costs the online tail
//! are longer steps. The service's `tail_weight` says how many free slots it
//! gives up for shorter ones: these are also the places that the next arrivals
//! take without anything having to be paused.
//!
//! There are two bounds. Items are started and resumed up to [`Window::open`];
//! they are paused above [`Window::allowed`]. Between them lie the places of
//! the next arrivals, so that a request that comes and goes moves no item.

/// Slots of an engine for each item that waits there beyond them, so that a
/// slot that comes free is filled before the next item can arrive from here.
const SLOTS_PER_SPARE_ITEM: u32 = 8;
/// How steeply the share of slots that batch leaves to the next arrivals rises
/// with the weight: 7 % at 0.8, all at 1.0, and nothing below 0.7.
const HEADROOM_EXPONENT: i32 = 12;
/// Most of that share at an engine without online work.
const IDLE_HEADROOM_SHARE: f64 = 0.25;
/// Time after a request waited before the window grows, and after a preemption
/// before items wait at the engine again, at weights 0.0 and 1.0, milliseconds.
const HOLD_MS: (f64, f64) = (100.0, 1_000.0);
/// Time after an arrival before an item is started at its engine, at weights
/// 0.0 and 1.0, milliseconds: its prefill would lengthen the steps that the
/// arrival waits for. What was paused goes on without a prefill.
const START_HOLD_MS: (f64, f64) = (0.0, 400.0);
/// Time between two starts at one engine, at weights 0.0 and 1.0,
/// milliseconds: items that ended together would else begin together, and
/// their prefills would fill several steps in a row.
const START_PAUSE_MS: (f64, f64) = (0.0, 50.0);
/// Time between two doublings, at weights 0.0 and 1.0, milliseconds.
const GROWTH_PAUSE_MS: (f64, f64) = (50.0, 200.0);

/// What a bundle says about the sharing of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowPolicy {
    /// 1.0: only the online tail counts; 0.0: only batch throughput.
    pub tail_weight: f64,
    /// Most items at one engine.
    pub limit: u32,
}

impl WindowPolicy {
    /// A value between those of the weights 0.0 and 1.0.
    pub fn between(&self, (throughput, tail): (f64, f64)) -> u64 {
        (throughput + (tail - throughput) * self.tail_weight) as u64
    }
}

/// What is known of an engine's load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run at once.
    pub slots: u32,
    /// Online requests there, own ones exact, others estimated.
    pub online: u32,
}

impl EngineLoad {
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.online)
    }

    fn spare(&self) -> u32 {
        self.slots.div_ceil(SLOTS_PER_SPARE_ITEM)
    }

    /// Slots left to the next arrivals.
    fn headroom(&self, policy: WindowPolicy) -> u32 {
        let share = policy.tail_weight.powi(HEADROOM_EXPONENT);
        let share = match self.online {
            0 => share.min(IDLE_HEADROOM_SHARE),
            _ => share,
        };
        (share * f64::from(self.slots)).round() as u32
    }
}

/// A sign of online work at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnlineSign {
    /// A request arrived there.
    Arrival,
    /// The engine preempted batch for it.
    Preemption,
    /// A request waits for a place at an engine.
    Waiting,
}

/// The window of one engine.
#[derive(Debug, Clone, Default)]
pub struct Window {
    allowed: u32,
    open: u32,
    held_until_ms: u64,
    starts_at_ms: u64,
    spare_from_ms: u64,
    grows_at_ms: u64,
}

impl Window {
    /// Items that may go on running now; those beyond are paused.
    pub fn allowed(&self) -> u32 {
        self.allowed
    }

    /// Items up to which more are started or resumed now; never above
    /// `allowed`.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether an item may begin its prefill now.
    pub fn takes_starts(&self, now_ms: u64) -> bool {
        self.starts_at_ms <= now_ms
    }

    /// An item was started.
    pub fn note_start(&mut self, now_ms: u64, policy: WindowPolicy) {
        let next = now_ms + policy.between(START_PAUSE_MS);
        self.starts_at_ms = self.starts_at_ms.max(next);
    }

    /// A sign of online work: falls at once.
    pub fn sign(&mut self, now_ms: u64, sign: OnlineSign, load: EngineLoad, policy: WindowPolicy) {
        match sign {
            OnlineSign::Arrival => {
                let next = now_ms + policy.between(START_HOLD_MS);
                self.starts_at_ms = self.starts_at_ms.max(next);
            }
            // Nobody waited for it; only what waits at the engine goes.
            OnlineSign::Preemption => self.spare_from_ms = now_ms + policy.between(HOLD_MS),
            OnlineSign::Waiting => self.held_until_ms = now_ms + policy.between(HOLD_MS),
        }
        let kept = match sign {
            OnlineSign::Waiting => 0,
            _ => self.most(now_ms, load, policy),
        };
        self.shrink(now_ms, kept, load, policy);
    }

    /// Time has passed, or the load is known anew.
    pub fn tick(&mut self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) {
        let most = self.most(now_ms, load, policy);
        self.shrink(now_ms, most, load, policy);
        let target = self.target(now_ms, load, policy);
        let is_held = now_ms < self.held_until_ms || now_ms < self.grows_at_ms;
        if self.open >= target || is_held {
            return;
        }
        self.open = (self.open * 2).clamp(1, target);
        // A window that has grown to its target keeps the arrivals' places.
        self.allowed = match self.open == target {
            true => most,
            false => self.allowed.max(self.open),
        };
        self.grows_at_ms = now_ms + policy.between(GROWTH_PAUSE_MS);
    }

    fn shrink(&mut self, now_ms: u64, most: u32, load: EngineLoad, policy: WindowPolicy) {
        self.allowed = self.allowed.min(most);
        let target = self.target(now_ms, load, policy);
        self.open = self.open.min(self.allowed).min(target);
    }

    /// Items that may stay beside what is online: its free slots, and some
    /// that wait at the engine unless it had to preempt.
    fn most(&self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) -> u32 {
        let nothing_beside_online = load.headroom(policy) == load.slots;
        let spare = match self.spare_from_ms <= now_ms {
            true => load.spare(),
            false => 0,
        };
        match load.free() {
            0 => 0,
            _ if nothing_beside_online => 0,
            free => policy.limit.min(free + spare),
        }
    }

    /// How far the window opens.
    fn target(&self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) -> u32 {
        let most = self.most(now_ms, load, policy);
        match load.headroom(policy) {
            0 => most,
            headroom => most.min(load.free().saturating_sub(headroom)),
        }
    }
}
