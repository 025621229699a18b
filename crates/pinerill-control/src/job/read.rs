//! Reads for answers, at an index that the caller has confirmed.

use pinerill_types::job::{ItemState, JobStatus, LeasedItem};
use pinerill_types::{ServiceName, TenantName};
use pinerill_wire::message::{AttemptRef, ItemResult, JobOutputRequest, JobOutputResponse};
use pinerill_wire::message::{ListJobs, ServiceBacklog};

use super::lease::ItemKey;
use super::leasing::item_key;
use super::machine::JobMachine;
use super::table;
use crate::machine::TableReader;

/// Most jobs of one list.
pub const LIST_LIMIT: u32 = 1_000;
/// Most items of one page of results.
pub const PAGE_ITEMS_LIMIT: u32 = 4_096;
/// Bytes of results after which a page ends.
pub const PAGE_BYTES_LIMIT: usize = 4 * 1024 * 1024;

/// Which results a page may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PagePlan {
    job: u64,
    first: u32,
    end: u32,
}

/// What a leased item's answer needs besides its input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasePlan {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Whose job it is.
    pub tenant: TenantName,
    /// The service that runs it.
    pub service: ServiceName,
    /// When the job should have ended, Unix milliseconds.
    pub deadline_ms: u64,
}

impl JobMachine {
    /// A tenant's jobs, newest first.
    pub fn list(&self, ask: &ListJobs) -> Vec<JobStatus> {
        let jobs = self.tenants.newest_first(&ask.tenant);
        let limit = ask.limit.min(LIST_LIMIT) as usize;
        jobs.filter_map(|sequence| self.status(&ask.tenant, self.job_id(sequence)))
            .take(limit)
            .collect()
    }

    /// Plans a page of results; none when the job is not the tenant's.
    pub fn plan_page(&self, ask: &JobOutputRequest) -> Option<PagePlan> {
        let total = self.find(&ask.tenant, ask.job)?.counts.total;
        let limit = ask.limit.clamp(1, PAGE_ITEMS_LIMIT);
        let first = ask.first_index.min(total);
        Some(PagePlan {
            job: ask.job.sequence,
            first,
            end: total.min(first.saturating_add(limit)),
        })
    }

    /// Plans the answer to a lease; attempts of jobs that are no more are
    /// left out.
    pub fn plan_lease(&self, attempts: &[AttemptRef]) -> Vec<LeasePlan> {
        let plan = |attempt: &AttemptRef| {
            let job = self.jobs.get(&attempt.job.sequence)?;
            Some(LeasePlan {
                attempt: *attempt,
                tenant: job.tenant.clone(),
                service: job.service.clone(),
                deadline_ms: job.deadline_ms,
            })
        };
        attempts.iter().filter_map(plan).collect()
    }

    /// Pending items by service.
    pub fn backlog(&self) -> Vec<ServiceBacklog> {
        self.queues.backlog()
    }

    /// Items in memory and leases in force.
    pub fn sizes(&self) -> MachineSizes {
        MachineSizes {
            jobs: self.jobs.len(),
            items: self.jobs.values().map(|job| job.cells.len()).sum(),
            leases: self.leases.len(),
        }
    }
}

/// How much a machine holds in memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineSizes {
    /// Jobs.
    pub jobs: usize,
    /// Items of jobs that have not ended long ago.
    pub items: usize,
    /// Leases in force.
    pub leases: usize,
}

/// Reads a page of results.
///
/// Only the table decides: a result is written once, by the end that counts,
/// and an item without one is cancelled exactly if the job's marker is there
/// in the same view of the table.
///
/// # Errors
/// When the table can't be read.
pub fn read_page(plan: PagePlan, table: &dyn TableReader) -> anyhow::Result<JobOutputResponse> {
    let cancelled = table::read_cancelled(table, plan.job)?;
    let mut results = Vec::new();
    let mut bytes = 0;
    let mut next_index = plan.first;
    while next_index < plan.end && bytes < PAGE_BYTES_LIMIT {
        let key = ItemKey {
            job: plan.job,
            index: next_index,
        };
        next_index += 1;
        if let Some(result) = read_item(key, cancelled, table)? {
            bytes += result.body.len();
            results.push(result);
        }
    }
    Ok(JobOutputResponse {
        results,
        next_index,
    })
}

fn read_item(
    key: ItemKey,
    cancelled: bool,
    table: &dyn TableReader,
) -> anyhow::Result<Option<ItemResult>> {
    let record = table::read_result(table, key)?;
    let (state, body) = match record {
        Some(record) => (record.state, record.body),
        None if cancelled => (ItemState::Cancelled, String::new()),
        None => return Ok(None),
    };
    // An item that was never received has no input.
    let input = table::read_input(table, key)?;
    Ok(Some(ItemResult {
        index: key.index,
        custom_id: input.map(|input| input.custom_id).unwrap_or_default(),
        state,
        body,
    }))
}

/// Reads the inputs of leased items; none when one is not visible in the
/// table yet.
///
/// # Errors
/// When the table can't be read.
pub fn read_leased(
    plans: &[LeasePlan],
    table: &dyn TableReader,
) -> anyhow::Result<Option<Vec<LeasedItem>>> {
    let mut items = Vec::with_capacity(plans.len());
    for plan in plans {
        let Some(input) = table::read_input(table, item_key(&plan.attempt))? else {
            return Ok(None);
        };
        items.push(LeasedItem {
            job: plan.attempt.job,
            index: plan.attempt.index,
            attempt: plan.attempt.attempt,
            tenant: plan.tenant.clone(),
            service: plan.service.clone(),
            deadline_ms: plan.deadline_ms,
            input,
        });
    }
    Ok(Some(items))
}
