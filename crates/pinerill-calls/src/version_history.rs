//! The software versions of each service that the platform's list has shown in the last minutes.
//! Pure: callers pass in the time.
//!
//! Leaders and nodes keep a history each. A node that has just started reads the leader's, since it
//! can't have seen the versions that were listed before.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::directory::WorkerEntry;

/// Time in milliseconds after which a version that is no longer listed is forgotten. It exceeds the
/// life of most streams that callers continue.
const RETENTION_MS: i64 = 600_000;
/// Longest time in milliseconds between two readings of the list after which the versions in
/// between count as known. A worker that starts and ends between two readings is hardly ever used.
const MAX_READING_GAP_MS: i64 = 5_000;

/// A software version; `None` if the list's source did not state it.
type Version = Option<String>;

/// The versions of one service, as they are sent to nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// Name of the service.
    pub service: String,
    /// Length in milliseconds of the period up to now for which the versions are known.
    pub known_for_ms: u64,
    /// All versions of that period and some of before.
    pub versions: Vec<VersionAge>,
}

/// When a version was last listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAge {
    /// The version; `None` if it is not known.
    pub version: Version,
    /// Time in milliseconds since it was last listed; 0 if it still is.
    pub unlisted_for_ms: u64,
}

/// The versions of a service that were listed within a period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeriodVersions {
    /// Unknown for a part of the period or for some worker.
    Unknown,
    /// All workers had this version.
    Single(String),
    /// Workers had different versions.
    Several,
}

#[derive(Debug)]
struct ServiceHistory {
    /// Start of the period for which the versions are known.
    known_since_ms: i64,
    /// Time before which the service's streams may have begun at another service.
    moved_ms: Option<i64>,
    listed: BTreeSet<Version>,
    /// When each version that is no longer listed was last listed.
    last_listed_ms: BTreeMap<Version, i64>,
}

impl ServiceHistory {
    /// Forgets versions that have not been listed for long, and with them the time before.
    fn forget_old(&mut self, now_ms: i64) {
        let known_since_ms = &mut self.known_since_ms;
        self.last_listed_ms.retain(|_, at_ms| {
            let is_kept = now_ms < *at_ms + RETENTION_MS;
            if !is_kept {
                *known_since_ms = (*known_since_ms).max(*at_ms);
            }
            is_kept
        });
    }

    /// Returns the start of the period for which the versions of the service's streams are known.
    fn streams_known_since_ms(&self) -> i64 {
        let moved_ms = self.moved_ms.unwrap_or(self.known_since_ms);
        moved_ms.max(self.known_since_ms)
    }
}

/// The versions of each service. Times are in milliseconds on the clock of the process; they are
/// negative before its start.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<String, ServiceHistory>,
    /// Time as of which the listed versions are known to be so.
    confirmed_ms: Option<i64>,
}

impl VersionHistory {
    /// Records the workers that are listed from now on. Those listed before were so until now.
    pub fn record<'entry>(
        &mut self,
        now_ms: i64,
        listed: impl IntoIterator<Item = &'entry WorkerEntry>,
    ) {
        for history in self.services.values_mut() {
            let until_now = std::mem::take(&mut history.listed);
            let until_now = until_now.into_iter().map(|version| (version, now_ms));
            history.last_listed_ms.extend(until_now);
            history.forget_old(now_ms);
        }
        for entry in listed {
            let history = self.history_of(now_ms, &entry.service);
            if !history.listed.contains(&entry.version) {
                history.last_listed_ms.remove(&entry.version);
                history.listed.insert(entry.version.clone());
            }
        }
        self.services
            .retain(|_, one| !one.listed.is_empty() || !one.last_listed_ms.is_empty());
    }

    /// Records that the listed workers are still those of a reading at `at_ms`. After a long time
    /// without a reading, the versions in between count as unknown.
    pub fn confirm(&mut self, at_ms: i64) {
        let earlier_ms = self.confirmed_ms;
        if earlier_ms.is_some_and(|earlier_ms| at_ms > earlier_ms + MAX_READING_GAP_MS) {
            for history in self.services.values_mut() {
                history.known_since_ms = history.known_since_ms.max(at_ms);
            }
        }
        self.confirmed_ms = earlier_ms.max(Some(at_ms));
    }

    /// Records that a route has moved to this service: its streams may have begun at another one.
    pub fn record_move(&mut self, now_ms: i64, service: &str) {
        if let Some(history) = self.services.get_mut(service) {
            history.moved_ms = Some(now_ms);
        }
    }

    /// Returns the versions of a service that were listed in the last `period_ms` milliseconds.
    pub fn within(&self, now_ms: i64, service: &str, period_ms: u64) -> PeriodVersions {
        let Some(history) = self.services.get(service) else {
            return PeriodVersions::Unknown;
        };
        let begin_ms = now_ms.saturating_sub_unsigned(period_ms);
        let earlier = history.last_listed_ms.iter();
        let earlier = earlier.filter(|(_, at_ms)| **at_ms > begin_ms);
        let all: BTreeSet<&Version> = earlier
            .map(|(version, _)| version)
            .chain(&history.listed)
            .collect();
        let known: Vec<&String> = all.iter().filter_map(|version| version.as_ref()).collect();
        let is_complete = !all.contains(&None) && history.streams_known_since_ms() <= begin_ms;
        match known[..] {
            [version] if is_complete => PeriodVersions::Single(version.clone()),
            [] | [_] => PeriodVersions::Unknown,
            _ => PeriodVersions::Several,
        }
    }

    /// Returns the names of all services in the history.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns whether the versions of some service are known for less than `period_ms`
    /// milliseconds, or no service is known.
    pub fn is_shorter_than(&self, now_ms: i64, period_ms: u64) -> bool {
        let begin_ms = now_ms.saturating_sub_unsigned(period_ms);
        let mut histories = self.services.values();
        self.services.is_empty() || histories.any(|one| one.known_since_ms > begin_ms)
    }

    /// Returns the versions of all services, for other processes.
    pub fn export(&self, now_ms: i64) -> Vec<ServiceVersions> {
        let since = |at_ms: i64| now_ms.saturating_sub(at_ms).max(0) as u64;
        let services = self.services.iter();
        services
            .map(|(service, history)| {
                let listed = history.listed.iter().map(|version| (version, 0));
                let earlier = history.last_listed_ms.iter();
                let earlier = earlier.map(|(version, at_ms)| (version, since(*at_ms)));
                let ages = listed.chain(earlier).map(|(version, age_ms)| VersionAge {
                    version: version.clone(),
                    unlisted_for_ms: age_ms,
                });
                ServiceVersions {
                    service: service.clone(),
                    known_for_ms: since(history.streams_known_since_ms()),
                    versions: ages.collect(),
                }
            })
            .collect()
    }

    /// Adds what another process knew at `at_ms`.
    pub fn import(&mut self, at_ms: i64, services: &[ServiceVersions]) {
        for known in services {
            let history = self.history_of(at_ms, &known.service);
            let since_ms = at_ms.saturating_sub_unsigned(known.known_for_ms);
            history.known_since_ms = history.known_since_ms.min(since_ms);
            for age in &known.versions {
                if history.listed.contains(&age.version) {
                    continue;
                }
                let last_ms = at_ms.saturating_sub_unsigned(age.unlisted_for_ms);
                let version = history.last_listed_ms.entry(age.version.clone());
                let version = version.or_insert(last_ms);
                *version = last_ms.max(*version);
            }
        }
    }

    fn history_of(&mut self, now_ms: i64, service: &str) -> &mut ServiceHistory {
        let history = self.services.entry(service.to_owned());
        history.or_insert_with(|| ServiceHistory {
            known_since_ms: now_ms,
            moved_ms: None,
            listed: BTreeSet::new(),
            last_listed_ms: BTreeMap::new(),
        })
    }
}
