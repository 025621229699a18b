//! Load: seeded schedules, requests, targets and what came of them.

pub mod content;
pub mod dispatcher;
pub mod engine_target;
pub mod job_client;
pub mod jobs;
pub mod node_target;
pub mod online;
pub mod profile;
pub mod readiness;
pub mod record;
pub mod schedule;
pub mod sse;
