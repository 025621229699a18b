//! Bounds the memory of batch bodies that are being received.
//!
//! Every part of a job carries the digest and the item count of the whole body, so a
//! body stays in memory until its last part is acknowledged. All bodies share one
//! budget; a body that would exceed it is rejected before any part of it is sent.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::failure::{FailureCode, RequestFailure};

/// Number of bodies of maximum length that fit into the budget.
const CONCURRENT_BODIES: u64 = 4;
/// Size of one unit of the budget, in bytes.
const UNIT_BYTES: usize = 1_024;
/// Retry delay sent to the caller while the budget is exhausted, in milliseconds.
const RETRY_MS: u64 = 2_000;

/// Memory budget of one node for all bodies being received.
#[derive(Debug)]
pub struct IntakeMemory {
    units: Arc<Semaphore>,
}

/// Share of the budget that one body uses; released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    units: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

impl IntakeMemory {
    /// Creates a budget for four bodies of `body_limit_kib` KiB each.
    pub fn new(body_limit_kib: u64) -> Self {
        let units = (body_limit_kib * CONCURRENT_BODIES) as usize;
        Self {
            units: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Returns an empty reservation for a new body.
    pub fn start(&self) -> BodyReservation {
        BodyReservation {
            units: self.units.clone(),
            held: None,
            bytes: 0,
        }
    }

    /// Returns the unused budget in KiB.
    pub fn free_kib(&self) -> usize {
        self.units.available_permits()
    }
}

impl BodyReservation {
    /// Extends the reservation by `bytes`.
    ///
    /// # Errors
    /// `overloaded` if the remaining budget is too small.
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
