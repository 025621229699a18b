//! Selection of a worker by load, zone, failures, prompt prefixes and the reports of other nodes.

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::protocol::{CallHead, LoadSample, PromptPart};
use pinerill_calls::table::ALL_REGIONS;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, ReportOrder, RequiredSoftware,
    WorkerCount, WorkerKey,
};

/// Time in milliseconds at which directories are applied.
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
        version: None,
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

/// A request for a call that may be retried.
fn placement_request<'a>(prompt: &'a Prompt, except: &'a [WorkerId]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "s",
        prompt,
        except,
        software: RequiredSoftware::Any,
        runs_once: false,
        homes: &ALL_REGIONS,
    }
}

fn choose(fleet: &Fleet, now_ms: u64, prompt: &Prompt, except: &[WorkerId]) -> Option<WorkerId> {
    match fleet.place(
        now_ms,
        &placement_request(prompt, except),
        EXPLORE,
        |_, _| true,
    ) {
        Placement::Available(chosen) => Some(chosen.entry.id.clone()),
        Placement::Full | Placement::NoWorker => None,
    }
}

/// Whether workers of other zones are tried although their load is unknown.
const EXPLORE: bool = true;
const NO_EXPLORATION: bool = false;

fn place(fleet: &Fleet, now_ms: u64, explores: bool) -> Placement {
    let prompt = Prompt::default();
    fleet.place(
        now_ms,
        &placement_request(&prompt, &[]),
        explores,
        |_, _| true,
    )
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
fn a_worker_of_the_same_zone_is_preferred_while_it_has_free_slots() {
    let mut fleet = fleet(&[entry("far", "other"), entry("near", "near")]);
    let no_prompt = Prompt::default();
    assert_eq!(choose(&fleet, 0, &no_prompt, &[]), Some(id("near")));
    for _ in 0..6 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert_eq!(choose(&fleet, 0, &no_prompt, &[]), Some(id("far")));
}

#[test]
fn a_draining_worker_gets_no_requests_and_never_becomes_ready_again() {
    let mut fleet = fleet(&[entry("a", "near")]);
    let mut draining = entry("a", "near");
    draining.state = WorkerState::Draining;
    fleet.apply_directory(NOW_MS, &[draining]);
    assert_eq!(choose(&fleet, 0, &Prompt::default(), &[]), None);
    // A stale directory lists the worker as ready again.
    fleet.apply_directory(NOW_MS, &[entry("a", "near")]);
    assert_eq!(choose(&fleet, 0, &Prompt::default(), &[]), None);
}

#[test]
fn a_worker_that_failed_is_chosen_only_if_there_is_no_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.record_failure(0, "a");
    let no_prompt = Prompt::default();
    assert_eq!(choose(&fleet, 1, &no_prompt, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 1, &no_prompt, &[id("b")]), Some(id("a")));
    assert_eq!(choose(&fleet, 10_000, &no_prompt, &[]), Some(id("a")));
}

#[test]
fn a_worker_that_has_processed_the_prefix_is_preferred() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "near")]);
    let request_prompt = prompt(&[1, 2, 3]);
    let first = choose(&fleet, 0, &request_prompt, &[]).expect("a worker");
    let second = if first.name() == "a" { "b" } else { "a" };
    fleet.remember_prompt(0, second, &prompt(&[1, 2, 9]));
    assert_eq!(choose(&fleet, 0, &request_prompt, &[]), Some(id(second)));
}

#[test]
fn all_nodes_of_a_zone_send_a_new_prefix_to_the_same_worker() {
    let entries = ["a", "b", "c", "d"].map(|id| entry(id, "near"));
    let mut reversed = entries.clone();
    reversed.reverse();
    let (one, other) = (fleet(&entries), fleet(&reversed));
    for shared in 0..50 {
        let request_prompt = prompt(&[shared, 7]);
        assert_eq!(
            choose(&one, 0, &request_prompt, &[]),
            choose(&other, 0, &request_prompt, &[])
        );
    }
}

#[test]
fn the_load_of_other_nodes_counts_and_fades_with_age() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    let full = LoadSample {
        running: 4,
        waiting: 2,
        slots: 4,
        work_percent: None,
    };
    fleet.record_load(0, "a", full);
    let no_prompt = Prompt::default();
    assert_eq!(choose(&fleet, 100, &no_prompt, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 5_000, &no_prompt, &[]), Some(id("a")));
}

#[test]
fn items_leave_slots_free_for_calls() {
    let mut fleet = fleet(&[entry("a", "near")]);
    let no_prompt = Prompt::default();
    let request = placement_request(&no_prompt, &[]);
    // 0.65 of 4 slots is 2.6, so two items fit.
    for _ in 0..2 {
        assert!(fleet.choose_for_item(0, &request).is_some());
        fleet.begin_request(0, "a", 0.0);
    }
    assert!(fleet.choose_for_item(0, &request).is_none());
    assert!(matches!(
        place(&fleet, 0, NO_EXPLORATION),
        Placement::Available(_)
    ));
    fleet.end_request("a");
    assert!(fleet.choose_for_item(0, &request).is_some());
}

#[test]
fn items_stay_in_their_zone_while_it_has_a_healthy_worker() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    let no_prompt = Prompt::default();
    let request = placement_request(&no_prompt, &[]);
    for _ in 0..3 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert!(fleet.choose_for_item(0, &request).is_none());
    fleet.record_failure(0, "near");
    let chosen = fleet.choose_for_item(1, &request).expect("a worker");
    assert_eq!(chosen.entry.id.name(), "far");
}

/// Items of the only service that a node may start.
fn batch_items(fleet: &Fleet, nodes: u32, draw: f64) -> u32 {
    let capacities = fleet.batch_capacities(0, nodes, || draw);
    assert!(capacities.len() <= 1, "{capacities:?}");
    capacities.first().map_or(0, |capacity| capacity.items)
}

#[test]
fn the_nodes_of_a_zone_share_its_batch_capacity() {
    let entries = ["a", "b", "c", "d"].map(|id| entry(id, "near"));
    let mut all = entries.to_vec();
    all.extend(["e", "f"].map(|id| entry(id, "other")));
    let fleet = fleet(&all);
    // Four workers of this zone whose slots bear two whole items each; four nodes in two zones.
    assert_eq!(batch_items(&fleet, 4, 0.0), 4);
    assert_eq!(batch_items(&fleet, 2, 0.0), 8);
}

#[test]
fn workers_missing_from_a_new_directory_are_returned_as_removed() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "near")]);
    let removed = fleet.apply_directory(NOW_MS, &[entry("b", "near")]);
    let removed: Vec<&str> = removed
        .iter()
        .map(|worker| worker.entry.id.as_str())
        .collect();
    assert_eq!(removed, ["a"]);
}

#[test]
fn a_worker_with_a_long_prefill_from_another_node_is_avoided_until_it_ends() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.expect_prefill(0, "a", 600.0);
    let no_prompt = Prompt::default();
    assert_eq!(choose(&fleet, 100, &no_prompt, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 590, &no_prompt, &[]), Some(id("a")));
}

#[test]
fn prefills_run_one_after_the_other() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    for _ in 0..3 {
        fleet.expect_prefill(0, "a", 200.0);
    }
    let no_prompt = Prompt::default();
    assert_eq!(choose(&fleet, 500, &no_prompt, &[]), Some(id("b")));
    assert_eq!(choose(&fleet, 600, &no_prompt, &[]), Some(id("a")));
}

#[test]
fn a_call_is_not_placed_when_every_slot_is_occupied() {
    let mut fleet = fleet(&[entry("a", "near")]);
    for _ in 0..4 {
        assert!(matches!(
            place(&fleet, 0, NO_EXPLORATION),
            Placement::Available(_)
        ));
        fleet.begin_request(0, "a", 0.0);
    }
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    fleet.end_request("a");
    assert!(matches!(
        place(&fleet, 0, NO_EXPLORATION),
        Placement::Available(_)
    ));
}

#[test]
fn a_service_without_workers_is_distinguished_from_a_full_one() {
    let mut fleet = fleet(&[]);
    assert!(matches!(
        place(&fleet, 0, NO_EXPLORATION),
        Placement::NoWorker
    ));
    fleet.apply_directory(NOW_MS, &[entry("a", "near")]);
    fleet.mark_full(0, "a");
    assert!(matches!(place(&fleet, 10, NO_EXPLORATION), Placement::Full));
    assert!(matches!(
        place(&fleet, 200, NO_EXPLORATION),
        Placement::Available(_)
    ));
}

#[test]
fn requests_in_flight_of_peers_occupy_slots() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 3));
    assert!(matches!(
        place(&fleet, 0, NO_EXPLORATION),
        Placement::Available(_)
    ));
    fleet.record_peer_counts(0, peer(2), order(9, 1), count("a", 1));
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    // Reports carry full counts: the newer report replaces the older one.
    fleet.record_peer_counts(5, peer(1), order(1, 2), Vec::new());
    assert!(matches!(
        place(&fleet, 5, NO_EXPLORATION),
        Placement::Available(_)
    ));
}

#[test]
fn an_outdated_report_of_a_peer_changes_nothing() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 2), Vec::new());
    fleet.record_peer_counts(1, peer(1), order(1, 1), count("a", 4));
    assert!(matches!(
        place(&fleet, 1, NO_EXPLORATION),
        Placement::Available(_)
    ));
    // Another start of the peer counts from its first report on.
    fleet.record_peer_counts(2, peer(1), order(7, 1), count("a", 4));
    assert!(matches!(place(&fleet, 2, NO_EXPLORATION), Placement::Full));
}

#[test]
fn the_counts_of_a_silent_peer_are_discarded() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 4));
    fleet.forget_silent_peers(1_000);
    assert!(matches!(
        place(&fleet, 1_000, NO_EXPLORATION),
        Placement::Full
    ));
    fleet.forget_silent_peers(2_000);
    assert!(matches!(
        place(&fleet, 2_000, NO_EXPLORATION),
        Placement::Available(_)
    ));
}

#[test]
fn peer_counts_for_a_worker_apply_once_it_is_listed() {
    let mut fleet = fleet(&[]);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 4));
    fleet.apply_directory(NOW_MS, &[entry("a", "near")]);
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    fleet.apply_directory(NOW_MS, &[entry("a", "near"), entry("b", "near")]);
    fleet.record_peer_counts(1, peer(1), order(1, 2), Vec::new());
    fleet.begin_request(1, "b", 0.0);
    assert_eq!(choose(&fleet, 1, &Prompt::default(), &[]), Some(id("a")));
}

#[test]
fn a_load_sample_does_not_count_reported_requests_twice() {
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
    assert!(matches!(
        place(&fleet, 0, NO_EXPLORATION),
        Placement::Available(_)
    ));
}

#[test]
fn other_zones_serve_when_this_one_has_no_healthy_worker() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    fleet.record_failure(0, "near");
    let Placement::Available(chosen) = place(&fleet, 1, NO_EXPLORATION) else {
        panic!("no free slot");
    };
    assert_eq!(chosen.entry.id.name(), "far");
}

#[test]
fn other_zones_are_used_if_their_load_is_known_or_when_exploring() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    for _ in 0..4 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    assert!(matches!(place(&fleet, 0, EXPLORE), Placement::Available(_)));
    let idle = LoadSample {
        running: 0,
        waiting: 0,
        slots: 4,
        work_percent: None,
    };
    fleet.record_load(0, "far", idle);
    assert!(matches!(
        place(&fleet, 0, NO_EXPLORATION),
        Placement::Available(_)
    ));
    assert!(matches!(
        place(&fleet, 2_000, NO_EXPLORATION),
        Placement::Full
    ));
}

#[test]
fn the_load_of_another_zone_is_known_while_that_zone_sends_reports() {
    let mut fleet = fleet(&[entry("near", "near"), entry("far", "other")]);
    for _ in 0..4 {
        fleet.begin_request(0, "near", 0.0);
    }
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    // A third zone's report does not make the load of the worker's own zone known.
    fleet.record_zone_counts(0, "third", order(1, 1), count("far", 1));
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    fleet.record_zone_counts(0, "other", order(1, 1), count("far", 1));
    let Placement::Available(chosen) = place(&fleet, 0, NO_EXPLORATION) else {
        panic!("the other zone has free slots");
    };
    assert_eq!(chosen.entry.id.name(), "far");
    // One slot there stays free, because the load of another zone is staler.
    fleet.record_zone_counts(0, "other", order(1, 2), count("far", 2));
    assert!(matches!(place(&fleet, 0, NO_EXPLORATION), Placement::Full));
    // The load of a zone whose reports have expired is unknown again.
    fleet.record_zone_counts(0, "other", order(1, 3), count("far", 0));
    assert!(matches!(
        place(&fleet, 5_000, NO_EXPLORATION),
        Placement::Full
    ));
}

#[test]
fn reports_from_two_relays_of_a_zone_count_once() {
    let mut fleet = fleet(&[entry("a", "near")]);
    fleet.record_zone_counts(0, "other", order(1, 1), count("a", 2));
    fleet.record_zone_counts(1, "other", order(2, 1), count("a", 2));
    assert!(matches!(
        place(&fleet, 1, NO_EXPLORATION),
        Placement::Available(_)
    ));
    // A late or duplicated report changes nothing.
    fleet.record_zone_counts(2, "third", order(3, 1), count("a", 1));
    assert!(!fleet.record_zone_counts(2, "third", order(3, 1), count("a", 4)));
    assert!(matches!(
        place(&fleet, 2, NO_EXPLORATION),
        Placement::Available(_)
    ));
    fleet.forget_silent_peers(3_000);
    assert_eq!(fleet.zone_in_flight(3_000), Vec::new());
}

#[test]
fn a_zone_reports_only_the_requests_of_its_own_nodes() {
    let mut fleet = fleet(&[entry("a", "near"), entry("b", "other")]);
    fleet.begin_request(0, "b", 0.0);
    fleet.record_peer_counts(0, peer(1), order(1, 1), count("a", 2));
    fleet.record_zone_counts(0, "other", order(1, 1), count("a", 1));
    let mut reported = fleet.zone_in_flight(0);
    reported.sort_by_key(|count| count.requests);
    assert_eq!(reported, [count("b", 1), count("a", 2)].concat());
}

#[test]
fn a_promised_slot_is_occupied_until_the_promise_expires() {
    let mut fleet = fleet(&[entry("a", "near")]);
    for _ in 0..3 {
        fleet.begin_request(0, "a", 0.0);
    }
    let key = fleet.promise_slot(0, "a", 20).expect("a slot is free");
    assert!(matches!(place(&fleet, 10, NO_EXPLORATION), Placement::Full));
    assert_eq!(fleet.in_flight(10), count("a", 4));
    // No free slot is left to promise.
    assert_eq!(fleet.promise_slot(10, "a", 30), None);
    assert!(matches!(
        place(&fleet, 20, NO_EXPLORATION),
        Placement::Available(_)
    ));
    let no_prompt = Prompt::default();
    assert!(fleet
        .promised_worker(0, key, &placement_request(&no_prompt, &[]))
        .is_some());
    assert!(fleet
        .promised_worker(0, key, &placement_request(&no_prompt, &[id("a")]))
        .is_none());
    fleet.record_failure(0, "a");
    assert!(fleet
        .promised_worker(0, key, &placement_request(&no_prompt, &[]))
        .is_none());
}

#[test]
fn no_slot_of_another_zone_or_of_a_failed_worker_is_promised() {
    let mut fleet = fleet(&[entry("a", "near"), entry("far", "other")]);
    assert_eq!(fleet.promise_slot(0, "far", 20), None);
    fleet.record_failure(0, "a");
    assert_eq!(fleet.promise_slot(0, "a", 20), None);
    assert_eq!(fleet.promise_slot(0, "gone", 20), None);
}

fn three_workers() -> Fleet {
    let entries: Vec<WorkerEntry> = ["a", "b", "c"].map(|id| entry(id, "near")).into();
    let mut fleet = fleet(&entries);
    // The others are fuller, so that "a" is the preferred worker.
    fleet.begin_request(0, "b", 0.0);
    fleet.begin_request(0, "c", 0.0);
    fleet
}

fn chosen_at(fleet: &Fleet, now_ms: u64) -> WorkerId {
    match place(fleet, now_ms, NO_EXPLORATION) {
        Placement::Available(chosen) => chosen.entry.id.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_worker_that_two_nodes_report_as_unresponsive_is_avoided_for_a_short_time() {
    let mut fleet = three_workers();
    fleet.record_suspicion(0, peer(1), WorkerKey::from_id("a"));
    // One node may itself be cut off, however often it repeats its report.
    fleet.record_suspicion(10, peer(1), WorkerKey::from_id("a"));
    assert_eq!(chosen_at(&fleet, 10), id("a"));
    fleet.record_suspicion(20, peer(2), WorkerKey::from_id("a"));
    assert_ne!(chosen_at(&fleet, 20), id("a"));
    assert_eq!(chosen_at(&fleet, 1_500), id("a"));
}

#[test]
fn a_worker_that_answers_this_node_is_not_avoided_because_of_reports() {
    let mut fleet = three_workers();
    fleet.record_suspicion(0, peer(1), WorkerKey::from_id("a"));
    fleet.record_suspicion(0, peer(2), WorkerKey::from_id("a"));
    fleet.record_success(NOW_MS, "a");
    assert_eq!(chosen_at(&fleet, 1), id("a"));
}

#[test]
fn reports_exclude_no_more_than_a_third_of_the_workers() {
    let mut fleet = three_workers();
    for worker in ["a", "b"] {
        fleet.record_suspicion(0, peer(1), WorkerKey::from_id(worker));
        fleet.record_suspicion(0, peer(2), WorkerKey::from_id(worker));
    }
    assert_eq!(chosen_at(&fleet, 1), id("a"));
}

/// Number of items started on an idle worker with this many slots at the default batch share.
fn items_started_on_an_idle_worker(slots: u32) -> u32 {
    let mut wide = entry("a", "near");
    wide.slots = slots;
    let mut fleet = Fleet::new("near", ChoiceSettings::default());
    fleet.apply_directory(NOW_MS, &[wide]);
    let no_prompt = Prompt::default();
    let request = placement_request(&no_prompt, &[]);
    let mut items = 0;
    while fleet.choose_for_item(NOW_MS, &request).is_some() {
        fleet.begin_request(NOW_MS, "a", 0.0);
        items += 1;
    }
    items
}

#[test]
fn items_leave_about_one_slot_in_six_free_while_there_are_no_calls() {
    // A share of 0.75 would start 4, 9 and 12 items and leave a third of the slots of small workers
    // idle.
    let item_counts = [6, 12, 17].map(items_started_on_an_idle_worker);
    assert_eq!(item_counts, [5, 10, 14]);
}
