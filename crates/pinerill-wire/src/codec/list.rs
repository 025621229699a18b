//! Lists of structs and of numbers: filled from slices, read into vectors.

use capnp::traits::OwnedStruct;
use capnp::{primitive_list, struct_list};

use super::CodecError;

/// Encodes each item into the struct at its place; the list has as many
/// structs as there are items.
pub(super) fn encode_structs<S, I>(
    mut list: struct_list::Builder<'_, S>,
    items: impl IntoIterator<Item = I>,
    encode: impl Fn(I, S::Builder<'_>),
) where
    S: OwnedStruct,
{
    for (index, item) in items.into_iter().enumerate() {
        encode(item, list.reborrow().get(index as u32));
    }
}

/// Decodes each struct of the list; fails with the first that fails.
pub(super) fn decode_structs<'a, S, T>(
    list: struct_list::Reader<'a, S>,
    decode: impl Fn(S::Reader<'a>) -> Result<T, CodecError>,
) -> Result<Vec<T>, CodecError>
where
    S: OwnedStruct,
{
    list.iter().map(decode).collect()
}

/// Writes each number at its place; the list has as many as there are.
pub(super) fn encode_numbers(
    mut list: primitive_list::Builder<'_, u64>,
    numbers: impl IntoIterator<Item = u64>,
) {
    for (index, number) in numbers.into_iter().enumerate() {
        list.set(index as u32, number);
    }
}
