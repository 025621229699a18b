//! Jobs as their caller knows them.

use pinerill_types::job::ItemInput;
use pinerill_types::{Digest, JobId, ServiceName, TenantName};
use pinerill_wire::message::SubmitJob;

use crate::job::service::GROUP;
use crate::random::SimRng;

/// Items of the largest job.
const MAX_ITEMS: u64 = 12;
/// Attempts of an item of unknown end before it fails.
const ATTEMPTS_LIMIT: u32 = 4;
const DEADLINE_MS: u64 = 3_600_000;
const RETENTION_MS: u64 = 3_600_000;

/// A job as its caller knows it.
pub(super) struct OwnJob {
    pub(super) whole: SubmitJob,
    /// Its identifier, once an answer named it.
    pub(super) id: Option<JobId>,
    /// Its acceptance was acknowledged.
    pub(super) accepted: bool,
    /// All its results were read at the end.
    pub(super) done: bool,
}

/// Draws a caller's next job.
pub(super) fn new_job(
    rng: &mut SimRng,
    now_ms: u64,
    number: usize,
    (tenant, service): (&TenantName, &ServiceName),
    once_share: f64,
) -> SubmitJob {
    let total = rng.between(1, MAX_ITEMS);
    let items = (0..total).map(|index| ItemInput {
        custom_id: format!("{tenant}-{number}-{index}"),
        url: "/v1/completions".to_owned(),
        body: "{}".to_owned(),
        at_most_once: rng.chance(once_share),
    });
    let key = format!("key-{number}");
    SubmitJob {
        group: GROUP,
        tenant: tenant.clone(),
        service: service.clone(),
        body_digest: Digest::of(key.as_bytes()),
        idempotency_key: key,
        total_items: total as u32,
        deadline_ms: now_ms + DEADLINE_MS,
        first_index: 0,
        items: items.collect(),
        open_items_limit: u32::MAX,
        attempts_limit: ATTEMPTS_LIMIT,
        retention_ms: RETENTION_MS,
    }
}

/// At most `count` items of a job from `from` on.
pub(super) fn part(whole: &SubmitJob, from: u32, count: usize) -> SubmitJob {
    let items = whole.items.iter().skip(from as usize).take(count);
    SubmitJob {
        first_index: from,
        items: items.cloned().collect(),
        ..whole.clone()
    }
}
