//! Tests how the window of batch items at one engine grows and shrinks with
//! online demand.

use pinerill_node::batch::{EngineLoad, OnlineSignal, Window, WindowPolicy};

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

/// Returns the start limit that the window of an idle engine reaches.
fn idle_target(tail_weight: f64) -> u32 {
    match tail_weight {
        weight if weight < 0.6 => 18,
        weight if weight < 0.9 => 15,
        _ => 12,
    }
}

/// Returns a window that has grown to its idle target, and the time in
/// milliseconds at which it got there.
fn grown_window(tail_weight: f64) -> (Window, u64) {
    let mut window = Window::default();
    let opened = (0..10_000).step_by(10).find(|now| {
        window.tick(*now, IDLE, policy(tail_weight));
        window.start_limit() == idle_target(tail_weight)
    });
    (window, opened.expect("the window grows to its idle target"))
}

#[test]
fn idle_window_grows_by_doubling_and_faster_at_low_tail_weight() {
    let mut window = Window::default();
    let mut seen = Vec::new();
    for now in (0..1_000).step_by(10) {
        window.tick(now, IDLE, policy(0.0));
        if seen.last() != Some(&window.start_limit()) {
            seen.push(window.start_limit());
        }
    }
    assert_eq!(seen, [1, 2, 4, 8, 16, 18]);
    assert!(grown_window(0.2).1 < grown_window(0.8).1);
    assert!(
        grown_window(1.0).1 <= 2_000,
        "the window of an idle engine takes too long to grow"
    );
}

#[test]
fn arrivals_use_reserved_slots_without_pausing_items() {
    let (mut window, now) = grown_window(0.8);
    for online in [1, 2, 3] {
        let load = EngineLoad { slots: 16, online };
        window.apply_signal(now, OnlineSignal::Arrival, load, policy(0.8));
        assert!(window.run_limit() >= idle_target(0.8), "{online} online");
        assert_eq!(
            window.start_limit(),
            idle_target(0.8) - online,
            "an item may start on a slot of an arrival"
        );
    }
    window.tick(now + 200, IDLE, policy(0.8));
    assert_eq!(
        window.start_limit(),
        idle_target(0.8),
        "growth is delayed after the arrivals have gone"
    );
}

#[test]
fn arrivals_shrink_the_window_at_once_at_every_tail_weight() {
    for tail_weight in [0.0, 0.2, 0.5, 0.8, 0.9, 1.0] {
        for online in 0..=16 {
            let (mut window, now) = grown_window(tail_weight);
            let load = EngineLoad { slots: 16, online };
            window.apply_signal(now, OnlineSignal::Arrival, load, policy(tail_weight));
            let free = 16 - online;
            let beside = window.run_limit();
            assert!(beside <= free + 2, "{beside} beside {online}");
            assert!(free > 0 || beside == 0, "{beside} beside {online}");
            assert!(window.start_limit() <= beside);
        }
    }
}

#[test]
fn nothing_runs_beside_online_requests_at_tail_weight_one() {
    let (mut window, now) = grown_window(1.0);
    let one = EngineLoad {
        slots: 16,
        online: 1,
    };
    window.apply_signal(now, OnlineSignal::Arrival, one, policy(1.0));
    assert_eq!(window.run_limit(), 0);
    window.tick(now + 5_000, one, policy(1.0));
    assert_eq!(window.start_limit(), 0);
}

#[test]
fn waiting_request_empties_the_window_at_every_tail_weight() {
    for tail_weight in [0.0, 0.5, 1.0] {
        let (mut window, now) = grown_window(tail_weight);
        window.apply_signal(now, OnlineSignal::Waiting, BUSY, policy(tail_weight));
        assert_eq!((window.run_limit(), window.start_limit()), (0, 0));
        window.tick(now + 99, IDLE, policy(tail_weight));
        assert_eq!(
            window.start_limit(),
            0,
            "the window grows before the delay has passed"
        );
        for later in (now..now + 4_000).step_by(10) {
            window.tick(later, IDLE, policy(tail_weight));
        }
        assert_eq!(window.start_limit(), idle_target(tail_weight));
    }
}

#[test]
fn preemption_blocks_the_engine_queue_for_a_delay() {
    let (mut window, now) = grown_window(0.0);
    window.apply_signal(now, OnlineSignal::Preemption, BUSY, policy(0.0));
    assert_eq!(window.run_limit(), 12);
    window.tick(now + 49, BUSY, policy(0.0));
    assert_eq!(window.run_limit(), 12);
    window.tick(now + 99, IDLE, policy(0.0));
    assert_eq!(
        window.start_limit(),
        16,
        "the window does not use the free slots"
    );
    window.tick(now + 150, IDLE, policy(0.0));
    assert_eq!(window.start_limit(), 18);
}

/// Arrivals at other nodes cause no arrival signal and show only in the load.
#[test]
fn load_update_shrinks_the_window_without_a_signal() {
    let (mut window, now) = grown_window(0.5);
    window.tick(now, BUSY, policy(0.5));
    assert_eq!(window.run_limit(), 14);
    let off = WindowPolicy {
        tail_weight: 0.5,
        limit: 0,
    };
    window.tick(now, IDLE, off);
    assert_eq!(window.run_limit(), 0);
}

#[test]
fn start_limit_never_exceeds_run_limit() {
    let mut window = Window::default();
    for now in (0..20_000).step_by(10) {
        let online = (now / 70 * 7) % 19;
        let load = EngineLoad {
            slots: 16,
            online: online as u32,
        };
        let signal = match now / 10 % 50 {
            0 => Some(OnlineSignal::Waiting),
            10 => Some(OnlineSignal::Preemption),
            20 => Some(OnlineSignal::Arrival),
            _ => None,
        };
        if let Some(signal) = signal {
            window.apply_signal(now, signal, load, policy(0.8));
        }
        window.tick(now, load, policy(0.8));
        assert!(window.start_limit() <= window.run_limit(), "at {now}");
    }
}

#[test]
fn arrival_delays_the_next_start_by_tail_weight() {
    let (mut window, now) = grown_window(0.8);
    assert!(window.allows_start(now));
    window.apply_signal(now, OnlineSignal::Arrival, BUSY, policy(0.8));
    assert!(!window.allows_start(now + 319));
    assert!(window.allows_start(now + 320));
    let (mut window, now) = grown_window(0.0);
    window.apply_signal(now, OnlineSignal::Arrival, BUSY, policy(0.0));
    assert!(window.allows_start(now));
}

#[test]
fn starts_are_spaced_out_by_tail_weight() {
    let (mut window, now) = grown_window(0.8);
    window.record_start(now, policy(0.8));
    assert!(!window.allows_start(now + 39));
    assert!(window.allows_start(now + 40));
    window.apply_signal(now, OnlineSignal::Arrival, BUSY, policy(0.8));
    window.record_start(now + 1, policy(0.8));
    assert!(
        !window.allows_start(now + 319),
        "a start shortened the delay of an arrival"
    );
    let (mut window, now) = grown_window(0.0);
    window.record_start(now, policy(0.0));
    assert!(window.allows_start(now));
}
