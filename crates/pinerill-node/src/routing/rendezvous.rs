//! Rendezvous hashing: every node computes the same owner from the same names.

use pinerill_types::{NodeName, WorkerName, ZoneName};
use pinerill_wire::message::WorkerRecord;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_FIRST: u64 = 0xff51_afd7_ed55_8ccd;
const MIX_SECOND: u64 = 0xc4ce_b9fe_1a85_ec53;

/// The weight of a pair of names; the highest one owns.
pub fn rendezvous_weight(left: &str, right: &str) -> u64 {
    let separated = left.bytes().chain([0]).chain(right.bytes());
    let hash = separated.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(MIX_FIRST);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(MIX_SECOND);
    hash ^ (hash >> 33)
}

/// The node that drives a worker's batch.
pub fn rendezvous_owner<'a>(
    worker: &WorkerName,
    nodes: impl Iterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    nodes.max_by_key(|node| (rendezvous_weight(worker.as_str(), node.as_str()), *node))
}

/// The workers that a node keeps connections and reports of: those of the
/// nearest zones first, within a zone by rendezvous, so that the nodes of a
/// zone spread over its workers.
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
