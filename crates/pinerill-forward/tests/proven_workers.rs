//! Calls that run once go to workers that lately failed nobody of the zone.

mod support;

use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_calls::table::ANYWHERE;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, WorkerKey,
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

fn wanted(prompt: &Prompt, runs_once: bool) -> PlacementRequest<'_> {
    PlacementRequest {
        service: SERVICE,
        prompt,
        except: &[],
        runs_once,
        homes: &ANYWHERE,
    }
}

fn placed(fleet: &Fleet, now_ms: u64, runs_once: bool) -> Option<WorkerId> {
    let prompt = Prompt::default();
    match fleet.place(now_ms, &wanted(&prompt, runs_once), false, |_, _| true) {
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
    // It ends each connection at once, so that it looks idle beside the other.
    fleet.begin_request(0, "b", 0.0);
    fleet.record_peer_connection_loss(0, WorkerKey::from_id("a"));
    assert_eq!(place_repeatable(&fleet, 1), Some(id("a")));
    assert_eq!(place_once(&fleet, 1), Some(id("b")));
    fleet.record_failure(1, "a");
    assert_eq!(place_once(&fleet, 1_200), Some(id("b")));
    // A call that may run again has found it sound.
    fleet.record_success(0, "a");
    assert_eq!(place_once(&fleet, 1_201), Some(id("a")));
}

#[test]
fn a_call_that_runs_once_waits_for_a_proven_worker_rather_than_risk_another() {
    let mut fleet = two_workers();
    fleet.record_peer_connection_loss(0, WorkerKey::from_id("a"));
    for _ in 0..4 {
        fleet.begin_request(0, "b", 0.0);
    }
    assert_eq!(place_once(&fleet, 1), None);
    assert_eq!(place_repeatable(&fleet, 1), Some(id("a")));
    // Where no worker is proven, the call takes what there is.
    fleet.record_failure(1, "b");
    assert_eq!(place_once(&fleet, 2), Some(id("a")));
}

#[test]
fn a_worker_that_no_call_tries_again_is_proven_in_the_end() {
    let mut fleet = two_workers();
    fleet.record_failure(0, "a");
    for _ in 0..4 {
        fleet.begin_request(0, "b", 0.0);
    }
    assert_eq!(place_once(&fleet, 1_000), None);
    assert_eq!(place_once(&fleet, 5_000), Some(id("a")));
}

#[test]
fn a_place_that_is_handed_over_is_no_risk_for_a_call_that_runs_once() {
    let mut fleet = two_workers();
    let (key, prompt) = (WorkerKey::from_id("a"), Prompt::default());
    let handed = |fleet: &Fleet, runs_once| {
        let chosen = fleet.promised_worker(1, key, &wanted(&prompt, runs_once));
        chosen.is_some()
    };
    assert!(handed(&fleet, true));
    fleet.record_peer_connection_loss(0, key);
    assert!(!handed(&fleet, true));
    assert!(handed(&fleet, false));
}
