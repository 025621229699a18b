//! Reads the platform list of workers while this machine leads.

use std::time::Duration;

use anyhow::{bail, Context};
use pinerill_calls::directory::{ListReading, SkippedEntries, WorkerEntry, WorkerId, WorkerPage};
use pinerill_process::clock::BootTime;
use tokio::time::{sleep, timeout};

use super::control::Control;
use crate::list_pace::{reading_interval, ReadingBounds};

/// Longest wait for one page.
const PAGE_TIME: Duration = Duration::from_millis(1_000);
/// Tries of one page, and the pause between two. All processes share the list's rate, and a reading
/// that began anew after each refused page would never end where it has more pages than are
/// answered in a second: 3,000 workers have 60 pages, the users' list answers 50 calls a second.
const PAGE_TRIES: usize = 5;
const PAGE_PAUSE: Duration = Duration::from_millis(100);
/// Pages of one reading; more can't be right.
const PAGE_LIMIT: usize = 1_000;
/// Pause after a machine looked and did not lead, unless there is news.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a reading that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

impl Control {
    /// Reads the list again and again.
    pub(super) async fn follow_workers(&self) {
        let client = match list_client() {
            Ok(client) => client,
            Err(error) => {
                log::error!(event = "worker_list_client_failed", error:% = format!("{error:#}"); "");
                return;
            }
        };
        let mut reachable = true;
        let mut skipping = SkippingLog::default();
        let mut news = self.news.subscribe();
        loop {
            if !self.leads() {
                // A change of role is news: nodes that have just started know no worker.
                let _ = timeout(FOLLOWER_PAUSE, news.changed()).await;
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
                    skipping.note(&reading.skipped);
                    let interval = self.reading_interval(reading.pages());
                    self.take_workers(began_ms, reading.workers);
                    sleep(interval.saturating_sub(started.elapsed())).await;
                }
                Err(error) => {
                    log::warn!(event = "worker_list_failed", error:% = format!("{error:#}"); "");
                    sleep(FAILURE_PAUSE).await;
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

    fn take_workers(&self, began_ms: u64, workers: Vec<WorkerEntry>) {
        let count = workers.len();
        let changed = self.with_leadership("take workers", |leadership| {
            let cells = &mut leadership.cells;
            let is_news = cells.update_workers(began_ms, workers);
            if is_news {
                let is_listed =
                    |name: &str| cells.contains_worker(&WorkerId::from(name.to_owned()));
                leadership.slow_starts.keep_only(is_listed);
            }
            is_news
        });
        if changed == Ok(true) {
            log::info!(event = "workers_changed", count; "");
            self.tell_watch_news();
        }
    }

    async fn read_workers(&self, client: &reqwest::Client) -> anyhow::Result<ListReading> {
        let mut reading = ListReading::default();
        let mut token: Option<String> = None;
        for _ in 0..PAGE_LIMIT {
            let page = self.read_page_at_last(client, token.as_deref()).await?;
            token = reading.add_page(page)?;
            if token.is_none() {
                return Ok(reading);
            }
        }
        bail!("more than {PAGE_LIMIT} pages")
    }

    /// Reads a page, some times if need be.
    async fn read_page_at_last(
        &self,
        client: &reqwest::Client,
        token: Option<&str>,
    ) -> anyhow::Result<WorkerPage> {
        for _ in 1..PAGE_TRIES {
            match self.read_page(client, token).await {
                Ok(page) => return Ok(page),
                Err(error) => log::info!(
                    event = "worker_page_failed", error:% = format!("{error:#}"); ""
                ),
            }
            sleep(PAGE_PAUSE).await;
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
        let response = client.get(url).send().await.context("ask for a page")?;
        let status = response.status();
        if !status.is_success() {
            bail!("ask for a page: status {status}");
        }
        let body = response.bytes().await.context("read a page")?;
        Ok(self.worker_list.read_page(&body)?)
    }
}

/// Says of entries that can't be read when their number changes, so that a list that stays
/// spoilt is told once.
#[derive(Default)]
struct SkippingLog {
    told: usize,
}

impl SkippingLog {
    fn note(&mut self, skipped: &SkippedEntries) {
        if skipped.count == self.told {
            return;
        }
        self.told = skipped.count;
        log::warn!(
            event = "worker_entries_skipped", count = skipped.count,
            first_reason:? = skipped.first_reason; ""
        );
    }
}

fn list_client() -> anyhow::Result<reqwest::Client> {
    reqwest::Client::builder()
        .timeout(PAGE_TIME)
        .connect_timeout(PAGE_TIME)
        .no_proxy()
        .build()
        .context("make a client for the platform list")
}
