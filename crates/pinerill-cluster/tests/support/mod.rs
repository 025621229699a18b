//! A state table in memory.

use std::collections::BTreeMap;

use pinerill_control::host::TableWriter;

/// What a state machine wrote.
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
