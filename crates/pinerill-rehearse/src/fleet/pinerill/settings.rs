//! Settings files of the processes, each with the addresses that its zone is
//! told.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use pinerill_types::settings::{
    ClusterSettings, ControlSettings, LogSettings, NodeSettings, Settings,
};
use pinerill_types::{NodeName, ZoneName};

use super::place::ProcessPlace;
use super::relays::RelayTarget;
use super::PinerillFleet;

/// Loads of weights that may run at once in the fleet.
pub const CONCURRENT_LOADS: u32 = 4;
/// Time for load balancers to see that a node stops, as in the settings'
/// default.
const DRAIN_LEAD_MS: u64 = 2_000;

impl PinerillFleet {
    /// What every process in `zone` knows; none is outside the relays.
    pub fn cluster_settings(&self, zone: Option<&str>) -> ClusterSettings {
        let address = |target: &RelayTarget| match (zone, &self.relays) {
            (Some(zone), Some(relays)) => relays.address_from(zone, target),
            _ => target.address,
        };
        ClusterSettings {
            name: self.plan.cluster.clone(),
            key_file: self.key_file.clone(),
            controls: self.targets.iter().map(address).collect(),
        }
    }

    /// Writes a settings file with `name` and returns its path.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn write_settings(&self, name: &str, settings: &Settings) -> anyhow::Result<PathBuf> {
        let path = self.launcher.folder().join(format!("{name}.toml"));
        let text = toml::to_string(settings).context("writing settings")?;
        std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
        Ok(path)
    }

    /// Settings with nothing but the section [cluster].
    pub fn settings(&self, cluster: ClusterSettings) -> Settings {
        Settings {
            cluster,
            control: None,
            node: None,
            log: LogSettings::default(),
        }
    }

    pub(super) fn control_settings(
        &self,
        target: &RelayTarget,
        admin: SocketAddr,
    ) -> ControlSettings {
        let place = &target.place;
        ControlSettings {
            name: NodeName(place.name.clone()),
            zone: ZoneName(place.zone.clone()),
            listen: target.address,
            admin,
            data_folder: self.launcher.folder().join(&place.name),
            platform: Some(self.plan.platform),
            heartbeat_ms: 100,
            election_ms: 600,
            snapshot_entries: self.plan.snapshot_entries,
            concurrent_loads: CONCURRENT_LOADS,
        }
    }

    pub(super) fn node_settings(
        &self,
        place: &ProcessPlace,
        listen: SocketAddr,
        admin: SocketAddr,
    ) -> NodeSettings {
        let neighbours = self.plan.neighbours(&place.zone);
        NodeSettings {
            name: NodeName(place.name.clone()),
            zone: ZoneName(place.zone.clone()),
            neighbours: neighbours.into_iter().map(ZoneName).collect(),
            listen,
            admin,
            body_limit_kib: 1_024,
            batch_limit_kib: 65_536,
            worker_subset: 48,
            report_poll_ms: 500,
            drain_lead_ms: DRAIN_LEAD_MS,
            drain_ms: self.plan.drain.as_millis() as u64,
        }
    }
}
