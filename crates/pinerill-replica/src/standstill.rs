//! Time in which the process had no turn.
//!
//! A replica that stood still heard nobody, whoever spoke. Such time is no evidence that
//! others are silent, and nobody could act on it here: deadlines by which this replica gives
//! others up are put off by it. Whether others may have given up this replica is another
//! question, and there the time counts: see [`Leading`] and `hears_leader`.
//!
//! [`Leading`]: crate::leader::Leading

use crate::Replica;

impl Replica {
    pub(crate) fn stood_still(&mut self, ms: u64) {
        self.election.put_off(ms);
        self.undecided.put_off(ms);
        self.forwarded_reads.put_off(ms);
        let (now_ms, longest_silence_ms) = (self.now_ms, self.config.election_max_ms);
        if let Some(leading) = &mut self.leading {
            leading.put_off(ms, now_ms, longest_silence_ms);
        }
    }
}
