//! Fingerprints that are equal for all attempts of the same request.
//!
//! A caller gives each attempt a new identifier, so identifiers can't be compared. Attempts with
//! the same tenant or credentials, method, host, path, query and body are the same request: a
//! worker that fails on one will fail on the other.

use std::fmt;
use std::str::FromStr;
use std::sync::OnceLock;

use bytes::Bytes;
use http::{HeaderValue, Method, Uri};
use pinerill_calls::protocol::PromptPart;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::part_key::{shared_parts, PartKey};

/// Length of a fingerprint in bytes. With 128 bits of SHA-256, nobody finds a request with the
/// fingerprint of a given other one, by chance or on purpose, so no secret seed is needed.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies a request by a truncated SHA-256 hash that is equal at all nodes and for all
/// attempts. Its text form is lower-case hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub(super) [u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Returns the fingerprint of a sequence of parts. Each part is hashed with its length, so that
    /// the boundaries between parts matter.
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

    /// Returns the first 64 bits as a number.
    pub fn short(&self) -> u64 {
        let mut short = [0; 8];
        short.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(short)
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

/// Sender of a request, as far as it is known. It is part of the fingerprint, since otherwise one
/// caller could cause the request of another to be refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requester {
    /// Name of a tenant, which may use any of its keys.
    Tenant(String),
    /// Value of the credentials header, when no tenant is known.
    Credentials(HeaderValue),
    /// Neither a tenant nor credentials are known.
    Unknown,
}

impl Requester {
    /// Returns the tenant if it is known, otherwise the credentials if there are any.
    pub fn new(tenant: Option<&str>, credentials: Option<&HeaderValue>) -> Self {
        match (tenant, credentials) {
            (Some(tenant), _) => Requester::Tenant(tenant.to_owned()),
            (None, Some(credentials)) => Requester::Credentials(credentials.clone()),
            (None, None) => Requester::Unknown,
        }
    }

    pub(crate) fn parts(&self) -> (&[u8], &[u8]) {
        match self {
            Requester::Tenant(name) => (b"tenant", name.as_bytes()),
            Requester::Credentials(value) => (b"credentials", value.as_bytes()),
            Requester::Unknown => (b"", b""),
        }
    }
}

/// Parts of a request that are the same for all its attempts. The fingerprint is computed on first
/// use; while no worker crashes, that is only for runs that end early.
#[derive(Debug)]
pub struct RequestIdentity {
    /// Sender of the request.
    pub requester: Requester,
    /// HTTP method.
    pub method: Method,
    /// Host that the request was sent to.
    pub host: String,
    /// Target; only its path and query are part of the fingerprint.
    pub uri: Uri,
    /// Complete request body.
    pub body: Bytes,
    /// Service that runs the request; empty if its prompt is not known.
    service: String,
    /// Identifiers of the parts of its prompt that other requests may share.
    shared_parts: Vec<u64>,
    fingerprint: OnceLock<RequestFingerprint>,
    part_keys: OnceLock<Vec<PartKey>>,
}

impl RequestIdentity {
    /// Creates an identity without computing its fingerprint.
    pub fn new(requester: Requester, method: Method, host: String, uri: Uri, body: Bytes) -> Self {
        RequestIdentity {
            requester,
            method,
            host,
            uri,
            body,
            service: String::new(),
            shared_parts: Vec::new(),
            fingerprint: OnceLock::new(),
            part_keys: OnceLock::new(),
        }
    }

    /// Adds the prompt with which the request runs at a service.
    pub fn with_prompt(mut self, service: &str, prompt: &[PromptPart]) -> Self {
        service.clone_into(&mut self.service);
        self.shared_parts = shared_parts(prompt);
        self
    }

    /// Returns the keys of the parts of the prompt that other requests may share. The first call
    /// computes and caches them.
    pub fn part_keys(&self) -> &[PartKey] {
        self.part_keys.get_or_init(|| {
            let key = |part: &u64| PartKey::new(&self.requester, &self.service, *part);
            self.shared_parts.iter().map(key).collect()
        })
    }

    /// Returns the fingerprint, which the first call computes and caches.
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
