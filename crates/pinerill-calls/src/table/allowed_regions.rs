//! Regions in which requests may be served and stored.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Regions in which requests may be served and stored; all, if none is named.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions(Option<BTreeSet<String>>);

/// No region is excluded.
pub static ALL_REGIONS: AllowedRegions = AllowedRegions(None);

impl AllowedRegions {
    /// These regions alone. A list that names none restricts nothing.
    pub fn from_list(regions: impl IntoIterator<Item = String>) -> Self {
        let regions: BTreeSet<String> = regions.into_iter().collect();
        AllowedRegions((!regions.is_empty()).then_some(regions))
    }

    /// Whether any region is excluded.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Whether a region is among them. One that is not known is none of a restricted list.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// The regions that both allow, which may be none at all.
    pub fn intersect(&self, other: &AllowedRegions) -> AllowedRegions {
        match (&self.0, &other.0) {
            (Some(own), Some(others)) => AllowedRegions(Some(own & others)),
            (Some(regions), None) | (None, Some(regions)) => AllowedRegions(Some(regions.clone())),
            (None, None) => AllowedRegions(None),
        }
    }
}
