//! Gathers commands into log entries.

use std::collections::VecDeque;

use super::command::JobCommand;

/// Most commands of one entry.
pub const BATCH_COMMANDS_LIMIT: usize = 512;
/// Bytes of commands after which an entry is full.
pub const BATCH_BYTES_LIMIT: usize = 1024 * 1024;
/// Entries that may be under way at once. While they are, commands gather.
pub const ENTRIES_IN_FLIGHT_LIMIT: usize = 2;
/// Bytes of commands that may wait.
pub const WAITING_BYTES_LIMIT: usize = 32 * 1024 * 1024;

/// Commands that wait for a place in an entry, each with what is owed its
/// reply.
#[derive(Debug)]
pub struct CommandBatcher<W> {
    waiting: VecDeque<(JobCommand, W)>,
    waiting_bytes: usize,
    in_flight: usize,
}

/// The commands of one entry.
#[derive(Debug)]
pub struct CommandBatch<W> {
    /// The commands, in the order in which they came.
    pub commands: Vec<JobCommand>,
    /// What is owed the reply to each.
    pub waiters: Vec<W>,
}

impl<W> Default for CommandBatcher<W> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            in_flight: 0,
        }
    }
}

impl<W> CommandBatcher<W> {
    /// Takes a command in, or gives its waiter back when too much waits.
    ///
    /// # Errors
    /// The waiter of the refused command.
    pub fn push(&mut self, command: JobCommand, waiter: W) -> Result<(), W> {
        if self.waiting_bytes >= WAITING_BYTES_LIMIT {
            return Err(waiter);
        }
        self.waiting_bytes += command.size();
        self.waiting.push_back((command, waiter));
        Ok(())
    }

    /// The next entry, if one may leave now. Each must be followed by
    /// [`CommandBatcher::finished`].
    pub fn next_batch(&mut self) -> Option<CommandBatch<W>> {
        if self.in_flight >= ENTRIES_IN_FLIGHT_LIMIT || self.waiting.is_empty() {
            return None;
        }
        self.in_flight += 1;
        let mut batch = CommandBatch {
            commands: Vec::new(),
            waiters: Vec::new(),
        };
        let mut bytes = 0;
        while batch.commands.len() < BATCH_COMMANDS_LIMIT && bytes < BATCH_BYTES_LIMIT {
            let Some((command, waiter)) = self.waiting.pop_front() else {
                break;
            };
            bytes += command.size();
            batch.commands.push(command);
            batch.waiters.push(waiter);
        }
        self.waiting_bytes -= bytes;
        Some(batch)
    }

    /// Notes that an entry was answered or refused.
    pub fn finished(&mut self) {
        self.in_flight -= 1;
    }
}
