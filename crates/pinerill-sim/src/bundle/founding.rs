//! The founding bundle and the proposals of operators.

use pinerill_control::meta::{Founding, GroupPlan, MetaCommand};
use pinerill_types::bundle::{
    signing_key_from_hex, Bundle, Entry, EntryKey, EntryKind, IndexedBundle, Operator,
    SignedChange, Tenant,
};
use pinerill_types::{Digest, OperatorName};

/// The short digest that histories use for the founding bundle.
pub const FOUNDING_DIGEST: u64 = 0;
/// Distinct operators who sign each bundle.
const SIGN_OFFS: u32 = 2;
/// Tenants whose limits operators change.
const TENANTS: u64 = 6;
/// Lease of the simulated nodes, milliseconds.
pub(super) const LEASE_MS: u64 = 2_500;
/// Identity of the simulated cluster.
const CLUSTER_ID: u64 = 7;
/// Operators of the founding bundle.
const OPERATORS: [&str; 3] = ["anna", "bela", "cora"];

fn secret_key(operator: &str) -> String {
    hex::encode([operator.as_bytes()[0]; 32])
}

fn operator(name: &str) -> (OperatorName, Operator) {
    let key = signing_key_from_hex(&secret_key(name)).expect("64 hexadecimal digits");
    let public_key = hex::encode(key.verifying_key().to_bytes());
    (name.into(), Operator { public_key })
}

/// The founding bundle of every run.
pub fn founding_bundle() -> Bundle {
    let mut bundle = Bundle::default();
    bundle.policy.sign_offs = SIGN_OFFS;
    bundle.policy.configuration_lease_ms = LEASE_MS;
    bundle.operators = OPERATORS.iter().map(|name| operator(name)).collect();
    bundle
}

/// The command that founds the cluster.
pub(super) fn founding_command() -> MetaCommand {
    MetaCommand::Found(Box::new(Founding {
        cluster_id: CLUSTER_ID,
        bundle_json: Founding::encode_bundle(&founding_bundle()),
        machines: Vec::new(),
        groups: vec![GroupPlan::new(0, Vec::new())],
    }))
}

/// A proposal on `base` that no other number yields, with enough signatures
/// or with one too few.
pub fn signed_next(base: &IndexedBundle, number: u64, enough: bool) -> SignedChange {
    let tenant = Tenant {
        key_hashes: Vec::new(),
        services: Default::default(),
        requests_per_second: 100.0,
        burst: 1 + number as u32,
        concurrent_requests: 1,
        open_batch_items: 1,
    };
    let entry = Entry {
        key: EntryKey {
            kind: EntryKind::Tenant,
            name: format!("tenant-{}", number % TENANTS),
        },
        value: serde_json::to_string(&tenant).expect("plain data"),
    };
    let mut next = base.clone();
    let change = next.compose(vec![entry]).expect("a tenant's entry");
    let mut signed = SignedChange {
        change,
        sign_offs: Vec::new(),
    };
    let signers = if enough { SIGN_OFFS } else { SIGN_OFFS - 1 };
    for name in OPERATORS.iter().take(signers as usize) {
        let key = signing_key_from_hex(&secret_key(name)).expect("64 hexadecimal digits");
        signed.sign(OperatorName::from(*name), &key);
    }
    signed
}

/// A digest as histories hold it.
pub(super) fn short_digest(digest: Digest) -> u64 {
    if digest == founding_digest() {
        return FOUNDING_DIGEST;
    }
    let mut first = [0; 8];
    first.copy_from_slice(&digest.0[..8]);
    u64::from_be_bytes(first).max(1)
}

fn founding_digest() -> Digest {
    use std::sync::OnceLock;
    static DIGEST: OnceLock<Digest> = OnceLock::new();
    *DIGEST.get_or_init(|| founding_bundle().digest())
}
