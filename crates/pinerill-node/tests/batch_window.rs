//! The window of batch items at one engine.

use pinerill_node::batch::{EngineLoad, OnlineSign, Window, WindowPolicy};

const IDLE: EngineLoad = EngineLoad {
    slots: 16,
    online: 0,
};
const BUSY: EngineLoad = EngineLoad {
    slots: 16,
    online: 4,
};

fn policy(tail_weight: f64) -> WindowPolicy {
    WindowPolicy {
        tail_weight,
        limit: 32,
    }
}

/// What an idle engine takes at a weight.
fn full(tail_weight: f64) -> u32 {
    match tail_weight {
        weight if weight < 0.6 => 18,
        weight if weight < 0.9 => 15,
        _ => 12,
    }
}

/// A window after a long idle time, and the time at which it was full.
fn open(tail_weight: f64) -> (Window, u64) {
    let mut window = Window::default();
    let opened = (0..10_000).step_by(10).find(|now| {
        window.tick(*now, IDLE, policy(tail_weight));
        window.open() == full(tail_weight)
    });
    (window, opened.expect("it opens"))
}

#[test]
fn an_idle_engine_is_filled_in_doublings_and_sooner_for_throughput() {
    let mut window = Window::default();
    let mut seen = Vec::new();
    for now in (0..1_000).step_by(10) {
        window.tick(now, IDLE, policy(0.0));
        if seen.last() != Some(&window.open()) {
            seen.push(window.open());
        }
    }
    assert_eq!(seen, [1, 2, 4, 8, 16, 18]);
    assert!(open(0.2).1 < open(0.8).1);
    assert!(open(1.0).1 <= 2_000, "idle capacity lasts seconds");
}

#[test]
fn an_arrival_takes_a_place_that_was_left_for_it_and_nothing_is_paused() {
    let (mut window, now) = open(0.8);
    for online in [1, 2, 3] {
        let load = EngineLoad { slots: 16, online };
        window.sign(now, OnlineSign::Arrival, load, policy(0.8));
        assert!(window.allowed() >= full(0.8), "{online} online");
        assert_eq!(window.open(), full(0.8) - online, "no more is started");
    }
    window.tick(now + 200, IDLE, policy(0.8));
    assert_eq!(window.open(), full(0.8), "not held when they have gone");
}

#[test]
fn arrivals_take_the_slots_of_batch_at_once_at_every_weight() {
    for tail_weight in [0.0, 0.2, 0.5, 0.8, 0.9, 1.0] {
        for online in 0..=16 {
            let (mut window, now) = open(tail_weight);
            let load = EngineLoad { slots: 16, online };
            window.sign(now, OnlineSign::Arrival, load, policy(tail_weight));
            let free = 16 - online;
            let beside = window.allowed();
            assert!(beside <= free + 2, "{beside} beside {online}");
            assert!(free > 0 || beside == 0, "{beside} beside {online}");
            assert!(window.open() <= beside);
        }
    }
}

#[test]
fn at_full_weight_nothing_runs_beside_online_work() {
    let (mut window, now) = open(1.0);
    let one = EngineLoad {
        slots: 16,
        online: 1,
    };
    window.sign(now, OnlineSign::Arrival, one, policy(1.0));
    assert_eq!(window.allowed(), 0);
    window.tick(now + 5_000, one, policy(1.0));
    assert_eq!(window.open(), 0);
}

#[test]
fn a_request_that_waits_leaves_nothing_whatever_the_weight() {
    for tail_weight in [0.0, 0.5, 1.0] {
        let (mut window, now) = open(tail_weight);
        window.sign(now, OnlineSign::Waiting, BUSY, policy(tail_weight));
        assert_eq!((window.allowed(), window.open()), (0, 0));
        window.tick(now + 99, IDLE, policy(tail_weight));
        assert_eq!(window.open(), 0, "held although idle");
        for later in (now..now + 4_000).step_by(10) {
            window.tick(later, IDLE, policy(tail_weight));
        }
        assert_eq!(window.open(), full(tail_weight));
    }
}

#[test]
fn after_a_preemption_nothing_waits_at_the_engine_for_a_time() {
    let (mut window, now) = open(0.0);
    window.sign(now, OnlineSign::Preemption, BUSY, policy(0.0));
    assert_eq!(window.allowed(), 12);
    window.tick(now + 49, BUSY, policy(0.0));
    assert_eq!(window.allowed(), 12);
    window.tick(now + 99, IDLE, policy(0.0));
    assert_eq!(window.open(), 16, "the slots are free again");
    window.tick(now + 150, IDLE, policy(0.0));
    assert_eq!(window.open(), 18);
}

#[test]
fn a_report_of_more_online_work_lowers_it_without_a_sign() {
    let (mut window, now) = open(0.5);
    window.tick(now, BUSY, policy(0.5));
    assert_eq!(window.allowed(), 14);
    let off = WindowPolicy {
        tail_weight: 0.5,
        limit: 0,
    };
    window.tick(now, IDLE, off);
    assert_eq!(window.allowed(), 0);
}

#[test]
fn a_window_never_starts_more_than_it_lets_run() {
    let mut window = Window::default();
    for now in (0..20_000).step_by(10) {
        let online = (now / 70 * 7) % 19;
        let load = EngineLoad {
            slots: 16,
            online: online as u32,
        };
        let sign = match now / 10 % 50 {
            0 => Some(OnlineSign::Waiting),
            10 => Some(OnlineSign::Preemption),
            20 => Some(OnlineSign::Arrival),
            _ => None,
        };
        if let Some(sign) = sign {
            window.sign(now, sign, load, policy(0.8));
        }
        window.tick(now, load, policy(0.8));
        assert!(window.open() <= window.allowed(), "at {now}");
    }
}

#[test]
fn no_prefill_begins_just_after_an_arrival() {
    let (mut window, now) = open(0.8);
    assert!(window.takes_starts(now));
    window.sign(now, OnlineSign::Arrival, BUSY, policy(0.8));
    assert!(!window.takes_starts(now + 319));
    assert!(window.takes_starts(now + 320));
    let (mut window, now) = open(0.0);
    window.sign(now, OnlineSign::Arrival, BUSY, policy(0.0));
    assert!(window.takes_starts(now));
}

#[test]
fn items_begin_one_after_the_other_where_the_tail_counts() {
    let (mut window, now) = open(0.8);
    window.note_start(now, policy(0.8));
    assert!(!window.takes_starts(now + 39));
    assert!(window.takes_starts(now + 40));
    window.sign(now, OnlineSign::Arrival, BUSY, policy(0.8));
    window.note_start(now + 1, policy(0.8));
    assert!(!window.takes_starts(now + 319), "the longer hold counts");
    let (mut window, now) = open(0.0);
    window.note_start(now, policy(0.0));
    assert!(window.takes_starts(now));
}
