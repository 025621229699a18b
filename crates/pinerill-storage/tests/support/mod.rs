//! What tests of the store share.

use std::sync::mpsc::channel;

use pinerill_replica::GroupId;
use pinerill_storage::{GroupStore, Operation, Store, WriteBatch};

/// Keeps something in a store, and waits until it is durable.
pub fn put(store: &Store, number: u64, bytes: usize) {
    let (done, waiting) = channel();
    let batch = WriteBatch {
        group: GroupId(0),
        operations: vec![Operation::PutState {
            key: number.to_be_bytes().to_vec(),
            value: vec![number as u8; bytes],
        }],
    };
    store.write(
        batch,
        Box::new(move |result| done.send(result).expect("heard")),
    );
    waiting.recv().expect("an answer").expect("written");
}
