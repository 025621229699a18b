//! The job group's state machine: who gets which items, and which end counts.

mod common;
mod job_support;

use job_support::*;
use pinerill_control::job::{LEASE_BYTES_LIMIT, ROUND_ITEMS};
use pinerill_types::job::{AttemptEnd, ItemState, JobState};
use pinerill_wire::message::AttemptVerdict::{Counted, Late, Unknown};

#[test]
fn question_sent_again_gets_the_same_items_without_those_that_ended() {
    let mut jobs = Jobs::new();
    jobs.accept(&job("anna", "k", 10));
    let first = jobs.lease(&ask("node-1", 1, 1, 4));
    assert_eq!(indexes(&first), [0, 1, 2, 3]);
    assert_eq!(jobs.lease(&ask("node-1", 1, 1, 4)), first);
    jobs.end(first[0], completed("x"));
    assert_eq!(jobs.lease(&ask("node-1", 1, 1, 4)), first[1..]);
    let second = jobs.lease(&ask("node-1", 1, 2, 4));
    assert_eq!(indexes(&second), [4, 5, 6, 7]);
    assert!(jobs.lease(&ask("node-1", 1, 1, 4)).is_empty(), "overtaken");
    let other = jobs.lease(&ask("node-2", 1, 1, 4));
    assert_eq!(indexes(&other), [8, 9]);
}

#[test]
fn tenants_take_turns_and_the_least_slack_goes_first() {
    let mut jobs = Jobs::new();
    let many = ROUND_ITEMS as u32 * 3;
    let relaxed = jobs.accept(&job("anna", "relaxed", many));
    let mut urgent = job("anna", "urgent", many);
    urgent.deadline_ms -= 1;
    let urgent = jobs.accept(&urgent);
    let mut tightest = job("bela", "tightest", many);
    tightest.deadline_ms -= 2;
    let tightest = jobs.accept(&tightest);
    let round = ROUND_ITEMS as u32;
    let mut order = Vec::new();
    for sequence in 0..9 {
        let leased = jobs.lease(&ask("node-1", 1, sequence, round));
        assert_eq!(leased.len(), round as usize);
        assert!(leased.iter().all(|one| one.job == leased[0].job));
        order.push(leased[0].job);
    }
    let expected = [
        tightest, urgent, tightest, urgent, tightest, urgent, relaxed, relaxed, relaxed,
    ];
    assert_eq!(order, expected);
    let pending: u64 = jobs.machine.backlog().iter().map(|one| one.pending).sum();
    assert_eq!(pending, 0);
}

#[test]
fn tenant_that_comes_back_does_not_make_up_for_its_absence() {
    let mut jobs = Jobs::new();
    let round = ROUND_ITEMS as u32;
    jobs.accept(&job("anna", "k", round * 6));
    jobs.lease(&ask("node-1", 1, 1, round * 4));
    let late = jobs.accept(&job("bela", "k", round * 6));
    let leased = jobs.lease(&ask("node-1", 1, 2, round * 4));
    let of_late = leased.iter().filter(|one| one.job == late).count();
    assert_eq!(of_late, round as usize * 2);
}

#[test]
fn answer_of_a_lease_is_bounded_in_bytes() {
    let mut jobs = Jobs::new();
    let mut large = job("anna", "k", 100);
    for item in &mut large.items {
        item.body = "x".repeat(200_000);
    }
    jobs.accept(&large);
    let leased = jobs.lease(&ask("node-1", 1, 1, 100));
    let bytes = leased.len() as u64 * 200_000;
    assert!(bytes <= LEASE_BYTES_LIMIT && bytes > LEASE_BYTES_LIMIT / 2);
}

#[test]
fn only_the_first_end_of_the_newest_attempt_counts() {
    let mut jobs = Jobs::new();
    let id = jobs.accept(&job("anna", "k", 2));
    let first = jobs.lease(&ask("node-1", 1, 1, 1))[0];
    assert_eq!(jobs.end(first, AttemptEnd::Released), Counted);
    assert_eq!(jobs.end(first, AttemptEnd::Released), Counted);
    assert_eq!(jobs.end(first, completed("after release")), Late);
    let second = jobs.lease(&ask("node-2", 1, 1, 1))[0];
    assert_eq!((second.index, second.attempt), (0, 2));
    assert_eq!(jobs.end(first, completed("old")), Late);
    assert_eq!(jobs.end(second, completed("new")), Counted);
    assert_eq!(jobs.end(second, completed("new")), Counted);
    assert_eq!(jobs.end(second, completed("other")), Late);
    assert_eq!(jobs.end(second, AttemptEnd::Failed("new".into())), Late);
    let mut never_leased = second;
    (never_leased.index, never_leased.attempt) = (1, 0);
    assert_eq!(jobs.end(never_leased, completed("x")), Late);
    never_leased.job.sequence += 1;
    assert_eq!(jobs.end(never_leased, completed("x")), Unknown);
    let results = jobs.output("anna", id, 100);
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].body, "new");
}

#[test]
fn lapsed_lease_gives_the_item_back_until_its_attempts_are_used_up() {
    let mut jobs = Jobs::new();
    let id = jobs.accept(&job("anna", "k", 1));
    for attempt in 1..=3 {
        let leased = jobs.lease(&ask("node-1", 1, attempt, 1));
        assert_eq!(leased[0].attempt, attempt as u32);
        jobs.pass(LEASE_MS - 1);
        assert_eq!(jobs.counts("anna", id).leased, 1);
        jobs.pass(1);
        assert_eq!(jobs.counts("anna", id).leased, 0);
    }
    assert_eq!(jobs.item_states("anna", id), [ItemState::Failed]);
    assert_eq!(jobs.status("anna", id).unwrap().state, JobState::Completed);
}

#[test]
fn released_and_yielded_attempts_are_not_used_up() {
    let mut jobs = Jobs::new();
    let id = jobs.accept(&job("anna", "k", 1));
    for sequence in 0..50 {
        let leased = jobs.lease(&ask("node-1", 1, sequence, 1));
        assert_eq!(jobs.end(leased[0], AttemptEnd::Released), Counted);
    }
    let unknown = AttemptEnd::Indeterminate("engine lost".into());
    for sequence in 50..53 {
        assert_eq!(jobs.counts("anna", id).pending, 1);
        let leased = jobs.lease(&ask("node-1", 1, sequence, 1));
        assert_eq!(jobs.end(leased[0], unknown.clone()), Counted);
        assert_eq!(jobs.end(leased[0], unknown.clone()), Counted, "again");
    }
    let results = jobs.output("anna", id, 1);
    assert_eq!(results[0].state, ItemState::Failed);
    assert_eq!(results[0].body, "engine lost");
}

#[test]
fn late_completion_counts_while_nobody_took_a_newer_attempt() {
    let mut jobs = Jobs::new();
    let id = jobs.accept(&job("anna", "k", 2));
    let leased = jobs.lease(&ask("node-1", 1, 1, 2));
    jobs.pass(LEASE_MS);
    assert_eq!(jobs.counts("anna", id).pending, 2);
    assert_eq!(jobs.end(leased[0], completed("late")), Counted);
    let again = jobs.lease(&ask("node-2", 1, 1, 2));
    assert_eq!(indexes(&again), [1]);
    assert_eq!(jobs.end(leased[1], completed("too late")), Late);
}

#[test]
fn item_not_to_be_repeated_is_leased_once_unless_it_was_given_back() {
    let mut jobs = Jobs::new();
    let id = jobs.accept(&at_most_once(job("anna", "k", 3)));
    let leased = jobs.lease(&ask("node-1", 1, 1, 3));
    assert_eq!(jobs.end(leased[0], AttemptEnd::Released), Counted);
    let unknown = AttemptEnd::Indeterminate("cut off".into());
    assert_eq!(jobs.end(leased[1], unknown), Counted);
    jobs.pass(LEASE_MS);
    assert_eq!(jobs.end(leased[2], completed("late")), Late);
    let again = jobs.lease(&ask("node-2", 1, 1, 3));
    assert_eq!(indexes(&again), [0]);
    assert_eq!(jobs.end(again[0], completed("x")), Counted);
    let indeterminate = ItemState::Indeterminate;
    let expected = [ItemState::Completed, indeterminate, indeterminate];
    assert_eq!(jobs.item_states("anna", id), expected);
}

#[test]
fn renewed_leases_last_and_lost_ones_are_named() {
    let mut jobs = Jobs::new();
    jobs.accept(&job("anna", "k", 3));
    let leased = jobs.lease(&ask("node-1", 1, 1, 3));
    jobs.end(leased[0], completed("x"));
    for _ in 0..5 {
        jobs.pass(LEASE_MS - 1);
        assert_eq!(jobs.renew(&leased[..2]), leased[..1]);
    }
    assert_eq!(jobs.renew(&leased), [leased[0], leased[2]]);
    assert_eq!(jobs.end(leased[1], completed("x")), Counted);
}

#[test]
fn restarted_node_loses_its_former_leases_and_its_former_self_gets_nothing() {
    let mut jobs = Jobs::new();
    let once = jobs.accept(&at_most_once(job("anna", "once", 1)));
    let many = jobs.accept(&job("anna", "many", 3));
    let former = jobs.lease(&ask("node-1", 7, 9, 3));
    assert_eq!(former.len(), 3);
    let leased = jobs.lease(&ask("node-1", 8, 1, 4));
    assert!(leased.iter().all(|one| one.job == many));
    assert_eq!(indexes(&leased), [0, 1, 2]);
    assert_eq!(jobs.item_states("anna", once), [ItemState::Indeterminate]);
    assert_eq!(jobs.renew(&former), former);
    assert!(jobs.lease(&ask("node-1", 7, 10, 4)).is_empty());
    assert_eq!(jobs.renew(&leased), []);
}

#[test]
fn time_without_a_leader_ends_no_lease() {
    let mut jobs = Jobs::new();
    jobs.accept(&job("anna", "k", 1));
    let mut question = ask("node-1", 1, 1, 1);
    question.lease_ms = 30_000;
    let leased = jobs.lease(&question);
    jobs.now_ms += 3_600_000;
    jobs.maintain();
    assert_eq!(jobs.renew(&leased), []);
    jobs.now_ms -= 3_600_000;
    jobs.maintain();
    assert_eq!(jobs.renew(&leased), []);
}
