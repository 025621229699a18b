//! Shared by the tests: a table in memory and a signed bundle's operators.
#![allow(dead_code)]

use std::collections::BTreeMap;

use pinerill_control::machine::{TableReader, TableWriter};
use pinerill_control::meta::{spread_replicas, ControlMachine, Founding};
use pinerill_types::bundle::{signing_key_from_hex, Bundle, Operator, SignedChange};
use pinerill_types::OperatorName;

/// A state table in memory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemoryTable(pub BTreeMap<Vec<u8>, Vec<u8>>);

impl TableWriter for MemoryTable {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.insert(key.to_vec(), value.to_vec());
    }

    fn delete(&mut self, key: &[u8]) {
        self.0.remove(key);
    }
}

impl TableReader for MemoryTable {
    fn get(&self, key: &[u8]) -> anyhow::Result<Option<Vec<u8>>> {
        Ok(self.0.get(key).cloned())
    }
}

/// Secret key of an operator, 64 hexadecimal digits.
pub fn secret_key(operator: &str) -> String {
    let first = operator.as_bytes()[0];
    hex::encode([first; 32])
}

/// An operator of a bundle.
pub fn operator(name: &str) -> (OperatorName, Operator) {
    let key = signing_key_from_hex(&secret_key(name)).unwrap();
    let operator = Operator {
        public_key: hex::encode(key.verifying_key().to_bytes()),
    };
    (name.into(), operator)
}

/// A founding bundle with these operators.
pub fn founding_bundle(operators: &[&str], sign_offs: u32) -> Bundle {
    let mut bundle = Bundle::default();
    bundle.policy.sign_offs = sign_offs;
    bundle.operators = operators.iter().map(|name| operator(name)).collect();
    bundle
}

/// The change from `base` to `next`, signed by these operators.
pub fn signed_change(base: &Bundle, next: &Bundle, operators: &[&str]) -> SignedChange {
    let mut signed = SignedChange {
        change: next.change_from(base),
        sign_offs: Vec::new(),
    };
    for name in operators {
        let key = signing_key_from_hex(&secret_key(name)).unwrap();
        signed.sign(OperatorName::from(*name), &key);
    }
    signed
}

/// Control machines in zones `zone-0` to `zone-(zones - 1)`, in turn.
pub fn machines(count: u64, zones: u64) -> Vec<ControlMachine> {
    (0..count)
        .map(|number| ControlMachine {
            replica: 100 + number,
            name: format!("control-{number}"),
            zone: format!("zone-{}", number % zones).as_str().into(),
            address: format!("127.0.0.1:{}", 7400 + number).parse().unwrap(),
        })
        .collect()
}

/// A founding command's content: `count` machines in three zones.
pub fn founding(bundle: &Bundle, count: u64, job_groups: u32) -> Founding {
    let machines = machines(count, 3);
    Founding {
        cluster_id: 7,
        bundle_json: Founding::encode_bundle(bundle),
        groups: spread_replicas(&machines, job_groups, 5),
        machines,
    }
}
