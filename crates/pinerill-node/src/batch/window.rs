//! How many batch items may run at one engine. Pure.
//!
//! The window falls at once at any sign of online work and grows again, by
//! doubling, after a time without one. How far it falls and how long it waits
//! follows the service's `tail_weight`: at 1.0 nothing runs beside online
//! work, at 0.0 batch keeps every slot that online work leaves free.

/// Items beyond the slots of an idle engine, so that a slot that comes free
/// is filled before the next item can arrive from here.
const SPARE_ITEMS: u32 = 2;
/// Time without a sign before the window grows, at weights 0.0 and 1.0,
/// milliseconds.
const HOLD_MS: (f64, f64) = (100.0, 1_000.0);
/// Time between two doublings, at weights 0.0 and 1.0, milliseconds.
const GROWTH_PAUSE_MS: (f64, f64) = (50.0, 200.0);
/// The part of the window that is left when the engine had to preempt.
const PREEMPTION_DIVISOR: u32 = 2;

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
    held_until_ms: u64,
    grows_at_ms: u64,
}

impl Window {
    /// Items that may run now.
    pub fn allowed(&self) -> u32 {
        self.allowed
    }

    /// A sign of online work: falls at once.
    pub fn sign(&mut self, now_ms: u64, sign: OnlineSign, load: EngineLoad, policy: WindowPolicy) {
        let busy = EngineLoad {
            online: load.online.max(1),
            ..load
        };
        let kept = match sign {
            OnlineSign::Arrival => target(busy, policy),
            OnlineSign::Preemption => target(busy, policy) / PREEMPTION_DIVISOR,
            OnlineSign::Waiting => 0,
        };
        self.allowed = self.allowed.min(kept);
        self.held_until_ms = now_ms + policy.between(HOLD_MS);
    }

    /// Time has passed, or the load is known anew.
    pub fn tick(&mut self, now_ms: u64, load: EngineLoad, policy: WindowPolicy) {
        let target = target(load, policy);
        if self.allowed >= target {
            self.allowed = target;
            return;
        }
        if now_ms < self.held_until_ms || now_ms < self.grows_at_ms {
            return;
        }
        self.allowed = (self.allowed * 2).clamp(1, target);
        self.grows_at_ms = now_ms + policy.between(GROWTH_PAUSE_MS);
    }
}

/// How far the window grows: all slots of an idle engine, or the share of the
/// free slots that the weight leaves to batch.
fn target(load: EngineLoad, policy: WindowPolicy) -> u32 {
    if load.online == 0 {
        return policy.limit.min(load.slots + SPARE_ITEMS);
    }
    let free = f64::from(load.slots.saturating_sub(load.online));
    let share = (free * (1.0 - policy.tail_weight)).floor() as u32;
    policy.limit.min(share)
}
