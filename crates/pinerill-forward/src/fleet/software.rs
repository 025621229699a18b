//! Software versions of workers, and what a stream requires of the worker that continues it.
//!
//! Workers of several versions may serve one service side by side, and what two versions write does
//! not fit together. Invariant: a stream continues only at the incarnation that began it or at a
//! worker that is known to run the same version. A worker of unknown version is the same as no
//! other worker.

use pinerill_calls::directory::WorkerEntry;
use pinerill_calls::version_history::{PeriodVersions, ServiceVersions};
use serde::{Deserialize, Serialize};

use super::Fleet;
use crate::crash::{RequestFingerprint, WorkerIncarnation};

/// Period in milliseconds for which a node wants to know the versions of all services.
const NEEDED_HISTORY_MS: u64 = 60_000;

/// Identifies a service by a hash of its name that is the same at all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey(u64);

impl ServiceKey {
    /// Returns the key of the service with this name.
    pub fn of(service: &str) -> Self {
        ServiceKey(RequestFingerprint::of_parts(&[service.as_bytes()]).short())
    }
}

/// Identifies a software version of a service by a hash that is the same at all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(u64);

impl SoftwareVersion {
    /// Returns the version of a service's software with this text.
    pub fn new(service: &str, version: &str) -> Self {
        let parts = [service.as_bytes(), version.as_bytes()];
        SoftwareVersion(RequestFingerprint::of_parts(&parts).short())
    }

    /// Returns the version that a directory entry states; `None` if it states none.
    pub fn of(entry: &WorkerEntry) -> Option<Self> {
        let version = entry.version.as_deref()?;
        Some(SoftwareVersion::new(&entry.service, version))
    }
}

/// The software of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerSoftware {
    incarnation: WorkerIncarnation,
    version: Option<SoftwareVersion>,
}

impl WorkerSoftware {
    /// Returns the software of the worker that a directory entry describes.
    pub fn of(entry: &WorkerEntry) -> Self {
        WorkerSoftware {
            incarnation: WorkerIncarnation::of(entry),
            version: SoftwareVersion::of(entry),
        }
    }
}

/// The worker that sent the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the worker.
    pub service: ServiceKey,
    /// Incarnation of the worker.
    pub worker: WorkerIncarnation,
    /// Version of the worker's software; `None` if the node that served the stream did not know it.
    pub version: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// Returns the origin of a stream that this worker began.
    pub fn of(entry: &WorkerEntry) -> Self {
        StreamOrigin {
            service: ServiceKey::of(&entry.service),
            worker: WorkerIncarnation::of(entry),
            version: SoftwareVersion::of(entry),
        }
    }

    /// Returns whether what both workers write fits together.
    pub fn is_compatible(&self, other: &StreamOrigin) -> bool {
        let same_version = self.version.is_some() && self.version == other.version;
        self.worker == other.worker || same_version
    }
}

/// What a request requires of the software of its worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum RequiredSoftware {
    /// Any version may process the request.
    #[default]
    Any,
    /// The worker must run this version.
    Version(SoftwareVersion),
    /// The worker must be the origin of the stream or run the same version.
    SameAs(StreamOrigin),
}

impl RequiredSoftware {
    /// Returns whether a worker with this software may process the request.
    pub fn allows(&self, software: &WorkerSoftware) -> bool {
        match self {
            RequiredSoftware::Any => true,
            RequiredSoftware::Version(version) => software.version == Some(*version),
            RequiredSoftware::SameAs(origin) => {
                let same_version = origin.version.is_some() && origin.version == software.version;
                origin.worker == software.incarnation || same_version
            }
        }
    }

    /// Returns whether the request may not go to any worker of its service.
    pub fn is_bound(&self) -> bool {
        *self != RequiredSoftware::Any
    }
}

/// The versions of a service that were listed within a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedVersions {
    /// Unknown for a part of the period or for some worker.
    Unknown,
    /// All workers had this version.
    Single(SoftwareVersion),
    /// Workers had different versions.
    Several,
}

impl Fleet {
    /// Records the versions of the listed workers in the history.
    pub(super) fn record_versions(&mut self, now_ms: u64) {
        let listed = self.workers.values().map(|worker| &**worker.entry());
        self.versions.record(now_ms as i64, listed);
    }

    /// Records that routes have moved to these services.
    pub fn record_moves<'service>(
        &mut self,
        now_ms: u64,
        services: impl IntoIterator<Item = &'service str>,
    ) {
        for service in services {
            self.versions.record_move(now_ms as i64, service);
        }
    }

    /// Adds the history of the leader, as it was at `at_ms`.
    pub fn import_versions(&mut self, at_ms: u64, versions: &[ServiceVersions]) {
        self.versions.import(at_ms as i64, versions);
    }

    /// Returns whether the leader may know more about the versions of the last minute.
    pub fn lacks_version_history(&self, now_ms: u64) -> bool {
        self.versions
            .is_shorter_than(now_ms as i64, NEEDED_HISTORY_MS)
    }

    /// Returns the versions of a service that were listed in the last `period_ms` milliseconds, or
    /// `Unknown` if the directory is older than the time after which a leaving worker gets no
    /// new requests.
    pub fn listed_versions(
        &self,
        now_ms: u64,
        service: ServiceKey,
        period_ms: u64,
    ) -> ListedVersions {
        let oldest_ms = now_ms as i64 - self.settings.leave_notice_ms as i64;
        let mut names = self.versions.services();
        let Some(name) = names.find(|name| ServiceKey::of(name) == service) else {
            return ListedVersions::Unknown;
        };
        let listed = match self.versions.within(now_ms as i64, name, period_ms) {
            PeriodVersions::Unknown => ListedVersions::Unknown,
            PeriodVersions::Single(version) => {
                ListedVersions::Single(SoftwareVersion::new(name, &version))
            }
            PeriodVersions::Several => ListedVersions::Several,
        };
        let is_current = self.listed_ms.is_some_and(|at_ms| at_ms >= oldest_ms);
        match is_current || listed == ListedVersions::Several {
            true => listed,
            false => ListedVersions::Unknown,
        }
    }

    /// Returns whether a service has workers, but none whose software a request may go to.
    pub fn lacks_software(&self, service: &str, required: RequiredSoftware) -> bool {
        let mut others = 0;
        for worker in self.candidates(service) {
            if required.allows(&worker.software()) {
                return false;
            }
            others += 1;
        }
        others > 0
    }
}
