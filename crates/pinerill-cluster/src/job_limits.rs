//! Limits of submitted jobs by the route table in force.
//!
//! A node reads the limits from its own table, which may be older than the one in force, for
//! example after the node was suspended. A job keeps its limits, so the leader sets them.

use pinerill_calls::job::NewCallJob;
use pinerill_calls::table::RouteTable;

/// Sets the limits of a job to those of its route in `table`. They stay as the node has set them
/// if the table has no batch route for the job.
pub fn set_limits(job: &mut NewCallJob, table: &RouteTable) {
    let Some(route) = table.route(&job.host, &job.path) else {
        return;
    };
    let Some(limits) = &route.batch else {
        return;
    };
    job.result_target_ms = limits.result_target_ms;
    job.give_up_ms = limits.give_up_ms;
    job.max_waiting_tokens = limits.max_waiting_tokens;
    job.attempts = route.attempts;
    job.route.clone_from(&route.name);
}
