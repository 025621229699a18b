//! Ledger of the workers that began streams. Pure: callers pass in the time.
//!
//! A record lives as long as a caller can continue its stream. Callers choose the identifiers of
//! their attempts, so the key of a record includes the caller: nobody finds or overwrites the
//! record of another one's stream. If a caller uses an identifier for two streams whose origins
//! don't fit together, the record says so, and neither is continued.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::crash::{RequestFingerprint, Requester};
use crate::fleet::StreamOrigin;

/// Limit on the records, some 200 bytes each. Beyond it, the record that expires first is removed.
pub const MAX_RECORDS: usize = 32_768;
/// Number of route timeouts for which a stream may be continued: callers try a few times, and each
/// attempt takes up to one timeout.
const LIFE_TIMEOUTS: u64 = 4;

/// Returns the longest time in milliseconds from the first event of a stream to its last
/// resumption, on a route with this timeout in milliseconds.
pub fn longest_stream_life_ms(route_timeout_ms: u64) -> u64 {
    route_timeout_ms.saturating_mul(LIFE_TIMEOUTS)
}

/// Identifies a stream by its caller and the attempt that brought its first event, with a hash that
/// is the same at all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(RequestFingerprint);

impl StreamKey {
    /// Returns the key of the stream that began with a caller's attempt.
    pub fn new(requester: &Requester, attempt: &str) -> Self {
        let (kind, requester) = requester.parts();
        let parts = [b"stream", kind, requester, attempt.as_bytes()];
        StreamKey(RequestFingerprint::of_parts(&parts))
    }

    /// Returns a part of the key as a number.
    pub fn short(&self) -> u64 {
        self.0.short()
    }
}

/// The origin of a stream, as it is sent between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamKey,
    /// The worker that began it.
    pub origin: StreamOrigin,
    /// Time in milliseconds for which the record is needed.
    pub life_ms: u64,
}

/// What is known of the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// There is no record.
    Unknown,
    /// This worker began the stream.
    Worker(StreamOrigin),
    /// There are records of several workers whose software differs or is unknown.
    Contradictory,
}

impl KnownOrigin {
    /// Returns what is known from both sources together.
    pub fn merged_with(self, other: KnownOrigin) -> KnownOrigin {
        match (self, other) {
            (KnownOrigin::Unknown, known) | (known, KnownOrigin::Unknown) => known,
            (KnownOrigin::Worker(one), KnownOrigin::Worker(two)) if one.is_compatible(&two) => {
                KnownOrigin::Worker(match one.version {
                    Some(_) => one,
                    None => two,
                })
            }
            _ => KnownOrigin::Contradictory,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    known: KnownOrigin,
    until_ms: u64,
}

/// Origins of the streams that may still be continued.
#[derive(Debug, Default)]
pub struct OriginLedger {
    streams: HashMap<StreamKey, Entry>,
    by_end: BTreeSet<(u64, StreamKey)>,
}

impl OriginLedger {
    /// Returns the number of streams in the ledger.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Adds a record of this or another node.
    pub fn record(&mut self, now_ms: u64, record: &OriginRecord) {
        let until_ms = now_ms.saturating_add(record.life_ms);
        let known = KnownOrigin::Worker(record.origin);
        let mut entry = Entry { known, until_ms };
        if let Some(earlier) = self.streams.get(&record.stream) {
            self.by_end.remove(&(earlier.until_ms, record.stream));
            entry.known = earlier.known.merged_with(known);
            entry.until_ms = entry.until_ms.max(earlier.until_ms);
        } else {
            self.evict_if_full();
        }
        self.by_end.insert((entry.until_ms, record.stream));
        self.streams.insert(record.stream, entry);
    }

    /// Returns what is known of the origin of a stream.
    pub fn find(&self, now_ms: u64, stream: StreamKey) -> KnownOrigin {
        let entry = self.streams.get(&stream);
        let entry = entry.filter(|entry| now_ms < entry.until_ms);
        entry.map_or(KnownOrigin::Unknown, |entry| entry.known)
    }

    /// Removes records that are no longer needed.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while let Some((until_ms, stream)) = self.by_end.first().copied() {
            if now_ms < until_ms {
                return;
            }
            self.by_end.pop_first();
            self.streams.remove(&stream);
        }
    }

    fn evict_if_full(&mut self) {
        if self.streams.len() < MAX_RECORDS {
            return;
        }
        if let Some((_, stream)) = self.by_end.pop_first() {
            self.streams.remove(&stream);
        }
    }
}
