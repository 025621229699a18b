//! What makes two tries the same request.
//!
//! A caller names each try anew, so the name says nothing. The same tenant or credentials, method,
//! host, path, query and body do: a worker that fails on one try will fail on the other.

use std::fmt;
use std::str::FromStr;
use std::sync::OnceLock;

use bytes::Bytes;
use http::{HeaderValue, Method, Uri};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: with 128 bits of SHA-256 nobody finds a request with the
/// fingerprint of another one, by chance or on purpose, so it needs no secret seed.
const FINGERPRINT_BYTES: usize = 16;

/// A short name of a request, the same at all nodes and for all its tries.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub(super) [u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// The fingerprint of these parts; where one ends and the next begins counts.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut short = [0; FINGERPRINT_BYTES];
        short.copy_from_slice(&hasher.finalize()[..FINGERPRINT_BYTES]);
        RequestFingerprint(short)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl FromStr for RequestFingerprint {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(RequestFingerprint(bytes))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Who asks, as far as it is known: without that one caller could get the request of
/// another refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requester {
    /// A tenant, whichever of its keys it uses.
    Tenant(String),
    /// Whoever has these credentials.
    Credentials(HeaderValue),
    /// Anybody.
    Unknown,
}

impl Requester {
    /// Who asks on behalf of a tenant, or with credentials.
    pub fn new(tenant: Option<&str>, credentials: Option<&HeaderValue>) -> Self {
        match (tenant, credentials) {
            (Some(tenant), _) => Requester::Tenant(tenant.to_owned()),
            (None, Some(credentials)) => Requester::Credentials(credentials.clone()),
            (None, None) => Requester::Unknown,
        }
    }

    fn parts(&self) -> (&[u8], &[u8]) {
        match self {
            Requester::Tenant(name) => (b"tenant", name.as_bytes()),
            Requester::Credentials(value) => (b"credentials", value.as_bytes()),
            Requester::Unknown => (b"", b""),
        }
    }
}

/// What a request is, whichever try brings it. Its fingerprint is computed when it is
/// first asked for: while no worker crashes, only for runs that end early.
#[derive(Debug)]
pub struct RequestIdentity {
    /// Who asks.
    pub requester: Requester,
    /// Its method.
    pub method: Method,
    /// Host that it was sent to.
    pub host: String,
    /// Path and query.
    pub uri: Uri,
    /// Its body.
    pub body: Bytes,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RequestIdentity {
    /// The identity of a request.
    pub fn new(requester: Requester, method: Method, host: String, uri: Uri, body: Bytes) -> Self {
        RequestIdentity {
            requester,
            method,
            host,
            uri,
            body,
            fingerprint: OnceLock::new(),
        }
    }

    /// Its fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let (kind, requester) = self.requester.parts();
            let target = self
                .uri
                .path_and_query()
                .map_or("", |target| target.as_str());
            RequestFingerprint::of_parts(&[
                kind,
                requester,
                self.method.as_str().as_bytes(),
                self.host.as_bytes(),
                target.as_bytes(),
                &self.body,
            ])
        })
    }
}
