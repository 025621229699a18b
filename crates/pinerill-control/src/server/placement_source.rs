//! What placement asks the control server.

use std::sync::Arc;

use async_trait::async_trait;
use pinerill_wire::message::WorkerRecord;

use super::control::Control;
use crate::placement::{Models, PlacementSource, PlacementTerm};

/// The server as placement sees it.
pub(super) struct ServerSource {
    pub(super) control: Arc<Control>,
}

#[async_trait]
impl PlacementSource for ServerSource {
    async fn confirmed_term(&self) -> Option<PlacementTerm> {
        let meta = self.control.groups.meta()?;
        let before = meta.status();
        if !before.leads() {
            return None;
        }
        meta.read_barrier().await.ok()?;
        // Still the same term: the barrier was this leader's own.
        let after = meta.status();
        let same = after.leads() && after.term == before.term;
        same.then_some(PlacementTerm { term: after.term })
    }

    fn workers_revision(&self) -> u64 {
        self.control.directory.lock().workers_revision()
    }

    fn bundle_version(&self) -> u64 {
        let version = self
            .control
            .with_meta(|machine| machine.bundle().map(|bundle| bundle.version()));
        version.unwrap_or(0)
    }

    fn models(&self) -> Models {
        let models = self.control.with_meta(|machine| {
            let bundle = machine.bundle()?;
            Some(bundle.bundle().models.clone())
        });
        models.unwrap_or_default()
    }

    fn workers(&self) -> Vec<WorkerRecord> {
        self.control.directory.lock().workers()
    }
}
