//! Prints what a change of one tenant costs in the meta group's state
//! machine at 29,000 tenants.

use std::time::{Duration, Instant};

use pinerill_control::machine::{StateMachine, TableWriter};
use pinerill_control::meta::{Founding, MetaCommand, MetaMachine, MetaReply, ProposalOutcome};
use pinerill_types::bundle::{
    signing_key_from_hex, Bundle, IndexedBundle, Operator, SignedChange, Tenant,
};
use pinerill_types::TenantName;

const TENANTS: u32 = 29_000;
const CHANGES: u32 = 200;

struct NoTable;

impl TableWriter for NoTable {
    fn put(&mut self, _key: &[u8], _value: &[u8]) {}
    fn delete(&mut self, _key: &[u8]) {}
}

fn main() {
    let secret = "11".repeat(32);
    let key = signing_key_from_hex(&secret).expect("a valid key");
    let mut bundle = bundle_of_many_tenants(hex::encode(key.verifying_key().to_bytes()));
    let mut machine = MetaMachine::new();
    let founding = Founding {
        cluster_id: 1,
        bundle_json: Founding::encode_bundle(&bundle),
        machines: Vec::new(),
        groups: Vec::new(),
    };
    machine.apply_command(MetaCommand::Found(Box::new(founding)), &mut NoTable);

    let mut times: Vec<Duration> = Vec::new();
    for number in 0..CHANGES {
        let mut next = bundle.clone();
        next.version += 1;
        let name = TenantName(format!("tenant-{:05}", number * 97 % TENANTS));
        next.tenants
            .entry(name)
            .and_modify(|tenant| tenant.burst += 1);
        let mut signed = SignedChange {
            change: next.change_from(&bundle),
            sign_offs: Vec::new(),
        };
        signed.sign("anna".into(), &key);
        let command = MetaCommand::ProposeBundle(Box::new(signed));
        let start = Instant::now();
        let reply = machine.apply_command(command, &mut NoTable);
        times.push(start.elapsed());
        let accepted = matches!(reply, MetaReply::Bundle(ProposalOutcome::Accepted { .. }));
        assert!(accepted, "{reply:?}");
        bundle = next;
    }
    times.sort();
    let microseconds = |time: Duration| time.as_secs_f64() * 1e6;
    println!(
        "apply a change of one of {TENANTS} tenants: p50 {:.0} us, p99 {:.0} us",
        microseconds(times[times.len() / 2]),
        microseconds(times[times.len() * 99 / 100]),
    );
    let start = Instant::now();
    let snapshot = machine.snapshot();
    println!(
        "snapshot: {} bytes, {:.1} ms",
        snapshot.len(),
        microseconds(start.elapsed()) / 1e3
    );
    let start = Instant::now();
    let indexed = IndexedBundle::new(bundle);
    println!(
        "hash tree anew: {:.1} ms, {}",
        microseconds(start.elapsed()) / 1e3,
        indexed.digest()
    );
}

fn bundle_of_many_tenants(public_key: String) -> Bundle {
    let mut bundle = Bundle::default();
    bundle
        .operators
        .insert("anna".into(), Operator { public_key });
    let json = format!(r#"{{"key_hashes":["{}"],"services":[]}}"#, "ab".repeat(32));
    let tenant: Tenant = serde_json::from_str(&json).expect("a valid tenant");
    for number in 0..TENANTS {
        let name = TenantName(format!("tenant-{number:05}"));
        bundle.tenants.insert(name, tenant.clone());
    }
    bundle
}
