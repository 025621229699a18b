//! What nodes remember of streams, and where a stream that a caller continues may go.

mod support;

use pinerill_calls::directory::{WorkerEntry, WorkerId};
use pinerill_calls::version_history::{PeriodVersions, VersionHistory};
use pinerill_forward::crash::Requester;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, ListedVersions, Placement, PlacementRequest, Prompt, RequiredSoftware,
    ServiceKey, SoftwareVersion, StreamOrigin, WorkerSoftware,
};
use pinerill_forward::resumption::decision::{
    decide, Knowledge, LeaderHistory, ResumptionBasis, ResumptionDecision, ResumptionInputs,
};
use pinerill_forward::resumption::origins::{
    KnownOrigin, OriginLedger, OriginRecord, StreamKey, MAX_RECORDS,
};
use proptest::prelude::*;
use support::entry;

/// Longest life of a stream in these tests, milliseconds.
const LIFE_MS: u64 = 16_000;

fn worker(name: &str, version: Option<&str>) -> WorkerEntry {
    WorkerEntry {
        version: version.map(str::to_owned),
        ..entry(WorkerId::new(name, None))
    }
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::of(&worker("any", Some(text))).expect("a version")
}

fn stream(attempt: &str) -> StreamKey {
    StreamKey::new(&Requester::Unknown, attempt)
}

fn record(attempt: &str, origin: &WorkerEntry) -> OriginRecord {
    OriginRecord {
        stream: stream(attempt),
        origin: StreamOrigin::of(origin),
        life_ms: LIFE_MS,
    }
}

fn knowing(origin: KnownOrigin, versions: ListedVersions) -> Knowledge {
    Knowledge { origin, versions }
}

fn decision(own: Knowledge, asked: usize, answers: &[Knowledge]) -> ResumptionDecision {
    decide(&ResumptionInputs {
        own,
        history: LeaderHistory::Settled,
        is_named: true,
        asked,
        answers: answers.to_vec(),
        hears_leader: false,
        has_one_service: true,
        is_final: true,
    })
}

#[test]
fn a_stream_continues_at_its_worker_or_at_the_same_known_version_only() {
    let began = worker("a", Some("v1"));
    let required = RequiredSoftware::SameAs(StreamOrigin::of(&began));
    let allows = |entry: &WorkerEntry| required.allows(&WorkerSoftware::of(entry));
    assert!(allows(&began));
    assert!(allows(&worker("b", Some("v1"))));
    assert!(!allows(&worker("b", Some("v2"))));
    assert!(!allows(&worker("b", None)));
    let of_other_service = WorkerEntry {
        service: "other".to_owned(),
        ..worker("b", Some("v1"))
    };
    assert!(!allows(&of_other_service));
    let unknown = RequiredSoftware::SameAs(StreamOrigin::of(&worker("a", None)));
    assert!(unknown.allows(&WorkerSoftware::of(&worker("a", Some("v1")))));
    assert!(!unknown.allows(&WorkerSoftware::of(&worker("b", None))));
}

#[test]
fn a_record_lives_as_long_as_its_stream_and_belongs_to_its_caller() {
    let mut ledger = OriginLedger::default();
    let began = worker("a", Some("v1"));
    ledger.record(1_000, &record("s", &began));
    let known = KnownOrigin::Worker(StreamOrigin::of(&began));
    assert_eq!(ledger.find(1_000 + LIFE_MS - 1, stream("s")), known);
    assert_eq!(
        ledger.find(1_000 + LIFE_MS, stream("s")),
        KnownOrigin::Unknown
    );
    let of_tenant = StreamKey::new(&Requester::Tenant("t".to_owned()), "s");
    assert_eq!(ledger.find(1_000, of_tenant), KnownOrigin::Unknown);
    ledger.remove_expired(1_000 + LIFE_MS);
    assert!(ledger.is_empty());
}

#[test]
fn an_identifier_that_is_used_for_streams_of_two_versions_continues_neither() {
    let mut ledger = OriginLedger::default();
    ledger.record(0, &record("s", &worker("a", Some("v1"))));
    ledger.record(0, &record("s", &worker("b", Some("v1"))));
    assert!(matches!(
        ledger.find(1, stream("s")),
        KnownOrigin::Worker(_)
    ));
    ledger.record(0, &record("s", &worker("c", Some("v2"))));
    let known = ledger.find(1, stream("s"));
    assert_eq!(known, KnownOrigin::Contradictory);
    let own = knowing(known, ListedVersions::Single(version("v1")));
    assert_eq!(decision(own, 0, &[]), ResumptionDecision::Refuse);
}

#[test]
fn the_ledger_is_bounded() {
    let mut ledger = OriginLedger::default();
    let began = worker("a", Some("v1"));
    for number in 0..=MAX_RECORDS as u64 {
        ledger.record(number, &record(&number.to_string(), &began));
    }
    assert_eq!(ledger.len(), MAX_RECORDS);
    assert_eq!(ledger.find(10, stream("0")), KnownOrigin::Unknown);
}

#[test]
fn without_a_record_a_node_is_sure_only_of_a_single_version_that_others_confirm() {
    let unknown = KnownOrigin::Unknown;
    let single = knowing(unknown, ListedVersions::Single(version("v1")));
    let started = knowing(unknown, ListedVersions::Unknown);
    let several = knowing(unknown, ListedVersions::Several);
    let other = knowing(unknown, ListedVersions::Single(version("v2")));
    let at_v1 = ResumptionDecision::Continue(
        RequiredSoftware::Version(version("v1")),
        ResumptionBasis::SingleVersion,
    );
    assert_eq!(decision(single, 0, &[]), at_v1);
    assert_eq!(decision(single, 2, &[started]), at_v1);
    assert_eq!(decision(started, 2, &[started, single]), at_v1);
    let refused = [
        decision(single, 2, &[]),
        decision(started, 0, &[]),
        decision(started, 2, &[started, started]),
        decision(single, 2, &[several, single]),
        decision(several, 2, &[single, single]),
        decision(single, 1, &[other]),
    ];
    assert_eq!(refused, [ResumptionDecision::Refuse; 6]);
    let hearing_the_leader = |own| {
        decide(&ResumptionInputs {
            own,
            history: LeaderHistory::Settled,
            is_named: true,
            asked: 2,
            answers: Vec::new(),
            hears_leader: true,
            has_one_service: true,
            is_final: true,
        })
    };
    assert_eq!(hearing_the_leader(single), at_v1);
    assert_eq!(hearing_the_leader(started), ResumptionDecision::Refuse);
    assert_eq!(hearing_the_leader(several), ResumptionDecision::Refuse);
}

#[test]
fn a_stream_of_a_route_with_several_services_goes_on_only_by_a_record() {
    let single = ListedVersions::Single(version("v1"));
    let origin = StreamOrigin::of(&worker("a", Some("v1")));
    let decided = |origin| {
        decide(&ResumptionInputs {
            own: knowing(origin, single),
            history: LeaderHistory::Settled,
            is_named: true,
            asked: 0,
            answers: Vec::new(),
            hears_leader: true,
            has_one_service: false,
            is_final: true,
        })
    };
    assert_eq!(decided(KnownOrigin::Unknown), ResumptionDecision::Refuse);
    let required = RequiredSoftware::SameAs(origin);
    assert_eq!(
        decided(KnownOrigin::Worker(origin)),
        ResumptionDecision::Continue(required, ResumptionBasis::Record)
    );
}

/// Guards against refusals by nodes that are about to hear of the only version or of other nodes.
#[test]
fn a_resumption_waits_for_the_history_unless_it_is_refused_in_any_case() {
    let unknown = KnownOrigin::Unknown;
    let single = ListedVersions::Single(version("v1"));
    let decided = |versions, is_named, has_one_service, history| {
        decide(&ResumptionInputs {
            own: knowing(unknown, versions),
            history,
            is_named,
            asked: 0,
            answers: Vec::new(),
            hears_leader: false,
            has_one_service,
            is_final: false,
        })
    };
    let awaited = |versions, is_named, has_one_service| {
        decided(versions, is_named, has_one_service, LeaderHistory::Awaited)
    };
    let wait = ResumptionDecision::Wait;
    assert_eq!(awaited(ListedVersions::Unknown, false, true), wait);
    assert_eq!(awaited(ListedVersions::Several, true, true), wait);
    assert_eq!(awaited(ListedVersions::Unknown, true, false), wait);
    let refused = ResumptionDecision::Refuse;
    assert_eq!(awaited(ListedVersions::Several, false, true), refused);
    assert_eq!(awaited(single, false, false), refused);
    let settled = decided(ListedVersions::Unknown, true, true, LeaderHistory::Settled);
    assert_eq!(settled, refused);
}

#[test]
fn the_record_of_any_node_decides_at_once() {
    let origin = StreamOrigin::of(&worker("a", Some("v1")));
    let own = knowing(KnownOrigin::Unknown, ListedVersions::Several);
    let mut inputs = ResumptionInputs {
        own,
        history: LeaderHistory::Settled,
        is_named: true,
        asked: 3,
        answers: vec![own],
        hears_leader: true,
        has_one_service: true,
        is_final: false,
    };
    assert_eq!(decide(&inputs), ResumptionDecision::Wait);
    inputs.answers.push(knowing(
        KnownOrigin::Worker(origin),
        ListedVersions::Several,
    ));
    let required = RequiredSoftware::SameAs(origin);
    let expected = ResumptionDecision::Continue(required, ResumptionBasis::Record);
    assert_eq!(decide(&inputs), expected);
}

#[test]
fn a_version_counts_as_the_only_one_after_it_was_so_for_the_whole_period() {
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    let (v1, v2) = (worker("a", Some("v1")), worker("b", Some("v2")));
    let service = ServiceKey::of(&v1.service);
    let single = |text: &str| ListedVersions::Single(version(text));
    let seen = |fleet: &mut Fleet, now_ms: u64| {
        let confirmed_ms = fleet.listed_ms().unwrap_or(1_000);
        for at_ms in (confirmed_ms..now_ms as i64).step_by(1_000) {
            fleet.confirm_directory(at_ms);
        }
        fleet.confirm_directory(now_ms as i64);
        fleet.listed_versions(now_ms, service, LIFE_MS)
    };
    fleet.apply_directory(1_000, std::slice::from_ref(&v1));
    assert_eq!(seen(&mut fleet, 2_000), ListedVersions::Unknown);
    assert_eq!(seen(&mut fleet, 1_000 + LIFE_MS), single("v1"));
    fleet.apply_directory(20_000, &[v1.clone(), v2.clone()]);
    assert_eq!(seen(&mut fleet, 20_000), ListedVersions::Several);
    fleet.apply_directory(30_000, std::slice::from_ref(&v2));
    assert_eq!(
        seen(&mut fleet, 30_000 + LIFE_MS - 1),
        ListedVersions::Several
    );
    assert_eq!(seen(&mut fleet, 30_000 + LIFE_MS), single("v2"));
    let aged = 30_000 + LIFE_MS + ChoiceSettings::default().leave_notice_ms + 1;
    assert_eq!(
        fleet.listed_versions(aged, service, LIFE_MS),
        ListedVersions::Unknown
    );
}

#[test]
fn a_node_that_has_just_started_goes_by_the_history_of_its_leader() {
    let mut leader = VersionHistory::default();
    let (v1, v2) = (worker("a", Some("v1")), worker("b", Some("v2")));
    leader.record(0, [&v1, &v2]);
    leader.record(10_000, [&v2]);
    let fleet_at = |leader_ms: i64| {
        let mut fleet = Fleet::new("za", ChoiceSettings::default());
        fleet.apply_directory(100, std::slice::from_ref(&v2));
        fleet.confirm_directory(100);
        assert!(fleet.lacks_version_history(100));
        fleet.import_versions(100, &leader.export(leader_ms));
        fleet.listed_versions(100, ServiceKey::of(&v2.service), LIFE_MS)
    };
    let life_ms = LIFE_MS as i64;
    assert_eq!(fleet_at(20_000), ListedVersions::Several);
    assert_eq!(fleet_at(10_000 + life_ms - 1), ListedVersions::Several);
    let single = ListedVersions::Single(version("v2"));
    assert_eq!(fleet_at(10_000 + life_ms), single);
}

#[test]
fn a_service_that_a_route_moved_to_is_known_again_after_a_stream_life() {
    let mut leader = VersionHistory::default();
    let v1 = worker("a", Some("v1"));
    leader.record(0, [&v1]);
    leader.record_move(100_000, &v1.service);
    let end_ms = 100_000 + LIFE_MS as i64;
    let mut node = VersionHistory::default();
    node.record(end_ms - 1, [&v1]);
    node.import(end_ms - 1, &leader.export(end_ms - 1));
    let single = PeriodVersions::Single("v1".to_owned());
    for history in [&leader, &node] {
        let within = |now_ms| history.within(now_ms, &v1.service, LIFE_MS);
        assert_eq!(within(end_ms - 1), PeriodVersions::Unknown);
        assert_eq!(within(end_ms), single);
    }
}

#[test]
fn the_history_of_a_leader_that_knows_of_no_move_does_not_hide_it() {
    let mut leader = VersionHistory::default();
    let mut node = VersionHistory::default();
    let v1 = worker("a", Some("v1"));
    leader.record(0, [&v1]);
    node.record(90_000, [&v1]);
    node.record_move(100_000, &v1.service);
    node.import(100_001, &leader.export(100_001));
    let within = node.within(100_001, &v1.service, LIFE_MS);
    assert_eq!(within, PeriodVersions::Unknown);
}

#[test]
fn versions_count_as_unknown_for_a_time_without_readings_of_the_list() {
    let mut history = VersionHistory::default();
    let v1 = worker("a", Some("v1"));
    history.record(0, [&v1]);
    history.confirm(0);
    let within = |history: &VersionHistory, now_ms| history.within(now_ms, &v1.service, LIFE_MS);
    for at_ms in (0..20_000).step_by(1_000) {
        history.confirm(at_ms);
    }
    let single = PeriodVersions::Single("v1".to_owned());
    assert_eq!(within(&history, 20_000), single);
    history.confirm(40_000);
    assert_eq!(within(&history, 40_000), PeriodVersions::Unknown);
    for at_ms in (40_000..60_000).step_by(1_000) {
        history.confirm(at_ms);
    }
    assert_eq!(within(&history, 40_000 + LIFE_MS as i64), single);
}

/// Guards against versions that count as never listed since they are forgotten.
#[test]
fn a_history_is_not_sure_of_more_than_it_remembers() {
    let (v1, v2) = (worker("a", Some("v1")), worker("b", Some("v2")));
    let mut history = VersionHistory::default();
    history.record(0, [&v1]);
    history.record(1_000, [&v2]);
    let mut now_ms = 1_000;
    while now_ms < 3_600_000 {
        now_ms += 1_000;
        history.record(now_ms, [&v2]);
        history.confirm(now_ms);
        // A route whose calls may take five minutes.
        let within = history.within(now_ms, &v1.service, 1_200_000);
        let is_sure = matches!(within, PeriodVersions::Single(_));
        assert!(!is_sure || now_ms >= 1_201_000, "{now_ms} ms");
    }
}

/// Guards against a version that was in service while nobody read the list.
#[test]
fn a_leader_that_could_not_read_the_list_is_not_sure_of_the_time_between() {
    let (v1, v2) = (worker("a", Some("v1")), worker("b", Some("v2")));
    let mut leader = VersionHistory::default();
    for now_ms in (0..=60_000).step_by(1_000) {
        leader.record(now_ms, [&v2]);
        leader.confirm(now_ms);
    }
    // Meanwhile v1 came and went.
    let back_ms = 80_000;
    leader.record(back_ms, [&v2]);
    leader.confirm(back_ms);
    let node_at = |now_ms: i64| {
        let mut node = VersionHistory::default();
        node.record(now_ms, [&v2]);
        node.confirm(now_ms);
        node.import(now_ms, &leader.export(now_ms));
        node.within(now_ms, &v1.service, LIFE_MS)
    };
    assert_eq!(node_at(back_ms), PeriodVersions::Unknown);
    let known_ms = back_ms + LIFE_MS as i64;
    assert_eq!(node_at(known_ms - 1), PeriodVersions::Unknown);
    assert_eq!(node_at(known_ms), PeriodVersions::Single("v2".to_owned()));
}

/// Guards against a node or leader that takes the time since its start for the life of a stream.
#[test]
fn a_leader_just_elected_and_nodes_just_started_are_not_sure_together() {
    let v2 = worker("b", Some("v2"));
    let mut leader = VersionHistory::default();
    leader.record(100, [&v2]);
    leader.confirm(100);
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    fleet.apply_directory(500, std::slice::from_ref(&v2));
    fleet.confirm_directory(500);
    fleet.import_versions(600, &leader.export(600));
    let service = ServiceKey::of(&v2.service);
    let seen = |fleet: &Fleet, now_ms| fleet.listed_versions(now_ms, service, LIFE_MS);
    assert_eq!(seen(&fleet, 600), ListedVersions::Unknown);
    for at_ms in (600..=LIFE_MS).step_by(1_000) {
        fleet.confirm_directory(at_ms as i64);
        assert_eq!(seen(&fleet, at_ms), ListedVersions::Unknown);
    }
    fleet.confirm_directory(100 + LIFE_MS as i64);
    let single = ListedVersions::Single(version("v2"));
    assert_eq!(seen(&fleet, 100 + LIFE_MS), single);
}

#[test]
fn a_worker_of_unknown_version_makes_no_version_the_only_one() {
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    let known = worker("a", Some("v1"));
    let service = ServiceKey::of(&known.service);
    fleet.apply_directory(0, &[known, worker("b", None)]);
    fleet.confirm_directory(LIFE_MS as i64);
    let seen = fleet.listed_versions(LIFE_MS, service, LIFE_MS);
    assert_eq!(seen, ListedVersions::Unknown);
}

#[test]
fn a_version_learned_of_an_incarnation_stays_when_a_later_directory_states_none() {
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    fleet.apply_directory(0, &[worker("a", None)]);
    fleet.learn_versions(1, &[worker("a", Some("v1"))]);
    fleet.apply_directory(2, &[worker("a", None)]);
    let known = fleet.worker("a").expect("listed").entry().version.clone();
    assert_eq!(known.as_deref(), Some("v1"));
}

#[test]
fn a_bound_request_goes_to_its_version_only_and_is_told_when_that_is_gone() {
    let mut fleet = Fleet::new("za", ChoiceSettings::default());
    let (v1, v2) = (worker("a", Some("v1")), worker("b", Some("v2")));
    let service = v1.service.clone();
    fleet.apply_directory(0, &[v1.clone(), v2.clone()]);
    fleet.confirm_directory(0);
    let prompt = Prompt::default();
    let homes = Default::default();
    let required = RequiredSoftware::SameAs(StreamOrigin::of(&worker("gone", Some("v1"))));
    let place = |fleet: &Fleet| {
        let request = PlacementRequest {
            service: &service,
            prompt: &prompt,
            except: &[],
            software: required,
            runs_once: false,
            homes: &homes,
        };
        fleet.place(0, &request, true, |_, _| true)
    };
    let Placement::Available(chosen) = place(&fleet) else {
        panic!("a worker of the version is free");
    };
    assert_eq!(chosen.entry.id, v1.id);
    assert!(!fleet.lacks_software(&service, required));
    fleet.apply_directory(1, &[v2]);
    assert!(matches!(place(&fleet), Placement::NoWorker));
    assert!(fleet.lacks_software(&service, required));
    fleet.apply_directory(2, &[]);
    assert!(!fleet.lacks_software(&service, required));
}

proptest! {
    /// Whatever nodes know and however many answers are lost, a resumption that goes on requires
    /// the version that began the stream.
    #[test]
    fn no_knowledge_that_is_true_leads_to_another_version(
        recorded in prop::collection::vec(any::<bool>(), 0..5),
        saw_both in prop::collection::vec(any::<bool>(), 0..5),
        own_saw_both in any::<bool>(),
    ) {
        let began = StreamOrigin::of(&worker("a", Some("v1")));
        let knowledge = |is_recorded: bool, both: bool| {
            let origin = match is_recorded {
                true => KnownOrigin::Worker(began),
                false => KnownOrigin::Unknown,
            };
            let versions = match both {
                true => ListedVersions::Several,
                false => ListedVersions::Single(version("v1")),
            };
            knowing(origin, versions)
        };
        let answers: Vec<Knowledge> = recorded
            .iter()
            .zip(&saw_both)
            .map(|(is_recorded, both)| knowledge(*is_recorded, *both))
            .collect();
        let own = knowledge(false, own_saw_both);
        if let ResumptionDecision::Continue(required, _) = decision(own, answers.len(), &answers) {
            prop_assert!(required.allows(&WorkerSoftware::of(&worker("b", Some("v1")))));
            prop_assert!(!required.allows(&WorkerSoftware::of(&worker("c", Some("v2")))));
        }
    }
}
