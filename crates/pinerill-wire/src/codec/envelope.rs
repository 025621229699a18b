//! Messages of replicated groups.

use pinerill_replica::{
    AppendOutcome, AppendRequest, AppendResponse, CommitNotice, Entry, EntryKind, Envelope,
    GroupId, Heartbeat, HeartbeatResponse, Membership, Message, PreVoteRequest, PreVoteResponse,
    ReadIndexRequest, ReadIndexResponse, ReplicaId, SnapshotChunk, SnapshotChunkResponse,
    SnapshotMeta, TimeoutNow, VoteRequest, VoteResponse,
};

use super::list::{decode_structs, encode_numbers};
use super::CodecError;
use crate::wire_capnp as wire;

pub(super) fn encode(envelope: &Envelope, mut builder: wire::envelope::Builder<'_>) {
    builder.set_group(envelope.group.0);
    builder.set_from(envelope.from.0);
    builder.set_to(envelope.to.0);
    match &envelope.message {
        Message::PreVoteRequest(request) => {
            builder.set_term(request.term);
            let last = builder.init_pre_vote_request();
            encode_position(request.last_index, request.last_term, last);
        }
        Message::PreVoteResponse(response) => {
            builder.set_term(response.term);
            let mut builder = builder.init_pre_vote_response();
            builder.set_requested_term(response.requested_term);
            builder.set_granted(response.granted);
        }
        Message::VoteRequest(request) => {
            builder.set_term(request.term);
            let mut builder = builder.init_vote_request();
            builder.set_transfer(request.transfer);
            encode_position(request.last_index, request.last_term, builder.init_last());
        }
        Message::VoteResponse(response) => {
            builder.set_term(response.term);
            builder.set_vote_response(response.granted);
        }
        Message::AppendRequest(request) => {
            builder.set_term(request.term);
            encode_append(request, builder.init_append_request());
        }
        Message::AppendResponse(response) => {
            builder.set_term(response.term);
            encode_outcome(&response.outcome, builder.init_append_response());
        }
        Message::CommitNotice(notice) => {
            builder.set_term(notice.term);
            builder.set_commit_notice(notice.commit);
        }
        Message::Heartbeat(heartbeat) => {
            builder.set_term(heartbeat.term);
            let mut builder = builder.init_heartbeat();
            builder.set_commit(heartbeat.commit);
            builder.set_round(heartbeat.round);
        }
        Message::HeartbeatResponse(response) => {
            builder.set_term(response.term);
            builder.set_heartbeat_response(response.round);
        }
        Message::SnapshotChunk(chunk) => {
            builder.set_term(chunk.term);
            encode_chunk(chunk, builder.init_snapshot_chunk());
        }
        Message::SnapshotChunkResponse(response) => {
            builder.set_term(response.term);
            let mut builder = builder.init_snapshot_chunk_response();
            builder.set_index(response.index);
            builder.set_next_offset(response.next_offset);
            builder.set_installed(response.installed);
        }
        Message::ReadIndexRequest(request) => builder.set_read_index_request(request.request),
        Message::ReadIndexResponse(response) => {
            let mut builder = builder.init_read_index_response();
            builder.set_request(response.request);
            builder.set_known(response.index.is_some());
            builder.set_index(response.index.unwrap_or_default());
        }
        Message::TimeoutNow(timeout) => {
            builder.set_term(timeout.term);
            builder.set_timeout_now(());
        }
    }
}

pub(super) fn decode(reader: wire::envelope::Reader<'_>) -> Result<Envelope, CodecError> {
    Ok(Envelope {
        group: GroupId(reader.get_group()),
        from: ReplicaId(reader.get_from()),
        to: ReplicaId(reader.get_to()),
        message: decode_message(reader)?,
    })
}

fn decode_message(reader: wire::envelope::Reader<'_>) -> Result<Message, CodecError> {
    use wire::envelope::Which;
    let term = reader.get_term();
    Ok(match reader.which()? {
        Which::PreVoteRequest(position) => {
            let position = position?;
            Message::PreVoteRequest(PreVoteRequest {
                term,
                last_index: position.get_index(),
                last_term: position.get_term(),
            })
        }
        Which::PreVoteResponse(response) => {
            let response = response?;
            Message::PreVoteResponse(PreVoteResponse {
                term,
                requested_term: response.get_requested_term(),
                granted: response.get_granted(),
            })
        }
        Which::VoteRequest(request) => {
            let request = request?;
            let last = request.get_last()?;
            Message::VoteRequest(VoteRequest {
                term,
                last_index: last.get_index(),
                last_term: last.get_term(),
                transfer: request.get_transfer(),
            })
        }
        Which::VoteResponse(granted) => Message::VoteResponse(VoteResponse { term, granted }),
        Which::AppendRequest(request) => Message::AppendRequest(decode_append(term, request?)?),
        Which::AppendResponse(response) => Message::AppendResponse(AppendResponse {
            term,
            outcome: decode_outcome(response?)?,
        }),
        Which::CommitNotice(commit) => Message::CommitNotice(CommitNotice { term, commit }),
        Which::Heartbeat(heartbeat) => {
            let heartbeat = heartbeat?;
            Message::Heartbeat(Heartbeat {
                term,
                commit: heartbeat.get_commit(),
                round: heartbeat.get_round(),
            })
        }
        Which::HeartbeatResponse(round) => {
            Message::HeartbeatResponse(HeartbeatResponse { term, round })
        }
        Which::SnapshotChunk(chunk) => Message::SnapshotChunk(decode_chunk(term, chunk?)?),
        Which::SnapshotChunkResponse(response) => {
            let response = response?;
            Message::SnapshotChunkResponse(SnapshotChunkResponse {
                term,
                index: response.get_index(),
                next_offset: response.get_next_offset(),
                installed: response.get_installed(),
            })
        }
        Which::ReadIndexRequest(request) => Message::ReadIndexRequest(ReadIndexRequest { request }),
        Which::ReadIndexResponse(response) => {
            let response = response?;
            Message::ReadIndexResponse(ReadIndexResponse {
                request: response.get_request(),
                index: response.get_known().then(|| response.get_index()),
            })
        }
        Which::TimeoutNow(()) => Message::TimeoutNow(TimeoutNow { term }),
    })
}

fn encode_position(index: u64, term: u64, mut builder: wire::log_position::Builder<'_>) {
    builder.set_index(index);
    builder.set_term(term);
}

fn encode_membership(membership: &Membership, mut builder: wire::membership::Builder<'_>) {
    let voters = builder
        .reborrow()
        .init_voters(membership.voters.len() as u32);
    encode_numbers(voters, membership.voters.iter().map(|one| one.0));
    let learners = builder.init_learners(membership.learners.len() as u32);
    encode_numbers(learners, membership.learners.iter().map(|one| one.0));
}

fn decode_membership(reader: wire::membership::Reader<'_>) -> Result<Membership, CodecError> {
    Ok(Membership {
        voters: reader.get_voters()?.iter().map(ReplicaId).collect(),
        learners: reader.get_learners()?.iter().map(ReplicaId).collect(),
    })
}

fn encode_append(request: &AppendRequest, mut builder: wire::append_request::Builder<'_>) {
    encode_position(
        request.previous_index,
        request.previous_term,
        builder.reborrow().init_previous(),
    );
    builder.set_commit(request.commit);
    let mut entries = builder.init_entries(request.entries.len() as u32);
    for (index, entry) in request.entries.iter().enumerate() {
        let mut one = entries.reborrow().get(index as u32);
        one.set_index(entry.index);
        one.set_term(entry.term);
        match &entry.kind {
            EntryKind::Empty => one.set_empty(()),
            EntryKind::Command(payload) => one.set_command(payload),
            EntryKind::Membership(membership) => {
                encode_membership(membership, one.init_membership());
            }
        }
    }
}

fn decode_append(
    term: u64,
    reader: wire::append_request::Reader<'_>,
) -> Result<AppendRequest, CodecError> {
    let previous = reader.get_previous()?;
    Ok(AppendRequest {
        term,
        previous_index: previous.get_index(),
        previous_term: previous.get_term(),
        entries: decode_structs(reader.get_entries()?, decode_entry)?,
        commit: reader.get_commit(),
    })
}

fn decode_entry(reader: wire::log_entry::Reader<'_>) -> Result<Entry, CodecError> {
    use wire::log_entry::Which;
    let kind = match reader.which()? {
        Which::Empty(()) => EntryKind::Empty,
        Which::Command(payload) => EntryKind::Command(payload?.into()),
        Which::Membership(membership) => EntryKind::Membership(decode_membership(membership?)?),
    };
    Ok(Entry {
        index: reader.get_index(),
        term: reader.get_term(),
        kind,
    })
}

fn encode_outcome(outcome: &AppendOutcome, mut builder: wire::append_response::Builder<'_>) {
    match outcome {
        AppendOutcome::Accepted { match_index } => builder.set_accepted(*match_index),
        AppendOutcome::Rejected {
            previous_index,
            hint_index,
        } => {
            let mut rejected = builder.init_rejected();
            rejected.set_previous_index(*previous_index);
            rejected.set_hint_index(*hint_index);
        }
    }
}

fn decode_outcome(reader: wire::append_response::Reader<'_>) -> Result<AppendOutcome, CodecError> {
    use wire::append_response::Which;
    Ok(match reader.which()? {
        Which::Accepted(match_index) => AppendOutcome::Accepted { match_index },
        Which::Rejected(rejected) => AppendOutcome::Rejected {
            previous_index: rejected.get_previous_index(),
            hint_index: rejected.get_hint_index(),
        },
    })
}

fn encode_chunk(chunk: &SnapshotChunk, mut builder: wire::snapshot_chunk::Builder<'_>) {
    encode_position(
        chunk.meta.index,
        chunk.meta.term,
        builder.reborrow().init_position(),
    );
    encode_membership(&chunk.meta.membership, builder.reborrow().init_membership());
    builder.set_offset(chunk.offset);
    builder.set_bytes(&chunk.bytes);
    builder.set_done(chunk.done);
}

fn decode_chunk(
    term: u64,
    reader: wire::snapshot_chunk::Reader<'_>,
) -> Result<SnapshotChunk, CodecError> {
    let position = reader.get_position()?;
    Ok(SnapshotChunk {
        term,
        meta: SnapshotMeta {
            index: position.get_index(),
            term: position.get_term(),
            membership: decode_membership(reader.get_membership()?)?,
        },
        offset: reader.get_offset(),
        bytes: reader.get_bytes()?.to_vec(),
        done: reader.get_done(),
    })
}
