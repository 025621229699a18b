//! Bounds the memory of batch bodies that are being received.
//!
//! A job's parts carry the digest and the number of items of the whole body,
//! so a body is held until its last part has been acknowledged. All bodies
//! together stay within one budget; a body that would break it is refused
//! before anything of it was sent.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::failure::{FailureCode, RequestFailure};

/// Bodies of the longest kind that may be received at once.
const BODIES_AT_ONCE: u64 = 4;
/// Bytes of one unit of the budget.
const UNIT_BYTES: usize = 1_024;
/// When to come back while the budget is used up, milliseconds.
const RETRY_MS: u64 = 2_000;

/// The budget of one node.
#[derive(Debug)]
pub struct IntakeMemory {
    units: Arc<Semaphore>,
}

/// What one body uses of the budget; given back when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    units: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

impl IntakeMemory {
    /// Room for some bodies of `body_limit_kib`.
    pub fn new(body_limit_kib: u64) -> Self {
        let units = (body_limit_kib * BODIES_AT_ONCE) as usize;
        Self {
            units: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// A body of which nothing has arrived.
    pub fn start(&self) -> BodyReservation {
        BodyReservation {
            units: self.units.clone(),
            held: None,
            bytes: 0,
        }
    }

    /// Units that are free.
    pub fn free_kib(&self) -> usize {
        self.units.available_permits()
    }
}

impl BodyReservation {
    /// The body has grown by `bytes`.
    ///
    /// # Errors
    /// `overloaded` when the budget is used up.
    pub fn grow(&mut self, bytes: usize) -> Result<(), RequestFailure> {
        self.bytes += bytes;
        let wanted = self.bytes.div_ceil(UNIT_BYTES);
        let held = self.held.as_ref().map_or(0, |held| held.num_permits());
        let missing = wanted.saturating_sub(held) as u32;
        let more = self.units.clone().try_acquire_many_owned(missing);
        let more = more.map_err(|_| overloaded())?;
        match &mut self.held {
            Some(held) => held.merge(more),
            None => self.held = Some(more),
        }
        Ok(())
    }
}

fn overloaded() -> RequestFailure {
    let message = "too many batches are being received";
    RequestFailure::not_run(FailureCode::Overloaded, "read body", message).retry_after(RETRY_MS)
}
