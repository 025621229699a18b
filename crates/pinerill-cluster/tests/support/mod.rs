//! In-memory state table, and golden bytes written by other builds.

#![allow(dead_code)]

#[path = "../../../pinerill-calls/tests/support/golden.rs"]
pub mod golden;

use std::collections::BTreeMap;

use pinerill_cluster::machine::ClusterMachine;
use pinerill_control::host::{StateMachine, TableWriter};

/// State table that keeps the entries written by a state machine.
#[derive(Default)]
pub struct Table(pub BTreeMap<Vec<u8>, Vec<u8>>);

impl TableWriter for Table {
    fn put(&mut self, key: &[u8], value: &[u8]) {
        self.0.insert(key.to_vec(), value.to_vec());
    }

    fn delete(&mut self, key: &[u8]) {
        self.0.remove(key);
    }
}

/// Applies a command and asserts that it is readable.
pub fn apply(machine: &mut ClusterMachine, index: u64, command: &[u8], table: &mut Table) {
    let applied = machine.apply(index, command, table);
    assert!(applied.is_ok(), "{applied:?}");
}
