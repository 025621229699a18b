//! What all parts of the server share.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_types::settings::ControlSettings;
use pinerill_wire::api::Peer;
use pinerill_wire::connection::{Identity, PeerPool, ServerCounters};
use pinerill_wire::message::{ReplicaRecord, META_GROUP};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::confirmation::Confirmations;
use super::directory::Directory;
use super::groups::Groups;
use super::snapshots::Snapshots;
use super::transport::PeerTransport;
use crate::meta::{ControlMachine, Founding, MetaMachine};
use crate::placement::PlacementCounters;

/// What the server counts besides connections and groups.
#[derive(Debug, Default)]
pub(super) struct ControlCounters {
    /// Watches held now.
    pub(super) watches_open: AtomicU64,
    /// Watches answered with a confirmed version.
    pub(super) watches_confirmed: AtomicU64,
    /// Watches answered without.
    pub(super) watches_unconfirmed: AtomicU64,
    /// Bundles sent whole.
    pub(super) bundle_snapshots: AtomicU64,
    /// Times that the whole bundle was encoded.
    pub(super) snapshots_encoded: AtomicU64,
    /// Watches told to come back because too many nodes needed the whole
    /// bundle at once.
    pub(super) snapshots_delayed: AtomicU64,
    /// Bundles sent as changes.
    pub(super) bundle_changes: AtomicU64,
    /// Proposals of bundles that were accepted here.
    pub(super) bundles_accepted: AtomicU64,
    /// Polls of the platform's list that failed.
    pub(super) platform_failures: AtomicU64,
}

/// The control server's state.
pub(super) struct Control {
    pub(super) settings: ControlSettings,
    pub(super) identity: Identity,
    pub(super) pool: PeerPool,
    /// Internal addresses of all control machines, this one included.
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) transport: Arc<PeerTransport>,
    pub(super) groups: Arc<Groups>,
    pub(super) directory: Mutex<Directory>,
    pub(super) confirmations: Confirmations,
    /// Grows whenever bundle or directory changed.
    pub(super) news: watch::Sender<u64>,
    /// Founding of a cluster that the meta group has not committed yet.
    pub(super) founding: Mutex<Option<Founding>>,
    /// The whole bundle for nodes that need it.
    pub(super) snapshots: Snapshots,
    pub(super) counters: ControlCounters,
    pub(super) server_counters: Arc<ServerCounters>,
    pub(super) placement_counters: Arc<PlacementCounters>,
    /// Set when the planned stop begins.
    pub(super) stopping: CancellationToken,
    /// Set when this machine takes part no more.
    pub(super) closed: CancellationToken,
}

impl Control {
    /// Where the other control machines are reached.
    pub(super) fn other_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let own = self.settings.listen;
        self.addresses
            .iter()
            .copied()
            .filter(move |one| *one != own)
    }

    /// Name of this machine, as the peer in errors.
    pub(super) fn name(&self) -> &str {
        self.settings.name.as_str()
    }

    /// Tells watches that there may be something new.
    pub(super) fn publish_news(&self) {
        self.news.send_modify(|number| *number += 1);
    }

    /// Changes the directory and tells watches when it differs.
    pub(super) fn update_directory<R>(&self, change: impl FnOnce(&mut Directory) -> R) -> R {
        let mut directory = self.directory.lock();
        let before = directory.revision();
        let result = change(&mut directory);
        let changed = directory.revision() != before;
        drop(directory);
        if changed {
            self.publish_news();
        }
        result
    }

    /// Looks at the meta group's state, if it runs here and is founded.
    pub(super) fn with_meta<R>(&self, look: impl FnOnce(&MetaMachine) -> Option<R>) -> Option<R> {
        self.groups.meta()?.with_machine(look)
    }

    /// Whether the cluster is founded, as far as is known here.
    pub(super) fn is_founded(&self) -> bool {
        self.with_meta(MetaMachine::cluster_id).is_some()
    }

    /// Whether this machine leads the meta group.
    pub(super) fn leads_meta(&self) -> bool {
        self.groups.meta().is_some_and(|meta| meta.status().leads())
    }

    /// Who leads a group: by its own log where it runs here, else by hearsay.
    pub(super) fn leader_address(&self, group: u32) -> Option<SocketAddr> {
        let status = if group == META_GROUP {
            self.groups.meta().map(|meta| meta.status())
        } else {
            self.groups.job(group).map(|job| job.handle.status())
        };
        let by_log = status.and_then(|status| status.leader);
        by_log
            .and_then(|replica| self.groups.address(replica))
            .or_else(|| self.directory.lock().leader(group))
    }

    /// This machine as the meta group records it.
    pub(super) fn own_record(&self) -> ControlMachine {
        ControlMachine {
            replica: self.groups.replica().0,
            name: self.settings.name.to_string(),
            zone: self.settings.zone.clone(),
            address: self.settings.listen,
        }
    }

    /// This machine and all that are connected, as they name themselves.
    pub(super) fn connected_machines(&self) -> Vec<ControlMachine> {
        let others = self.pool.peers().into_iter().map(machine_of);
        std::iter::once(self.own_record()).chain(others).collect()
    }
}

/// A peer as the meta group records it.
pub(super) fn machine_of(peer: Peer) -> ControlMachine {
    ControlMachine {
        replica: peer.replica,
        name: peer.name,
        zone: pinerill_types::ZoneName(peer.zone),
        address: peer.address,
    }
}

/// A machine's record as it travels.
pub(super) fn replica_record(machine: &ControlMachine, reachable: bool) -> ReplicaRecord {
    ReplicaRecord {
        replica: machine.replica,
        name: machine.name.clone(),
        zone: machine.zone.clone(),
        address: machine.address,
        reachable,
    }
}
