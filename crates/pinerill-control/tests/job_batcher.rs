//! What gathers commands into entries, and what stamps them.

mod common;
mod job_support;

use job_support::{job, part};
use pinerill_control::job::{
    CommandBatcher, JobCommand, StampSource, BATCH_BYTES_LIMIT, BATCH_COMMANDS_LIMIT,
    ENTRIES_IN_FLIGHT_LIMIT, WAITING_BYTES_LIMIT,
};

#[test]
fn commands_gather_while_entries_are_under_way() {
    let mut batcher = CommandBatcher::default();
    for number in 0..ENTRIES_IN_FLIGHT_LIMIT {
        batcher.push(JobCommand::Maintain, number).unwrap();
        assert_eq!(batcher.next_batch().unwrap().waiters, [number]);
    }
    let late: Vec<usize> = (0..BATCH_COMMANDS_LIMIT + 1).collect();
    for number in &late {
        batcher.push(JobCommand::Maintain, *number).unwrap();
    }
    assert!(batcher.next_batch().is_none());
    batcher.finished();
    let full = batcher.next_batch().unwrap();
    assert_eq!(full.waiters, late[..BATCH_COMMANDS_LIMIT]);
    assert_eq!(full.commands.len(), full.waiters.len());
    assert!(batcher.next_batch().is_none());
    batcher.finished();
    assert_eq!(
        batcher.next_batch().unwrap().waiters,
        late[BATCH_COMMANDS_LIMIT..]
    );
}

#[test]
fn entries_and_what_waits_are_bounded_in_bytes() {
    let mut large = job("anna", "k", 1);
    large.items[0].body = "x".repeat(BATCH_BYTES_LIMIT / 4);
    let command = JobCommand::Submit(part(&large, 0, 1));
    let mut batcher = CommandBatcher::default();
    let refused = (0..1000).find(|number| batcher.push(command.clone(), *number).is_err());
    assert_eq!(
        refused,
        Some((WAITING_BYTES_LIMIT / command.size()) as i32 + 1)
    );
    assert_eq!(batcher.next_batch().unwrap().commands.len(), 4);
    assert!(batcher.push(command, 0).is_ok());
}

#[test]
fn stamps_never_fall_behind_the_group_and_go_on_when_its_clock_was_ahead() {
    let mut stamps = StampSource::default();
    assert_eq!(stamps.stamp(1_000, 0, 5_000), 5_000);
    assert_eq!(stamps.stamp(1_100, 100, 5_000), 5_100);
    assert_eq!(stamps.stamp(9_000, 150, 5_100), 9_000);
    assert_eq!(stamps.stamp(8_000, 250, 9_000), 9_100);
    assert_eq!(stamps.stamp(8_000, 260, 20_000), 20_000);
}
