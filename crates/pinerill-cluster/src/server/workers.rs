//! Polls the platform list of workers while this machine leads.

use std::time::Duration;

use anyhow::{bail, Context};
use pinerill_calls::directory::{ListReading, SkippedEntries, WorkerEntry, WorkerId, WorkerPage};
use pinerill_process::clock::BootTime;
use tokio::time::{sleep, timeout};

use super::control::Control;
use crate::list_pace::{reading_interval, ReadingBounds};

/// Timeout of the request for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections that are kept. A page does not say which request it answers, so each request
/// has a connection of its own, on which no answer to an earlier one can arrive.
const MAX_IDLE_CONNECTIONS: usize = 0;
/// Maximum number of attempts per page, and the delay between two of them. All processes share the
/// call rate of the list. If a poll restarted after each refused page, it would never complete for
/// a list with more pages than are answered in a second: 3,000 workers make 60 pages, and the
/// users' list answers 50 calls per second.
const MAX_PAGE_ATTEMPTS: usize = 5;
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of pages per poll. A longer list is treated as an error.
const MAX_PAGES: usize = 1_000;
/// Interval at which a machine that does not lead checks whether it leads now. A change of the
/// replicated state or the leadership ends the wait early.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed poll.
const FAILED_POLL_DELAY: Duration = Duration::from_millis(250);

impl Control {
    /// Polls the list periodically while this machine leads. Returns only if the HTTP client can't
    /// be built.
    pub(super) async fn poll_worker_list(&self) {
        let client = match list_client() {
            Ok(client) => client,
            Err(error) => {
                log::error!(event = "worker_list_client_failed", error:% = format!("{error:#}"); "");
                return;
            }
        };
        let mut reachable = true;
        let mut skipped_log = SkippedEntriesLog::default();
        let mut changes = self.state_changes.subscribe();
        loop {
            if !self.leads() {
                // The wait ends early on a change of role, so that a new leader polls at once:
                // nodes that have just started know no worker.
                let _ = timeout(FOLLOWER_CHECK_INTERVAL, changes.changed()).await;
                continue;
            }
            let (started, began_ms) = (BootTime::now(), self.now_ms());
            let read = self.read_workers(&client).await;
            if read.is_ok() != reachable {
                reachable = read.is_ok();
                log::info!(event = "worker_list_reachable", reachable; "");
            }
            match read {
                Ok(reading) => {
                    skipped_log.log_if_changed(&reading.skipped);
                    let interval = self.reading_interval(reading.pages());
                    self.apply_workers(began_ms, reading.workers);
                    sleep(interval.saturating_sub(started.elapsed())).await;
                }
                Err(error) => {
                    log::warn!(event = "worker_list_failed", error:% = format!("{error:#}"); "");
                    sleep(FAILED_POLL_DELAY).await;
                }
            }
        }
    }

    fn reading_interval(&self, pages: usize) -> Duration {
        let list = &self.settings.worker_list;
        let bounds = ReadingBounds {
            shortest: Duration::from_millis(list.poll_ms),
            longest: Duration::from_millis(list.max_poll_ms()),
        };
        reading_interval(pages, list.calls_per_s, bounds)
    }

    fn apply_workers(&self, began_ms: u64, workers: Vec<WorkerEntry>) {
        let count = workers.len();
        let changed = self.with_leadership("apply workers", |leadership| {
            let cells = &mut leadership.cells;
            let is_change = cells.update_workers(began_ms, workers);
            if is_change {
                let is_listed =
                    |name: &str| cells.contains_worker(&WorkerId::from(name.to_owned()));
                leadership.slow_starts.keep_only(is_listed);
            }
            is_change
        });
        if changed == Ok(true) {
            log::info!(event = "workers_changed", count; "");
            self.notify_watchers();
        }
    }

    async fn read_workers(&self, client: &reqwest::Client) -> anyhow::Result<ListReading> {
        let mut reading = ListReading::default();
        let mut token: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let page = self
                .read_page_with_retries(client, token.as_deref())
                .await?;
            token = reading.add_page(page)?;
            if token.is_none() {
                return Ok(reading);
            }
        }
        bail!("the worker list has more than {MAX_PAGES} pages")
    }

    /// Reads a page with up to [`MAX_PAGE_ATTEMPTS`] attempts.
    async fn read_page_with_retries(
        &self,
        client: &reqwest::Client,
        token: Option<&str>,
    ) -> anyhow::Result<WorkerPage> {
        for _ in 1..MAX_PAGE_ATTEMPTS {
            match self.read_page(client, token).await {
                Ok(page) => return Ok(page),
                Err(error) => log::info!(
                    event = "worker_page_failed", error:% = format!("{error:#}"); ""
                ),
            }
            sleep(PAGE_RETRY_DELAY).await;
        }
        self.read_page(client, token).await
    }

    async fn read_page(
        &self,
        client: &reqwest::Client,
        token: Option<&str>,
    ) -> anyhow::Result<WorkerPage> {
        let path = self.worker_list.page_path(token);
        let url = format!("http://{}{path}", self.settings.worker_list.address);
        let response = client
            .get(url)
            .send()
            .await
            .context("request a page of the worker list")?;
        let status = response.status();
        if !status.is_success() {
            bail!("request a page of the worker list: status {status}");
        }
        let body = response
            .bytes()
            .await
            .context("read the body of a page of the worker list")?;
        Ok(self.worker_list.read_page(&body)?)
    }
}

/// Logs the number of unreadable entries only when it changes, so that a list that stays malformed
/// is logged once.
#[derive(Default)]
struct SkippedEntriesLog {
    logged_count: usize,
}

impl SkippedEntriesLog {
    fn log_if_changed(&mut self, skipped: &SkippedEntries) {
        if skipped.count == self.logged_count {
            return;
        }
        self.logged_count = skipped.count;
        log::warn!(
            event = "worker_entries_skipped", count = skipped.count,
            first_reason:? = skipped.first_reason; ""
        );
    }
}

fn list_client() -> anyhow::Result<reqwest::Client> {
    reqwest::Client::builder()
        .timeout(PAGE_TIMEOUT)
        .connect_timeout(PAGE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .no_proxy()
        .build()
        .context("build the HTTP client for the worker list")
}
