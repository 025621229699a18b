//! Bundles, changes and proposals.

use pinerill_types::bundle::{
    Bundle, BundleChange, Entry, EntryKey, EntryKind, SignOff, SignedChange,
};
use pinerill_types::{NodeName, OperatorName, ZoneName};

use super::list::{decode_structs, encode_structs};
use super::text::{digest, name, string};
use super::{CodecError, EncodedBundle};
use crate::message::{
    BundleShown, BundleStatusResponse, BundleUpdate, NodeBundle, ProposalAnswer,
    ProposeBundleResponse,
};
use crate::wire_capnp as wire;

fn encode_kind(kind: EntryKind) -> wire::EntryKind {
    match kind {
        EntryKind::Policy => wire::EntryKind::Policy,
        EntryKind::Operator => wire::EntryKind::Operator,
        EntryKind::Model => wire::EntryKind::Model,
        EntryKind::Service => wire::EntryKind::Service,
        EntryKind::Tenant => wire::EntryKind::Tenant,
    }
}

fn decode_kind(kind: wire::EntryKind) -> EntryKind {
    match kind {
        wire::EntryKind::Policy => EntryKind::Policy,
        wire::EntryKind::Operator => EntryKind::Operator,
        wire::EntryKind::Model => EntryKind::Model,
        wire::EntryKind::Service => EntryKind::Service,
        wire::EntryKind::Tenant => EntryKind::Tenant,
    }
}

fn encode_key(key: &EntryKey, mut builder: wire::entry_key::Builder<'_>) {
    builder.set_kind(encode_kind(key.kind));
    builder.set_name(&key.name);
}

fn decode_key(reader: wire::entry_key::Reader<'_>) -> Result<EntryKey, CodecError> {
    Ok(EntryKey {
        kind: decode_kind(reader.get_kind()?),
        name: string(reader.get_name()?)?,
    })
}

pub(super) fn decode_entry(reader: wire::entry::Reader<'_>) -> Result<Entry, CodecError> {
    Ok(Entry {
        key: decode_key(reader.get_key()?)?,
        value: string(reader.get_value()?)?,
    })
}

pub(super) fn encode_change(change: &BundleChange, mut builder: wire::bundle_change::Builder<'_>) {
    builder.set_version(change.version);
    builder.set_base(&change.base.0);
    builder.set_digest(&change.digest.0);
    let mut set = builder.reborrow().init_set(change.set.len() as u32);
    for (index, entry) in change.set.iter().enumerate() {
        let mut one = set.reborrow().get(index as u32);
        one.set_value(&entry.value);
        encode_key(&entry.key, one.init_key());
    }
    let removed = builder.init_removed(change.removed.len() as u32);
    encode_structs(removed, &change.removed, encode_key);
}

pub(super) fn decode_change(
    reader: wire::bundle_change::Reader<'_>,
) -> Result<BundleChange, CodecError> {
    Ok(BundleChange {
        version: reader.get_version(),
        base: digest("base", reader.get_base()?)?,
        digest: digest("digest", reader.get_digest()?)?,
        set: decode_structs(reader.get_set()?, decode_entry)?,
        removed: decode_structs(reader.get_removed()?, decode_key)?,
    })
}

pub(super) fn encode_signed(signed: &SignedChange, mut builder: wire::signed_change::Builder<'_>) {
    encode_change(&signed.change, builder.reborrow().init_change());
    let mut sign_offs = builder.init_sign_offs(signed.sign_offs.len() as u32);
    for (index, sign_off) in signed.sign_offs.iter().enumerate() {
        let mut one = sign_offs.reborrow().get(index as u32);
        one.set_operator(sign_off.operator.as_str());
        one.set_signature(&sign_off.signature);
    }
}

pub(super) fn decode_signed(
    reader: wire::signed_change::Reader<'_>,
) -> Result<SignedChange, CodecError> {
    let sign_offs = reader.get_sign_offs()?.iter().map(|one| {
        Ok(SignOff {
            operator: OperatorName(name("operator", one.get_operator()?)?),
            signature: string(one.get_signature()?)?,
        })
    });
    Ok(SignedChange {
        change: decode_change(reader.get_change()?)?,
        sign_offs: sign_offs.collect::<Result<_, CodecError>>()?,
    })
}

pub(super) fn encode_bundle(bundle: &Bundle, mut builder: wire::bundle::Builder<'_>) {
    builder.set_version(bundle.version);
    let entries = bundle.entries();
    let mut list = builder.init_entries(entries.len() as u32);
    for (index, (key, value)) in entries.iter().enumerate() {
        let mut one = list.reborrow().get(index as u32);
        one.set_value(value);
        encode_key(key, one.init_key());
    }
}

pub(super) fn decode_bundle(reader: wire::bundle::Reader<'_>) -> Result<Bundle, CodecError> {
    let mut bundle = Bundle {
        version: reader.get_version(),
        ..Bundle::default()
    };
    for one in reader.get_entries()? {
        let entry = decode_entry(one)?;
        bundle
            .set_entry(&entry)
            .map_err(|error| CodecError::Field {
                field: "entries",
                message: format!("entry `{}`: {error}", entry.key.name),
            })?;
    }
    Ok(bundle)
}

pub(super) fn encode_update(
    update: Option<&BundleUpdate>,
    mut builder: wire::bundle_update::Builder<'_>,
) {
    match update {
        None => builder.set_none(()),
        Some(BundleUpdate::Changes(changes)) => {
            let list = builder.init_changes(changes.len() as u32);
            encode_structs(list, changes, encode_change);
        }
        Some(BundleUpdate::Snapshot(bundle)) => bundle.copy_into(builder),
    }
}

pub(super) fn decode_update(
    reader: wire::bundle_update::Reader<'_>,
) -> Result<Option<BundleUpdate>, CodecError> {
    use wire::bundle_update::Which;
    Ok(match reader.which()? {
        Which::None(()) => None,
        Which::Changes(list) => {
            let changes = decode_structs(list?, decode_change)?;
            Some(BundleUpdate::Changes(changes))
        }
        Which::Snapshot(bundle) => {
            let bundle = EncodedBundle::copy_of(bundle?)?;
            Some(BundleUpdate::Snapshot(bundle))
        }
    })
}

pub(super) fn encode_propose_response(
    response: &ProposeBundleResponse,
    mut builder: wire::propose_bundle_response::Builder<'_>,
) {
    builder.set_accepted(response.answer == ProposalAnswer::Accepted);
    builder.set_version(response.version);
    builder.set_digest(&response.digest.0);
}

pub(super) fn decode_propose_response(
    reader: wire::propose_bundle_response::Reader<'_>,
) -> Result<ProposeBundleResponse, CodecError> {
    let answer = if reader.get_accepted() {
        ProposalAnswer::Accepted
    } else {
        ProposalAnswer::Conflict
    };
    Ok(ProposeBundleResponse {
        answer,
        version: reader.get_version(),
        digest: digest("digest", reader.get_digest()?)?,
    })
}

pub(super) fn encode_shown(shown: &BundleShown, mut builder: wire::bundle_shown::Builder<'_>) {
    encode_bundle(&shown.bundle, builder.reborrow().init_bundle());
    builder.set_digest(&shown.digest.0);
}

pub(super) fn decode_shown(
    reader: wire::bundle_shown::Reader<'_>,
) -> Result<BundleShown, CodecError> {
    Ok(BundleShown {
        bundle: decode_bundle(reader.get_bundle()?)?,
        digest: digest("digest", reader.get_digest()?)?,
    })
}

pub(super) fn encode_status(
    status: &BundleStatusResponse,
    mut builder: wire::bundle_status_response::Builder<'_>,
) {
    builder.set_version(status.version);
    builder.set_digest(&status.digest.0);
    let mut nodes = builder.init_nodes(status.nodes.len() as u32);
    for (index, node) in status.nodes.iter().enumerate() {
        let mut one = nodes.reborrow().get(index as u32);
        one.set_node(node.node.as_str());
        one.set_zone(node.zone.as_str());
        one.set_version(node.version);
    }
}

pub(super) fn decode_status(
    reader: wire::bundle_status_response::Reader<'_>,
) -> Result<BundleStatusResponse, CodecError> {
    let nodes = reader.get_nodes()?.iter().map(|one| {
        Ok(NodeBundle {
            node: NodeName(name("node", one.get_node()?)?),
            zone: ZoneName(string(one.get_zone()?)?),
            version: one.get_version(),
        })
    });
    Ok(BundleStatusResponse {
        version: reader.get_version(),
        digest: digest("digest", reader.get_digest()?)?,
        nodes: nodes.collect::<Result<_, CodecError>>()?,
    })
}
