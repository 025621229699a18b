//! Keys of the state table: a prefix byte, the job's number and an index, both in big-endian
//! order.

/// Prefix of the keys under which the calls of items are stored.
const CALL_PREFIX: u8 = b'c';
/// Prefix of the keys under which the texts of results are stored.
const TEXT_PREFIX: u8 = b't';

/// Returns the key of the call of the item at `index` in the job.
pub fn call_key(job: u64, index: u32) -> Vec<u8> {
    key(CALL_PREFIX, job, index)
}

/// Returns the key of the text at `position` in the job's results.
pub fn text_key(job: u64, position: u32) -> Vec<u8> {
    key(TEXT_PREFIX, job, position)
}

fn key(prefix: u8, job: u64, index: u32) -> Vec<u8> {
    let mut key = vec![prefix];
    key.extend_from_slice(&job.to_be_bytes());
    key.extend_from_slice(&index.to_be_bytes());
    key
}
