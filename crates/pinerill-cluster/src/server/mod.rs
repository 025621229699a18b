//! Server process of a control machine.
//!
//! | module | responsibility |
//! |---|---|
//! | `run` | starts and stops the tasks and listeners |
//! | `control` | state that all modules share |
//! | `leadership` | soft state of the leader |
//! | `leader_hint` | leader as named by other machines |
//! | `service` | decodes internal requests and dispatches them |
//! | `watch` | long polls of nodes |
//! | `jobs` | submissions, results, leases |
//! | `peers` | announcements to other control machines and their addresses |
//! | `available_items` | wakes lease requests for items that their nodes can start |
//! | `members` | membership changes of the group |
//! | `workers` | polls the platform list of workers |
//! | `operators` | HTTP requests of operators |
//! | `zones` | evacuation and return of zones |
//! | `quota`, `slow_start` | lend tokens for calls of tenants, and permits for requests to cold workers |
//! | `upgrade` | format of commands while machines run different builds |
//! | `older_builds` | answers to processes of older builds |
//! | `refusal` | constructors of refusals |
//! | `monitoring` | metrics and readiness |

mod available_items;
mod control;
mod jobs;
mod leader_hint;
mod leadership;
mod members;
mod monitoring;
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
