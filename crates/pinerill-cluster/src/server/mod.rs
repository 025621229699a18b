//! The process of a control machine.
//!
//! | module | job |
//! |---|---|
//! | `run` | starts and stops the parts |
//! | `control` | what the parts share |
//! | `leadership` | soft state of the leader |
//! | `service` | hands each internal request to its part |
//! | `watch` | the nodes' long polls |
//! | `jobs` | submissions, results, leases |
//! | `peers` | other control machines: joining, addresses |
//! | `members` | carries out changes of the group's membership |
//! | `workers` | reads the platform list |
//! | `operators` | operators' requests |
//! | `zones` | operators' orders about zones |
//! | `quota`, `slow_start` | lend tokens of tenants' calls, and of requests to cold workers |
//! | `upgrade` | formats of commands while machines of several builds stand side by side |
//! | `older_builds` | answers processes of older builds |
//! | `monitoring` | metrics and readiness |

mod control;
mod jobs;
mod leadership;
mod members;
mod monitoring;
mod named_leader;
mod older_builds;
mod operators;
mod peers;
mod quota;
mod refusal;
mod run;
mod service;
mod slow_start;
mod upgrade;
mod watch;
mod workers;
mod zones;

pub use run::{run, ControlProtocols};
