//! Reads the headers and body of a submitted batch.

use std::time::Duration;

use pinerill_types::job::IDEMPOTENCY_KEY_LIMIT;
use rocket::data::{Data, DataStream, ToByteUnit};
use rocket::tokio::io::AsyncReadExt;

use super::admission::{find_service, unconfirmed, Authenticated};
use super::caller::{parse_positive, Caller};
use crate::clock;
use crate::failure::{FailureCode, RequestFailure};
use crate::jobs::{BatchLines, BodyReservation, LineReader, NewJob};
use crate::node::Node;

/// Deadline of a job when the caller sets none, in seconds after submission.
const DEADLINE_DEFAULT_SECONDS: u64 = 86_400;
/// Size of the buffer for one read from a caller's connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Longest wait for the next bytes of a body before the upload fails.
const READ_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const KIB: u64 = 1_024;
const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;

/// Reads a whole submission. The memory for its body stays reserved until the
/// returned `Reserved` is dropped.
///
/// # Errors
/// The failure to return to the caller; nothing was sent to a group yet.
pub async fn read_job(
    node: &Node,
    caller: &Caller,
    authenticated: &Authenticated,
    data: Data<'_>,
) -> Result<(NewJob, BodyReservation), RequestFailure> {
    let idempotency_key = idempotency_key(caller)?;
    let header = "Pinerill-Deadline-Seconds";
    let deadline = parse_positive(caller.deadline_seconds.as_deref(), header)?;
    let deadline_seconds = deadline.unwrap_or(DEADLINE_DEFAULT_SECONDS);
    let (lines, reserved) = read_lines(node, authenticated, data).await?;
    let plan = find_service(authenticated, &lines.service)?;
    let catalog = &authenticated.catalog;
    let tenant = catalog.tenant(&authenticated.tenant);
    let tenant = tenant.ok_or_else(unconfirmed)?;
    let job = NewJob {
        tenant: authenticated.tenant.clone(),
        service: plan.name.clone(),
        idempotency_key,
        body_digest: lines.digest,
        items: lines.items,
        deadline_ms: clock::unix_ms().saturating_add(deadline_seconds.saturating_mul(SECOND_MS)),
        open_items_limit: tenant.open_batch_items,
        attempts_limit: plan.settings.sharing.batch_attempts,
        retention_ms: u64::from(catalog.policy().result_retention_hours) * HOUR_MS,
    };
    Ok((job, reserved))
}

fn idempotency_key(caller: &Caller) -> Result<String, RequestFailure> {
    let rejection = |message: String| {
        let code = FailureCode::MissingIdempotencyKey;
        RequestFailure::not_run(code, "read headers", message)
    };
    match caller.idempotency_key.as_deref() {
        None | Some("") => Err(rejection("Idempotency-Key: required".to_owned())),
        Some(key) if key.len() > IDEMPOTENCY_KEY_LIMIT => Err(rejection(format!(
            "Idempotency-Key: at most {IDEMPOTENCY_KEY_LIMIT} bytes"
        ))),
        Some(key) => Ok(key.to_owned()),
    }
}

/// Checks each line as it arrives, so that an invalid one ends the upload early.
async fn read_lines(
    node: &Node,
    authenticated: &Authenticated,
    data: Data<'_>,
) -> Result<(BatchLines, BodyReservation), RequestFailure> {
    let limit = node.settings.batch_limit_kib * KIB;
    let mut body = data.open((limit + 1).bytes());
    let mut reserved = node.intake.start();
    let mut reader = LineReader::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut total = 0;
    loop {
        let length = read_chunk(&mut body, &mut buffer).await?;
        if length == 0 {
            return Ok((reader.finish()?, reserved));
        }
        total += length as u64;
        if total > limit {
            return Err(too_large(node.settings.batch_limit_kib));
        }
        reserved.grow(length)?;
        reader.push(&buffer[..length])?;
        if let Some(service) = reader.service() {
            find_service(authenticated, service)?;
        }
    }
}

async fn read_chunk(body: &mut DataStream<'_>, buffer: &mut [u8]) -> Result<usize, RequestFailure> {
    let read = tokio::time::timeout(READ_IDLE_TIMEOUT, body.read(buffer)).await;
    let read_failure = |message: String| {
        RequestFailure::not_run(FailureCode::InvalidRequest, "read body", message)
            .with_peer("caller")
    };
    match read {
        Ok(Ok(length)) => Ok(length),
        Ok(Err(error)) => Err(read_failure(error.to_string())),
        Err(_) => Err(read_failure("the caller is silent".to_owned())),
    }
}

fn too_large(limit_kib: u64) -> RequestFailure {
    let message = format!("a batch may have {limit_kib} KiB");
    RequestFailure::not_run(FailureCode::BodyTooLarge, "read body", message)
}
