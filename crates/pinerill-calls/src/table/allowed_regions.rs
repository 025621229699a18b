//! The set of regions in which requests may be served and stored.
//!
//! Operators restrict routes and tenants to regions. Nodes choose workers, and control machines
//! hand out items of jobs, within these sets.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Regions in which requests may be served and stored. `None` allows every region; an empty set
/// allows no region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions(Option<BTreeSet<String>>);

/// Allows every region, known or unknown.
pub static ALL_REGIONS: AllowedRegions = AllowedRegions(None);

impl AllowedRegions {
    /// Allows only the listed regions. An empty list allows every region.
    pub fn from_list(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: BTreeSet<String> = regions.into_iter().collect();
        AllowedRegions((!regions.is_empty()).then_some(regions))
    }

    /// Returns whether any region is excluded.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether a region is allowed. `None` stands for an unknown region, which is allowed
    /// only if the regions are not restricted.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Returns the regions that both sets allow. If both are restricted and share no region, the
    /// result allows no region.
    pub fn intersect(&self, other: &AllowedRegions) -> AllowedRegions {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => AllowedRegions(Some(own & others)),
            (Some(regions), None) | (None, Some(regions)) => AllowedRegions(Some(regions.clone())),
            (None, None) => AllowedRegions(None),
        }
    }
}
