//! Keys and records of a job group's state table.
//!
//! An input is written once. A result is written once, by the end that
//! counts. A cancellation leaves one marker: every item of the job that has no
//! result by then is cancelled.

use pinerill_types::job::{ItemInput, ItemState};
use serde::{Deserialize, Serialize};

use super::lease::ItemKey;
use crate::codec::{decode, encode};
use crate::machine::{TableReader, TableWriter};

const INPUT_PREFIX: u8 = b'i';
const RESULT_PREFIX: u8 = b'r';
const CANCELLED_PREFIX: u8 = b'c';

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ResultRecord {
    /// The final state.
    pub(super) state: ItemState,
    /// The answer as JSON, or the reason.
    pub(super) body: String,
}

fn item_key(prefix: u8, key: ItemKey) -> Vec<u8> {
    let mut bytes = vec![prefix];
    bytes.extend_from_slice(&key.job.to_be_bytes());
    bytes.extend_from_slice(&key.index.to_be_bytes());
    bytes
}

fn cancelled_key(job: u64) -> Vec<u8> {
    let mut bytes = vec![CANCELLED_PREFIX];
    bytes.extend_from_slice(&job.to_be_bytes());
    bytes
}

pub(super) fn write_input(table: &mut dyn TableWriter, key: ItemKey, input: &ItemInput) {
    table.put(&item_key(INPUT_PREFIX, key), &encode(input));
}

pub(super) fn write_result(table: &mut dyn TableWriter, key: ItemKey, record: &ResultRecord) {
    table.put(&item_key(RESULT_PREFIX, key), &encode(record));
}

pub(super) fn write_cancelled(table: &mut dyn TableWriter, job: u64) {
    table.put(&cancelled_key(job), &[]);
}

pub(super) fn delete_item(table: &mut dyn TableWriter, key: ItemKey) {
    table.delete(&item_key(INPUT_PREFIX, key));
    table.delete(&item_key(RESULT_PREFIX, key));
}

pub(super) fn delete_cancelled(table: &mut dyn TableWriter, job: u64) {
    table.delete(&cancelled_key(job));
}

pub(super) fn read_input(
    table: &dyn TableReader,
    key: ItemKey,
) -> anyhow::Result<Option<ItemInput>> {
    read(table, &item_key(INPUT_PREFIX, key))
}

pub(super) fn read_result(
    table: &dyn TableReader,
    key: ItemKey,
) -> anyhow::Result<Option<ResultRecord>> {
    read(table, &item_key(RESULT_PREFIX, key))
}

pub(super) fn read_cancelled(table: &dyn TableReader, job: u64) -> anyhow::Result<bool> {
    Ok(table.get(&cancelled_key(job))?.is_some())
}

fn read<T: serde::de::DeserializeOwned>(
    table: &dyn TableReader,
    key: &[u8],
) -> anyhow::Result<Option<T>> {
    let bytes = table.get(key)?;
    let value = bytes.map(|bytes| decode(&bytes)).transpose()?;
    Ok(value)
}
