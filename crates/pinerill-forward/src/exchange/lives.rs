//! Exchanges with workers that have started again end at once.
//!
//! A connection to the earlier start may never say that it is dead: a machine that fell
//! silent sends no reset. So each exchange watches over the life of the start that it talks
//! to, which ends when a later start of the same worker is listed.

use std::collections::HashMap;
use std::sync::{Arc, Weak};

use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use tokio_util::sync::CancellationToken;

/// The life of one start of a worker; cancelled when it has ended for certain.
pub(super) type Life = Arc<CancellationToken>;

/// Starts of workers with which there are exchanges.
#[derive(Default)]
pub(super) struct Lives {
    by_worker: Mutex<HashMap<WorkerId, Weak<CancellationToken>>>,
}

impl Lives {
    /// The life of a start, for one more exchange with it.
    pub(super) fn of(&self, worker: &WorkerId) -> Life {
        let mut lives = self.by_worker.lock();
        if let Some(life) = lives.get(worker).and_then(Weak::upgrade) {
            return life;
        }
        let life = Life::default();
        lives.insert(worker.clone(), Arc::downgrade(&life));
        life
    }

    /// Ends the lives of starts of which a later one is listed, and forgets those with
    /// which there is no exchange.
    pub(super) fn end_earlier(&self, listed: &[WorkerEntry]) {
        let names = listed.iter().map(|entry| (entry.id.name(), &entry.id));
        let listed: HashMap<&str, &WorkerId> = names.collect();
        self.by_worker.lock().retain(|worker, life| {
            let Some(life) = life.upgrade() else {
                return false;
            };
            let newest = listed.get(worker.name());
            let is_earlier =
                newest.is_some_and(|newest| newest.started_at_ms() > worker.started_at_ms());
            if is_earlier {
                life.cancel();
            }
            !is_earlier
        });
    }
}
