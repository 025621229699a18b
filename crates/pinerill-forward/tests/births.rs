//! Restarted workers: state kept about an earlier incarnation must not affect a later one.

mod support;

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::protocol::{CallHead, PromptPart};
use pinerill_calls::table::ALL_REGIONS;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, ReportOrder, RequiredSoftware,
    WorkerCount, WorkerKey,
};

/// Time in milliseconds at which directories are applied.
const NOW_MS: u64 = 0;

fn fleet(entries: &[WorkerEntry]) -> Fleet {
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    fleet.apply_directory(NOW_MS, entries);
    fleet
}

fn prompt() -> Prompt {
    let part = |id| PromptPart { id, tokens: 1_000 };
    Prompt::from_call(&CallHead {
        prompt: vec![part(1), part(2)],
        ..CallHead::default()
    })
}

fn place(fleet: &Fleet) -> Placement {
    let request = PlacementRequest {
        service: "svc",
        prompt: &prompt(),
        except: &[],
        software: RequiredSoftware::Any,
        runs_once: false,
        homes: &ALL_REGIONS,
    };
    fleet.place(0, &request, false, |_, _| true)
}

fn chosen_id(fleet: &Fleet) -> Option<WorkerId> {
    match place(fleet) {
        Placement::Available(chosen) => Some(chosen.entry.id.clone()),
        Placement::Full | Placement::NoWorker => None,
    }
}

fn entry_started_at(name: &str, started_at_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(name, Some(started_at_ms)),
        ..support::entry(WorkerId::new(name, None))
    }
}

/// Guards against calls waiting for a worker that has restarted under the same name, because the
/// load, failures and draining state of its earlier incarnation still apply.
#[test]
fn a_restarted_worker_does_not_inherit_the_state_of_its_earlier_incarnation() {
    let first = entry_started_at("a", 10);
    let mut leaving = first.clone();
    leaving.state = WorkerState::Draining;
    let mut fleet = fleet(std::slice::from_ref(&first));
    fleet.begin_request(0, &first.id, 0.0);
    fleet.remember_prompt(0, &first.id, &prompt());
    fleet.record_failure(0, &first.id);
    fleet.apply_directory(NOW_MS, &[leaving]);
    let second = entry_started_at("a", 20);
    let removed = fleet.apply_directory(NOW_MS, std::slice::from_ref(&second));
    assert_eq!(removed.len(), 1);
    assert!(removed[0].is_restarted);
    let worker = fleet.worker(&second.id).expect("the worker is listed");
    assert_eq!(worker.entry().state, WorkerState::Ready);
    assert_eq!(fleet.in_flight(0), []);
    assert!(fleet.worker(&first.id).is_none());
    let Placement::Available(chosen) = place(&fleet) else {
        panic!("the worker has free slots");
    };
    assert_eq!(chosen.basis.occupied, 0.0);
    assert!(chosen.prefill_ms > 0.0, "no prefix is processed yet");
    // Events of the earlier incarnation do not change the state of this one.
    fleet.end_request(&first.id);
    fleet.record_failure(0, &first.id);
    assert_eq!(chosen_id(&fleet), Some(second.id));
}

#[test]
fn an_earlier_incarnation_never_replaces_a_later_one() {
    let (first, second) = (entry_started_at("a", 10), entry_started_at("a", 20));
    let mut fleet = fleet(std::slice::from_ref(&second));
    let removed = fleet.apply_directory(NOW_MS, std::slice::from_ref(&first));
    assert!(fleet.worker(&first.id).is_none());
    assert!(!removed[0].is_restarted);
    fleet.apply_directory(NOW_MS, std::slice::from_ref(&second));
    assert!(fleet.worker(&second.id).is_some());
}

#[test]
fn peer_counts_for_an_earlier_incarnation_do_not_apply_to_a_later_one() {
    let (first, second) = (entry_started_at("a", 10), entry_started_at("a", 20));
    let mut fleet = fleet(std::slice::from_ref(&second));
    let counts = vec![WorkerCount {
        worker: WorkerKey::from_id(&first.id),
        requests: 4,
    }];
    let order = ReportOrder {
        start: 1,
        sequence: 1,
    };
    fleet.record_peer_counts(0, ([127, 0, 0, 1], 9).into(), order, counts);
    assert_eq!(chosen_id(&fleet), Some(second.id));
}
