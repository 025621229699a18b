//! What the files of a data folder show. Pure.
//!
//! The names of a database's file and of its journal are durable before anything is written
//! into either. A creation in place first records the length, then the place of the
//! first block, then writes the header without its mark; once that is synced, the mark.
//! No data is stored before the mark is durable.

use crate::thin_file::{records_in, Record, RECORD_BYTES};

use super::first_steps::FirstSteps;

/// Bytes of the journal of a creation in place before its mark: a length and a place.
pub(super) const JOURNAL_BYTES: usize = 2 * RECORD_BYTES;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Found {
    /// Nothing, or certainly a creation that was cut short.
    NeverFinished,
    /// A file in which all blocks lie at their own places.
    WithoutJournal,
    /// A file and its journal. Whether they are damaged shows when the database is opened.
    Whole,
    /// A journal that says where blocks lie, without a file.
    Lost,
}

/// What lies in a folder, by the starts of both files: one byte more than each has
/// before a creation in place sets its mark. None is a file that is missing.
pub(super) fn found(
    data: Option<&[u8]>,
    journal: Option<&[u8]>,
    first_steps: &FirstSteps,
) -> Found {
    let journal = journal.unwrap_or_default();
    match data {
        None if journal.is_empty() => Found::NeverFinished,
        None => Found::Lost,
        Some([]) if has_no_place(journal, first_steps) => Found::NeverFinished,
        Some([]) => Found::Lost,
        Some(data) if data == first_steps.data && is_first(journal, first_steps) => {
            Found::NeverFinished
        }
        Some(_) if journal.is_empty() => Found::WithoutJournal,
        Some(_) => Found::Whole,
    }
}

/// Whether the journal ends before the first place. A place without data may be all
/// that is left of a database whose file was lost.
fn has_no_place(journal: &[u8], first_steps: &FirstSteps) -> bool {
    journal.len() <= RECORD_BYTES && is_first(journal, first_steps)
}

/// Whether the journal holds nothing but the first records of a creation, whole or torn.
fn is_first(journal: &[u8], first_steps: &FirstSteps) -> bool {
    let first = [
        Record::Length(first_steps.length),
        Record::Place { block: 0, slot: 0 },
    ];
    journal.len() <= JOURNAL_BYTES && first.starts_with(&records_in(journal))
}
