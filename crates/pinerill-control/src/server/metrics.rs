//! The server's counters in the usual text format, read when asked for.

use std::sync::atomic::{AtomicU64, Ordering};

use pinerill_process::Monitored;
use pinerill_wire::connection::LinkCounters;
use prometheus::{Encoder, IntCounter, IntGauge, Registry, TextEncoder};

use super::control::Control;

/// Values gathered for one answer.
#[derive(Default)]
struct Page {
    registry: Registry,
}

impl Page {
    fn counter(&self, name: &str, help: &str, value: u64) -> prometheus::Result<()> {
        let counter = IntCounter::new(format!("pinerill_{name}"), help)?;
        counter.inc_by(value);
        self.registry.register(Box::new(counter))
    }

    fn gauge(&self, name: &str, help: &str, value: u64) -> prometheus::Result<()> {
        let gauge = IntGauge::new(format!("pinerill_{name}"), help)?;
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.registry.register(Box::new(gauge))
    }

    fn text(&self) -> prometheus::Result<String> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn value(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

impl Monitored for Control {
    fn metrics_text(&self) -> Result<String, String> {
        self.page_text().map_err(|error| error.to_string())
    }

    fn unready_reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.stopping.is_cancelled() {
            reasons.push("stopping".to_owned());
        }
        if !self.is_founded() {
            reasons.push("the cluster is not initialised".to_owned());
        }
        for status in self.groups.statuses() {
            if status.leader.is_none() {
                reasons.push(format!("group {} knows no leader", status.group));
            }
        }
        reasons
    }
}

impl Control {
    /// All counters as text.
    fn page_text(&self) -> prometheus::Result<String> {
        let page = Page::default();
        self.add_groups(&page)?;
        self.add_links(&page)?;
        self.add_watches(&page)?;
        self.add_directory(&page)?;
        self.add_placement(&page)?;
        page.text()
    }

    fn add_groups(&self, page: &Page) -> prometheus::Result<()> {
        let host = self.groups.host().counters();
        page.counter("proposals_total", "Commands proposed.", host.proposals)?;
        page.counter(
            "entries_applied_total",
            "Log entries applied.",
            host.entries_applied,
        )?;
        page.counter("reads_total", "Reads confirmed by a quorum.", host.reads)?;
        page.counter(
            "role_changes_total",
            "Changes of role, term or leader of groups.",
            host.role_changes,
        )?;
        page.counter(
            "process_pauses_total",
            "Pauses of the process, counted by each group.",
            host.process_pauses,
        )?;
        page.counter(
            "process_pause_milliseconds_total",
            "Length of these pauses.",
            host.process_pause_ms,
        )?;
        page.counter(
            "proposals_unknown_total",
            "Proposals whose outcome was told to be unknown.",
            host.proposals_unknown,
        )?;
        page.counter(
            "snapshots_saved_total",
            "Snapshots saved.",
            host.snapshots_saved,
        )?;
        page.counter(
            "snapshots_installed_total",
            "Snapshots received from leaders.",
            host.snapshots_installed,
        )?;
        page.counter(
            "store_batches_total",
            "Batches made durable.",
            host.store_batches,
        )?;
        page.counter("store_syncs_total", "Syncs of the store.", host.store_syncs)?;
        page.counter(
            "store_bytes_total",
            "Bytes written to the store.",
            host.store_bytes,
        )?;
        page.counter(
            "group_messages_sent_total",
            "Messages between replicas sent.",
            host.messages_sent,
        )?;
        page.counter(
            "group_messages_received_total",
            "Messages between replicas received.",
            host.messages_received,
        )?;
        page.counter(
            "group_messages_dropped_total",
            "Messages between replicas dropped because a queue was full.",
            self.transport.dropped(),
        )?;
        let statuses = self.groups.statuses();
        let led = statuses.iter().filter(|status| status.leads()).count();
        page.gauge("groups", "Groups that run here.", statuses.len() as u64)?;
        page.gauge("groups_led", "Groups led here.", led as u64)?;
        let leaderless = statuses.iter().filter(|status| status.leader.is_none());
        page.gauge(
            "groups_without_leader",
            "Groups that run here and know no leader.",
            leaderless.count() as u64,
        )
    }

    fn add_links(&self, page: &Page) -> prometheus::Result<()> {
        let server = &self.server_counters;
        page.counter(
            "connections_accepted_total",
            "Connections that proved the cluster key.",
            value(&server.accepted),
        )?;
        page.counter(
            "connections_refused_total",
            "Connections that did not.",
            value(&server.refused),
        )?;
        page.counter(
            "frames_malformed_total",
            "Connections closed for a malformed or too long frame.",
            value(&server.malformed),
        )?;
        page.counter(
            "requests_total",
            "Requests carried out.",
            value(&server.requests),
        )?;
        page.gauge(
            "peers_connected",
            "Other control machines connected.",
            self.pool.peers().len() as u64,
        )?;
        let links: &LinkCounters = self.pool.counters();
        page.counter(
            "peer_bytes_out_total",
            "Bytes sent to control machines.",
            value(&links.bytes_out),
        )?;
        page.counter(
            "peer_bytes_in_total",
            "Bytes of control machines' answers.",
            value(&links.bytes_in),
        )
    }

    fn add_watches(&self, page: &Page) -> prometheus::Result<()> {
        let counters = &self.counters;
        page.gauge(
            "watches_open",
            "Watches held now.",
            value(&counters.watches_open),
        )?;
        page.counter(
            "watches_confirmed_total",
            "Watches answered with a confirmed version.",
            value(&counters.watches_confirmed),
        )?;
        page.counter(
            "watches_unconfirmed_total",
            "Watches answered without.",
            value(&counters.watches_unconfirmed),
        )?;
        page.counter(
            "watch_barriers_total",
            "Read barriers for watches.",
            self.confirmations.last_succeeded(),
        )?;
        page.counter(
            "directory_records_examined_total",
            "Records of the directory that watches looked at.",
            self.directory.lock().examined(),
        )?;
        page.counter(
            "bundle_snapshots_total",
            "Bundles sent whole.",
            value(&counters.bundle_snapshots),
        )?;
        page.counter(
            "bundle_snapshots_encoded_total",
            "Times that the whole bundle was encoded for nodes.",
            value(&counters.snapshots_encoded),
        )?;
        page.counter(
            "bundle_snapshots_delayed_total",
            "Watches told to come back because too many nodes needed the whole bundle.",
            value(&counters.snapshots_delayed),
        )?;
        page.counter(
            "bundle_changes_total",
            "Bundles sent as changes.",
            value(&counters.bundle_changes),
        )?;
        page.counter(
            "bundles_accepted_total",
            "Proposals accepted here.",
            value(&counters.bundles_accepted),
        )?;
        let version = self.with_meta(|machine| machine.bundle().map(|one| one.version()));
        page.gauge(
            "bundle_version",
            "Version in force, as applied here.",
            version.unwrap_or(0),
        )
    }

    fn add_directory(&self, page: &Page) -> prometheus::Result<()> {
        let listed = self.directory.lock().listed();
        page.gauge(
            "directory_workers",
            "Workers listed.",
            listed.workers as u64,
        )?;
        page.gauge("directory_nodes", "Live nodes.", listed.nodes as u64)?;
        page.counter(
            "platform_failures_total",
            "Polls of the platform's list that failed.",
            value(&self.counters.platform_failures),
        )
    }

    fn add_placement(&self, page: &Page) -> prometheus::Result<()> {
        let counters = &self.placement_counters;
        page.counter(
            "placement_rounds_total",
            "Rounds of placement led here.",
            value(&counters.rounds),
        )?;
        page.gauge(
            "placement_engines",
            "Engines that answered in the last round.",
            value(&counters.engines),
        )?;
        page.counter(
            "placement_orders_accepted_total",
            "Orders that engines accepted.",
            value(&counters.accepted),
        )?;
        page.counter(
            "placement_orders_refused_total",
            "Orders refused or lost.",
            value(&counters.refused),
        )
    }

    /// The counters of a log line.
    pub(super) fn counters_line(&self) -> String {
        let host = self.groups.host().counters();
        let statuses = self.groups.statuses();
        let led = statuses.iter().filter(|status| status.leads()).count();
        let listed = self.directory.lock().listed();
        format!(
            "groups={} led={led} proposals={} applied={} syncs={} watches={} confirmed={} \
             unconfirmed={} nodes={} workers={} peers={}",
            statuses.len(),
            host.proposals,
            host.entries_applied,
            host.store_syncs,
            value(&self.counters.watches_open),
            value(&self.counters.watches_confirmed),
            value(&self.counters.watches_unconfirmed),
            listed.nodes,
            listed.workers,
            self.pool.peers().len(),
        )
    }
}
