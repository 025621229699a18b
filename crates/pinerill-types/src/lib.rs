//! Identifiers, bundles, settings and errors shared by every pinerill crate.
//!
//! Nothing here does I/O except [`settings::load`], which reads one file.

pub mod bundle;
pub mod error;
pub mod id;
pub mod job;
pub mod key_hash;
pub mod outcome;
pub mod settings;

pub use error::StepError;
pub use id::{
    AdapterName, Digest, EngineId, Fence, JobId, ModelName, NodeName, OperatorName, RequestId,
    ServiceName, TenantName, WorkerName, ZoneName,
};
pub use key_hash::KeyHash;
