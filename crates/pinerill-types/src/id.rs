//! Names and numbers that identify things across processes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Longest accepted name, in bytes.
pub const NAME_LENGTH_LIMIT: usize = 128;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdentifierError {
    /// Empty, too long, or with a character outside `A-Z a-z 0-9 . _ -`.
    #[error("`{0}` is not a name: use 1 to 128 of A-Z a-z 0-9 . _ -")]
    Name(String),
    /// Not of the form `WORKER/ENGINE`.
    #[error("`{0}` is not an engine: use WORKER/NUMBER")]
    Engine(String),
    /// Not of the form `job-GROUP-SEQUENCE`.
    #[error("`{0}` is not a job: use job-GROUP-SEQUENCE")]
    Job(String),
    /// Not 64 hexadecimal digits.
    #[error("`{0}` is not a digest: use 64 hexadecimal digits")]
    Digest(String),
}

/// Whether `text` is a name: 1 to 128 of `A-Z a-z 0-9 . _ -`.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= NAME_LENGTH_LIMIT && text.bytes().all(allowed)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl FromStr for $name {
            type Err = IdentifierError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if is_name(text) {
                    Ok(Self(text.to_owned()))
                } else {
                    Err(IdentifierError::Name(text.to_owned()))
                }
            }
        }
    };
}

name_type!(
    /// A tenant: whoever a caller's bearer key belongs to.
    TenantName
);
name_type!(
    /// A service: what callers name in the `model` field of a request.
    ServiceName
);
name_type!(
    /// A model as engines know it.
    ModelName
);
name_type!(
    /// An adapter of a model.
    AdapterName
);
name_type!(
    /// A zone: machines that share their fate.
    ZoneName
);
name_type!(
    /// A `pinerill node` process.
    NodeName
);
name_type!(
    /// A worker: one process with one address that holds engines.
    WorkerName
);
name_type!(
    /// An operator who may sign bundles.
    OperatorName
);
name_type!(
    /// A request, from the caller to the engine.
    RequestId
);

/// One engine of a worker. Shown as `WORKER/ENGINE`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineId {
    /// The worker that holds it.
    pub worker: WorkerName,
    /// Its number within the worker, from 0.
    pub engine: u16,
}

impl fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.worker, self.engine)
    }
}

impl FromStr for EngineId {
    type Err = IdentifierError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || IdentifierError::Engine(text.to_owned());
        let (worker, engine) = text.rsplit_once('/').ok_or_else(wrong)?;
        Ok(Self {
            worker: worker.parse().map_err(|_| wrong())?,
            engine: engine.parse().map_err(|_| wrong())?,
        })
    }
}

/// A batch job. Its group holds its state. Shown as `job-GROUP-SEQUENCE`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// The job group that holds it.
    pub group: u32,
    /// Its number within the group.
    pub sequence: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "job-{}-{}", self.group, self.sequence)
    }
}

impl FromStr for JobId {
    type Err = IdentifierError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || IdentifierError::Job(text.to_owned());
        let rest = text.strip_prefix("job-").ok_or_else(wrong)?;
        let (group, sequence) = rest.split_once('-').ok_or_else(wrong)?;
        Ok(Self {
            group: group.parse().map_err(|_| wrong())?,
            sequence: sequence.parse().map_err(|_| wrong())?,
        })
    }
}

/// A SHA-256 digest. Shown as 64 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = IdentifierError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| IdentifierError::Digest(text.to_owned()))?;
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_string())
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Order of commands towards an engine: an engine refuses an older one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the leader that gave the order.
    pub term: u64,
    /// Number of the order within the term.
    pub sequence: u64,
}
