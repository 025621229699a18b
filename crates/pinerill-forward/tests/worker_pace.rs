//! Paces of workers: estimates from gaps, observations of peers, and the choice of a worker by them.

use std::time::Duration;

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::message::encode;
use pinerill_calls::protocol::LoadSample;
use pinerill_calls::table::ALL_REGIONS;
use pinerill_forward::fleet::{
    ChoiceSettings, Fleet, ItemTime, Placement, PlacementRequest, Prompt, ReportOrder,
    RequiredSoftware, WorkerKey, WorkerPace, MAX_PACES_PER_MESSAGE,
};
use pinerill_forward::gaps::GapMeter;
use pinerill_process::clock::BootTime;
use proptest::prelude::*;

/// Time between two recorded gaps, milliseconds.
const STEP_MS: u64 = 200;
const RUN: Duration = Duration::from_millis(400);
const USUAL_US: u32 = 40_000;

/// Size of a packet on common networks, in bytes.
const DATAGRAM_BYTES: usize = 1_400;

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

fn fleet(ids: &[&str]) -> Fleet {
    let entries: Vec<WorkerEntry> = ids.iter().map(|id| entry(id, "z")).collect();
    let mut fleet = Fleet::new("z", ChoiceSettings::default());
    fleet.apply_directory(0, &entries);
    fleet
}

/// Records a gap of each worker per step until `end_ms` and computes the paces.
fn observe(fleet: &mut Fleet, from_ms: u64, end_ms: u64, gaps_us: &[(&str, u64)]) {
    for now_ms in (from_ms..end_ms).step_by(STEP_MS as usize) {
        for (id, gap_us) in gaps_us {
            fleet.record_gap(now_ms, id, Duration::from_micros(*gap_us));
        }
    }
    fleet.refresh_paces(end_ms);
}

fn request(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "s",
        prompt,
        except: &[],
        software: RequiredSoftware::Any,
        runs_once: false,
        homes: &ALL_REGIONS,
    }
}

fn place(fleet: &Fleet, now_ms: u64) -> Option<String> {
    let prompt = Prompt::default();
    match fleet.place(now_ms, &request(&prompt), true, |_, _| true) {
        Placement::Available(chosen) => Some(chosen.entry.id.as_str().to_owned()),
        Placement::Full | Placement::NoWorker => None,
    }
}

/// Places calls until there is no free slot.
fn fill(fleet: &mut Fleet, now_ms: u64) -> Vec<String> {
    let mut chosen = Vec::new();
    while let Some(id) = place(fleet, now_ms) {
        fleet.begin_request(now_ms, &id, 0.0);
        chosen.push(id);
    }
    chosen
}

fn peer(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 2], port).into()
}

fn told(worker: &str, event_gap_us: u32, samples: u8) -> WorkerPace {
    WorkerPace {
        worker: WorkerKey::from_id(worker),
        event_gap_us,
        samples,
    }
}

const THREE: [(&str, u64); 3] = [("fast", 20_000), ("usual", 40_000), ("slow", 80_000)];

fn uneven() -> Fleet {
    let mut fleet = fleet(&["slow", "usual", "fast"]);
    observe(&mut fleet, 0, 2_000, &THREE);
    fleet.record_run("usual", RUN);
    fleet
}

#[test]
fn pace_is_relative_to_the_median_of_the_service() {
    let fleet = uneven();
    let paces = ["fast", "usual", "slow"].map(|id| fleet.pace_of(id));
    assert_eq!(paces, [0.5, 1.0, 2.0]);
    assert_eq!(fleet.unusual_paces().len(), 2);
}

#[test]
fn the_fast_worker_is_filled_first_and_all_slots_are_used() {
    let mut fleet = uneven();
    let chosen = fill(&mut fleet, 2_000);
    let expected = [vec!["fast"; 4], vec!["usual"; 4], vec!["slow"; 4]].concat();
    assert_eq!(chosen, expected);
}

#[test]
fn pace_moves_no_call_to_another_zone_and_none_back() {
    let entries = [entry("slow", "z"), entry("usual", "z"), entry("far", "y")];
    let serving = |paced: bool| {
        let mut fleet = Fleet::new("z", ChoiceSettings::default());
        fleet.apply_directory(0, &entries);
        if paced {
            observe(
                &mut fleet,
                0,
                2_000,
                &[("slow", 400_000), ("usual", 20_000)],
            );
            fleet.record_run("usual", Duration::from_secs(5));
        }
        fill(&mut fleet, 2_000)
    };
    let zones =
        |chosen: Vec<String>| -> Vec<bool> { chosen.iter().map(|id| id == "far").collect() };
    let paced = serving(true);
    assert_eq!(paced[0], "usual");
    assert_eq!(zones(paced), zones(serving(false)));
}

#[test]
fn a_worker_whose_pace_changes_is_known_after_some_seconds() {
    let mut fleet = fleet(&["a", "b", "c"]);
    observe(
        &mut fleet,
        0,
        5_000,
        &[("a", 40_000), ("b", 40_000), ("c", 40_000)],
    );
    assert_eq!(fleet.pace_of("a"), 1.0);
    observe(
        &mut fleet,
        5_000,
        8_000,
        &[("a", 120_000), ("b", 40_000), ("c", 40_000)],
    );
    assert_eq!(fleet.pace_of("a"), 3.0);
    observe(
        &mut fleet,
        8_000,
        11_000,
        &[("a", 40_000), ("b", 40_000), ("c", 40_000)],
    );
    assert_eq!(fleet.pace_of("a"), 1.0);
}

#[test]
fn leaving_and_reentering_the_tolerance_is_told_once() {
    let mut fleet = fleet(&["a", "b", "c"]);
    let mut told_of = |sequence, gap_us| {
        let order = ReportOrder { start: 1, sequence };
        let paces = [
            told("a", gap_us, 15),
            told("b", USUAL_US, 15),
            told("c", USUAL_US, 15),
        ];
        fleet.record_peer_paces(0, peer(1), order, &paces);
        fleet
            .refresh_paces(1)
            .iter()
            .map(|known| known.pace)
            .collect::<Vec<f64>>()
    };
    assert!(told_of(1, USUAL_US * 119 / 100).is_empty());
    assert_eq!(told_of(2, USUAL_US * 5 / 4), [1.25]);
    assert!(told_of(3, USUAL_US * 119 / 100).is_empty());
    assert_eq!(told_of(4, USUAL_US * 11 / 10), [1.0]);
}

#[test]
fn a_new_incarnation_begins_anew() {
    let mut fleet = Fleet::new("z", ChoiceSettings::default());
    let started = |at_ms| {
        let mut one = entry("a", "z");
        one.id = WorkerId::new("a", Some(at_ms));
        [one, entry("b", "z"), entry("c", "z")]
    };
    fleet.apply_directory(0, &started(1));
    let first = WorkerId::new("a", Some(1));
    let second = WorkerId::new("a", Some(2));
    observe(
        &mut fleet,
        0,
        2_000,
        &[(first.as_str(), 90_000), ("b", 30_000), ("c", 30_000)],
    );
    assert_eq!(fleet.pace_of(first.as_str()), 3.0);
    fleet.apply_directory(2_000, &started(2));
    assert_eq!(fleet.pace_of(second.as_str()), 1.0);
    fleet.refresh_paces(2_100);
    assert_eq!(fleet.pace_of(second.as_str()), 1.0);
}

#[test]
fn observations_expire() {
    let mut fleet = uneven();
    fleet.refresh_paces(31_000);
    assert_eq!(fleet.pace_of("slow"), 2.0);
    fleet.refresh_paces(32_000);
    assert_eq!(fleet.pace_of("slow"), 1.0);
    assert!(fleet.unusual_paces().is_empty());
}

#[test]
fn a_worker_of_unknown_pace_is_tried_among_the_fastest() {
    let mut fleet = fleet(&["usual", "slow", "new"]);
    observe(&mut fleet, 0, 2_000, &THREE[1..]);
    fleet.record_run("usual", RUN);
    // It counts as usual for run times and items, which don't have to try it.
    assert_eq!(fleet.pace_of("new"), 1.0);
    assert!(fleet.pace_of("usual") < 1.0);
    assert!(fill(&mut fleet, 2_000)[..4].contains(&"new".to_owned()));
}

#[test]
fn absurd_gaps_do_not_count() {
    let mut fleet = uneven();
    let hour_us = 3_600_000_000;
    for gap_us in [0, 1, hour_us, u64::MAX] {
        observe(
            &mut fleet,
            2_000,
            6_000,
            &[("slow", gap_us), ("fast", gap_us)],
        );
    }
    assert_eq!(fleet.pace_of("slow"), 2.0);
    assert_eq!(fleet.pace_of("fast"), 0.5);
}

#[test]
fn paces_are_bounded() {
    let mut fleet = fleet(&["a", "b", "c"]);
    observe(
        &mut fleet,
        0,
        2_000,
        &[("a", 1_000), ("b", 40_000), ("c", 9_000_000)],
    );
    assert_eq!(fleet.pace_of("a"), 0.25);
    assert_eq!(fleet.pace_of("c"), 4.0);
}

#[test]
fn gaps_of_workers_of_other_zones_are_not_recorded() {
    let mut fleet = Fleet::new("z", ChoiceSettings::default());
    fleet.apply_directory(0, &[entry("near", "z"), entry("far", "y")]);
    observe(&mut fleet, 0, 2_000, &[("near", 40_000), ("far", 400_000)]);
    assert_eq!(fleet.pace_of("far"), 1.0);
    assert_eq!(fleet.take_unsent_paces(2_000).len(), 1);
}

#[test]
fn peers_observations_are_combined_by_their_gaps_and_expire() {
    let mut fleet = fleet(&["a", "b", "c"]);
    let order = |sequence| ReportOrder { start: 1, sequence };
    let usual = [told("b", USUAL_US, 15), told("c", USUAL_US, 15)];
    let with = |gap_us, samples| [vec![told("a", gap_us, samples)], usual.to_vec()].concat();
    assert!(fleet.record_peer_paces(0, peer(1), order(2), &with(USUAL_US * 2, 15)));
    assert!(fleet.record_peer_paces(0, peer(2), order(2), &with(USUAL_US * 4, 2)));
    fleet.refresh_paces(1);
    assert_eq!(fleet.pace_of("a"), 2.0);
    // A late message changes nothing, a newer one replaces the node's figures.
    assert!(!fleet.record_peer_paces(2, peer(1), order(1), &with(USUAL_US, 15)));
    assert!(fleet.record_peer_paces(2, peer(1), order(3), &with(USUAL_US * 3, 15)));
    fleet.refresh_paces(3);
    assert_eq!(fleet.pace_of("a"), 3.0);
    fleet.refresh_paces(40_000);
    assert_eq!(fleet.pace_of("a"), 1.0);
}

#[test]
fn peers_figures_of_workers_of_other_zones_do_not_count() {
    let mut fleet = Fleet::new("z", ChoiceSettings::default());
    let far = [entry("a", "y"), entry("b", "y"), entry("c", "y")];
    let near = ["a", "b", "c"].map(|id| entry(id, "z"));
    fleet.apply_directory(0, &far);
    let order = ReportOrder {
        start: 1,
        sequence: 1,
    };
    let paces = [
        told("a", 90_000, 15),
        told("b", 30_000, 15),
        told("c", 30_000, 15),
    ];
    assert!(fleet.record_peer_paces(0, peer(1), order, &paces));
    fleet.apply_directory(0, &near);
    assert!(fleet.refresh_paces(100).is_empty());
    assert_eq!(fleet.pace_of("a"), 1.0);
}

#[test]
fn the_paces_of_one_message_fit_into_a_datagram() {
    let order = ReportOrder {
        start: u64::MAX,
        sequence: u64::MAX,
    };
    // Keys of five bytes each, the longest ones.
    let mut longest = (0_u32..)
        .map(|number| told(&format!("w{number}"), u32::MAX, u8::MAX))
        .filter(|pace| encode(&pace.worker).len() == 5);
    let paces: Vec<WorkerPace> = longest.by_ref().take(MAX_PACES_PER_MESSAGE).collect();
    // The kind of message takes one byte.
    let bytes = 1 + encode(&(order, paces)).len();
    println!("{bytes} bytes");
    assert!(bytes <= DATAGRAM_BYTES);
}

#[test]
fn absurd_figures_of_peers_do_not_count() {
    let mut fleet = fleet(&["a", "b"]);
    let order = ReportOrder {
        start: 1,
        sequence: 1,
    };
    let absurd = [
        told("a", 0, 15),
        told("a", u32::MAX, 15),
        told("b", USUAL_US, 0),
        told("gone", 1, 1),
    ];
    fleet.record_peer_paces(0, peer(1), order, &absurd);
    fleet.refresh_paces(1);
    assert_eq!((fleet.pace_of("a"), fleet.pace_of("b")), (1.0, 1.0));
}

#[test]
fn more_workers_than_fit_are_told_in_turn() {
    let ids: Vec<String> = (0..MAX_PACES_PER_MESSAGE + 40)
        .map(|one| format!("w{one}"))
        .collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut fleet = fleet(&names);
    let gaps: Vec<(&str, u64)> = names.iter().map(|name| (*name, 40_000)).collect();
    observe(&mut fleet, 0, STEP_MS, &gaps);
    assert_eq!(fleet.take_unsent_paces(1_000).len(), MAX_PACES_PER_MESSAGE);
    assert_eq!(fleet.take_unsent_paces(2_000).len(), 40);
    assert!(fleet.take_unsent_paces(3_000).is_empty());
}

#[test]
fn items_with_slack_go_to_slower_workers_and_others_to_faster_ones() {
    let fleet = uneven();
    let prompt = Prompt::default();
    let chosen = |until_due_ms| {
        let time = ItemTime {
            remaining_ms: 1_000.0,
            until_due_ms,
        };
        let chosen = fleet.choose_for_timed_item(2_000, &request(&prompt), Some(time));
        chosen.expect("a worker").entry.id.as_str().to_owned()
    };
    assert_eq!(chosen(20_000.0), "slow");
    assert_eq!(chosen(2_000.0), "usual");
    assert_eq!(chosen(1_100.0), "fast");
    assert_eq!(chosen(-5_000.0), "fast");
    assert!((fleet.batch_pace(2_000) - 3.5 / 3.0).abs() < 1e-9);
}

#[test]
fn items_are_placed_as_before_while_paces_are_usual() {
    let mut fleet = fleet(&["a", "b", "c"]);
    // Prefills whose times differ by less than the rounding of larger costs.
    for (number, id) in ["a", "b", "c"].into_iter().enumerate() {
        let prefill_ms = 100.0 - number as f64 * 5e-14;
        fleet.begin_request(0, id, prefill_ms);
    }
    let prompt = Prompt::default();
    let wanted = request(&prompt);
    let untimed = fleet.choose_for_item(0, &wanted).expect("a worker");
    for until_due_ms in [-5_000.0, 0.0, 1_000.0, 60_000.0] {
        let time = ItemTime {
            remaining_ms: 1_000.0,
            until_due_ms,
        };
        let timed = fleet.choose_for_timed_item(0, &wanted, Some(time));
        assert_eq!(timed.expect("a worker").entry.id, untimed.entry.id);
    }
}

#[test]
fn what_a_worker_tells_of_the_moment_counts_only_where_set_and_while_fresh() {
    let chosen = |moment_age_ms, percent, now_ms| {
        let settings = ChoiceSettings {
            moment_age_ms,
            ..ChoiceSettings::default()
        };
        let mut fleet = Fleet::new("z", settings);
        fleet.apply_directory(0, &[entry("a", "z"), entry("b", "z")]);
        fleet.record_run("b", RUN);
        let sample = LoadSample {
            running: 0,
            waiting: 0,
            slots: 4,
            work_percent: Some(percent),
        };
        fleet.record_load(0, "a", sample);
        place(&fleet, now_ms).expect("a worker")
    };
    assert_eq!(chosen(300, 250, 100), "b");
    assert_eq!(chosen(300, 250, 300), "a");
    assert_eq!(chosen(0, 250, 0), "a");
    for absurd in [0, u32::MAX] {
        assert_eq!(chosen(300, absurd, 100), "a");
    }
}

fn after(start: BootTime, ms: u64) -> BootTime {
    start + Duration::from_millis(ms)
}

#[test]
fn gaps_are_measured_between_events_that_are_read_at_once() {
    let start = BootTime::now();
    let mut meter = GapMeter::new(start, 0);
    let ms = Duration::from_millis;
    // The time to the first event is no gap; three events in one read are one gap, divided.
    assert_eq!(meter.record_events(after(start, 900), 1, 0), None);
    assert_eq!(meter.record_events(after(start, 1_020), 3, 0), None);
    assert_eq!(meter.take_gap(), Some(ms(40)));
    // After a late read, the gap that ends then doesn't count.
    meter.begin_read(after(start, 1_500));
    assert_eq!(meter.record_events(after(start, 1_500), 1, 0), None);
    assert_eq!(meter.take_gap(), None);
    assert_eq!(meter.run_time(after(start, 1_600)), None);
    // Nor does one that spans a suspension of the machine.
    assert_eq!(meter.record_events(after(start, 9_000), 1, 1), None);
    assert_eq!(meter.take_gap(), None);
    for step in 1..4 {
        assert_eq!(
            meter.record_events(after(start, 9_000 + 30 * step), 1, 1),
            None
        );
    }
    assert_eq!(meter.record_events(after(start, 9_120), 1, 1), Some(ms(30)));
}

#[test]
fn only_whole_runs_tell_the_run_time() {
    let start = BootTime::now();
    let end = after(start, 400);
    assert_eq!(GapMeter::new(start, 0).run_time(end), Some(RUN));
    assert_eq!(GapMeter::resumed(start, 0).run_time(end), None);
}

proptest! {
    /// Workers that differ by less than the tolerance, with noise, are chosen as without paces.
    #[test]
    fn uniform_workers_are_served_exactly_as_before(
        noise in proptest::collection::vec(37_000_u64..43_000, 200),
        loads in proptest::collection::vec(0_usize..5, 1..40),
    ) {
        let ids = ["a", "b", "c", "d", "e"];
        let (mut with, mut without) = (fleet(&ids), fleet(&ids));
        for (number, gap_us) in noise.iter().enumerate() {
            let now_ms = (number / ids.len()) as u64 * STEP_MS;
            with.record_gap(now_ms, ids[number % ids.len()], Duration::from_micros(*gap_us));
            prop_assert!(with.refresh_paces(now_ms).is_empty());
        }
        for one in [&mut with, &mut without] {
            one.record_run("a", RUN);
        }
        for load in loads {
            for one in [&mut with, &mut without] {
                one.begin_request(8_000, ids[load], 0.0);
            }
            prop_assert_eq!(place(&with, 8_000), place(&without, 8_000));
        }
    }

    /// Whatever is recorded, paces stay within their bounds and all slots are used.
    #[test]
    fn all_slots_are_used_whatever_is_recorded(
        gaps in proptest::collection::vec((0_usize..3, any::<u64>(), 0_u64..500), 0..100),
        told_gaps in proptest::collection::vec((0_usize..3, any::<u32>(), any::<u8>()), 0..50),
    ) {
        let ids = ["a", "b", "c"];
        let mut fleet = fleet(&ids);
        let mut now_ms = 0;
        for (worker, gap_us, pause_ms) in gaps {
            now_ms += pause_ms;
            fleet.record_gap(now_ms, ids[worker], Duration::from_micros(gap_us));
            fleet.record_run(ids[worker], Duration::from_micros(gap_us));
        }
        for (sequence, (worker, gap_us, samples)) in told_gaps.into_iter().enumerate() {
            let order = ReportOrder { start: 1, sequence: sequence as u64 + 1 };
            let paces = [told(ids[worker], gap_us, samples)];
            fleet.record_peer_paces(now_ms, peer(sequence as u16 % 4), order, &paces);
        }
        fleet.refresh_paces(now_ms);
        for id in ids {
            prop_assert!((0.25..=4.0).contains(&fleet.pace_of(id)));
        }
        prop_assert_eq!(fill(&mut fleet, now_ms).len(), 12);
    }
}
