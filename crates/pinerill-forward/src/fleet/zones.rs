//! Evacuated zones, as the leader tells them.

use pinerill_calls::evacuation::Evacuations;

use super::Fleet;

impl Fleet {
    /// Takes in which zones are evacuated, unless something newer is known. Workers of a zone
    /// that was returned to service since may have become cold meanwhile, which the platform
    /// list shows later: they count as cold for as long as after a start.
    pub fn apply_evacuations(&mut self, now_ms: u64, evacuations: Evacuations) -> bool {
        let known = self.evacuations.as_ref().map(Evacuations::revision);
        if known >= Some(evacuations.revision()) {
            return false;
        }
        for worker in self.workers.values_mut() {
            let entry = worker.entry();
            let slow_start = self.slow_starts.get(&entry.service);
            let cold_ms = slow_start.map(|slow_start| slow_start.duration_ms);
            if let Some(cold_ms) =
                cold_ms.filter(|_| evacuations.was_returned_since(known, &entry.zone))
            {
                worker.extend_cold_period(now_ms, cold_ms);
            }
        }
        self.evacuations = Some(evacuations);
        true
    }

    /// Revision of the evacuations that are known; none before the leader told.
    pub fn evacuations_revision(&self) -> Option<u64> {
        self.evacuations.as_ref().map(Evacuations::revision)
    }

    /// Whether workers of a zone get nothing new.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let evacuations = self.evacuations.as_ref();
        evacuations.is_some_and(|evacuations| evacuations.is_evacuated(zone))
    }
}
