//! Bootstrap, status and repair.

use pinerill_types::ZoneName;

use super::bundle::{decode_bundle, encode_bundle};
use super::list::{decode_structs, encode_numbers, encode_structs};
use super::text::{address, name, string};
use super::CodecError;
use crate::message::{
    ClusterInit, ClusterInitResponse, ClusterStatusResponse, CreateGroups, GroupReport,
    GroupVoters, ReplicaRecord,
};
use crate::wire_capnp as wire;

pub(super) fn encode_init(init: &ClusterInit, mut builder: wire::cluster_init::Builder<'_>) {
    builder.set_job_groups(init.job_groups);
    builder.set_voters(init.voters);
    encode_bundle(&init.founding, builder.init_founding());
}

pub(super) fn decode_init(
    reader: wire::cluster_init::Reader<'_>,
) -> Result<ClusterInit, CodecError> {
    Ok(ClusterInit {
        founding: decode_bundle(reader.get_founding()?)?,
        job_groups: reader.get_job_groups(),
        voters: reader.get_voters(),
    })
}

pub(super) fn encode_create(create: &CreateGroups, mut builder: wire::create_groups::Builder<'_>) {
    builder.set_cluster_id(create.cluster_id);
    encode_bundle(&create.founding, builder.reborrow().init_founding());
    let machines = builder
        .reborrow()
        .init_machines(create.machines.len() as u32);
    encode_structs(machines, &create.machines, encode_replica);
    let groups = builder.init_groups(create.groups.len() as u32);
    encode_structs(groups, &create.groups, encode_voters);
}

fn encode_voters(group: &GroupVoters, mut builder: wire::group_voters::Builder<'_>) {
    builder.set_group(group.group);
    let voters = builder.init_voters(group.voters.len() as u32);
    encode_numbers(voters, group.voters.iter().copied());
}

pub(super) fn decode_create(
    reader: wire::create_groups::Reader<'_>,
) -> Result<CreateGroups, CodecError> {
    Ok(CreateGroups {
        cluster_id: reader.get_cluster_id(),
        founding: decode_bundle(reader.get_founding()?)?,
        machines: decode_structs(reader.get_machines()?, decode_replica)?,
        groups: decode_structs(reader.get_groups()?, decode_voters)?,
    })
}

fn decode_voters(reader: wire::group_voters::Reader<'_>) -> Result<GroupVoters, CodecError> {
    Ok(GroupVoters {
        group: reader.get_group(),
        voters: reader.get_voters()?.iter().collect(),
    })
}

fn encode_replica(replica: &ReplicaRecord, mut builder: wire::replica_record::Builder<'_>) {
    builder.set_replica(replica.replica);
    builder.set_name(&replica.name);
    builder.set_zone(replica.zone.as_str());
    builder.set_address(replica.address.to_string());
    builder.set_reachable(replica.reachable);
}

fn decode_replica(reader: wire::replica_record::Reader<'_>) -> Result<ReplicaRecord, CodecError> {
    Ok(ReplicaRecord {
        replica: reader.get_replica(),
        name: name("name", reader.get_name()?)?,
        zone: ZoneName(string(reader.get_zone()?)?),
        address: address("address", reader.get_address()?)?,
        reachable: reader.get_reachable(),
    })
}

pub(super) fn encode_init_response(
    response: &ClusterInitResponse,
    mut builder: wire::cluster_init_response::Builder<'_>,
) {
    builder.set_cluster_id(response.cluster_id);
    let replicas = builder.init_replicas(response.replicas.len() as u32);
    encode_structs(replicas, &response.replicas, encode_replica);
}

pub(super) fn decode_init_response(
    reader: wire::cluster_init_response::Reader<'_>,
) -> Result<ClusterInitResponse, CodecError> {
    Ok(ClusterInitResponse {
        cluster_id: reader.get_cluster_id(),
        replicas: decode_structs(reader.get_replicas()?, decode_replica)?,
    })
}

fn encode_group(group: &GroupReport, mut builder: wire::group_report::Builder<'_>) {
    builder.set_group(group.group);
    builder.set_has_leader(group.leader.is_some());
    builder.set_leader(group.leader.unwrap_or_default());
    builder.set_term(group.term);
    builder.set_commit(group.commit);
    builder.set_applied(group.applied);
    let voters = builder.reborrow().init_voters(group.voters.len() as u32);
    encode_numbers(voters, group.voters.iter().copied());
    builder.set_members_committed(group.members_committed);
    let learners = builder.init_learners(group.learners.len() as u32);
    encode_numbers(learners, group.learners.iter().copied());
}

fn decode_group(reader: wire::group_report::Reader<'_>) -> Result<GroupReport, CodecError> {
    Ok(GroupReport {
        group: reader.get_group(),
        leader: reader.get_has_leader().then(|| reader.get_leader()),
        term: reader.get_term(),
        commit: reader.get_commit(),
        applied: reader.get_applied(),
        voters: reader.get_voters()?.iter().collect(),
        learners: reader.get_learners()?.iter().collect(),
        members_committed: reader.get_members_committed(),
    })
}

pub(super) fn encode_status(
    status: &ClusterStatusResponse,
    mut builder: wire::cluster_status_response::Builder<'_>,
) {
    builder.set_cluster_id(status.cluster_id);
    let replicas = builder
        .reborrow()
        .init_replicas(status.replicas.len() as u32);
    encode_structs(replicas, &status.replicas, encode_replica);
    let groups = builder.init_groups(status.groups.len() as u32);
    encode_structs(groups, &status.groups, encode_group);
}

pub(super) fn decode_status(
    reader: wire::cluster_status_response::Reader<'_>,
) -> Result<ClusterStatusResponse, CodecError> {
    Ok(ClusterStatusResponse {
        cluster_id: reader.get_cluster_id(),
        replicas: decode_structs(reader.get_replicas()?, decode_replica)?,
        groups: decode_structs(reader.get_groups()?, decode_group)?,
    })
}
