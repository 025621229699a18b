//! The choice of a worker.

use pinerill_calls::directory::{WorkerEntry, WorkerState};
use pinerill_calls::protocol::{CallHead, LoadSample, PromptPart};
use pinerill_forward::fleet::{ChoiceSettings, Fleet, Prompt, Wanted};

fn entry(id: &str, zone: &str) -> WorkerEntry {
    WorkerEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        slots: 4,
        state: WorkerState::Ready,
        cold_left_ms: 0,
    }
}

fn fleet(entries: &[WorkerEntry]) -> Fleet {
    let mut fleet = Fleet::new("near", ChoiceSettings::default());
    fleet.take_directory(entries);
    fleet
}

fn prompt(parts: &[u64]) -> Prompt {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 1_000,
    };
    Prompt::of_call(&CallHead {
        prompt: parts.iter().map(part).collect(),
        ..CallHead::default()
    })
}

fn choose(fleet: &Fleet, now_ms: u64, prompt: &Prompt, except: &[String]) -> Option<String> {
    let wanted = Wanted {
        service: "s",
        prompt,
        except,
    };
    let chosen = fleet.choose(now_ms, &wanted)?;
    Some(chosen.entry.id.clone())
}

#[test]
fn a_worker_of_the_same_zone_is_preferred_while_it_has_room() {
    let mut fleet = fleet(&[entry("far", "other"), entry("near", "near")]);
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 0, &none, &[]), Some("near".to_owned()));
    for _ in 0..6 {
        fleet.begin(0, "near", 0.0);
    }
    assert_eq!(choose(&fleet, 0, &none, &[]), Some("far".to_owned()));
}

#[test]
fn a_draining_worker_gets_nothing_more_and_never_comes_back() {
    let mut fleet = fleet(&[entry("a", "near")]);
    let mut draining = entry("a", "near");
    draining.state = WorkerState::Draining;
    fleet.take_directory(&[draining]);
    assert_eq!(choose(&fleet, 0, &Prompt::default(), &[]), None);
    // A list that lags shows it ready once more.
    fleet.take_directory(&[entry("a", "near")]);
    assert_eq!(choose(&fleet, 0, &Prompt::default(), &[]), None);
}

#[test]
fn a_worker_that_failed_is_chosen_only_if_there_is_no_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.failed(0, "a");
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 1, &none, &[]), Some("b".to_owned()));
    assert_eq!(
        choose(&fleet, 1, &none, &["b".to_owned()]),
        Some("a".to_owned())
    );
    assert_eq!(choose(&fleet, 10_000, &none, &[]), Some("a".to_owned()));
}

#[test]
fn a_worker_that_has_read_the_prompt_is_preferred() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "near")]);
    let asked = prompt(&[1, 2, 3]);
    let first = choose(&fleet, 0, &asked, &[]).expect("a worker");
    let second = if first == "a" { "b" } else { "a" };
    fleet.remember_prompt(0, second, &prompt(&[1, 2, 9]));
    assert_eq!(choose(&fleet, 0, &asked, &[]), Some(second.to_owned()));
}

#[test]
fn all_nodes_of_a_zone_send_a_new_prefix_to_the_same_worker() {
    let entries = ["a", "b", "c", "d"].map(|id| entry(id, "near"));
    let mut reversed = entries.clone();
    reversed.reverse();
    let (one, other) = (fleet(&entries), fleet(&reversed));
    for shared in 0..50 {
        let asked = prompt(&[shared, 7]);
        assert_eq!(choose(&one, 0, &asked, &[]), choose(&other, 0, &asked, &[]));
    }
}

#[test]
fn what_others_do_at_a_worker_counts_and_fades() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    let full = LoadSample {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    fleet.take_load(0, "a", full);
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 100, &none, &[]), Some("b".to_owned()));
    assert_eq!(choose(&fleet, 5_000, &none, &[]), Some("a".to_owned()));
}

#[test]
fn items_leave_slots_to_callers() {
    let mut fleet = fleet(&[entry("a", "near")]);
    let none = Prompt::default();
    let wanted = Wanted {
        service: "s",
        prompt: &none,
        except: &[],
    };
    // 0.65 of 4 slots: two items fit.
    for _ in 0..2 {
        assert!(fleet.choose_for_item(0, &wanted).is_some());
        fleet.begin(0, "a", 0.0);
    }
    assert!(fleet.choose_for_item(0, &wanted).is_none());
    assert!(fleet.choose(0, &wanted).is_some());
    fleet.end("a");
    assert!(fleet.choose_for_item(0, &wanted).is_some());
}

#[test]
fn the_nodes_of_a_zone_share_its_room() {
    let entries = ["a", "b", "c", "d"].map(|id| entry(id, "near"));
    let mut all = entries.to_vec();
    all.extend(["e", "f"].map(|id| entry(id, "other")));
    let fleet = fleet(&all);
    // Four workers with room for 2.6 each; four nodes in two zones.
    assert_eq!(fleet.batch_capacity(0, 4).items, 5);
    assert_eq!(fleet.batch_capacity(0, 2).items, 10);
}

#[test]
fn workers_that_are_gone_are_told() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "near")]);
    assert_eq!(
        fleet.take_directory(&[entry("b", "near")]),
        ["a".to_owned()]
    );
}

#[test]
fn a_worker_that_reads_a_long_prompt_of_another_node_is_avoided_until_it_has() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.expect_prefill(0, "a", 600.0);
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 100, &none, &[]), Some("b".to_owned()));
    assert_eq!(choose(&fleet, 590, &none, &[]), Some("a".to_owned()));
}

#[test]
fn prompts_are_read_one_after_the_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    for _ in 0..3 {
        fleet.expect_prefill(0, "a", 200.0);
    }
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 500, &none, &[]), Some("b".to_owned()));
    assert_eq!(choose(&fleet, 600, &none, &[]), Some("a".to_owned()));
}
