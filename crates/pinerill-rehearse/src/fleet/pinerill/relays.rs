//! Relays of the links between zones, towards control machines.
//!
//! A process is told the address of a control machine in another zone as the
//! relay's, so that the link can be delayed and cut. Workers are reached
//! directly, since all nodes learn the same address from the platform list.

use std::net::SocketAddr;
use std::time::Duration;

use super::place::ProcessPlace;
use crate::fleet::launcher::Launcher;
use crate::fleet::ports::free_addresses;
use crate::fleet::relay::{RelayControl, RelayProcess};
use crate::standin::relay::link::Passage;
use crate::standin::relay::LinkArguments;

/// One control machine and where it listens.
#[derive(Clone, Debug)]
pub struct RelayTarget {
    /// The control machine.
    pub place: ProcessPlace,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The link from the processes of one zone to one control machine.
#[derive(Clone, Debug)]
struct ZoneLink {
    from: String,
    target: RelayTarget,
    relay: SocketAddr,
}

/// The relays of all links between zones, in one process.
#[derive(Debug)]
pub struct ZoneRelays {
    links: Vec<ZoneLink>,
    process: RelayProcess,
}

impl ZoneLink {
    fn name(&self) -> String {
        let to = &self.target.place;
        format!("{}--{}--{}", self.from, to.zone, to.name)
    }

    fn arguments(&self) -> LinkArguments {
        LinkArguments {
            name: self.name(),
            listen: self.relay,
            target: self.target.address,
        }
    }

    /// Whether it leads into or out of `zone`.
    fn touches(&self, zone: &str) -> bool {
        self.from == zone || self.target.place.zone == zone
    }
}

impl ZoneRelays {
    /// Starts relays from each zone to each control machine outside it.
    ///
    /// # Errors
    /// When the process does not get ready.
    pub async fn start(
        launcher: &Launcher,
        zones: &[String],
        targets: &[RelayTarget],
        latency: Duration,
    ) -> anyhow::Result<Self> {
        let links = zone_links(zones, targets)?;
        let arguments: Vec<LinkArguments> = links.iter().map(ZoneLink::arguments).collect();
        let process = RelayProcess::start(launcher, "zone-relays", &arguments, latency).await?;
        Ok(Self { links, process })
    }

    /// The address of `target` as processes in `zone` are told it.
    pub fn address_from(&self, zone: &str, target: &RelayTarget) -> SocketAddr {
        let link = self
            .links
            .iter()
            .find(|link| link.from == zone && link.target.address == target.address);
        link.map_or(target.address, |link| link.relay)
    }

    /// Cuts a zone off from all others, in silence.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn cut_zone(&self, zone: &str) -> anyhow::Result<()> {
        self.zone_cut(zone).begin().await
    }

    /// Ends a cut.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn reconnect_zone(&self, zone: &str) -> anyhow::Result<()> {
        self.zone_cut(zone).end().await
    }

    /// Planned stop.
    ///
    /// # Errors
    /// When it does not end with exit code 0.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        self.process.stop().await
    }

    /// The links that a cut of `zone` touches.
    pub fn zone_cut(&self, zone: &str) -> ZoneCut {
        let links = self.links.iter().filter(|link| link.touches(zone));
        ZoneCut {
            control: self.process.control(),
            links: links.map(ZoneLink::name).collect(),
        }
    }
}

/// Cuts one zone off, without a hold on the fleet.
#[derive(Clone, Debug)]
pub struct ZoneCut {
    control: RelayControl,
    links: Vec<String>,
}

impl ZoneCut {
    /// Cuts the zone off from all others, in silence.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn begin(&self) -> anyhow::Result<()> {
        self.set(Passage::Cut).await
    }

    /// Ends the cut.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn end(&self) -> anyhow::Result<()> {
        self.set(Passage::Open).await
    }

    async fn set(&self, passage: Passage) -> anyhow::Result<()> {
        for link in &self.links {
            self.control.set(link, passage, passage).await?;
        }
        Ok(())
    }
}

fn zone_links(zones: &[String], targets: &[RelayTarget]) -> anyhow::Result<Vec<ZoneLink>> {
    let mut pairs = Vec::new();
    for from in zones {
        let outside = targets.iter().filter(|target| target.place.zone != *from);
        pairs.extend(outside.map(|target| (from.clone(), target.clone())));
    }
    let relays = free_addresses(pairs.len())?;
    let links = pairs.into_iter().zip(relays);
    Ok(links
        .map(|((from, target), relay)| ZoneLink {
            from,
            target,
            relay,
        })
        .collect())
}
