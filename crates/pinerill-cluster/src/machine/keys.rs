//! Keys of the state table.

/// First byte of keys of items' calls.
const CALLS: u8 = b'c';
/// First byte of keys of results' texts.
const TEXTS: u8 = b't';

/// Key of an item's call.
pub fn call_key(job: u64, index: u32) -> Vec<u8> {
    key(CALLS, job, index)
}

/// Key of the text at a position of a job's results.
pub fn text_key(job: u64, position: u32) -> Vec<u8> {
    key(TEXTS, job, position)
}

fn key(kind: u8, job: u64, place: u32) -> Vec<u8> {
    let mut key = vec![kind];
    key.extend_from_slice(&job.to_be_bytes());
    key.extend_from_slice(&place.to_be_bytes());
    key
}
