//! A whole bundle as it travels, encoded once for all who need it.
//!
//! At 29,000 tenants a bundle has some eight megabytes, and turning it into
//! entries of text and back takes most of the work of sending it. Whoever
//! passes it on copies its bytes; only whoever needs the entries reads them,
//! one after the other.

use std::sync::Arc;

use capnp::message::{Builder, Reader, ReaderOptions};
use capnp::serialize::{self, BufferSegments};
use pinerill_types::bundle::{Bundle, Entry};

use super::bundle::{decode_entry, encode_bundle};
use super::CodecError;
use crate::wire_capnp as wire;

/// A Cap'n Proto message with a bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedBundle {
    version: u64,
    message: Arc<Vec<u8>>,
}

impl From<&Bundle> for EncodedBundle {
    fn from(bundle: &Bundle) -> Self {
        let mut message = Builder::new_default();
        encode_bundle(bundle, message.init_root());
        // A copy has one layout however the message was built, so that equal
        // bundles have equal bytes.
        let copy = message.get_root_as_reader().map_err(CodecError::from);
        copy.and_then(Self::copy_of)
            .expect("the message was built here")
    }
}

impl EncodedBundle {
    /// Version of the bundle.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole bundle.
    ///
    /// # Errors
    /// When an entry is malformed or not of its section's type.
    pub fn decode(&self) -> Result<Bundle, CodecError> {
        let mut bundle = Bundle {
            version: self.version,
            ..Bundle::default()
        };
        self.for_each_entry(|entry| bundle.set_entry(&entry))?;
        Ok(bundle)
    }

    /// Hands out entry after entry, so that no more than one stands in memory
    /// beside the message.
    ///
    /// # Errors
    /// When an entry is malformed, or the first error of `take` with the
    /// entry's name.
    pub fn for_each_entry<E: std::fmt::Display>(
        &self,
        mut take: impl FnMut(Entry) -> Result<(), E>,
    ) -> Result<(), CodecError> {
        let message = self.reader()?;
        let bundle = message.get_root::<wire::bundle::Reader<'_>>()?;
        for one in bundle.get_entries()? {
            let entry = decode_entry(one)?;
            let name = entry.key.name.clone();
            take(entry).map_err(|error| CodecError::Field {
                field: "entries",
                message: format!("entry `{name}`: {error}"),
            })?;
        }
        Ok(())
    }

    /// Copies the bundle into a message that is being built.
    pub(super) fn copy_into(&self, mut builder: wire::bundle_update::Builder<'_>) {
        let copied = self.reader().and_then(|message| {
            let bundle = message.get_root::<wire::bundle::Reader<'_>>()?;
            Ok(builder.set_snapshot(bundle)?)
        });
        copied.expect("the message was built or read here");
    }

    /// Copies the bundle out of a message that was received.
    ///
    /// # Errors
    /// When it is malformed.
    pub(super) fn copy_of(bundle: wire::bundle::Reader<'_>) -> Result<Self, CodecError> {
        let size = bundle.total_size()?;
        let words = u32::try_from(size.word_count).unwrap_or(u32::MAX);
        // The root's pointer takes a word too.
        let allocator =
            capnp::message::HeapAllocator::new().first_segment_words(words.saturating_add(1));
        let mut message = Builder::new(allocator);
        message.set_root(bundle)?;
        Ok(Self {
            version: bundle.get_version(),
            message: Arc::new(serialize::write_message_to_words(&message)),
        })
    }

    fn reader(&self) -> Result<Reader<BufferSegments<&[u8]>>, CodecError> {
        let mut options = ReaderOptions::new();
        // Its size was bounded when it was received.
        options.traversal_limit_in_words(None);
        let segments = BufferSegments::new(self.message.as_slice(), options)?;
        Ok(Reader::new(segments, options))
    }
}
