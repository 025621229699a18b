//! Watches, directories and what control machines tell each other.

use pinerill_types::{NodeName, ServiceName, WorkerName, ZoneName};

use super::bundle::{decode_update, encode_update};
use super::list::{decode_structs, encode_structs};
use super::text::{
    address, digest, encode_strings, name, optional_address, optional_address_text, string, strings,
};
use super::CodecError;
use crate::message::{
    DirectoryUpdate, GroupRecord, LeavingSign, NodeRecord, PeerDirectoryRequest,
    PeerDirectoryResponse, ServiceBacklog, WatchRequest, WatchResponse, WorkerRecord, WorkerState,
};
use crate::wire_capnp as wire;

fn encode_node(node: &NodeRecord, mut builder: wire::node_record::Builder<'_>) {
    builder.set_name(node.name.as_str());
    builder.set_zone(node.zone.as_str());
    builder.set_incarnation(node.incarnation);
    builder.set_draining(node.draining);
    builder.set_bundle_version(node.bundle_version);
}

fn decode_node(reader: wire::node_record::Reader<'_>) -> Result<NodeRecord, CodecError> {
    Ok(NodeRecord {
        name: NodeName(name("node", reader.get_name()?)?),
        zone: ZoneName(string(reader.get_zone()?)?),
        incarnation: reader.get_incarnation(),
        draining: reader.get_draining(),
        bundle_version: reader.get_bundle_version(),
    })
}

fn encode_worker(worker: &WorkerRecord, mut builder: wire::worker_record::Builder<'_>) {
    builder.set_name(worker.name.as_str());
    builder.set_address(worker.address.to_string());
    builder.set_zone(worker.zone.as_str());
    builder.set_engines(worker.engines);
    builder.set_state(match worker.state {
        WorkerState::Live => wire::WorkerState::Live,
        WorkerState::Leaving => wire::WorkerState::Leaving,
        WorkerState::Gone => wire::WorkerState::Gone,
    });
    builder.set_leaving_incarnation(worker.leaving_incarnation);
}

fn decode_worker(reader: wire::worker_record::Reader<'_>) -> Result<WorkerRecord, CodecError> {
    Ok(WorkerRecord {
        name: WorkerName(name("worker", reader.get_name()?)?),
        address: address("address", reader.get_address()?)?,
        zone: ZoneName(string(reader.get_zone()?)?),
        engines: reader.get_engines(),
        state: match reader.get_state()? {
            wire::WorkerState::Live => WorkerState::Live,
            wire::WorkerState::Leaving => WorkerState::Leaving,
            wire::WorkerState::Gone => WorkerState::Gone,
        },
        leaving_incarnation: reader.get_leaving_incarnation(),
    })
}

fn encode_sign(sign: &LeavingSign, mut builder: wire::leaving_sign::Builder<'_>) {
    builder.set_worker(sign.worker.as_str());
    builder.set_incarnation(sign.incarnation);
}

fn decode_sign(reader: wire::leaving_sign::Reader<'_>) -> Result<LeavingSign, CodecError> {
    Ok(LeavingSign {
        worker: WorkerName(name("worker", reader.get_worker()?)?),
        incarnation: reader.get_incarnation(),
    })
}

fn encode_group(group: &GroupRecord, mut builder: wire::group_record::Builder<'_>) {
    builder.set_group(group.group);
    builder.set_leader(optional_address_text(group.leader));
    let mut backlog = builder.init_backlog(group.backlog.len() as u32);
    for (index, service) in group.backlog.iter().enumerate() {
        let mut one = backlog.reborrow().get(index as u32);
        one.set_service(service.service.as_str());
        one.set_pending(service.pending);
    }
}

fn decode_group(reader: wire::group_record::Reader<'_>) -> Result<GroupRecord, CodecError> {
    let backlog = reader.get_backlog()?.iter().map(|one| {
        Ok(ServiceBacklog {
            service: ServiceName(name("service", one.get_service()?)?),
            pending: one.get_pending(),
        })
    });
    Ok(GroupRecord {
        group: reader.get_group(),
        leader: optional_address("leader", reader.get_leader()?)?,
        backlog: backlog.collect::<Result<_, CodecError>>()?,
    })
}

pub(super) fn encode_watch(watch: &WatchRequest, mut builder: wire::watch_request::Builder<'_>) {
    encode_node(&watch.node, builder.reborrow().init_node());
    builder.set_bundle_digest(&watch.bundle_digest.0);
    let zones = builder.reborrow().init_zones(watch.zones.len() as u32);
    encode_strings(zones, watch.zones.iter().map(ZoneName::as_str));
    builder.set_directory_epoch(watch.directory_epoch);
    builder.set_directory_revision(watch.directory_revision);
    let leaving = builder.reborrow().init_leaving(watch.leaving.len() as u32);
    encode_structs(leaving, &watch.leaving, encode_sign);
    builder.set_wait_ms(watch.wait_ms);
}

pub(super) fn decode_watch(
    reader: wire::watch_request::Reader<'_>,
) -> Result<WatchRequest, CodecError> {
    Ok(WatchRequest {
        node: decode_node(reader.get_node()?)?,
        bundle_digest: digest("bundleDigest", reader.get_bundle_digest()?)?,
        zones: strings(reader.get_zones()?)?
            .into_iter()
            .map(ZoneName)
            .collect(),
        directory_epoch: reader.get_directory_epoch(),
        directory_revision: reader.get_directory_revision(),
        leaving: decode_structs(reader.get_leaving()?, decode_sign)?,
        wait_ms: reader.get_wait_ms(),
    })
}

pub(super) fn encode_watch_response(
    response: &WatchResponse,
    mut builder: wire::watch_response::Builder<'_>,
) {
    builder.set_confirmed(response.confirmed);
    builder.set_version(response.version);
    encode_update(response.bundle.as_ref(), builder.reborrow().init_bundle());
    if let Some(update) = &response.directory {
        encode_directory(update, builder.init_directory());
    }
}

pub(super) fn decode_watch_response(
    reader: wire::watch_response::Reader<'_>,
) -> Result<WatchResponse, CodecError> {
    let directory = if reader.has_directory() {
        Some(decode_directory(reader.get_directory()?)?)
    } else {
        None
    };
    Ok(WatchResponse {
        confirmed: reader.get_confirmed(),
        version: reader.get_version(),
        bundle: decode_update(reader.get_bundle()?)?,
        directory,
    })
}

fn encode_directory(update: &DirectoryUpdate, mut builder: wire::directory_update::Builder<'_>) {
    builder.set_epoch(update.epoch);
    builder.set_revision(update.revision);
    builder.set_full(update.full);
    let workers = builder.reborrow().init_workers(update.workers.len() as u32);
    encode_structs(workers, &update.workers, encode_worker);
    let removed_workers = update.removed_workers.len() as u32;
    let names = builder.reborrow().init_removed_workers(removed_workers);
    encode_strings(names, update.removed_workers.iter().map(WorkerName::as_str));
    let nodes = builder.reborrow().init_nodes(update.nodes.len() as u32);
    encode_structs(nodes, &update.nodes, encode_node);
    let removed_nodes = update.removed_nodes.len() as u32;
    let names = builder.reborrow().init_removed_nodes(removed_nodes);
    encode_strings(names, update.removed_nodes.iter().map(NodeName::as_str));
    let groups = builder.init_groups(update.groups.len() as u32);
    encode_structs(groups, &update.groups, encode_group);
}

fn decode_directory(
    reader: wire::directory_update::Reader<'_>,
) -> Result<DirectoryUpdate, CodecError> {
    Ok(DirectoryUpdate {
        epoch: reader.get_epoch(),
        revision: reader.get_revision(),
        full: reader.get_full(),
        workers: decode_structs(reader.get_workers()?, decode_worker)?,
        removed_workers: strings(reader.get_removed_workers()?)?
            .into_iter()
            .map(WorkerName)
            .collect(),
        nodes: decode_structs(reader.get_nodes()?, decode_node)?,
        removed_nodes: strings(reader.get_removed_nodes()?)?
            .into_iter()
            .map(NodeName)
            .collect(),
        groups: decode_structs(reader.get_groups()?, decode_group)?,
    })
}

pub(super) fn encode_peer_request(
    request: &PeerDirectoryRequest,
    mut builder: wire::peer_directory_request::Builder<'_>,
) {
    builder.set_epoch(request.epoch);
    builder.set_revision(request.revision);
    builder.set_wait_ms(request.wait_ms);
}

pub(super) fn decode_peer_request(
    reader: wire::peer_directory_request::Reader<'_>,
) -> PeerDirectoryRequest {
    PeerDirectoryRequest {
        epoch: reader.get_epoch(),
        revision: reader.get_revision(),
        wait_ms: reader.get_wait_ms(),
    }
}

pub(super) fn encode_peer_response(
    response: &PeerDirectoryResponse,
    mut builder: wire::peer_directory_response::Builder<'_>,
) {
    builder.set_epoch(response.epoch);
    builder.set_revision(response.revision);
    let nodes = builder.reborrow().init_nodes(response.nodes.len() as u32);
    encode_structs(nodes, &response.nodes, encode_node);
    let leaving = builder
        .reborrow()
        .init_leaving(response.leaving.len() as u32);
    encode_structs(leaving, &response.leaving, encode_sign);
    let groups = builder.init_groups(response.groups.len() as u32);
    encode_structs(groups, &response.groups, encode_group);
}

pub(super) fn decode_peer_response(
    reader: wire::peer_directory_response::Reader<'_>,
) -> Result<PeerDirectoryResponse, CodecError> {
    Ok(PeerDirectoryResponse {
        epoch: reader.get_epoch(),
        revision: reader.get_revision(),
        nodes: decode_structs(reader.get_nodes()?, decode_node)?,
        leaving: decode_structs(reader.get_leaving()?, decode_sign)?,
        groups: decode_structs(reader.get_groups()?, decode_group)?,
    })
}
