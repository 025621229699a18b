//! Taking in jobs, part by part.

use pinerill_types::job::{
    ItemInput, JobState, IDEMPOTENCY_KEY_LIMIT, ITEM_BODY_LIMIT, ITEM_LIMIT,
};
use pinerill_wire::message::{SubmitJob, SubmitJobResponse};

use super::command::{JobReply, Rejection};
use super::defects::JobDefect;
use super::lease::ItemKey;
use super::machine::JobMachine;
use super::queue::Place;
use super::record::Job;
use super::table;
use crate::machine::TableWriter;

/// A job of which no part came for so long is dropped, milliseconds. It was
/// never accepted, so the caller knows that it has to send it again.
pub const RECEIVING_LIMIT_MS: u64 = 600_000;

impl JobMachine {
    pub(super) fn submit(
        &mut self,
        part: &SubmitJob,
        table: &mut dyn TableWriter,
    ) -> Result<JobReply, Rejection> {
        check(part)?;
        let known = self.tenants.job(&part.tenant, &part.idempotency_key);
        let forgets = part.first_index == 0 && self.has(JobDefect::ResentJobIsNew);
        let sequence = match known.filter(|_| !forgets) {
            Some(known) => known,
            None => self.open(part)?,
        };
        let id = self.job_id(sequence);
        let job = self.jobs.get_mut(&sequence);
        let job = job.ok_or(Rejection::NotFound(id))?;
        if !job.is_of(part) {
            return Err(Rejection::Conflict(id));
        }
        // A part that leaves a gap changes nothing: the answer says where to
        // go on.
        if job.state == JobState::Receiving && part.first_index <= job.received {
            self.receive(sequence, part, table);
        }
        let job = self.jobs.get(&sequence);
        let job = job.ok_or(Rejection::NotFound(id))?;
        Ok(JobReply::Submitted(SubmitJobResponse {
            job: id,
            received: job.received,
            state: job.state,
        }))
    }

    /// Opens a job and reserves its items in the tenant's limit.
    fn open(&mut self, part: &SubmitJob) -> Result<u64, Rejection> {
        let open = self.tenants.open_items(&part.tenant);
        if open + u64::from(part.total_items) > u64::from(part.open_items_limit) {
            return Err(Rejection::OverLimit {
                open,
                added: part.total_items,
                limit: part.open_items_limit,
            });
        }
        self.last_job += 1;
        let sequence = self.last_job;
        self.jobs.insert(sequence, Job::new(part));
        let (tenant, key) = (&part.tenant, &part.idempotency_key);
        self.tenants.add(tenant, key, sequence, part.total_items);
        self.set_timer(sequence, self.clock.now_ms() + RECEIVING_LIMIT_MS);
        Ok(sequence)
    }

    fn receive(&mut self, sequence: u64, part: &SubmitJob, table: &mut dyn TableWriter) {
        let now_ms = self.clock.now_ms();
        let Some(job) = self.jobs.get_mut(&sequence) else {
            return;
        };
        let first_new = job.received;
        let skip = (first_new - part.first_index) as usize;
        job.receive(part, skip);
        for (index, item) in (first_new..).zip(part.items.iter().skip(skip)) {
            let key = ItemKey {
                job: sequence,
                index,
            };
            table::write_input(table, key, item);
        }
        if job.received < job.counts.total {
            self.set_timer(sequence, now_ms + RECEIVING_LIMIT_MS);
            return;
        }
        job.state = JobState::InProgress;
        job.created_ms = now_ms;
        let place = Place {
            service: &job.service,
            tenant: &job.tenant,
            job: job.slot(sequence),
        };
        self.queues.add(place, job.received);
        self.set_timer(sequence, 0);
    }
}

fn check(part: &SubmitJob) -> Result<(), Rejection> {
    let invalid = |message: String| Err(Rejection::Invalid(message));
    let total = part.total_items as usize;
    if total == 0 || total > ITEM_LIMIT {
        return invalid(format!("a job has 1 to {ITEM_LIMIT} items, not {total}"));
    }
    if part.first_index as usize + part.items.len() > total {
        return invalid(format!("the part goes beyond the job's {total} items"));
    }
    let key_length = part.idempotency_key.len();
    if key_length == 0 || key_length > IDEMPOTENCY_KEY_LIMIT {
        let limit = IDEMPOTENCY_KEY_LIMIT;
        return invalid(format!("an idempotency key has 1 to {limit} bytes"));
    }
    if part.attempts_limit == 0 {
        return invalid("an item needs at least one attempt".to_owned());
    }
    let too_long = |item: &&ItemInput| {
        item.body.len() > ITEM_BODY_LIMIT || item.custom_id.len() + item.url.len() > ITEM_BODY_LIMIT
    };
    match part.items.iter().find(too_long) {
        Some(item) => invalid(format!("item {} is too long", item.custom_id)),
        None => Ok(()),
    }
}
