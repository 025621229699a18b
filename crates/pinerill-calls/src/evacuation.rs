//! The set of zones that operators have evacuated.
//!
//! Workers of an evacuated zone receive no new requests. The leader changes the set on operators'
//! orders and sends it to the nodes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The evacuated zones and the revision at which each zone was last returned to service. Of two
/// states, the one with the higher revision is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Number of changes so far.
    revision: u64,
    evacuated: BTreeSet<String>,
    /// Revision of the last return to service, by zone.
    returned: BTreeMap<String, u64>,
}

impl Evacuations {
    /// Returns the revision, which increases by 1 with each change and is 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Marks a zone as evacuated. Does nothing if it already is.
    pub fn evacuate(&mut self, zone: &str) {
        if self.evacuated.insert(zone.to_owned()) {
            self.revision += 1;
        }
    }

    /// Returns a zone to service. Does nothing if it is not evacuated.
    pub fn return_zone(&mut self, zone: &str) {
        if self.evacuated.remove(zone) {
            self.revision += 1;
            self.returned.insert(zone.to_owned(), self.revision);
        }
    }

    /// Whether workers of a zone receive no new requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns the names of the evacuated zones in alphabetical order.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Whether a zone was returned to service after revision `known`, or ever if `known` is
    /// `None`.
    pub fn was_returned_since(&self, known: Option<u64>, zone: &str) -> bool {
        let returned = self.returned.get(zone);
        returned.is_some_and(|revision| Some(*revision) > known)
    }
}
