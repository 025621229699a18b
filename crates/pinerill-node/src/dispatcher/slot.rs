//! Slots of engines that are held by this node's online requests.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::engine_choice::EngineChoice;
use super::Dispatcher;
use crate::membership::Engine;

/// Holds a slot of an engine for one online request. Dropping it releases the slot and assigns
/// free slots to queued requests.
pub struct SlotGuard {
    /// The engine that the slot belongs to.
    pub engine: Arc<Engine>,
    /// Accounts for the request's tokens that the engine has yet to prefill. The holder takes
    /// it out and drops it when the prefill ends.
    pub pending_prefill: Option<PendingPrefill>,
    dispatcher: Arc<Dispatcher>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.engine.online.fetch_sub(1, Ordering::Relaxed);
        self.dispatcher.assign_free_slots();
    }
}

/// Counts prompt tokens of one request in `Engine::pending_tokens` until it is dropped.
pub struct PendingPrefill {
    engine: Arc<Engine>,
    tokens: u32,
}

impl PendingPrefill {
    fn new(engine: Arc<Engine>, tokens: u32) -> Self {
        engine.pending_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self { engine, tokens }
    }
}

impl Drop for PendingPrefill {
    fn drop(&mut self) {
        let pending = &self.engine.pending_tokens;
        pending.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}

impl Dispatcher {
    /// Takes a slot of the chosen engine and counts the arrival as a sign of online work there.
    /// Also wakes the batch scheduler if this node schedules the engine's batch work.
    pub(super) fn take_slot(self: &Arc<Self>, choice: EngineChoice) -> SlotGuard {
        let engine = choice.engine;
        engine.online.fetch_add(1, Ordering::Relaxed);
        engine.count_online_activity();
        if engine.worker.is_driven() {
            self.fleet.online_arrived.notify_one();
        }
        let pending_prefill = PendingPrefill::new(engine.clone(), choice.uncached_tokens);
        SlotGuard {
            engine,
            pending_prefill: Some(pending_prefill),
            dispatcher: self.clone(),
        }
    }
}
