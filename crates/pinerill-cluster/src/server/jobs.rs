//! Handles requests about jobs: submission, results, leases of items, and reports of their
//! outcomes. Also advances the group's clock while there are jobs.

use std::time::Duration;

use pinerill_calls::formats::convert_job;
use pinerill_calls::job::{CallJobId, ItemReport, ListedItem, ListedState, NewCallJob, ResultPage};
use pinerill_calls::message::{
    CallsResponse, Format, LeaseRequest, LeaseResponse, LeasedItem, ReadItem, ReadResults,
    SubmitOutcome,
};
use pinerill_process::clock::{timeout_at, BootTime};
use pinerill_storage::DATABASE_FILE;
use pinerill_wire::message::Refusal;
use tokio::time::sleep;

use super::control::Control;
use super::older_builds::clear_token_limit;
use super::refusal;
use crate::job_limits::set_limits;
use crate::leases::{LeaseArgs, LeaseDecision, LeaseRules};
use crate::machine::{
    call_key, text_key, Admission, Applied, Command, GivenUpItem, ItemPhase, ListedRecord,
    QueuePosition,
};

/// Number of attempts to read an item's call if it is missing in the table.
const MAX_READ_ATTEMPTS: usize = 2;
/// Maximum time for which a request for results or leases is held open.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Limit on the compressed bytes of texts in one answer. An answer holds at least one text,
/// however long it is.
const MAX_PAGE_BYTES: usize = 256 << 10;
/// Time added to the retention, because the caller counts it from an earlier moment than the group
/// does.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);
/// Share of the disk that the calls and texts of jobs may occupy, percent. The rest is for the log
/// with its margin (a twelfth), database pages that can't be reused before a commit, gaps between
/// pages of different sizes, and the error of the accounting, which uses mean sizes. With 75
/// percent, disks of 47 MB were full at 37 MB of jobs.
const JOBS_DISK_PERCENT: u64 = 60;
/// Share of the disk that the store's file may occupy while new jobs are accepted, percent. It
/// covers what the accounting by mean sizes misses. The file never shrinks.
const STORE_DISK_PERCENT: u64 = 85;
/// Interval between two commands that advance the group's clock.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Finished items of a job from a given position on, without their texts.
struct ResultEntries {
    number: u64,
    total: u32,
    entries: Vec<(String, ListedRecord)>,
}

impl Control {
    /// Submits a job with the limits in force unless it is already known or exceeds one. `format`
    /// is the format in which the calls of its items are encoded.
    pub(super) async fn submit_job(
        &self,
        format: Format,
        mut job: NewCallJob,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "submit job";
        let id = job.id.clone();
        let items = job.items.len();
        let table = self.table_in_force();
        if let Some(table) = &table {
            set_limits(&mut job, table);
        }
        let room_bytes = self.max_job_bytes();
        // Rejected and known jobs are not written to the log, because the log is on the same disk.
        // The rejection is final even if space would have been freed by the time the command was
        // applied.
        self.with_leadership(step, |_| ())?;
        let admission = self
            .group
            .with_machine(|machine| machine.jobs().admit(&job, room_bytes));
        match admission {
            Admission::New if self.store_is_nearly_full() => {
                log::warn!(event = "job_submitted", job:% = id, items, outcome = "store nearly full"; "");
                return Ok(CallsResponse::SubmitJob(SubmitOutcome::NoRoom));
            }
            Admission::New => {}
            Admission::Known => return Ok(CallsResponse::SubmitJob(SubmitOutcome::Accepted)),
            Admission::Rejected(outcome) => {
                log::info!(event = "job_submitted", job:% = id, items, outcome:? = outcome; "");
                return Ok(CallsResponse::SubmitJob(outcome));
            }
        }
        let in_force = self.group.with_machine(|machine| machine.format());
        if format != in_force {
            convert_job(&mut job, in_force);
        }
        clear_token_limit(&mut job, in_force, table.as_deref());
        let command = Command::SubmitJob {
            job: Box::new(job),
            room_bytes,
        };
        let applied = self.propose(step, command).await?;
        match applied {
            Applied::Submitted(outcome) => {
                log::info!(event = "job_submitted", job:% = id, items, outcome:? = outcome; "");
                Ok(CallsResponse::SubmitJob(outcome))
            }
            other => Err(refusal::unknown(
                &self.record,
                step,
                format!("answered {other:?}"),
            )),
        }
    }

    fn store_is_nearly_full(&self) -> bool {
        let limit = (self.settings.disk_mb << 20) / 100 * STORE_DISK_PERCENT;
        limit > 0 && self.store_bytes().is_some_and(|bytes| bytes > limit)
    }

    /// Returns the limit on the bytes that jobs may occupy in the store; `None` if the settings
    /// name no disk size.
    fn max_job_bytes(&self) -> Option<u64> {
        let disk_bytes = self.settings.disk_mb << 20;
        (disk_bytes > 0).then_some(disk_bytes / 100 * JOBS_DISK_PERCENT)
    }

    pub(super) async fn end_job(&self, job: CallJobId) -> Result<CallsResponse, Box<Refusal>> {
        let applied = self
            .propose("end job", Command::EndJob(job.clone()))
            .await?;
        log::info!(event = "job_ended", job:% = job, outcome:? = applied; "");
        Ok(CallsResponse::Done)
    }

    pub(super) async fn report_items(
        &self,
        reports: Vec<ItemReport>,
    ) -> Result<CallsResponse, Box<Refusal>> {
        self.propose("report items", Command::ReportItems(reports))
            .await?;
        Ok(CallsResponse::Done)
    }

    /// Returns the results of a job from a position on. Waits for the first one if there is none
    /// yet, for at most the time that the request names and [`MAX_WAIT`]. The answer is
    /// `Results(None)` if the job does not exist.
    pub(super) async fn read_results(
        &self,
        read: ReadResults,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "read results";
        let wait = Duration::from_millis(read.wait_ms).min(MAX_WAIT);
        let deadline = BootTime::now() + wait;
        let mut changes = self.state_changes.subscribe();
        self.barrier(step).await?;
        loop {
            let Some(page) = self.result_entries(&read) else {
                return Ok(CallsResponse::Results(None));
            };
            let expired = BootTime::now() >= deadline;
            if !page.entries.is_empty() || expired || self.stopping.is_cancelled() {
                return self.results_with_texts(read.from, page).await;
            }
            // Ends either with a change or at the deadline; the loop checks for both.
            let _ = timeout_at(deadline, changes.changed()).await;
        }
    }

    fn result_entries(&self, read: &ReadResults) -> Option<ResultEntries> {
        self.group.with_machine(|machine| {
            let (number, record) = machine.jobs().find(&read.job)?;
            let listed = record.listed.iter().skip(read.from as usize);
            let entries = listed.map(|one| {
                let item = &record.items[one.index as usize];
                (item.id.clone(), *one)
            });
            Some(ResultEntries {
                number,
                total: record.items.len() as u32,
                entries: entries.collect(),
            })
        })
    }

    /// Reads the texts of the entries from the table. The table may lag behind the applied state,
    /// so if a text is missing, the read is repeated once after a barrier.
    async fn results_with_texts(
        &self,
        from: u32,
        page: ResultEntries,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "read texts";
        if let Some(entries) = self.read_texts(from, &page)? {
            return Ok(results_response(from, page.total, entries));
        }
        self.barrier(step).await?;
        match self.read_texts(from, &page)? {
            Some(entries) => Ok(results_response(from, page.total, entries)),
            None => Err(refusal::unavailable(
                &self.record,
                step,
                "a text is missing",
            )),
        }
    }

    /// Returns the entries with their texts, up to [`MAX_PAGE_BYTES`], or `None` if a text is not
    /// in the table yet.
    fn read_texts(
        &self,
        from: u32,
        page: &ResultEntries,
    ) -> Result<Option<Vec<ListedItem>>, Box<Refusal>> {
        let failed =
            |error: &dyn std::fmt::Display| refusal::unavailable(&self.record, "read texts", error);
        if page.entries.is_empty() {
            return Ok(Some(Vec::new()));
        }
        let table = self.group.table().map_err(|error| failed(&error))?;
        let mut entries = Vec::new();
        let mut bytes = 0;
        for (offset, (id, listed)) in page.entries.iter().enumerate() {
            let position = from + offset as u32;
            let text = match listed.state {
                ListedState::Dead => Vec::new(),
                ListedState::Completed => {
                    let key = text_key(page.number, position);
                    match table.get(&key).map_err(|error| failed(&error))? {
                        Some(text) => text,
                        None => return Ok(None),
                    }
                }
            };
            bytes += text.len();
            if bytes > MAX_PAGE_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(ListedItem {
                id: id.clone(),
                state: listed.state,
                text,
            });
        }
        Ok(Some(entries))
    }

    /// Returns the encoded call of an item that is still waiting, or `Item(None)` if the item is
    /// unknown or no longer waits.
    pub(super) async fn read_item(&self, read: ReadItem) -> Result<CallsResponse, Box<Refusal>> {
        let step = "read item";
        // The item may finish between the read of the state and that of the table.
        for _ in 0..MAX_READ_ATTEMPTS {
            self.barrier(step).await?;
            let Some((number, index)) = self.find_waiting_item(&read) else {
                return Ok(CallsResponse::Item(None));
            };
            if let Some(call) = self.read_call(number, index)? {
                return Ok(CallsResponse::Item(Some(call)));
            }
        }
        Err(refusal::unavailable(
            &self.record,
            step,
            "a call is missing",
        ))
    }

    /// Returns the job's number and the item's index, or `None` if the item is unknown or does not
    /// wait.
    fn find_waiting_item(&self, read: &ReadItem) -> Option<(u64, u32)> {
        self.group.with_machine(|machine| {
            let (number, record) = machine.jobs().find(&read.job)?;
            let index = record.items.iter().position(|item| item.id == read.item)?;
            let waits = record.items[index].phase == ItemPhase::Waiting;
            waits.then_some((number, index as u32))
        })
    }

    fn read_call(&self, number: u64, index: u32) -> Result<Option<Vec<u8>>, Box<Refusal>> {
        let step = "read call of item";
        let table = self.group.table();
        let table = table.map_err(|error| refusal::unavailable(&self.record, step, error))?;
        let call = table.get(&call_key(number, index));
        call.map_err(|error| refusal::unavailable(&self.record, step, error))
    }

    /// Renews a node's leases and grants new ones. If the node asks for items and none is
    /// available, waits for one, for at most the time that the request names and [`MAX_WAIT`].
    pub(super) async fn lease_items(
        &self,
        request: LeaseRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let deadline = BootTime::now() + wait;
        loop {
            let decision = self.decide_leases_with_permit(&request).await?;
            self.announce_freed(&decision.freed);
            let has_changes = !decision.leased.is_empty() || !decision.stop.is_empty();
            let is_over = BootTime::now() >= deadline || self.stopping.is_cancelled();
            if has_changes || is_over || decision.is_superseded {
                return Ok(self.lease_response(decision));
            }
            match request.want > 0 {
                // Ends either when an item becomes available or at the deadline; the loop checks
                // for both.
                true => {
                    let services = request.services.as_deref();
                    self.available_items.wait(services, deadline).await;
                }
                false => sleep(deadline.remaining()).await,
            }
        }
    }

    /// Wakes nodes for items that are available again.
    fn announce_freed(&self, freed: &[QueuePosition]) {
        if freed.is_empty() {
            return;
        }
        let routes: Vec<String> = self.group.with_machine(|machine| {
            let records = freed.iter();
            let records = records.filter_map(|one| machine.jobs().record(one.job));
            records.map(|record| record.route.clone()).collect()
        });
        let table = self.table_in_force();
        for route in routes {
            self.available_items.announce(table.as_deref(), &route, 1);
        }
    }

    async fn decide_leases_with_permit(
        &self,
        request: &LeaseRequest,
    ) -> Result<LeaseDecision, Box<Refusal>> {
        let _turn = self.request_limiter.acquire().await;
        self.decide_leases(request)
    }

    fn decide_leases(&self, request: &LeaseRequest) -> Result<LeaseDecision, Box<Refusal>> {
        let now_ms = self.now_ms();
        let args = LeaseArgs {
            node: &request.node,
            held: &request.held,
            want: request.want as usize,
            run_ms: request.run_ms,
            services: request.services.as_deref(),
            returned: &request.returned,
            number: request.number,
        };
        let table = self.table_in_force();
        let rules = LeaseRules {
            table: table.as_deref(),
            region: self.settings.zones.get(&request.zone).map(String::as_str),
        };
        self.with_leadership("lease items", |leadership| {
            self.group.with_machine(|machine| {
                let clock_ms = machine.clock_ms();
                leadership
                    .leases
                    .lease_by_rules(now_ms, machine.jobs(), clock_ms, &args, &rules)
            })
        })
    }

    fn lease_response(&self, decision: LeaseDecision) -> CallsResponse {
        let positions = decision.leased.into_iter();
        CallsResponse::Leases(LeaseResponse {
            leased: positions
                .filter_map(|position| self.leased_item(position))
                .collect(),
            stop: decision.stop,
            backlog_slack_ms: decision.backlog_slack_ms,
        })
    }

    fn leased_item(&self, position: QueuePosition) -> Option<LeasedItem> {
        self.group.with_machine(|machine| {
            let record = machine.jobs().record(position.job)?;
            let item = record.items.get(position.index as usize)?;
            Some(LeasedItem {
                item: pinerill_calls::job::ItemRef {
                    job: record.id.clone(),
                    index: position.index,
                },
                id: item.id.clone(),
                host: record.host.clone(),
                due_in_ms: position.due_ms as i64 - machine.clock_ms() as i64,
            })
        })
    }

    /// Logs why items were given up, at the leader only. `logged` is the number of items handled
    /// by earlier calls; returns the new number. After a restored snapshot, the count starts
    /// again.
    pub(super) fn log_given_up(&self, logged: u64) -> u64 {
        let leads = self.leads();
        let (total, items) = self.group.with_machine(|machine| {
            let given_up = machine.jobs().given_up();
            let seen = if logged > given_up.total() { 0 } else { logged };
            let items: Vec<GivenUpItem> = match leads {
                true => given_up.after(seen).cloned().collect(),
                false => Vec::new(),
            };
            (given_up.total(), items)
        });
        for item in items {
            log::info!(
                event = "item_given_up", id = item.id.as_str(), job:% = item.job,
                reason:% = item.reason; ""
            );
        }
        total
    }

    /// Returns the bytes that jobs occupy in the store now, and those expected once all items are
    /// done.
    pub(super) fn job_bytes(&self) -> (u64, u64) {
        self.group.with_machine(|machine| {
            let jobs = machine.jobs();
            let expected = jobs.store_usage().expected_bytes(jobs.queue().len());
            (jobs.store_usage().stored_bytes(), expected)
        })
    }

    /// Returns the size of the store's file in bytes, or `None` if its metadata can't be read.
    pub(super) fn store_bytes(&self) -> Option<u64> {
        let path = self.settings.data_folder.join(DATABASE_FILE);
        Some(std::fs::metadata(path).ok()?.len())
    }

    /// Logs the size of the store's file if it differs by a megabyte from the last one logged.
    fn log_store_size(&self, logged_mb: &mut u64) {
        let Some(bytes) = self.store_bytes() else {
            return;
        };
        let size_mb = bytes >> 20;
        if size_mb != *logged_mb {
            *logged_mb = size_mb;
            let (jobs_bytes, expected_bytes) = self.job_bytes();
            log::info!(
                event = "store_size", size_mb, disk_mb = self.settings.disk_mb, jobs_bytes,
                expected_bytes; ""
            );
        }
    }

    /// Advances the group's clock once per second while this machine leads and there are jobs, and
    /// logs the size of the store. Never returns.
    pub(super) async fn run_upkeep(&self) {
        let mut logged_mb = 0;
        loop {
            sleep(UPKEEP_INTERVAL).await;
            self.log_store_size(&mut logged_mb);
            let idle = self.group.with_machine(|machine| machine.jobs().is_empty());
            if idle || !self.leads() {
                continue;
            }
            let retention = Duration::from_secs_f64(self.settings.retention_s) + RETENTION_MARGIN;
            let retention_ms = retention.as_millis() as u64;
            if let Err(error) = self
                .propose("upkeep", Command::Upkeep { retention_ms })
                .await
            {
                log::warn!(event = "upkeep_failed", error:%; "");
            }
        }
    }
}

fn results_response(from: u32, total: u32, entries: Vec<ListedItem>) -> CallsResponse {
    CallsResponse::Results(Some(ResultPage {
        total,
        from,
        entries,
    }))
}
