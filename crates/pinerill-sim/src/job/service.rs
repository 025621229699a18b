//! The job group as its clients see it.

use pinerill_control::job::{
    read_leased, read_page, JobCommand, JobEntry, JobMachine, JobReply, PAGE_ITEMS_LIMIT,
};
use pinerill_control::machine::{TableReader, TableWriter};
use pinerill_storage::GroupReader;
use pinerill_types::job::{JobStatus, LeasedItem};
use pinerill_types::{JobId, TenantName};
use pinerill_wire::message::{AttemptRef, ItemResult, JobOutputRequest, LeaseItems};

use crate::cluster::GroupService;
use crate::defect::Defect;

/// Number of the simulated group in identifiers of jobs.
pub(super) const GROUP: u32 = 0;

/// The job group.
pub struct JobGroup;

/// What clients ask of it.
#[derive(Clone, Debug)]
pub enum JobQuery {
    /// A job's status.
    Status(TenantName, JobId),
    /// All results of a job.
    Output(TenantName, JobId),
    /// The items of attempts that were leased.
    Leased(Vec<AttemptRef>),
    /// How many items wait.
    Backlog,
    /// Whether something is due at this time.
    IsDue(u64),
    /// What a lease would give; only a deliberate defect asks so.
    Preview(LeaseItems, u64),
}

/// What clients are answered.
#[derive(Clone, Debug)]
pub enum JobView {
    /// The status; none when the job is not known.
    Status(Option<JobStatus>),
    /// The results; none when the job is not known.
    Output(Option<Vec<ItemResult>>),
    /// The items; none when the table lacks one.
    Leased(Option<Vec<LeasedItem>>),
    /// How many items wait.
    Backlog(u64),
    /// Whether something is due.
    IsDue(bool),
}

/// The group's table as the machine's functions read it.
struct StoredTable<'a>(&'a dyn GroupReader);

impl TableReader for StoredTable<'_> {
    fn get(&self, key: &[u8]) -> anyhow::Result<Option<Vec<u8>>> {
        Ok(self.0.get(key)?)
    }
}

/// Takes no writes.
struct NoTable;

impl TableWriter for NoTable {
    fn put(&mut self, _key: &[u8], _value: &[u8]) {}
    fn delete(&mut self, _key: &[u8]) {}
}

impl GroupService for JobGroup {
    type Machine = JobMachine;
    type Query = JobQuery;
    type View = JobView;

    #[cfg(feature = "mutants")]
    fn machine(defect: Option<Defect>) -> JobMachine {
        match defect {
            Some(Defect::Job(defect)) => JobMachine::with_defect(GROUP, defect),
            _ => JobMachine::new(GROUP),
        }
    }

    #[cfg(not(feature = "mutants"))]
    fn machine(_defect: Option<Defect>) -> JobMachine {
        JobMachine::new(GROUP)
    }

    fn read(query: &JobQuery, machine: &JobMachine, table: &dyn GroupReader) -> JobView {
        let table = StoredTable(table);
        match query {
            JobQuery::Status(tenant, job) => JobView::Status(machine.status(tenant, *job)),
            JobQuery::Output(tenant, job) => JobView::Output(output(machine, tenant, *job, &table)),
            JobQuery::Leased(attempts) => JobView::Leased(leased(machine, attempts, &table)),
            JobQuery::Backlog => {
                let backlog = machine.backlog();
                JobView::Backlog(backlog.iter().map(|one| one.pending).sum())
            }
            JobQuery::IsDue(stamp_ms) => JobView::IsDue(machine.is_maintenance_due(*stamp_ms)),
            JobQuery::Preview(ask, stamp_ms) => {
                JobView::Leased(preview(machine, ask.clone(), *stamp_ms, &table))
            }
        }
    }
}

fn output(
    machine: &JobMachine,
    tenant: &TenantName,
    job: JobId,
    table: &dyn TableReader,
) -> Option<Vec<ItemResult>> {
    let ask = JobOutputRequest {
        tenant: tenant.clone(),
        job,
        first_index: 0,
        limit: PAGE_ITEMS_LIMIT,
    };
    let plan = machine.plan_page(&ask)?;
    Some(read_page(plan, table).ok()?.results)
}

fn leased(
    machine: &JobMachine,
    attempts: &[AttemptRef],
    table: &dyn TableReader,
) -> Option<Vec<LeasedItem>> {
    read_leased(&machine.plan_lease(attempts), table).ok()?
}

fn preview(
    machine: &JobMachine,
    ask: LeaseItems,
    now_ms: u64,
    table: &dyn TableReader,
) -> Option<Vec<LeasedItem>> {
    let commands = vec![JobCommand::Lease(ask)];
    let mut copy = machine.clone();
    let replies = copy.apply_entry(JobEntry { now_ms, commands }, &mut NoTable);
    match replies.first()? {
        JobReply::Leased(attempts) => leased(&copy, attempts, table),
        _ => None,
    }
}
