//! Pauses of the process.
//!
//! A paused replica handles no messages, so a pause is no evidence that other replicas are
//! silent. The deadlines after which this replica regards them as failed are postponed by its
//! length. The other replicas may regard this one as failed meanwhile, so the leader's check of
//! its quorum ([`Leading`]) and the refusal of votes (`hears_leader`) count the pause.
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
