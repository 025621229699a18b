//! How often nodes read the platform list themselves while no control machine answers. Pure.

use std::time::Duration;

/// Shortest pause between two readings of one node. As many nodes may begin at once, each adds
/// a random part of the same length.
const SHORTEST_PAUSE: Duration = Duration::from_millis(2_000);
/// The same while the leader answers, but does not tell how old its reading is: short enough
/// that what is known of workers does not run out between two readings of a small fleet.
const SHORTEST_PAUSE_UNDATED: Duration = Duration::from_millis(700);
/// Part of the list's rate that nodes use up together. All processes share the rate, and a leader
/// that has just come back must find room for its own readings: 250 nodes that read three pages each
/// two to four seconds ask for 250 pages a second, where 44 are answered.
const RATE_PART: f64 = 0.5;

/// How often in a row the pause is doubled at most after a reading that failed.
const MOST_DOUBLINGS: u32 = 5;

/// Pause before the next reading after so many that failed in a row: the list is asked by more
/// than it answers, or by more than this node knows of.
pub fn pause_after_failures(pause: Duration, failures: u32) -> Duration {
    pause * (1 << failures.min(MOST_DOUBLINGS))
}

/// Pause before the next reading of one node among so many, if a reading has so many pages and
/// the list answers so many calls a second from all processes together. `random` is between 0
/// and 1.
pub fn reading_pause(nodes: u32, pages: usize, calls_per_s: f64, random: f64) -> Duration {
    pause_from(SHORTEST_PAUSE, nodes, pages, calls_per_s, random)
}

/// The same beside a leader that does not tell how old its reading is.
pub fn undated_pause(nodes: u32, pages: usize, calls_per_s: f64, random: f64) -> Duration {
    pause_from(SHORTEST_PAUSE_UNDATED, nodes, pages, calls_per_s, random)
}

/// Pause before the first reading once such a leader was found, as all nodes find it at once.
pub fn first_undated_pause(nodes: u32, pages: usize, calls_per_s: f64, random: f64) -> Duration {
    fair_pause(nodes, pages, calls_per_s).mul_f64(random)
}

fn pause_from(
    shortest: Duration,
    nodes: u32,
    pages: usize,
    calls_per_s: f64,
    random: f64,
) -> Duration {
    let pause = shortest.max(fair_pause(nodes, pages, calls_per_s));
    pause + pause.mul_f64(random)
}

/// The pause with which the nodes together keep to their part of the rate.
fn fair_pause(nodes: u32, pages: usize, calls_per_s: f64) -> Duration {
    let calls = f64::from(nodes.max(1)) * pages.max(1) as f64;
    // The random part makes the mean one and a half times the pause.
    Duration::from_secs_f64(calls / (calls_per_s * RATE_PART * 1.5))
}
