//! Rendezvous hashing of workers to nodes. All nodes that know the same names compute the same
//! owner without communicating.

use pinerill_types::{NodeName, WorkerName, ZoneName};
use pinerill_wire::message::WorkerRecord;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MURMUR3_MULTIPLIER_1: u64 = 0xff51_afd7_ed55_8ccd;
const MURMUR3_MULTIPLIER_2: u64 = 0xc4ce_b9fe_1a85_ec53;

/// Returns the rendezvous weight of a pair of names: their FNV-1a hash, finalized so that each
/// bit of the hash affects the whole weight. The pair with the highest weight wins.
pub fn rendezvous_weight(left: &str, right: &str) -> u64 {
    let separated = left.bytes().chain([0]).chain(right.bytes());
    let hash = separated.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    murmur3_finalize(hash)
}

/// Applies the 64-bit finalizer of MurmurHash3.
fn murmur3_finalize(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(MURMUR3_MULTIPLIER_1);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(MURMUR3_MULTIPLIER_2);
    hash ^ (hash >> 33)
}

/// Returns the node that schedules a worker's batch work, or None if `nodes` is empty. If the
/// weights are equal, the greater node name wins.
pub fn rendezvous_owner<'a>(
    worker: &WorkerName,
    nodes: impl Iterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    nodes.max_by_key(|node| (rendezvous_weight(worker.as_str(), node.as_str()), *node))
}

/// Selects at most `limit` workers that a node connects to and collects load reports from.
/// Returns each with the index of its zone in `zones`; workers of other zones are left out.
///
/// Workers of nearer zones come first. Within a zone they are ordered by rendezvous weight, so
/// that the nodes of a zone distribute their connections over its workers.
pub fn select_workers<'a>(
    node: &NodeName,
    zones: &[ZoneName],
    limit: usize,
    workers: impl Iterator<Item = &'a WorkerRecord>,
) -> Vec<(usize, &'a WorkerRecord)> {
    let mut ranked: Vec<(usize, &WorkerRecord)> = workers
        .filter_map(|worker| {
            let rank = zones.iter().position(|zone| *zone == worker.zone)?;
            Some((rank, worker))
        })
        .collect();
    ranked.sort_by_cached_key(|(rank, worker)| {
        let weight = rendezvous_weight(worker.name.as_str(), node.as_str());
        (*rank, std::cmp::Reverse(weight), worker.name.clone())
    });
    ranked.truncate(limit);
    ranked
}
