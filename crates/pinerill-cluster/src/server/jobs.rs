//! Jobs: submissions, results, leases and reports.

use std::time::Duration;

use pinerill_calls::formats::convert_job;
use pinerill_calls::job::{CallJobId, ItemReport, ListedItem, ListedState, NewCallJob, ResultPage};
use pinerill_calls::message::{
    CallsResponse, Format, LeaseRequest, LeaseResponse, LeasedItem, ReadItem, ReadResults,
    SubmitOutcome,
};
use pinerill_calls::table::RouteTable;
use pinerill_process::clock::{timeout_at, BootTime};
use pinerill_storage::DATABASE_FILE;
use pinerill_wire::message::Refusal;
use tokio::time::sleep;

use super::control::Control;
use super::older_builds::without_counted_limit;
use super::refusal;
use crate::leases::{LeaseArgs, LeaseDecision};
use crate::machine::{
    call_key, text_key, Admission, Applied, Command, ItemPhase, JobRecord, ListedRecord,
    QueuePosition,
};

/// How often a call that is missing in the table is looked for.
const READ_TRIES: usize = 2;
/// Longest time that an answer is held.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Bytes of texts in one answer, compressed; one text is always told.
const PAGE_BYTES: usize = 256 << 10;
/// What is added to the retention: the caller's clock began before the group's.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);
/// Part of the disk that calls and texts of jobs may take, percent. The rest is for
/// the log with its margin (a twelfth), pages that wait for a commit to be used
/// again, holes between pages of different sizes, and the error of the count, which
/// takes sizes in the mean. With 75, disks of 47 MB got full at 37 MB of jobs.
const JOBS_PERCENT_OF_DISK: u64 = 60;
/// Part of the disk that the store's file may take while new jobs are taken, percent:
/// what the count by means does not see. The file keeps the size that it once had.
const STORE_PERCENT_OF_DISK: u64 = 85;
/// Pause between two commands that let time pass.
const UPKEEP_PAUSE: Duration = Duration::from_secs(1);

/// A part of a job's results as it is in memory.
struct ListedPart {
    number: u64,
    total: u32,
    entries: Vec<(String, ListedRecord)>,
}

impl Control {
    /// `format` is the one that the calls of the job's items name.
    pub(super) async fn submit_job(
        &self,
        format: Format,
        mut job: NewCallJob,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "submit job";
        let id = job.id.clone();
        let items = job.items.len();
        let room_bytes = self.job_room_bytes();
        // A job that is refused or known is not written to the log: the log is on
        // the same disk. A refused one may fit by the time it would be applied.
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
        without_counted_limit(&mut job, in_force, self.table_in_force().as_deref());
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
        let limit = (self.settings.disk_mb << 20) / 100 * STORE_PERCENT_OF_DISK;
        limit > 0 && self.store_bytes().is_some_and(|bytes| bytes > limit)
    }

    /// Bytes that jobs may take in the store; none for no bound.
    fn job_room_bytes(&self) -> Option<u64> {
        let disk_bytes = self.settings.disk_mb << 20;
        (disk_bytes > 0).then_some(disk_bytes / 100 * JOBS_PERCENT_OF_DISK)
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

    /// Results from a position on; waits for one if there is none yet.
    pub(super) async fn read_results(
        &self,
        read: ReadResults,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let step = "read results";
        let wait = Duration::from_millis(read.wait_ms).min(LONGEST_WAIT);
        let deadline = BootTime::now() + wait;
        let mut news = self.news.subscribe();
        self.barrier(step).await?;
        loop {
            let Some(part) = self.listed_part(&read) else {
                return Ok(CallsResponse::Results(None));
            };
            let waited = BootTime::now() >= deadline;
            if !part.entries.is_empty() || waited || self.stopping.is_cancelled() {
                return self.with_texts(read.from, part).await;
            }
            // Either there is news or the time is up; both are looked at above.
            let _ = timeout_at(deadline, news.changed()).await;
        }
    }

    fn listed_part(&self, read: &ReadResults) -> Option<ListedPart> {
        self.group.with_machine(|machine| {
            let (number, record) = machine.jobs().find(&read.job)?;
            let listed = record.listed.iter().skip(read.from as usize);
            let entries = listed.map(|one| {
                let item = &record.items[one.index as usize];
                (item.id.clone(), *one)
            });
            Some(ListedPart {
                number,
                total: record.items.len() as u32,
                entries: entries.collect(),
            })
        })
    }

    /// Reads the texts. The table may lag behind what was applied, so a read
    /// that meets a missing text waits for the table and looks again.
    async fn with_texts(&self, from: u32, part: ListedPart) -> Result<CallsResponse, Box<Refusal>> {
        let step = "read texts";
        if let Some(entries) = self.read_texts(from, &part)? {
            return Ok(results(from, part.total, entries));
        }
        self.barrier(step).await?;
        match self.read_texts(from, &part)? {
            Some(entries) => Ok(results(from, part.total, entries)),
            None => Err(refusal::unavailable(
                &self.record,
                step,
                "a text is missing",
            )),
        }
    }

    /// None if a text is not there yet.
    fn read_texts(
        &self,
        from: u32,
        part: &ListedPart,
    ) -> Result<Option<Vec<ListedItem>>, Box<Refusal>> {
        let failed =
            |error: &dyn std::fmt::Display| refusal::unavailable(&self.record, "read texts", error);
        if part.entries.is_empty() {
            return Ok(Some(Vec::new()));
        }
        let table = self.group.table().map_err(|error| failed(&error))?;
        let mut entries = Vec::new();
        let mut bytes = 0;
        for (offset, (id, listed)) in part.entries.iter().enumerate() {
            let position = from + offset as u32;
            let text = match listed.state {
                ListedState::Dead => Vec::new(),
                ListedState::Completed => {
                    let key = text_key(part.number, position);
                    match table.get(&key).map_err(|error| failed(&error))? {
                        Some(text) => text,
                        None => return Ok(None),
                    }
                }
            };
            bytes += text.len();
            if bytes > PAGE_BYTES && !entries.is_empty() {
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

    /// The call of an item that is not listed yet.
    pub(super) async fn read_item(&self, read: ReadItem) -> Result<CallsResponse, Box<Refusal>> {
        let step = "read item";
        // The item may end between the look at the machine and the one at the table.
        for _ in 0..READ_TRIES {
            self.barrier(step).await?;
            let Some((number, index)) = self.waiting_call(&read) else {
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

    /// Number of the job and position of an item that waits.
    fn waiting_call(&self, read: &ReadItem) -> Option<(u64, u32)> {
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

    /// Renews and hands out leases; waits for an item if none is free and the
    /// node wants some.
    pub(super) async fn lease_items(
        &self,
        request: LeaseRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let wait = Duration::from_millis(request.wait_ms).min(LONGEST_WAIT);
        let deadline = BootTime::now() + wait;
        loop {
            let decision = self.decide_in_turn(&request).await?;
            for _ in 0..decision.freed {
                self.items_wait.notify_one();
            }
            let has_news = !decision.leased.is_empty() || !decision.stop.is_empty();
            if has_news || BootTime::now() >= deadline || self.stopping.is_cancelled() {
                return Ok(self.described(decision));
            }
            match request.want > 0 {
                // Either an item waits or the time is up; both are looked at above.
                true => drop(timeout_at(deadline, self.items_wait.notified()).await),
                false => sleep(deadline.remaining()).await,
            }
        }
    }

    async fn decide_in_turn(&self, request: &LeaseRequest) -> Result<LeaseDecision, Box<Refusal>> {
        let _turn = self.turns.acquire().await;
        self.decide_leases(request)
    }

    fn decide_leases(&self, request: &LeaseRequest) -> Result<LeaseDecision, Box<Refusal>> {
        let now_ms = self.now_ms();
        let ask = LeaseArgs {
            node: &request.node,
            held: &request.held,
            want: request.want as usize,
            run_ms: request.run_ms,
        };
        let region = self.settings.zones.get(&request.zone).map(String::as_str);
        let table = self.table_in_force();
        self.with_leadership("lease items", |leadership| {
            self.group.with_machine(|machine| {
                let may_run = |job: &JobRecord| is_home(table.as_deref(), job, region);
                let clock_ms = machine.clock_ms();
                leadership
                    .leases
                    .lease_where(now_ms, machine.jobs(), clock_ms, &ask, may_run)
            })
        })
    }

    fn described(&self, decision: LeaseDecision) -> CallsResponse {
        let places = decision.leased.into_iter();
        CallsResponse::Leases(LeaseResponse {
            leased: places.filter_map(|place| self.leased_item(place)).collect(),
            stop: decision.stop,
            backlog_slack_ms: decision.backlog_slack_ms,
        })
    }

    fn leased_item(&self, place: QueuePosition) -> Option<LeasedItem> {
        self.group.with_machine(|machine| {
            let record = machine.jobs().record(place.job)?;
            let item = record.items.get(place.index as usize)?;
            Some(LeasedItem {
                item: pinerill_calls::job::ItemRef {
                    job: record.id.clone(),
                    index: place.index,
                },
                id: item.id.clone(),
                host: record.host.clone(),
                due_in_ms: place.due_ms as i64 - machine.clock_ms() as i64,
            })
        })
    }

    /// Bytes that jobs take in the store now, and once all items are done.
    pub(super) fn job_bytes(&self) -> (u64, u64) {
        self.group.with_machine(|machine| {
            let jobs = machine.jobs();
            let expected = jobs.store_usage().expected_bytes(jobs.queue().len());
            (jobs.store_usage().stored_bytes(), expected)
        })
    }

    /// Bytes of the store's file; none if the file can't be looked at.
    pub(super) fn store_bytes(&self) -> Option<u64> {
        let path = self.settings.data_folder.join(DATABASE_FILE);
        Some(std::fs::metadata(path).ok()?.len())
    }

    /// Logs the size of the store whenever it changed by a megabyte.
    fn tell_store_size(&self, told_mb: &mut u64) {
        let Some(bytes) = self.store_bytes() else {
            return;
        };
        let size_mb = bytes >> 20;
        if size_mb != *told_mb {
            *told_mb = size_mb;
            let (jobs_bytes, expected_bytes) = self.job_bytes();
            log::info!(
                event = "store_size", size_mb, disk_mb = self.settings.disk_mb, jobs_bytes,
                expected_bytes; ""
            );
        }
    }

    /// Lets the group's time pass while there are jobs.
    pub(super) async fn keep_up(&self) {
        let mut told_mb = 0;
        loop {
            sleep(UPKEEP_PAUSE).await;
            self.tell_store_size(&mut told_mb);
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

/// Whether items of a job may run in a region. Of one whose route is gone nobody knows where
/// else it may not.
fn is_home(table: Option<&RouteTable>, job: &JobRecord, region: Option<&str>) -> bool {
    let Some(table) = table else {
        return true;
    };
    let mut routes = table.routes.iter();
    let route = routes.find(|route| route.name == job.route);
    route.is_none_or(|route| table.allowed_regions(route, job.id.tenant()).allows(region))
}

fn results(from: u32, total: u32, entries: Vec<ListedItem>) -> CallsResponse {
    CallsResponse::Results(Some(ResultPage {
        total,
        from,
        entries,
    }))
}
