//! Metrics and readiness of a control machine.

use std::fmt::Write;
use std::sync::atomic::Ordering;

use pinerill_process::clock::suspensions;
use pinerill_process::Monitored;

use super::control::Control;

impl Monitored for Control {
    fn metrics_text(&self) -> Result<String, String> {
        let status = self.group.status();
        let counters = self.host.counters();
        let (jobs, waiting, table) = self.group.with_machine(|machine| {
            let queue = machine.jobs().queue().len();
            (machine.jobs().is_empty(), queue, machine.table_version())
        });
        let workers = self
            .leadership
            .lock()
            .as_ref()
            .and_then(|one| one.cells.worker_count());
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "pinerill_control_{name} {value}");
        };
        line("leads", u64::from(status.leads()));
        line("term", status.term);
        line("commit_index", status.commit);
        line("applied_index", status.applied);
        let format = self.group.with_machine(|machine| machine.format());
        line("format_in_force", u64::from(format.byte()));
        line("halted", u64::from(status.halted));
        let unread = self.unreadable_requests.load(Ordering::Relaxed);
        line("requests_unread_total", unread);
        line("votes", u64::from(status.members.is_voter(status.replica)));
        line("knows_leader", u64::from(self.leader_address().is_some()));
        let (jobs_bytes, expected_bytes) = self.job_bytes();
        line("jobs_bytes", jobs_bytes);
        line("jobs_expected_bytes", expected_bytes);
        line("store_bytes", self.store_bytes().unwrap_or_default());
        line("process_pauses_total", counters.process_pauses);
        line(
            "process_pause_milliseconds_total",
            counters.process_pause_ms,
        );
        line("proposals_unknown_total", counters.proposals_unknown);
        line("snapshots_saved_total", counters.snapshots_saved);
        line("snapshots_installed_total", counters.snapshots_installed);
        line("voters", status.members.voters.len() as u64);
        line("learners", status.members.learners.len() as u64);
        line("peers_connected", self.pool.peers().len() as u64);
        line("messages_received_total", counters.messages_received);
        line("table_version", table.unwrap_or_default());
        line("suspensions_total", suspensions());
        line("items_waiting", waiting as u64);
        line("has_jobs", u64::from(!jobs));
        line("workers", workers.unwrap_or_default() as u64);
        let (cells, nodes, examined) = self.leadership.lock().as_ref().map_or((0, 0, 0), |one| {
            let cells = &one.cells;
            (cells.count(), cells.node_count(), one.leases.examined())
        });
        line("cells", cells as u64);
        line("nodes", nodes as u64);
        line("lease_items_examined", examined);
        let links = self.pool.counters();
        line(
            "links_sent_bytes_total",
            links.bytes_out.load(Ordering::Relaxed),
        );
        line(
            "links_received_bytes_total",
            links.bytes_in.load(Ordering::Relaxed),
        );
        text.push_str(&self.traffic.metrics_text("pinerill_control"));
        Ok(text)
    }

    fn unready_reasons(&self) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.leader_address().is_none() {
            reasons.push("no leader is known".to_owned());
        }
        if self.stopping.is_cancelled() {
            reasons.push("stopping".to_owned());
        }
        reasons
    }
}
