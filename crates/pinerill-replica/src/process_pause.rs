//! Pauses of the process.
//!
//! A replica that was paused heard nobody, whoever spoke. A pause is no evidence that others are
//! silent, and nothing could be done here meanwhile: deadlines by which this replica gives others
//! up are postponed by it. Whether others may have given up this replica is another question,
//! and there the time counts: see [`Leading`] and `hears_leader`.
//!
//! [`Leading`]: crate::leader::Leading

use crate::Replica;

impl Replica {
    pub(crate) fn process_paused(&mut self, ms: u64) {
        self.election.postpone(ms);
        self.undecided.postpone(ms);
        self.forwarded_reads.postpone(ms);
        let (now_ms, longest_silence_ms) = (self.now_ms, self.config.election_max_ms);
        if let Some(leading) = &mut self.leading {
            leading.postpone(ms, now_ms, longest_silence_ms);
        }
    }
}
