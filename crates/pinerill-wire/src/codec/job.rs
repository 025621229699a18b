//! Batch jobs, leases and results.

use pinerill_types::job::{
    AttemptEnd, ItemCounts, ItemInput, ItemState, JobState, JobStatus, LeasedItem,
};
use pinerill_types::{JobId, NodeName, ServiceName, TenantName};

use super::list::{decode_structs, encode_structs};
use super::text::{digest, name, string};
use super::CodecError;
use crate::message::{
    AttemptRef, AttemptReport, AttemptVerdict, EndAttempts, ItemResult, JobOutputRequest,
    JobOutputResponse, LeaseItems, LeaseWant, ListJobs, RenewLeases, SubmitJob, SubmitJobResponse,
};
use crate::wire_capnp as wire;

fn encode_id(job: JobId, mut builder: wire::job_id::Builder<'_>) {
    builder.set_group(job.group);
    builder.set_sequence(job.sequence);
}

fn decode_id(reader: wire::job_id::Reader<'_>) -> JobId {
    JobId {
        group: reader.get_group(),
        sequence: reader.get_sequence(),
    }
}

fn encode_job_state(state: JobState) -> wire::JobState {
    match state {
        JobState::Receiving => wire::JobState::Receiving,
        JobState::InProgress => wire::JobState::InProgress,
        JobState::Cancelled => wire::JobState::Cancelled,
        JobState::Completed => wire::JobState::Completed,
    }
}

fn decode_job_state(state: wire::JobState) -> JobState {
    match state {
        wire::JobState::Receiving => JobState::Receiving,
        wire::JobState::InProgress => JobState::InProgress,
        wire::JobState::Cancelled => JobState::Cancelled,
        wire::JobState::Completed => JobState::Completed,
    }
}

fn encode_item_state(state: ItemState) -> wire::ItemState {
    match state {
        ItemState::Pending => wire::ItemState::Pending,
        ItemState::Leased => wire::ItemState::Leased,
        ItemState::Completed => wire::ItemState::Completed,
        ItemState::Failed => wire::ItemState::Failed,
        ItemState::Cancelled => wire::ItemState::Cancelled,
        ItemState::Indeterminate => wire::ItemState::Indeterminate,
    }
}

fn decode_item_state(state: wire::ItemState) -> ItemState {
    match state {
        wire::ItemState::Pending => ItemState::Pending,
        wire::ItemState::Leased => ItemState::Leased,
        wire::ItemState::Completed => ItemState::Completed,
        wire::ItemState::Failed => ItemState::Failed,
        wire::ItemState::Cancelled => ItemState::Cancelled,
        wire::ItemState::Indeterminate => ItemState::Indeterminate,
    }
}

fn encode_input(input: &ItemInput, mut builder: wire::item_input::Builder<'_>) {
    builder.set_custom_id(&input.custom_id);
    builder.set_url(&input.url);
    builder.set_body(&input.body);
    builder.set_at_most_once(input.at_most_once);
}

fn decode_input(reader: wire::item_input::Reader<'_>) -> Result<ItemInput, CodecError> {
    Ok(ItemInput {
        custom_id: string(reader.get_custom_id()?)?,
        url: string(reader.get_url()?)?,
        body: string(reader.get_body()?)?,
        at_most_once: reader.get_at_most_once(),
    })
}

pub(super) fn encode_submit(submit: &SubmitJob, mut builder: wire::submit_job::Builder<'_>) {
    builder.set_group(submit.group);
    builder.set_tenant(submit.tenant.as_str());
    builder.set_service(submit.service.as_str());
    builder.set_idempotency_key(&submit.idempotency_key);
    builder.set_body_digest(&submit.body_digest.0);
    builder.set_total_items(submit.total_items);
    builder.set_deadline_ms(submit.deadline_ms);
    builder.set_first_index(submit.first_index);
    builder.set_open_items_limit(submit.open_items_limit);
    builder.set_attempts_limit(submit.attempts_limit);
    builder.set_retention_ms(submit.retention_ms);
    let items = builder.init_items(submit.items.len() as u32);
    encode_structs(items, &submit.items, encode_input);
}

pub(super) fn decode_submit(reader: wire::submit_job::Reader<'_>) -> Result<SubmitJob, CodecError> {
    Ok(SubmitJob {
        group: reader.get_group(),
        tenant: TenantName(name("tenant", reader.get_tenant()?)?),
        service: ServiceName(name("service", reader.get_service()?)?),
        idempotency_key: name("idempotencyKey", reader.get_idempotency_key()?)?,
        body_digest: digest("bodyDigest", reader.get_body_digest()?)?,
        total_items: reader.get_total_items(),
        deadline_ms: reader.get_deadline_ms(),
        first_index: reader.get_first_index(),
        items: decode_structs(reader.get_items()?, decode_input)?,
        open_items_limit: reader.get_open_items_limit(),
        attempts_limit: reader.get_attempts_limit(),
        retention_ms: reader.get_retention_ms(),
    })
}

pub(super) fn encode_submit_response(
    response: &SubmitJobResponse,
    mut builder: wire::submit_job_response::Builder<'_>,
) {
    encode_id(response.job, builder.reborrow().init_job());
    builder.set_received(response.received);
    builder.set_state(encode_job_state(response.state));
}

pub(super) fn decode_submit_response(
    reader: wire::submit_job_response::Reader<'_>,
) -> Result<SubmitJobResponse, CodecError> {
    Ok(SubmitJobResponse {
        job: decode_id(reader.get_job()?),
        received: reader.get_received(),
        state: decode_job_state(reader.get_state()?),
    })
}

pub(super) fn encode_tenant_job(
    tenant: &TenantName,
    job: JobId,
    mut builder: wire::tenant_job::Builder<'_>,
) {
    builder.set_tenant(tenant.as_str());
    encode_id(job, builder.init_job());
}

pub(super) fn decode_tenant_job(
    reader: wire::tenant_job::Reader<'_>,
) -> Result<(TenantName, JobId), CodecError> {
    let tenant = TenantName(name("tenant", reader.get_tenant()?)?);
    Ok((tenant, decode_id(reader.get_job()?)))
}

pub(super) fn encode_status(status: &JobStatus, mut builder: wire::job_status::Builder<'_>) {
    encode_id(status.id, builder.reborrow().init_id());
    builder.set_tenant(status.tenant.as_str());
    builder.set_service(status.service.as_str());
    builder.set_state(encode_job_state(status.state));
    let mut counts = builder.reborrow().init_counts();
    counts.set_total(status.counts.total);
    counts.set_pending(status.counts.pending);
    counts.set_leased(status.counts.leased);
    counts.set_completed(status.counts.completed);
    counts.set_failed(status.counts.failed);
    counts.set_cancelled(status.counts.cancelled);
    counts.set_indeterminate(status.counts.indeterminate);
    builder.set_created_ms(status.created_ms);
    builder.set_deadline_ms(status.deadline_ms);
    builder.set_expires_ms(status.expires_ms);
}

pub(super) fn decode_status(reader: wire::job_status::Reader<'_>) -> Result<JobStatus, CodecError> {
    let counts = reader.get_counts()?;
    Ok(JobStatus {
        id: decode_id(reader.get_id()?),
        tenant: TenantName(name("tenant", reader.get_tenant()?)?),
        service: ServiceName(name("service", reader.get_service()?)?),
        state: decode_job_state(reader.get_state()?),
        counts: ItemCounts {
            total: counts.get_total(),
            pending: counts.get_pending(),
            leased: counts.get_leased(),
            completed: counts.get_completed(),
            failed: counts.get_failed(),
            cancelled: counts.get_cancelled(),
            indeterminate: counts.get_indeterminate(),
        },
        created_ms: reader.get_created_ms(),
        deadline_ms: reader.get_deadline_ms(),
        expires_ms: reader.get_expires_ms(),
    })
}

pub(super) fn encode_output_request(
    request: &JobOutputRequest,
    mut builder: wire::job_output_request::Builder<'_>,
) {
    builder.set_tenant(request.tenant.as_str());
    builder.set_first_index(request.first_index);
    builder.set_limit(request.limit);
    encode_id(request.job, builder.init_job());
}

pub(super) fn decode_output_request(
    reader: wire::job_output_request::Reader<'_>,
) -> Result<JobOutputRequest, CodecError> {
    Ok(JobOutputRequest {
        tenant: TenantName(name("tenant", reader.get_tenant()?)?),
        job: decode_id(reader.get_job()?),
        first_index: reader.get_first_index(),
        limit: reader.get_limit(),
    })
}

pub(super) fn encode_output(
    response: &JobOutputResponse,
    mut builder: wire::job_output_response::Builder<'_>,
) {
    builder.set_next_index(response.next_index);
    let mut results = builder.init_results(response.results.len() as u32);
    for (index, result) in response.results.iter().enumerate() {
        let mut one = results.reborrow().get(index as u32);
        one.set_index(result.index);
        one.set_custom_id(&result.custom_id);
        one.set_state(encode_item_state(result.state));
        one.set_body(&result.body);
    }
}

pub(super) fn decode_output(
    reader: wire::job_output_response::Reader<'_>,
) -> Result<JobOutputResponse, CodecError> {
    let results = reader.get_results()?.iter().map(|one| {
        Ok(ItemResult {
            index: one.get_index(),
            custom_id: string(one.get_custom_id()?)?,
            state: decode_item_state(one.get_state()?),
            body: string(one.get_body()?)?,
        })
    });
    Ok(JobOutputResponse {
        results: results.collect::<Result<_, CodecError>>()?,
        next_index: reader.get_next_index(),
    })
}

pub(super) fn encode_list(list: &ListJobs, mut builder: wire::list_jobs::Builder<'_>) {
    builder.set_group(list.group);
    builder.set_tenant(list.tenant.as_str());
    builder.set_limit(list.limit);
}

pub(super) fn decode_list(reader: wire::list_jobs::Reader<'_>) -> Result<ListJobs, CodecError> {
    Ok(ListJobs {
        group: reader.get_group(),
        tenant: TenantName(name("tenant", reader.get_tenant()?)?),
        limit: reader.get_limit(),
    })
}

pub(super) fn encode_lease(lease: &LeaseItems, mut builder: wire::lease_items::Builder<'_>) {
    builder.set_group(lease.group);
    builder.set_node(lease.node.as_str());
    builder.set_incarnation(lease.incarnation);
    builder.set_sequence(lease.sequence);
    builder.set_lease_ms(lease.lease_ms);
    let mut wants = builder.init_wants(lease.wants.len() as u32);
    for (index, want) in lease.wants.iter().enumerate() {
        let mut one = wants.reborrow().get(index as u32);
        one.set_service(want.service.as_str());
        one.set_limit(want.limit);
    }
}

pub(super) fn decode_lease(
    reader: wire::lease_items::Reader<'_>,
) -> Result<LeaseItems, CodecError> {
    let wants = reader.get_wants()?.iter().map(|one| {
        Ok(LeaseWant {
            service: ServiceName(name("service", one.get_service()?)?),
            limit: one.get_limit(),
        })
    });
    Ok(LeaseItems {
        group: reader.get_group(),
        node: NodeName(name("node", reader.get_node()?)?),
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
        wants: wants.collect::<Result<_, CodecError>>()?,
        lease_ms: reader.get_lease_ms(),
    })
}

pub(super) fn encode_leased(item: &LeasedItem, mut builder: wire::leased_item::Builder<'_>) {
    encode_id(item.job, builder.reborrow().init_job());
    builder.set_index(item.index);
    builder.set_attempt(item.attempt);
    builder.set_tenant(item.tenant.as_str());
    builder.set_service(item.service.as_str());
    builder.set_deadline_ms(item.deadline_ms);
    encode_input(&item.input, builder.init_input());
}

pub(super) fn decode_leased(
    reader: wire::leased_item::Reader<'_>,
) -> Result<LeasedItem, CodecError> {
    Ok(LeasedItem {
        job: decode_id(reader.get_job()?),
        index: reader.get_index(),
        attempt: reader.get_attempt(),
        tenant: TenantName(name("tenant", reader.get_tenant()?)?),
        service: ServiceName(name("service", reader.get_service()?)?),
        deadline_ms: reader.get_deadline_ms(),
        input: decode_input(reader.get_input()?)?,
    })
}

pub(super) fn encode_attempt(attempt: AttemptRef, mut builder: wire::attempt_ref::Builder<'_>) {
    encode_id(attempt.job, builder.reborrow().init_job());
    builder.set_index(attempt.index);
    builder.set_attempt(attempt.attempt);
}

pub(super) fn decode_attempt(
    reader: wire::attempt_ref::Reader<'_>,
) -> Result<AttemptRef, CodecError> {
    Ok(AttemptRef {
        job: decode_id(reader.get_job()?),
        index: reader.get_index(),
        attempt: reader.get_attempt(),
    })
}

fn encode_report(report: &AttemptReport, mut builder: wire::attempt_report::Builder<'_>) {
    encode_attempt(report.attempt, builder.reborrow().init_attempt());
    match &report.end {
        AttemptEnd::Completed(body) => builder.set_completed(body),
        AttemptEnd::Failed(reason) => builder.set_failed(reason),
        AttemptEnd::Released => builder.set_released(()),
        AttemptEnd::Indeterminate(reason) => builder.set_indeterminate(reason),
    }
}

fn decode_report(reader: wire::attempt_report::Reader<'_>) -> Result<AttemptReport, CodecError> {
    use wire::attempt_report::Which;
    let end = match reader.which()? {
        Which::Completed(body) => AttemptEnd::Completed(string(body?)?),
        Which::Failed(reason) => AttemptEnd::Failed(string(reason?)?),
        Which::Released(()) => AttemptEnd::Released,
        Which::Indeterminate(reason) => AttemptEnd::Indeterminate(string(reason?)?),
    };
    Ok(AttemptReport {
        attempt: decode_attempt(reader.get_attempt()?)?,
        end,
    })
}

pub(super) fn encode_end(end: &EndAttempts, mut builder: wire::end_attempts::Builder<'_>) {
    builder.set_group(end.group);
    builder.set_node(end.node.as_str());
    let reports = builder.init_reports(end.reports.len() as u32);
    encode_structs(reports, &end.reports, encode_report);
}

pub(super) fn decode_end(
    reader: wire::end_attempts::Reader<'_>,
) -> Result<EndAttempts, CodecError> {
    Ok(EndAttempts {
        group: reader.get_group(),
        node: NodeName(name("node", reader.get_node()?)?),
        reports: decode_structs(reader.get_reports()?, decode_report)?,
    })
}

pub(super) fn encode_verdict(verdict: AttemptVerdict) -> wire::AttemptVerdict {
    match verdict {
        AttemptVerdict::Counted => wire::AttemptVerdict::Counted,
        AttemptVerdict::Late => wire::AttemptVerdict::Late,
        AttemptVerdict::Unknown => wire::AttemptVerdict::Unknown,
    }
}

pub(super) fn decode_verdict(verdict: wire::AttemptVerdict) -> AttemptVerdict {
    match verdict {
        wire::AttemptVerdict::Counted => AttemptVerdict::Counted,
        wire::AttemptVerdict::Late => AttemptVerdict::Late,
        wire::AttemptVerdict::Unknown => AttemptVerdict::Unknown,
    }
}

pub(super) fn encode_renew(renew: &RenewLeases, mut builder: wire::renew_leases::Builder<'_>) {
    builder.set_group(renew.group);
    builder.set_node(renew.node.as_str());
    builder.set_lease_ms(renew.lease_ms);
    let attempts = builder.init_attempts(renew.attempts.len() as u32);
    encode_structs(attempts, renew.attempts.iter().copied(), encode_attempt);
}

pub(super) fn decode_renew(
    reader: wire::renew_leases::Reader<'_>,
) -> Result<RenewLeases, CodecError> {
    Ok(RenewLeases {
        group: reader.get_group(),
        node: NodeName(name("node", reader.get_node()?)?),
        lease_ms: reader.get_lease_ms(),
        attempts: decode_structs(reader.get_attempts()?, decode_attempt)?,
    })
}
