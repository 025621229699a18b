//! Calls that run once must go only to workers that have not recently failed any node of the zone.

mod support;

use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_calls::table::ALL_REGIONS;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, RequiredSoftware, WorkerKey,
};
use support::entry;

const SERVICE: &str = "svc";

fn id(name: &str) -> WorkerId {
    WorkerId::new(name, None)
}

fn two_workers() -> Fleet {
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    let workers: Vec<WorkerEntry> = ["a", "b"].map(|name| entry(id(name))).into();
    fleet.apply_directory(0, &workers);
    fleet
}

fn placement_request(prompt: &Prompt, runs_once: bool) -> PlacementRequest<'_> {
    PlacementRequest {
        service: SERVICE,
        prompt,
        except: &[],
        software: RequiredSoftware::Any,
        runs_once,
        homes: &ALL_REGIONS,
    }
}

fn placed(fleet: &Fleet, now_ms: u64, runs_once: bool) -> Option<WorkerId> {
    let prompt = Prompt::default();
    match fleet.place(
        now_ms,
        &placement_request(&prompt, runs_once),
        false,
        |_, _| true,
    ) {
        Placement::Available(chosen) => Some(chosen.entry.id.clone()),
        Placement::Full | Placement::NoWorker => None,
    }
}

fn place_once(fleet: &Fleet, now_ms: u64) -> Option<WorkerId> {
    placed(fleet, now_ms, true)
}

fn place_repeatable(fleet: &Fleet, now_ms: u64) -> Option<WorkerId> {
    placed(fleet, now_ms, false)
}

#[test]
fn a_call_that_runs_once_goes_to_proven_workers() {
    let mut fleet = two_workers();
    // The worker ends each connection at once, so that it looks less loaded than the other one.
    fleet.begin_request(0, "b", 0.0);
    fleet.record_peer_connection_loss(0, WorkerKey::from_id("a"));
    assert_eq!(place_repeatable(&fleet, 1), Some(id("a")));
    assert_eq!(place_once(&fleet, 1), Some(id("b")));
    fleet.record_failure(1, "a");
    assert_eq!(place_once(&fleet, 1_200), Some(id("b")));
    // A call that may be retried has succeeded there.
    fleet.record_success(0, "a");
    assert_eq!(place_once(&fleet, 1_201), Some(id("a")));
}

#[test]
fn a_call_that_runs_once_waits_for_a_proven_worker() {
    let mut fleet = two_workers();
    fleet.record_peer_connection_loss(0, WorkerKey::from_id("a"));
    for _ in 0..4 {
        fleet.begin_request(0, "b", 0.0);
    }
    assert_eq!(place_once(&fleet, 1), None);
    assert_eq!(place_repeatable(&fleet, 1), Some(id("a")));
    // If no worker is proven, the call uses any worker.
    fleet.record_failure(1, "b");
    assert_eq!(place_once(&fleet, 2), Some(id("a")));
}

#[test]
fn a_failed_worker_without_new_attempts_becomes_proven_after_probation() {
    let mut fleet = two_workers();
    fleet.record_failure(0, "a");
    for _ in 0..4 {
        fleet.begin_request(0, "b", 0.0);
    }
    assert_eq!(place_once(&fleet, 1_000), None);
    assert_eq!(place_once(&fleet, 5_000), Some(id("a")));
}

#[test]
fn a_call_that_runs_once_refuses_a_handed_over_slot_at_an_unproven_worker() {
    let mut fleet = two_workers();
    let (key, prompt) = (WorkerKey::from_id("a"), Prompt::default());
    let is_accepted = |fleet: &Fleet, runs_once| {
        let chosen = fleet.promised_worker(1, key, &placement_request(&prompt, runs_once));
        chosen.is_some()
    };
    assert!(is_accepted(&fleet, true));
    fleet.record_peer_connection_loss(0, key);
    assert!(!is_accepted(&fleet, true));
    assert!(is_accepted(&fleet, false));
}
