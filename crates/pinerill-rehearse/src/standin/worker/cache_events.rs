//! Cache events of a worker: published late and with gaps.

use std::time::Duration;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use super::WorkerArguments;
use crate::ledger::unix_ms;

/// Events kept for readers; older ones are lost to those who are behind.
const KEPT_EVENTS: usize = 4_096;
/// Events in one answer.
const EVENTS_IN_ANSWER: usize = 512;
/// How often a waiting reader looks for events.
const POLL: Duration = Duration::from_millis(20);

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It is cached now.
    Stored,
    /// It is no longer cached.
    Evicted,
}

/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event at its worker; lost ones leave gaps.
    pub sequence: u64,
    /// Number of the engine.
    pub engine: usize,
    /// What happened.
    pub kind: CacheEventKind,
    /// Name of the block that ends the prefix, 16 hexadecimal digits.
    pub prefix: String,
    /// Length of the prefix, in tokens.
    pub tokens: u32,
}

/// An answer to a reader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// What to ask for next.
    pub next: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

#[derive(Debug)]
struct Inner {
    sequence: u64,
    events: std::collections::VecDeque<(u64, CacheEvent)>,
    losses: Pcg64,
}

/// The events of all engines of a worker.
#[derive(Debug)]
pub struct CacheEventLog {
    inner: Mutex<Inner>,
    delay_ms: u64,
    loss_percent: u32,
}

impl CacheEventLog {
    /// An empty log with the worker's delay, losses and seed.
    pub fn new(arguments: &WorkerArguments) -> Self {
        let inner = Inner {
            sequence: 0,
            events: Default::default(),
            losses: Pcg64::seed_from_u64(arguments.seed),
        };
        Self {
            inner: Mutex::new(inner),
            delay_ms: arguments.cache_event_delay_ms,
            loss_percent: arguments.cache_event_loss_percent,
        }
    }

    /// Records an event of now; readers see it later, if it isn't lost.
    pub fn record(&self, engine: usize, kind: CacheEventKind, block: u64, tokens: u32) {
        let visible_at = unix_ms() + self.delay_ms;
        let mut inner = self.inner.lock();
        inner.sequence += 1;
        if inner.losses.gen_range(0..100) < self.loss_percent {
            return;
        }
        let event = CacheEvent {
            sequence: inner.sequence,
            engine,
            kind,
            prefix: format!("{block:016x}"),
            tokens,
        };
        inner.events.push_back((visible_at, event));
        if inner.events.len() > KEPT_EVENTS {
            inner.events.pop_front();
        }
    }

    /// The events after number `after` that are visible by now.
    pub fn read(&self, after: u64) -> CacheEventPage {
        let now = unix_ms();
        let inner = self.inner.lock();
        let events: Vec<CacheEvent> = inner
            .events
            .iter()
            .filter(|(_, event)| event.sequence > after)
            .take_while(|(visible_at, _)| *visible_at <= now)
            .take(EVENTS_IN_ANSWER)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEventPage { next, events }
    }

    /// Like `read`, but waits up to `wait` for an event.
    pub async fn read_or_wait(&self, after: u64, wait: Duration) -> CacheEventPage {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let page = self.read(after);
            if !page.events.is_empty() || tokio::time::Instant::now() >= deadline {
                return page;
            }
            tokio::time::sleep(POLL).await;
        }
    }
}
