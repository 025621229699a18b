//! Workers that start again: what was believed of the start before says nothing of the next.

mod support;

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::protocol::{CallHead, PromptPart};
use pinerill_calls::table::ANYWHERE;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, Placement, PlacementRequest, Prompt, ReportOrder, WorkerCount, WorkerKey,
};

/// When directories are taken in.
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
    let wanted = PlacementRequest {
        service: "svc",
        prompt: &prompt(),
        except: &[],
        runs_once: false,
        homes: &ANYWHERE,
    };
    fleet.place(0, &wanted, false, |_, _| true)
}

fn chosen_id(fleet: &Fleet) -> Option<WorkerId> {
    match place(fleet) {
        Placement::Available(chosen) => Some(chosen.entry.id.clone()),
        Placement::Full | Placement::NoWorker => None,
    }
}

fn born(name: &str, birth_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId::new(name, Some(birth_ms)),
        ..support::entry(WorkerId::new(name, None))
    }
}

/// Users saw calls wait for a worker that had started again under its name: what was
/// believed of the one before outlived it.
#[test]
fn a_worker_that_has_started_again_is_another_one_of_which_nothing_is_believed() {
    let first = born("a", 10);
    let mut leaving = first.clone();
    leaving.state = WorkerState::Draining;
    let mut fleet = fleet(std::slice::from_ref(&first));
    fleet.begin_request(0, &first.id, 0.0);
    fleet.remember_prompt(0, &first.id, &prompt());
    fleet.record_failure(0, &first.id);
    fleet.apply_directory(NOW_MS, &[leaving]);
    let second = born("a", 20);
    let gone = fleet.apply_directory(NOW_MS, std::slice::from_ref(&second));
    assert_eq!(gone.len(), 1);
    assert!(gone[0].is_restarted);
    let worker = fleet.worker(&second.id).expect("it is listed");
    assert_eq!(worker.entry().state, WorkerState::Ready);
    assert_eq!(fleet.in_flight(0), []);
    assert!(fleet.worker(&first.id).is_none());
    let Placement::Available(chosen) = place(&fleet) else {
        panic!("it has room");
    };
    assert_eq!(chosen.basis.occupied, 0.0);
    assert!(chosen.prefill_ms > 0.0, "it has read nothing");
    // What ends at the earlier start says nothing of this one.
    fleet.end_request(&first.id);
    fleet.record_failure(0, &first.id);
    assert_eq!(chosen_id(&fleet), Some(second.id));
}

#[test]
fn an_earlier_birth_never_replaces_a_later_one() {
    let (first, second) = (born("a", 10), born("a", 20));
    let mut fleet = fleet(std::slice::from_ref(&second));
    let gone = fleet.apply_directory(NOW_MS, std::slice::from_ref(&first));
    assert!(fleet.worker(&first.id).is_none());
    assert!(!gone[0].is_restarted);
    fleet.apply_directory(NOW_MS, std::slice::from_ref(&second));
    assert!(fleet.worker(&second.id).is_some());
}

#[test]
fn news_of_other_nodes_on_the_earlier_start_says_nothing_of_the_later_one() {
    let (first, second) = (born("a", 10), born("a", 20));
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
