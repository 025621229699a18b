//! What a process says of itself, and the key that proves it.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::api::Role;

/// Bytes of the cluster key.
const KEY_BYTES: usize = 32;

/// The secret that every process of a cluster shares.
#[derive(Clone)]
pub struct ClusterKey([u8; KEY_BYTES]);

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// Why a cluster key can't be had.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be read.
    #[error("read cluster key with {path}: {message}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's message.
        message: String,
    },
    /// Not 64 hexadecimal digits.
    #[error("read cluster key with {path}: not 64 hexadecimal digits")]
    Malformed {
        /// The file.
        path: String,
    },
}

impl ClusterKey {
    /// A key from its bytes.
    pub fn from_bytes(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// No secret: connections are open to everybody who reaches them.
    pub fn none() -> Self {
        Self([0; KEY_BYTES])
    }

    /// Reads a key of 64 hexadecimal digits from a file.
    ///
    /// # Errors
    /// [`KeyError`] when the file is missing or is no key; the key itself is
    /// never part of the message.
    pub fn load(path: &Path) -> Result<Self, KeyError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| KeyError::Unreadable {
            path: shown.clone(),
            message: error.to_string(),
        })?;
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes)
            .map_err(|_| KeyError::Malformed { path: shown })?;
        Ok(Self(bytes))
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// What a process says of itself when it connects or is connected to.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The cluster's name.
    pub cluster: String,
    /// The shared secret.
    pub key: ClusterKey,
    /// Role of this process.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// Its zone; empty for an operator.
    pub zone: String,
    /// Identity of its data folder; 0 without one.
    pub replica: u64,
    /// Where it listens, if it does.
    pub listen: Option<SocketAddr>,
    /// Identity of its cluster; 0 until it is founded or joined.
    cluster_id: Arc<AtomicU64>,
}

impl Identity {
    /// The identity of a process without a data folder.
    pub fn new(cluster: &str, key: ClusterKey, role: Role, name: &str, zone: &str) -> Self {
        Self {
            cluster: cluster.to_owned(),
            key,
            role,
            name: name.to_owned(),
            zone: zone.to_owned(),
            replica: 0,
            listen: None,
            cluster_id: Arc::new(AtomicU64::new(0)),
        }
    }

    /// With the identity of a data folder.
    pub fn with_replica(mut self, replica: u64, cluster_id: u64) -> Self {
        self.replica = replica;
        self.set_cluster_id(cluster_id);
        self
    }

    /// With the address where it listens.
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = Some(listen);
        self
    }

    /// Identity of its cluster; 0 when it has none yet.
    pub fn cluster_id(&self) -> u64 {
        self.cluster_id.load(Ordering::Relaxed)
    }

    /// Sets the cluster's identity, for all clones.
    pub fn set_cluster_id(&self, cluster_id: u64) {
        self.cluster_id.store(cluster_id, Ordering::Relaxed);
    }
}
