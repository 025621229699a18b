//! Threads of their own for replicated groups and what carries their messages.
//!
//! A heartbeat that waits behind the watches of some hundred nodes costs the
//! leader its place, and an election adds to the load that delayed it.

use tokio::runtime::{Builder, EnterGuard, Runtime};

/// Threads of the runtime.
const THREADS: usize = 2;

/// A runtime that may be dropped anywhere.
pub(super) struct GroupsRuntime {
    runtime: Option<Runtime>,
}

impl GroupsRuntime {
    /// Starts the threads.
    ///
    /// # Errors
    /// When the system has no threads left.
    pub(super) fn start() -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name("groups")
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// While the guard lives, tasks of this thread start on the runtime.
    pub(super) fn enter(&self) -> Option<EnterGuard<'_>> {
        self.runtime.as_ref().map(Runtime::enter)
    }
}

impl Drop for GroupsRuntime {
    /// Dropping a runtime waits for it, which an async task must not.
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
