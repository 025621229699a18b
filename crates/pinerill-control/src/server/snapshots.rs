//! The whole bundle, for nodes that can't follow by changes.
//!
//! After a restart of many nodes all of them need it at once, and at 29,000
//! tenants it has some eight megabytes. It is encoded once for all of them,
//! and a copy that is some changes old is still sent: the node's next watch
//! brings those. Only so many go out at a time: without a bound, sending to
//! hundreds of nodes starves the replicated groups, watches are answered late
//! and unconfirmed, nodes ask again, and the machine never recovers by itself.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_types::bundle::Bundle;
use pinerill_types::Digest;
use pinerill_wire::codec::EncodedBundle;
use tokio::sync::{Mutex as AsyncMutex, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

use super::control::Control;

/// Snapshots that may be on their way at once.
const AT_ONCE: usize = 4;
/// How long one counts as on its way: encoding and sending take about that.
const SENDING_TIME: Duration = Duration::from_millis(200);

/// Changes that may have come after the copy was encoded.
const CHANGES_LIMIT: usize = 64;

/// An encoded bundle and the digest that it had in force.
#[derive(Debug, Clone)]
struct Copy {
    digest: Digest,
    encoded: EncodedBundle,
}

/// The newest encoded bundle, and the places for sending it.
#[derive(Debug)]
pub(super) struct Snapshots {
    copy: Mutex<Option<Copy>>,
    /// Held while one task encodes and the others wait for the result.
    encoding: AsyncMutex<()>,
    places: Arc<Semaphore>,
}

impl Default for Snapshots {
    fn default() -> Self {
        Self {
            copy: Mutex::default(),
            encoding: AsyncMutex::default(),
            places: Arc::new(Semaphore::new(AT_ONCE)),
        }
    }
}

impl Snapshots {
    /// Waits in line for a place.
    pub(super) async fn place(&self) -> Option<OwnedSemaphorePermit> {
        self.places.clone().acquire_owned().await.ok()
    }

    /// Keeps a place taken while its snapshot is on its way.
    pub(super) fn sent(place: OwnedSemaphorePermit) {
        tokio::spawn(async move {
            sleep(SENDING_TIME).await;
            drop(place);
        });
    }
}

impl Control {
    /// A whole bundle of at least `version` from which a node can follow by
    /// changes; none before the cluster is founded.
    pub(super) async fn encoded_bundle(&self, version: u64) -> Option<EncodedBundle> {
        let _turn = self.snapshots.encoding.lock().await;
        let copy = self.snapshots.copy.lock().clone();
        if let Some(copy) = copy.filter(|copy| self.leads_on(copy, version)) {
            return Some(copy.encoded);
        }
        let (bundle, digest) = self.bundle_in_force()?;
        // Encoding some megabytes would hold up whatever else waits for this
        // thread. Fails only while the runtime stops.
        let encode = move || EncodedBundle::from(&bundle);
        let encoded = tokio::task::spawn_blocking(encode).await.ok()?;
        *self.snapshots.copy.lock() = Some(Copy {
            digest,
            encoded: encoded.clone(),
        });
        self.count(&self.counters.snapshots_encoded);
        Some(encoded)
    }

    /// Whether the copy is new enough and changes lead on from it.
    fn leads_on(&self, copy: &Copy, version: u64) -> bool {
        let from = copy.encoded.version();
        let changes = self.with_meta(|machine| machine.changes_since(from, copy.digest));
        let is_recent = changes.is_some_and(|changes| changes <= CHANGES_LIMIT);
        is_recent && from >= version
    }

    fn bundle_in_force(&self) -> Option<(Bundle, Digest)> {
        self.with_meta(|machine| {
            let bundle = machine.bundle()?;
            Some((bundle.bundle().clone(), bundle.digest()))
        })
    }
}
