//! Applies the zone evacuations that the leader publishes to the fleet.

use pinerill_calls::evacuation::Evacuations;

use super::Fleet;

impl Fleet {
    /// Applies the set of evacuated zones and returns true, or returns false if the same or a newer
    /// revision is already known. Workers of a zone that has been returned to service since the
    /// known revision may have become cold in the meantime, which the platform list shows only
    /// later. They are treated as cold for as long as after a start.
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

    /// Returns the revision of the known evacuations, or `None` before the leader has sent any.
    pub fn evacuations_revision(&self) -> Option<u64> {
        self.evacuations.as_ref().map(Evacuations::revision)
    }

    /// Returns whether the workers of a zone receive no new requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let evacuations = self.evacuations.as_ref();
        evacuations.is_some_and(|evacuations| evacuations.is_evacuated(zone))
    }
}
