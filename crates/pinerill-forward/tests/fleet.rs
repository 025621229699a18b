//! The choice of a worker.

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::protocol::{CallHead, LoadSample, PromptPart};
use pinerill_calls::table::ANYWHERE;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, ReportOrder, WorkerCount, WorkerKey,
};

/// When directories are taken in.
const NOW_MS: u64 = 0;

fn id(name: &str) -> WorkerId {
    WorkerId::new(name, None)
}

fn entry(id: &str, zone: &str) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(id, None),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        slots: 4,
        state: WorkerState::Ready,
        cold_left_ms: 0,
    }
}

fn fleet(entries: &[WorkerEntry]) -> Fleet {
    let settings = ChoiceSettings {
        batch_share: 0.65,
        ..ChoiceSettings::default()
    };
    let mut fleet = Fleet::new("near", settings);
    fleet.apply_directory(NOW_MS, entries);
    fleet
}

fn prompt(parts: &[u64]) -> Prompt {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 1_000,
    };
    Prompt::from_call(&CallHead {
        prompt: parts.iter().map(part).collect(),
        ..CallHead::default()
    })
}

/// A call that may run again.
fn wanted<'a>(prompt: &'a Prompt, except: &'a [WorkerId]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "s",
        prompt,
        except,
        runs_once: false,
        homes: &ANYWHERE,
    }
}

fn choose(fleet: &Fleet, now_ms: u64, prompt: &Prompt, except: &[WorkerId]) -> Option<WorkerId> {
    match fleet.place(now_ms, &wanted(prompt, except), EXPLORES, |_, _| true) {
        Placement::Available(chosen) => Some(chosen.entry.id.clone()),
        Placement::Full | Placement::NoWorker => None,
    }
}

/// Whether workers of other zones are tried though nothing is known of them.
const EXPLORES: bool = true;
const STAYS: bool = false;

fn place(fleet: &Fleet, now_ms: u64, explores: bool) -> Placement {
    let prompt = Prompt::default();
    fleet.place(now_ms, &wanted(&prompt, &[]), explores, |_, _| true)
}

fn peer(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 2], port).into()
}

fn order(start: u64, sequence: u64) -> ReportOrder {
    ReportOrder { start, sequence }
}

fn count(worker: &str, requests: u32) -> Vec<WorkerCount> {
    let worker = WorkerKey::from_id(worker);
    vec![WorkerCount { worker, requests }]
}

#[test]
fn a_worker_of_the_same_zone_is_preferred_while_it_has_room() {
    let mut fleet = fleet(&[entry("far", "other"), entry("near", "near")]);
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 0, &none, &[]), Some(id("near")));
    for _ in 0..6 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert_eq!(choose(&fleet, 0, &none, &[]), Some(id("far")));
}

#[test]
fn a_draining_worker_gets_nothing_more_and_never_comes_back() {
    let mut fleet = fleet(&[entry("a", "near")]);
    let mut draining = entry("a", "near");
    draining.state = WorkerState::Draining;
    fleet.apply_directory(NOW_MS, &[draining]);
    assert_eq!(choose(&fleet, 0, &Prompt::default(), &[]), None);
    // A list that lags shows it ready once more.
    fleet.apply_directory(NOW_MS, &[entry("a", "near")]);
    assert_eq!(choose(&fleet, 0, &Prompt::default(), &[]), None);
}

#[test]
fn a_worker_that_failed_is_chosen_only_if_there_is_no_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.record_failure(0, "a");
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 1, &none, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 1, &none, &[id("b")]), Some(id("a")));
    assert_eq!(choose(&fleet, 10_000, &none, &[]), Some(id("a")));
}

#[test]
fn a_worker_that_has_read_the_prompt_is_preferred() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "near")]);
    let asked = prompt(&[1, 2, 3]);
    let first = choose(&fleet, 0, &asked, &[]).expect("a worker");
    let second = if first.name() == "a" { "b" } else { "a" };
    fleet.remember_prompt(0, second, &prompt(&[1, 2, 9]));
    assert_eq!(choose(&fleet, 0, &asked, &[]), Some(id(second)));
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
        work_percent: None,
    };
    fleet.record_load(0, "a", full);
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 100, &none, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 5_000, &none, &[]), Some(id("a")));
}

#[test]
fn items_leave_slots_to_callers() {
    let mut fleet = fleet(&[entry("a", "near")]);
    let none = Prompt::default();
    let wanted = wanted(&none, &[]);
    // 0.65 of 4 slots: two items fit.
    for _ in 0..2 {
        assert!(fleet.choose_for_item(0, &wanted).is_some());
        fleet.begin_request(0, "a", 0.0);
    }
    assert!(fleet.choose_for_item(0, &wanted).is_none());
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Available(_)));
    fleet.end_request("a");
    assert!(fleet.choose_for_item(0, &wanted).is_some());
}

#[test]
fn items_keep_to_their_zone_while_it_has_a_sound_worker() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    let none = Prompt::default();
    let wanted = wanted(&none, &[]);
    for _ in 0..3 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert!(fleet.choose_for_item(0, &wanted).is_none());
    fleet.record_failure(0, "near");
    let chosen = fleet.choose_for_item(1, &wanted).expect("a worker");
    assert_eq!(chosen.entry.id.name(), "far");
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
    let gone = fleet.apply_directory(NOW_MS, &[entry("b", "near")]);
    let gone: Vec<&str> = gone.iter().map(|worker| worker.entry.id.as_str()).collect();
    assert_eq!(gone, ["a"]);
}

#[test]
fn a_worker_that_reads_a_long_prompt_of_another_node_is_avoided_until_it_has() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.expect_prefill(0, "a", 600.0);
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 100, &none, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 590, &none, &[]), Some(id("a")));
}

#[test]
fn prompts_are_read_one_after_the_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    for _ in 0..3 {
        fleet.expect_prefill(0, "a", 200.0);
    }
    let none = Prompt::default();
    assert_eq!(choose(&fleet, 500, &none, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 600, &none, &[]), Some(id("a")));
}

#[test]
fn a_call_gets_no_place_where_every_slot_is_taken() {
    let mut fleet = fleet(&[entry("a", "near")]);
    for _ in 0..4 {
        assert!(matches!(place(&fleet, 0, STAYS), Placement::Available(_)));
        fleet.begin_request(0, "a", 0.0);
    }
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    fleet.end_request("a");
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Available(_)));
}

#[test]
fn a_service_without_workers_is_told_from_one_that_is_full() {
    let mut fleet = fleet(&[]);
    assert!(matches!(place(&fleet, 0, STAYS), Placement::NoWorker));
    fleet.apply_directory(NOW_MS, &[entry("a", "near")]);
    fleet.mark_full(0, "a");
    assert!(matches!(place(&fleet, 10, STAYS), Placement::Full));
    assert!(matches!(place(&fleet, 200, STAYS), Placement::Available(_)));
}

#[test]
fn what_peers_have_in_flight_takes_slots() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 3));
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Available(_)));
    fleet.record_peer_counts(0, peer(2), order(9, 1), count("a", 1));
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    // Whole counts: the newer message takes the place of the older one.
    fleet.record_peer_counts(5, peer(1), order(1, 2), Vec::new());
    assert!(matches!(place(&fleet, 5, STAYS), Placement::Available(_)));
}

#[test]
fn an_old_message_of_a_peer_changes_nothing() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 2), Vec::new());
    fleet.record_peer_counts(1, peer(1), order(1, 1), count("a", 4));
    assert!(matches!(place(&fleet, 1, STAYS), Placement::Available(_)));
    // Another start of the peer counts from its first message on.
    fleet.record_peer_counts(2, peer(1), order(7, 1), count("a", 4));
    assert!(matches!(place(&fleet, 2, STAYS), Placement::Full));
}

#[test]
fn what_a_silent_peer_told_is_forgotten() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 4));
    fleet.forget_silent_peers(1_000);
    assert!(matches!(place(&fleet, 1_000, STAYS), Placement::Full));
    fleet.forget_silent_peers(2_000);
    assert!(matches!(
        place(&fleet, 2_000, STAYS),
        Placement::Available(_)
    ));
}

#[test]
fn what_peers_told_of_a_worker_counts_once_it_is_listed() {
    let mut fleet = fleet(&[]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 4));
    fleet.apply_directory(NOW_MS, &[entry("a", "near")]);
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    fleet.apply_directory(NOW_MS, &[entry("a", "near"), entry("b", "near")]);
    fleet.record_peer_counts(1, peer(1), order(1, 2), Vec::new());
    fleet.begin_request(1, "b", 0.0);
    assert_eq!(choose(&fleet, 1, &Prompt::default(), &[]), Some(id("a")));
}

#[test]
fn a_load_sample_does_not_count_twice_what_peers_tell() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 2));
    let sample = LoadSample {
        running: 2,
        waiting: 0,
        slots: 4,
        work_percent: None,
    };
    fleet.record_load(0, "a", sample);
    fleet.begin_request(0, "a", 0.0);
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Available(_)));
}

#[test]
fn other_zones_serve_where_this_one_has_no_sound_worker() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    fleet.record_failure(0, "near");
    let Placement::Available(chosen) = place(&fleet, 1, STAYS) else {
        panic!("no room");
    };
    assert_eq!(chosen.entry.id.name(), "far");
}

#[test]
fn other_zones_are_used_where_their_load_is_known_and_tried_now_and_then() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    for _ in 0..4 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    assert!(matches!(
        place(&fleet, 0, EXPLORES),
        Placement::Available(_)
    ));
    let idle = LoadSample {
        running: 0,
        waiting: 0,
        slots: 4,
        work_percent: None,
    };
    fleet.record_load(0, "far", idle);
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Available(_)));
    assert!(matches!(place(&fleet, 2_000, STAYS), Placement::Full));
}

#[test]
fn a_worker_of_another_zone_is_known_while_its_zone_tells_what_it_sends() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    for _ in 0..4 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    // A third zone says nothing of the worker's own one.
    fleet.record_zone_counts(0, "third", order(1, 1), count("far", 1));
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    fleet.record_zone_counts(0, "other", order(1, 1), count("far", 1));
    let Placement::Available(chosen) = place(&fleet, 0, STAYS) else {
        panic!("there is room in the other zone");
    };
    assert_eq!(chosen.entry.id.name(), "far");
    // One slot there stays free: what is known of it is older.
    fleet.record_zone_counts(0, "other", order(1, 2), count("far", 2));
    assert!(matches!(place(&fleet, 0, STAYS), Placement::Full));
    // Zones that fell silent are not known any more.
    fleet.record_zone_counts(0, "other", order(1, 3), count("far", 0));
    assert!(matches!(place(&fleet, 5_000, STAYS), Placement::Full));
}

#[test]
fn the_relays_of_a_zone_tell_the_same_and_count_once() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_zone_counts(0, "other", order(1, 1), count("a", 2));
    fleet.record_zone_counts(1, "other", order(2, 1), count("a", 2));
    assert!(matches!(place(&fleet, 1, STAYS), Placement::Available(_)));
    // A message of the first one that was late or came twice.
    fleet.record_zone_counts(2, "third", order(3, 1), count("a", 1));
    assert!(!fleet.record_zone_counts(2, "third", order(3, 1), count("a", 4)));
    assert!(matches!(place(&fleet, 2, STAYS), Placement::Available(_)));
    fleet.forget_silent_peers(3_000);
    assert_eq!(fleet.zone_in_flight(3_000), Vec::new());
}

#[test]
fn a_zone_tells_what_its_own_nodes_have_in_flight_and_no_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.begin_request(0, "b", 0.0);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 2));
    fleet.record_zone_counts(0, "other", order(1, 1), count("a", 1));
    let mut told = fleet.zone_in_flight(0);
    told.sort_by_key(|count| count.requests);
    assert_eq!(told, [count("b", 1), count("a", 2)].concat());
}

#[test]
fn a_promised_place_is_taken_until_its_time_is_up() {
    let mut fleet = fleet(&[entry("a", "near")]);
    for _ in 0..3 {
        fleet.begin_request(0, "a", 0.0);
    }
    let key = fleet.promise_slot(0, "a", 20).expect("a place is free");
    assert!(matches!(place(&fleet, 10, STAYS), Placement::Full));
    assert_eq!(fleet.in_flight(10), count("a", 4));
    // Nothing is left to promise.
    assert_eq!(fleet.promise_slot(10, "a", 30), None);
    assert!(matches!(place(&fleet, 20, STAYS), Placement::Available(_)));
    let none = Prompt::default();
    assert!(fleet.promised_worker(0, key, &wanted(&none, &[])).is_some());
    assert!(fleet
        .promised_worker(0, key, &wanted(&none, &[id("a")]))
        .is_none());
    fleet.record_failure(0, "a");
    assert!(fleet.promised_worker(0, key, &wanted(&none, &[])).is_none());
}

#[test]
fn no_place_of_another_zone_or_of_an_unsound_worker_is_promised() {
    let mut fleet = fleet(&[entry("a", "near"), entry("far", "other")]);
    assert_eq!(fleet.promise_slot(0, "far", 20), None);
    fleet.record_failure(0, "a");
    assert_eq!(fleet.promise_slot(0, "a", 20), None);
    assert_eq!(fleet.promise_slot(0, "gone", 20), None);
}

fn three_workers() -> Fleet {
    let entries: Vec<WorkerEntry> = ["a", "b", "c"].map(|id| entry(id, "near")).into();
    let mut fleet = fleet(&entries);
    // The others are fuller, so that "a" is the one to choose.
    fleet.begin_request(0, "b", 0.0);
    fleet.begin_request(0, "c", 0.0);
    fleet
}

fn chosen_at(fleet: &Fleet, now_ms: u64) -> WorkerId {
    match place(fleet, now_ms, STAYS) {
        Placement::Available(chosen) => chosen.entry.id.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_worker_that_two_other_nodes_got_no_answer_of_is_avoided_for_a_moment() {
    let mut fleet = three_workers();
    fleet.record_suspicion(0, peer(1), WorkerKey::from_id("a"));
    // One node may be cut off itself, however often it says so.
    fleet.record_suspicion(10, peer(1), WorkerKey::from_id("a"));
    assert_eq!(chosen_at(&fleet, 10), id("a"));
    fleet.record_suspicion(20, peer(2), WorkerKey::from_id("a"));
    assert_ne!(chosen_at(&fleet, 20), id("a"));
    assert_eq!(chosen_at(&fleet, 1_500), id("a"));
}

#[test]
fn a_worker_that_answers_here_is_not_avoided_for_what_others_say() {
    let mut fleet = three_workers();
    fleet.record_suspicion(0, peer(1), WorkerKey::from_id("a"));
    fleet.record_suspicion(0, peer(2), WorkerKey::from_id("a"));
    fleet.record_success(NOW_MS, "a");
    assert_eq!(chosen_at(&fleet, 1), id("a"));
}

#[test]
fn what_others_say_takes_no_more_than_a_third_of_the_workers() {
    let mut fleet = three_workers();
    for worker in ["a", "b"] {
        fleet.record_suspicion(0, peer(1), WorkerKey::from_id(worker));
        fleet.record_suspicion(0, peer(2), WorkerKey::from_id(worker));
    }
    assert_eq!(chosen_at(&fleet, 1), id("a"));
}

/// Items that begin at an idle worker of so many slots, by the default share.
fn items_beside_no_calls(slots: u32) -> u32 {
    let mut wide = entry("a", "near");
    wide.slots = slots;
    let mut fleet = Fleet::new("near", ChoiceSettings::default());
    fleet.apply_directory(NOW_MS, &[wide]);
    let none = Prompt::default();
    let wanted = wanted(&none, &[]);
    let mut items = 0;
    while fleet.choose_for_item(NOW_MS, &wanted).is_some() {
        fleet.begin_request(NOW_MS, "a", 0.0);
        items += 1;
    }
    items
}

#[test]
fn items_use_what_calls_leave_between_bursts_but_for_a_place_in_six() {
    // Before, with 0.75: 4, 9 and 12, a third of the slots of small workers idle.
    let places = [6, 12, 17].map(items_beside_no_calls);
    assert_eq!(places, [5, 10, 14]);
}
