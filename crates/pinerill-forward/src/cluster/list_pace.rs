//! Intervals at which nodes read the platform's worker list themselves while they get no usable
//! directory from the leader.
//!
//! The functions are pure. They keep the requests of all nodes together below a share of the rate
//! that the list serves.

use std::time::Duration;

/// Shortest pause between two reads by one node. Each node adds a random part of up to the same
/// length, since many nodes may start at once.
const SHORTEST_PAUSE: Duration = Duration::from_millis(2_000);
/// Shortest pause while the leader answers without the age of its directory. It is short enough
/// that the known state of a small fleet does not expire between two reads.
const SHORTEST_PAUSE_UNDATED: Duration = Duration::from_millis(700);
/// Share of the list's rate that all nodes use together. All processes share the rate, and a leader
/// that has just recovered needs the rest for its own reads. Without the limit, 250 nodes that read
/// three pages every two to four seconds request 250 pages per second where the list serves 44.
const NODES_RATE_SHARE: f64 = 0.5;

/// Limit for the number of times that the pause is doubled after consecutive failed reads.
const MAX_DOUBLINGS: u32 = 5;

/// Returns the pause after the given number of consecutive failed reads: `pause`, doubled for each
/// failure up to a limit. Reads fail when the list gets more requests than it serves, which happens
/// when there are more nodes than this node knows of.
pub fn pause_after_failures(pause: Duration, failures: u32) -> Duration {
    pause * (1 << failures.min(MAX_DOUBLINGS))
}

/// Returns the pause before the next read by one of `nodes` nodes. A read takes `pages` requests,
/// and the list serves `calls_per_s` requests per second to all processes together. `random` is a
/// random number between 0 and 1.
pub fn reading_pause(nodes: u32, pages: usize, calls_per_s: f64, random: f64) -> Duration {
    jittered_pause(SHORTEST_PAUSE, nodes, pages, calls_per_s, random)
}

/// Returns the pause before the next read while the leader sends no age of its directory. The
/// arguments are those of [`reading_pause`].
pub fn undated_pause(nodes: u32, pages: usize, calls_per_s: f64, random: f64) -> Duration {
    jittered_pause(SHORTEST_PAUSE_UNDATED, nodes, pages, calls_per_s, random)
}

/// Returns the pause before the first read after the leader is found to send no age of its
/// directory. It is random from 0 on, since all nodes find this out at the same time.
pub fn first_undated_pause(nodes: u32, pages: usize, calls_per_s: f64, random: f64) -> Duration {
    rate_limited_pause(nodes, pages, calls_per_s).mul_f64(random)
}

fn jittered_pause(
    shortest: Duration,
    nodes: u32,
    pages: usize,
    calls_per_s: f64,
    random: f64,
) -> Duration {
    let pause = shortest.max(rate_limited_pause(nodes, pages, calls_per_s));
    pause + pause.mul_f64(random)
}

/// Returns the pause with which all nodes together stay within their share of the rate.
fn rate_limited_pause(nodes: u32, pages: usize, calls_per_s: f64) -> Duration {
    let calls = f64::from(nodes.max(1)) * pages.max(1) as f64;
    // The random part makes the mean one and a half times the pause.
    Duration::from_secs_f64(calls / (calls_per_s * NODES_RATE_SHARE * 1.5))
}
