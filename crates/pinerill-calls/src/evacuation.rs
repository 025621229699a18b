//! Zones whose workers get nothing new, by order of operators.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The evacuated zones, and when each was returned to service last. Of two states, the one
/// with the higher revision is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Grows with each change.
    revision: u64,
    evacuated: BTreeSet<String>,
    /// Revision of each zone's last return.
    returned: BTreeMap<String, u64>,
}

impl Evacuations {
    /// Grows with each change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Evacuates a zone; one that is evacuated already stays as it is.
    pub fn evacuate(&mut self, zone: &str) {
        if self.evacuated.insert(zone.to_owned()) {
            self.revision += 1;
        }
    }

    /// Returns a zone to service; one that is not evacuated stays as it is.
    pub fn return_zone(&mut self, zone: &str) {
        if self.evacuated.remove(zone) {
            self.revision += 1;
            self.returned.insert(zone.to_owned(), self.revision);
        }
    }

    /// Whether workers of a zone get nothing new.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Whether a zone was returned after a revision that the asker knew, if it knew any.
    pub fn was_returned_since(&self, known: Option<u64>, zone: &str) -> bool {
        let returned = self.returned.get(zone);
        returned.is_some_and(|revision| Some(*revision) > known)
    }
}
