//! A place of one online request at an engine.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::choosing::Choice;
use super::Dispatcher;
use crate::membership::Engine;

/// A place of one request at an engine; given back when dropped.
pub struct Place {
    /// The engine.
    pub engine: Arc<Engine>,
    /// What it has still to prefill for the request.
    pub pending_prefill: Option<PendingPrefill>,
    dispatcher: Arc<Dispatcher>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.engine.online.fetch_sub(1, Ordering::Relaxed);
        self.dispatcher.pump();
    }
}

/// Prompt tokens that an engine has still to prefill; counted until dropped.
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
    pub(super) fn take_place(self: &Arc<Self>, choice: Choice) -> Place {
        let engine = choice.engine;
        engine.online.fetch_add(1, Ordering::Relaxed);
        engine.count_online_activity();
        if engine.worker.is_driven() {
            self.fleet.online_arrived.notify_one();
        }
        let pending_prefill = PendingPrefill::new(engine.clone(), choice.uncached_tokens);
        Place {
            engine,
            pending_prefill: Some(pending_prefill),
            dispatcher: self.clone(),
        }
    }
}
