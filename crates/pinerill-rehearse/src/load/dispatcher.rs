//! The kit's own simple dispatcher, for baselines: picks an engine by its own
//! counts of what is in flight.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::Arc;

use crate::engine::messages::Priority;

/// How online and batch share the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchPolicy {
    /// Batch goes at the engines' low priority.
    EnginePriority,
    /// Batch is sent like online.
    NoPriority,
    /// The first engines, this many, are for online, the others for batch.
    StaticSplit {
        /// Number of engines for online.
        online_engines: usize,
    },
}

/// One engine as the dispatcher sees it.
#[derive(Debug)]
pub struct EngineEntry {
    /// Address of its worker.
    pub address: SocketAddr,
    /// Its number there.
    pub engine: usize,
    online_in_flight: AtomicU32,
    batch_in_flight: AtomicU32,
}

/// Picks engines.
#[derive(Debug)]
pub struct Dispatcher {
    engines: Vec<Arc<EngineEntry>>,
    policy: DispatchPolicy,
    next: AtomicUsize,
}

/// A request in flight, counted until this is dropped.
#[derive(Debug)]
pub struct InFlight {
    /// Its engine.
    pub entry: Arc<EngineEntry>,
    priority: Priority,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.entry
            .in_flight(self.priority)
            .fetch_sub(1, Ordering::Relaxed);
    }
}

impl EngineEntry {
    /// An engine with nothing in flight.
    pub fn new(address: SocketAddr, engine: usize) -> Self {
        Self {
            address,
            engine,
            online_in_flight: AtomicU32::new(0),
            batch_in_flight: AtomicU32::new(0),
        }
    }

    /// URL of a path at the engine.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}/engines/{}{path}", self.address, self.engine)
    }

    fn in_flight(&self, priority: Priority) -> &AtomicU32 {
        match priority {
            Priority::Online => &self.online_in_flight,
            Priority::Batch => &self.batch_in_flight,
        }
    }

    fn load(&self, policy: DispatchPolicy) -> (u32, u32) {
        let online = self.online_in_flight.load(Ordering::Relaxed);
        let batch = self.batch_in_flight.load(Ordering::Relaxed);
        match policy {
            DispatchPolicy::EnginePriority | DispatchPolicy::StaticSplit { .. } => (online, batch),
            DispatchPolicy::NoPriority => (online + batch, 0),
        }
    }
}

impl Dispatcher {
    /// A dispatcher over `engines`, those of one worker next to each other.
    /// They are taken in turn over the workers, so that a split takes a part
    /// of every worker.
    pub fn new(engines: Vec<EngineEntry>, policy: DispatchPolicy) -> Self {
        let mut engines: Vec<Arc<EngineEntry>> = engines.into_iter().map(Arc::new).collect();
        engines.sort_by_key(|entry| entry.engine);
        Self {
            engines,
            policy,
            next: AtomicUsize::new(0),
        }
    }

    /// The least loaded engine for an online request; ties go round.
    pub fn pick_online(&self) -> Option<InFlight> {
        let engines = self.online_engines();
        let count = engines.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let turns = (0..count).map(|offset| &engines[(first + offset) % count]);
        let entry = turns.min_by_key(|entry| entry.load(self.policy))?;
        Some(Self::in_flight(entry, Priority::Online))
    }

    /// Counts a batch item as in flight at `entry`.
    pub fn begin_batch(&self, entry: &Arc<EngineEntry>) -> InFlight {
        Self::in_flight(entry, Priority::Batch)
    }

    /// The engines that batch may use.
    pub fn batch_engines(&self) -> &[Arc<EngineEntry>] {
        match self.policy {
            DispatchPolicy::StaticSplit { online_engines } => {
                &self.engines[online_engines.min(self.engines.len())..]
            }
            DispatchPolicy::EnginePriority | DispatchPolicy::NoPriority => &self.engines,
        }
    }

    /// The priority that engines are told for batch.
    pub fn batch_priority(&self) -> &'static str {
        match self.policy {
            DispatchPolicy::NoPriority => "online",
            DispatchPolicy::EnginePriority | DispatchPolicy::StaticSplit { .. } => "batch",
        }
    }

    fn online_engines(&self) -> &[Arc<EngineEntry>] {
        match self.policy {
            DispatchPolicy::StaticSplit { online_engines } => {
                &self.engines[..online_engines.min(self.engines.len())]
            }
            DispatchPolicy::EnginePriority | DispatchPolicy::NoPriority => &self.engines,
        }
    }

    fn in_flight(entry: &Arc<EngineEntry>, priority: Priority) -> InFlight {
        entry.in_flight(priority).fetch_add(1, Ordering::Relaxed);
        InFlight {
            entry: entry.clone(),
            priority,
        }
    }
}
