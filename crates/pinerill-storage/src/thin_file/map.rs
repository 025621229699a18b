//! Which slot of the real file holds which block. Pure.
//!
//! Invariants: no slot holds two blocks; a slot is either held, free or was
//! never used; no block beyond the length is held.

use std::collections::{BTreeMap, BTreeSet};

use super::journal::Record;
use super::BLOCK_BYTES;

/// Where a block is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Slot {
    /// It has had this slot.
    Held(u32),
    /// A slot behind all others.
    New(u32),
    /// A slot that held another block: its content must be wiped.
    Reused(u32),
}

/// The places of all blocks.
#[derive(Debug, Default)]
pub(super) struct BlockMap {
    /// Virtual length, bytes.
    length: u64,
    slots: BTreeMap<u32, u32>,
    free: BTreeSet<u32>,
    /// Slots that were ever used.
    used: u32,
}

impl BlockMap {
    /// A file in which every block lies at its own place.
    pub(super) fn in_place(length: u64) -> Self {
        let blocks = blocks_of(length);
        BlockMap {
            length,
            slots: (0..blocks).map(|block| (block, block)).collect(),
            free: BTreeSet::new(),
            used: blocks,
        }
    }

    pub(super) fn length(&self) -> u64 {
        self.length
    }

    pub(super) fn slot(&self, block: u32) -> Option<u32> {
        self.slots.get(&block).copied()
    }

    /// Finds a slot for a block that is to be written.
    pub(super) fn place(&mut self, block: u32) -> Slot {
        if let Some(slot) = self.slot(block) {
            return Slot::Held(slot);
        }
        let slot = match self.free.first().copied() {
            Some(slot) => Slot::Reused(slot),
            None => Slot::New(self.used),
        };
        let (Slot::Held(number) | Slot::New(number) | Slot::Reused(number)) = slot;
        self.hold(block, number);
        slot
    }

    /// Takes in what the journal says.
    pub(super) fn apply(&mut self, record: Record) {
        match record {
            Record::Length(length) => self.set_length(length),
            Record::Place { block, slot } => self.hold(block, slot),
        }
    }

    /// Slot of the block in which the length ends, and where in it; none if no
    /// such block is held.
    pub(super) fn partial_block(&self, length: u64) -> Option<(u32, u64)> {
        let within = length % BLOCK_BYTES;
        let slot = self.slot((length / BLOCK_BYTES) as u32)?;
        (within > 0).then_some((slot, within))
    }

    /// Records that bring this map about.
    pub(super) fn records(&self) -> Vec<Record> {
        let places = self.slots.iter();
        let places = places.map(|(block, slot)| Record::Place {
            block: *block,
            slot: *slot,
        });
        std::iter::once(Record::Length(self.length))
            .chain(places)
            .collect()
    }

    fn hold(&mut self, block: u32, slot: u32) {
        self.free.remove(&slot);
        self.free.extend(self.used..slot);
        self.used = self.used.max(slot + 1);
        self.slots.insert(block, slot);
    }

    fn set_length(&mut self, length: u64) {
        self.length = length;
        let dropped = self.slots.split_off(&blocks_of(length));
        self.free.extend(dropped.into_values());
    }
}

fn blocks_of(length: u64) -> u32 {
    length.div_ceil(BLOCK_BYTES) as u32
}
