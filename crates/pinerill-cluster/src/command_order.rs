//! Keeps the order in which commands receive their elapsed time.

use parking_lot::Mutex;

/// Enqueues commands in the order in which they receive their elapsed time. If a job's command
/// overtook one that carries the time before it, the group's clock would count that time as time
/// since the job's acceptance.
#[derive(Debug, Default)]
pub struct CommandOrder(Mutex<()>);

impl CommandOrder {
    /// Takes the elapsed time of a command and enqueues it, before any other command takes its
    /// own.
    ///
    /// # Errors
    /// The error of `take_elapsed_ms` or `enqueue`.
    pub fn enqueue<T, E>(
        &self,
        take_elapsed_ms: impl FnOnce() -> Result<u64, E>,
        enqueue: impl FnOnce(u64) -> Result<T, E>,
    ) -> Result<T, E> {
        let _turn = self.0.lock();
        enqueue(take_elapsed_ms()?)
    }
}
