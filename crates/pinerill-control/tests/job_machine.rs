//! The job group's state machine: what is accepted, cancelled and kept.

mod common;
mod job_support;

use job_support::*;
use pinerill_control::job::{
    JobCommand, JobMachine, JobReply, Rejection, DELETE_LIMIT, ENDED_CELLS_MS, RECEIVING_LIMIT_MS,
};
use pinerill_control::machine::StateMachine;
use pinerill_types::job::{ItemCounts, ItemState, JobState};
use pinerill_types::Digest;
use pinerill_wire::message::{AttemptVerdict::Late, ListJobs};

#[test]
fn job_is_accepted_with_its_last_part_and_parts_may_be_sent_again() {
    let mut jobs = Jobs::new();
    let whole = job("anna", "k", 10);
    let first = jobs.submit(&part(&whole, 0, 4));
    assert_eq!((first.received, first.state), (4, JobState::Receiving));
    let gap = jobs.submit(&part(&whole, 6, 10));
    assert_eq!((gap.received, gap.state), (4, JobState::Receiving));
    assert!(jobs.lease(&ask("node-1", 1, 1, 5)).is_empty());
    assert_eq!(jobs.submit(&part(&whole, 0, 4)), first);
    let overlapping = jobs.submit(&part(&whole, 2, 10));
    assert_eq!(
        (overlapping.received, overlapping.state),
        (10, JobState::InProgress)
    );
    for again in [part(&whole, 0, 4), whole.clone()] {
        assert_eq!(jobs.submit(&again), overlapping);
    }
    let counts = jobs.counts("anna", first.job);
    assert_eq!((counts.total, counts.pending), (10, 10));
    let leased = jobs.lease(&ask("node-1", 1, 2, 20));
    assert_eq!(indexes(&leased), (0..10).collect::<Vec<_>>());
    for attempt in leased {
        jobs.end(attempt, completed("x"));
    }
    let results = jobs.output("anna", first.job, 3);
    let names = results.iter().map(|result| result.custom_id.clone());
    let expected = whole.items.iter().map(|item| item.custom_id.clone());
    assert!(names.eq(expected));
}

#[test]
fn same_key_is_the_same_job_and_another_body_is_a_conflict() {
    let mut jobs = Jobs::new();
    let accepted = jobs.accept(&job("anna", "k", 2));
    assert_eq!(jobs.accept(&job("anna", "k", 2)), accepted);
    let mut other = job("anna", "k", 2);
    other.body_digest = Digest::of(b"other");
    let conflict = Rejection::Conflict(accepted);
    assert_eq!(jobs.rejected(JobCommand::Submit(other)), conflict);
    assert_ne!(jobs.accept(&job("bela", "k", 2)), accepted);
    let mut wrong = job("anna", "w", 2);
    wrong.total_items = 1;
    let rejection = jobs.rejected(JobCommand::Submit(wrong));
    assert!(matches!(rejection, Rejection::Invalid(_)), "{rejection:?}");
}

#[test]
fn tenant_over_its_open_items_is_refused_until_some_end() {
    let mut jobs = Jobs::new();
    let limited = |key: &str, count| {
        let mut part = job("anna", key, count);
        part.open_items_limit = 5;
        part
    };
    jobs.accept(&limited("first", 4));
    let second = limited("second", 2);
    let refused = jobs.rejected(JobCommand::Submit(second.clone()));
    let expected = Rejection::OverLimit {
        open: 4,
        added: 2,
        limit: 5,
    };
    assert_eq!(refused, expected);
    let leased = jobs.lease(&ask("node-1", 1, 1, 1));
    jobs.end(leased[0], completed("x"));
    let accepted = jobs.accept(&second);
    jobs.cancel("anna", accepted);
    jobs.accept(&limited("third", 2));
}

#[test]
fn cancelled_job_stops() {
    let mut jobs = Jobs::new();
    let mut whole = job("anna", "k", 6);
    whole.items[1].at_most_once = true;
    whole.items[5].at_most_once = true;
    let id = jobs.accept(&whole);
    let leased = jobs.lease(&ask("node-1", 1, 1, 3));
    jobs.end(leased[2], completed("before"));
    let JobReply::Cancelled(status) = jobs.cancel("anna", id) else {
        panic!("not cancelled");
    };
    let expected = ItemCounts {
        total: 6,
        completed: 1,
        cancelled: 4,
        indeterminate: 1,
        ..ItemCounts::default()
    };
    assert_eq!(
        (status.state, status.counts),
        (JobState::Cancelled, expected)
    );
    assert_eq!(jobs.cancel("anna", id), JobReply::Cancelled(status.clone()));
    assert!(jobs.machine.backlog().is_empty());
    let mut later = job("anna", "later", 1);
    later.deadline_ms += 1;
    let later = jobs.accept(&later);
    let next = jobs.lease(&ask("node-1", 1, 2, 6));
    assert_eq!((next.len(), next[0].job), (1, later));
    assert!(jobs.lease(&ask("node-1", 1, 1, 3)).is_empty());
    assert_eq!(jobs.end(leased[0], completed("after")), Late);
    assert_eq!(jobs.renew(&leased), leased);
    assert_eq!(jobs.submit(&whole).state, JobState::Cancelled);
    jobs.pass(ENDED_CELLS_MS);
    let cancelled = ItemState::Cancelled;
    let (indeterminate, completed) = (ItemState::Indeterminate, ItemState::Completed);
    let expected = [
        cancelled,
        indeterminate,
        completed,
        cancelled,
        cancelled,
        cancelled,
    ];
    assert_eq!(jobs.item_states("anna", id), expected);
    assert_eq!(jobs.status("anna", id), Some(status));
}

#[test]
fn completed_job_cannot_be_cancelled_and_a_half_received_one_can() {
    let mut jobs = Jobs::new();
    let id = jobs.accept(&job("anna", "done", 1));
    let leased = jobs.lease(&ask("node-1", 1, 1, 1));
    jobs.end(leased[0], completed("x"));
    let done = jobs.status("anna", id).unwrap();
    assert_eq!(done.state, JobState::Completed);
    assert_eq!(jobs.cancel("anna", id), JobReply::Cancelled(done));
    let whole = job("anna", "half", 4);
    let half = jobs.submit(&part(&whole, 0, 2)).job;
    jobs.cancel("anna", half);
    assert_eq!(jobs.submit(&part(&whole, 2, 4)).state, JobState::Cancelled);
    assert_eq!(jobs.item_states("anna", half), [ItemState::Cancelled; 4]);
}

#[test]
fn jobs_belong_to_their_tenant() {
    let mut jobs = Jobs::new();
    let first = jobs.accept(&job("anna", "first", 1));
    let second = jobs.accept(&job("anna", "second", 1));
    assert_eq!(jobs.status("bela", first), None);
    let not_found = JobReply::Rejected(Rejection::NotFound(first));
    assert_eq!(jobs.cancel("bela", first), not_found);
    let listed = |tenant: &str, limit| {
        let jobs = jobs.machine.list(&ListJobs {
            group: GROUP,
            tenant: tenant.into(),
            limit,
        });
        jobs.iter().map(|job| job.id).collect::<Vec<_>>()
    };
    assert_eq!(listed("anna", 10), [second, first]);
    assert_eq!(listed("anna", 1), [second]);
    assert_eq!(listed("bela", 10), []);
}

#[test]
fn results_stay_readable_until_they_expire_and_go_in_bounded_steps() {
    let mut jobs = Jobs::new();
    let (large, small) = (DELETE_LIMIT - 10, 20);
    let first = jobs.accept(&job("anna", "large", large));
    let second = jobs.accept(&job("anna", "small", small));
    let cancelled = jobs.accept(&job("anna", "cancelled", 1));
    jobs.cancel("anna", cancelled);
    jobs.complete_all();
    let expires_ms = jobs.status("anna", first).unwrap().expires_ms;
    assert_eq!(expires_ms, jobs.now_ms + RETENTION_MS);
    jobs.now_ms = expires_ms - 1;
    jobs.maintain();
    assert_eq!(jobs.machine.sizes().items, 0, "not in memory any more");
    assert_eq!(jobs.output("anna", first, 4_000).len(), large as usize);
    assert_eq!(jobs.output("anna", second, 7).len(), small as usize);
    jobs.now_ms = expires_ms;
    let step = jobs.apply(JobCommand::Maintain);
    assert_eq!(step, JobReply::Maintained { more: true });
    assert_eq!(jobs.status("anna", second), None);
    let inputs_and_results_left = 2 * (large + small - DELETE_LIMIT);
    assert!(jobs.table.0.len() >= inputs_and_results_left as usize);
    jobs.maintain();
    assert!(jobs.table.0.is_empty());
    assert_eq!(jobs.machine.sizes().jobs, 0);
}

#[test]
fn job_that_never_arrives_whole_is_dropped() {
    let mut jobs = Jobs::new();
    jobs.accept(&job("anna", "other", 1));
    let mut whole = job("anna", "k", 4);
    whole.open_items_limit = 5;
    let first = jobs.submit(&part(&whole, 0, 2)).job;
    jobs.now_ms += RECEIVING_LIMIT_MS - 1;
    jobs.maintain();
    assert_eq!(jobs.submit(&part(&whole, 2, 3)).job, first);
    jobs.now_ms += RECEIVING_LIMIT_MS;
    jobs.maintain();
    assert_eq!(jobs.status("anna", first), None);
    assert_eq!(jobs.table.0.len(), 1);
    assert_ne!(jobs.accept(&whole), first);
}

#[test]
fn an_entry_that_cannot_be_read_is_not_skipped() {
    let mut jobs = Jobs::new();
    jobs.accept(&job("anna", "k", 2));
    let before = jobs.machine.snapshot();
    for bytes in [&[][..], &[9, 0], &[1, 0, 250]] {
        assert!(jobs.machine.apply(1, bytes, &mut jobs.table).is_err());
    }
    assert_eq!(jobs.machine.snapshot(), before);
    assert!(JobMachine::new(GROUP).restore(&[1, 2]).is_err());
}
