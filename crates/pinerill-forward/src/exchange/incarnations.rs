//! Cancellation of exchanges with worker incarnations that were replaced by a later one.
//!
//! An incarnation is one run of a worker's process. A connection to an earlier incarnation may
//! stay open without an error: a machine that stops responding sends no TCP reset. So each
//! exchange holds the cancellation token of the incarnation it was sent to, and the token is
//! cancelled when the directory lists a later incarnation of the same worker.

use std::collections::HashMap;
use std::sync::{Arc, Weak};

use parking_lot::Mutex;
use pinerill_calls::directory::{WorkerEntry, WorkerId};
use tokio_util::sync::CancellationToken;

/// Cancellation token of one worker incarnation. It is cancelled once a later incarnation of the
/// worker is listed, which proves that this one has ended.
pub(super) type IncarnationToken = Arc<CancellationToken>;

/// Tokens of the worker incarnations that have exchanges in flight. Only the exchanges own the
/// tokens; this map refers to them weakly.
#[derive(Default)]
pub(super) struct IncarnationTokens {
    by_worker: Mutex<HashMap<WorkerId, Weak<CancellationToken>>>,
}

impl IncarnationTokens {
    /// Returns the token that all exchanges with one incarnation share, and creates it for the
    /// first of them.
    pub(super) fn token_for(&self, worker: &WorkerId) -> IncarnationToken {
        let mut tokens = self.by_worker.lock();
        if let Some(token) = tokens.get(worker).and_then(Weak::upgrade) {
            return token;
        }
        let token = IncarnationToken::default();
        tokens.insert(worker.clone(), Arc::downgrade(&token));
        token
    }

    /// Cancels the tokens of incarnations for which `listed` holds a later one, and removes the
    /// tokens that no exchange holds any more.
    pub(super) fn cancel_superseded(&self, listed: &[WorkerEntry]) {
        let names = listed.iter().map(|entry| (entry.id.name(), &entry.id));
        let listed: HashMap<&str, &WorkerId> = names.collect();
        self.by_worker.lock().retain(|worker, token| {
            let Some(token) = token.upgrade() else {
                return false;
            };
            let newest = listed.get(worker.name());
            let is_superseded =
                newest.is_some_and(|newest| newest.started_at_ms() > worker.started_at_ms());
            if is_superseded {
                token.cancel();
            }
            !is_superseded
        });
    }
}
