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

/// A window after a long idle time, and the time at which it was full.
fn open(tail_weight: f64) -> (Window, u64) {
    let mut window = Window::default();
    let full = (0..).step_by(10).find(|now| {
        window.tick(*now, IDLE, policy(tail_weight));
        window.allowed() == 18
    });
    (window, full.expect("it opens"))
}

#[test]
fn an_idle_engine_is_filled_in_doublings_and_sooner_for_throughput() {
    let mut window = Window::default();
    let mut seen = Vec::new();
    for now in (0..1_000).step_by(10) {
        window.tick(now, IDLE, policy(0.0));
        if seen.last() != Some(&window.allowed()) {
            seen.push(window.allowed());
        }
    }
    assert_eq!(seen, [1, 2, 4, 8, 16, 18]);
    assert!(open(0.2).1 < open(0.8).1);
    assert!(open(1.0).1 <= 2_000, "idle capacity lasts seconds");
}

#[test]
fn an_arrival_closes_it_at_once_by_weight_and_it_opens_again_later() {
    for (tail_weight, kept) in [(1.0, 0), (0.8, 2), (0.2, 9), (0.0, 12)] {
        let (mut window, now) = open(tail_weight);
        window.sign(now, OnlineSign::Arrival, BUSY, policy(tail_weight));
        assert_eq!(window.allowed(), kept, "at weight {tail_weight}");
        window.tick(now + 99, IDLE, policy(tail_weight));
        assert_eq!(window.allowed(), kept, "held although idle");
        for later in (now..now + 4_000).step_by(10) {
            window.tick(later, IDLE, policy(tail_weight));
        }
        assert_eq!(window.allowed(), 18);
    }
}

#[test]
fn a_request_that_waits_leaves_nothing_whatever_the_weight() {
    for tail_weight in [0.0, 0.5, 1.0] {
        let (mut window, now) = open(tail_weight);
        window.sign(now, OnlineSign::Waiting, BUSY, policy(tail_weight));
        assert_eq!(window.allowed(), 0);
    }
}

#[test]
fn a_preemption_halves_what_an_arrival_leaves() {
    let (mut window, now) = open(0.0);
    window.sign(now, OnlineSign::Preemption, BUSY, policy(0.0));
    assert_eq!(window.allowed(), 6);
}

#[test]
fn a_report_of_more_online_work_lowers_it_without_a_sign() {
    let (mut window, now) = open(0.5);
    window.tick(now, BUSY, policy(0.5));
    assert_eq!(window.allowed(), 6);
    let off = WindowPolicy {
        tail_weight: 0.5,
        limit: 0,
    };
    window.tick(now, IDLE, off);
    assert_eq!(window.allowed(), 0);
}
