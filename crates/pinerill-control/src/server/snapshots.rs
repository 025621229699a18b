//! The whole bundle, for nodes that can't follow by changes.
//!
//! After a restart of many nodes all of them need it at once, and at 29,000
//! tenants it has some eight megabytes. All answers share one copy, and only so
//! many go out at a time: without a bound, encoding for hundreds of nodes
//! starves the replicated groups, watches are answered late and unconfirmed,
//! nodes ask again, and the machine never recovers by itself.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_types::bundle::{Bundle, IndexedBundle};
use pinerill_types::Digest;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// Snapshots that may be on their way at once.
const AT_ONCE: usize = 4;
/// How long one counts as on its way: encoding and sending take about that.
const SENDING_TIME: Duration = Duration::from_millis(200);

/// The copy of the bundle in force, and the places for sending it.
#[derive(Debug)]
pub(super) struct Snapshots {
    copy: Mutex<Option<(Digest, Arc<Bundle>)>>,
    places: Arc<Semaphore>,
}

impl Default for Snapshots {
    fn default() -> Self {
        Self {
            copy: Mutex::default(),
            places: Arc::new(Semaphore::new(AT_ONCE)),
        }
    }
}

impl Snapshots {
    /// The bundle, copied once per version.
    pub(super) fn shared(&self, bundle: &IndexedBundle) -> Arc<Bundle> {
        let mut copy = self.copy.lock();
        if let Some((digest, shared)) = copy.as_ref() {
            if *digest == bundle.digest() {
                return shared.clone();
            }
        }
        let shared = Arc::new(bundle.bundle().clone());
        *copy = Some((bundle.digest(), shared.clone()));
        shared
    }

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
