//! Where the processes of pinerill stand.

use std::net::SocketAddr;
use std::time::Duration;

use crate::preset::Preset;

/// Longest planned stop of a node.
const DRAIN: Duration = Duration::from_secs(20);
/// Log entries after which a group takes a snapshot, as in the settings'
/// default.
const SNAPSHOT_ENTRIES: u64 = 10_000;

/// A process and its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessPlace {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// Which processes of pinerill run, and where.
#[derive(Clone, Debug)]
pub struct PinerillPlan {
    /// Name of the cluster.
    pub cluster: String,
    /// All zones.
    pub zones: Vec<String>,
    /// Control machines.
    pub controls: Vec<ProcessPlace>,
    /// Nodes.
    pub nodes: Vec<ProcessPlace>,
    /// Address of the platform list.
    pub platform: SocketAddr,
    /// One-way latency between zones; none for a fleet without relays.
    pub zone_latency: Option<Duration>,
    /// Log entries after which a group takes a snapshot.
    pub snapshot_entries: u64,
    /// Longest planned stop of a node.
    pub drain: Duration,
}

impl PinerillPlan {
    /// A fleet without relays: `controls` and `nodes` go over `zones` in turn.
    pub fn spread(
        cluster: &str,
        zones: Vec<String>,
        controls: usize,
        nodes: usize,
        platform: SocketAddr,
    ) -> Self {
        Self {
            cluster: cluster.to_owned(),
            controls: places("control", &zones, controls),
            nodes: places("node", &zones, nodes),
            zones,
            platform,
            zone_latency: None,
            snapshot_entries: SNAPSHOT_ENTRIES,
            drain: DRAIN,
        }
    }

    /// A preset's control machines and one node in each of its zones, with
    /// relays between the zones.
    pub fn of_preset(preset: &Preset, platform: SocketAddr) -> Self {
        let zones: Vec<String> = preset.zones.iter().map(|zone| zone.to_string()).collect();
        let nodes = zones.len();
        let mut plan = Self::spread(preset.name, zones, 0, nodes, platform);
        let control_zones: Vec<String> = preset
            .control_zones
            .iter()
            .map(|zone| zone.to_string())
            .collect();
        plan.controls = places("control", &control_zones, control_zones.len());
        plan.zone_latency = Some(preset.zone_latency);
        plan
    }

    /// Puts every control machine in a zone of its own.
    pub fn separate_controls(&mut self) {
        for control in &mut self.controls {
            control.zone = format!("zone-of-{}", control.name);
            self.zones.push(control.zone.clone());
        }
    }

    /// The other zones, seen from `zone`.
    pub fn neighbours(&self, zone: &str) -> Vec<String> {
        let others = self.zones.iter().filter(|other| *other != zone);
        others.cloned().collect()
    }
}

fn places(kind: &str, zones: &[String], count: usize) -> Vec<ProcessPlace> {
    (0..count)
        .map(|index| ProcessPlace {
            name: format!("{kind}-{}", index + 1),
            zone: zones[index % zones.len()].clone(),
        })
        .collect()
}
