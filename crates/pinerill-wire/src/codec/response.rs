//! The union of all responses.

use super::list::{decode_structs, encode_structs};
use super::text::{optional_address, optional_address_text, string};
use super::{bundle, cluster, directory, job, CodecError};
use crate::message::{
    EndAttemptsResponse, LeaseItemsResponse, ListJobsResponse, Refusal, RefusalCode,
    RenewLeasesResponse, ReplaceReplicaResponse, Response,
};
use crate::wire_capnp as wire;

pub(super) fn encode(response: &Response, mut builder: wire::response::Builder<'_>) {
    match response {
        Response::Watch(watch) => directory::encode_watch_response(watch, builder.init_watch()),
        Response::PeerDirectory(peer) => {
            directory::encode_peer_response(peer, builder.init_peer_directory());
        }
        Response::ProposeBundle(propose) => {
            bundle::encode_propose_response(propose, builder.init_propose_bundle());
        }
        Response::BundleShow(shown) => bundle::encode_shown(shown, builder.init_bundle_show()),
        Response::BundleStatus(status) => {
            bundle::encode_status(status, builder.init_bundle_status());
        }
        Response::SubmitJob(submit) => {
            job::encode_submit_response(submit, builder.init_submit_job());
        }
        Response::JobStatus(status) => job::encode_status(status, builder.init_job_status()),
        Response::JobOutput(output) => job::encode_output(output, builder.init_job_output()),
        Response::ListJobs(list) => {
            let jobs = builder.init_list_jobs(list.jobs.len() as u32);
            encode_structs(jobs, &list.jobs, job::encode_status);
        }
        Response::LeaseItems(lease) => {
            let items = builder.init_lease_items(lease.items.len() as u32);
            encode_structs(items, &lease.items, job::encode_leased);
        }
        Response::EndAttempts(end) => {
            let mut verdicts = builder.init_end_attempts(end.verdicts.len() as u32);
            for (index, verdict) in end.verdicts.iter().enumerate() {
                verdicts.set(index as u32, job::encode_verdict(*verdict));
            }
        }
        Response::RenewLeases(renew) => {
            let lost = builder.init_renew_leases(renew.lost.len() as u32);
            encode_structs(lost, renew.lost.iter().copied(), job::encode_attempt);
        }
        Response::ClusterInit(init) => {
            cluster::encode_init_response(init, builder.init_cluster_init());
        }
        Response::ClusterStatus(status) => {
            cluster::encode_status(status, builder.init_cluster_status());
        }
        Response::ReplaceReplica(replace) => {
            let mut builder = builder.init_replace_replica();
            builder.set_done(replace.done);
            builder.set_remaining(replace.remaining);
        }
        Response::Done => builder.set_done(()),
        Response::Calls(bytes) => builder.set_calls(bytes),
        Response::Refused(refusal) => encode_refusal(refusal, builder.init_refused()),
    }
}

pub(super) fn decode(reader: wire::response::Reader<'_>) -> Result<Response, CodecError> {
    use wire::response::Which;
    Ok(match reader.which()? {
        Which::Watch(watch) => Response::Watch(directory::decode_watch_response(watch?)?),
        Which::PeerDirectory(peer) => {
            Response::PeerDirectory(directory::decode_peer_response(peer?)?)
        }
        Which::ProposeBundle(propose) => {
            Response::ProposeBundle(bundle::decode_propose_response(propose?)?)
        }
        Which::BundleShow(shown) => Response::BundleShow(bundle::decode_shown(shown?)?),
        Which::BundleStatus(status) => Response::BundleStatus(bundle::decode_status(status?)?),
        Which::SubmitJob(submit) => Response::SubmitJob(job::decode_submit_response(submit?)?),
        Which::JobStatus(status) => Response::JobStatus(job::decode_status(status?)?),
        Which::JobOutput(output) => Response::JobOutput(job::decode_output(output?)?),
        Which::ListJobs(list) => Response::ListJobs(ListJobsResponse {
            jobs: decode_structs(list?, job::decode_status)?,
        }),
        Which::LeaseItems(items) => Response::LeaseItems(LeaseItemsResponse {
            items: decode_structs(items?, job::decode_leased)?,
        }),
        Which::EndAttempts(verdicts) => Response::EndAttempts(EndAttemptsResponse {
            verdicts: verdicts?
                .iter()
                .map(|verdict| Ok(job::decode_verdict(verdict?)))
                .collect::<Result<_, CodecError>>()?,
        }),
        Which::RenewLeases(lost) => Response::RenewLeases(RenewLeasesResponse {
            lost: decode_structs(lost?, job::decode_attempt)?,
        }),
        Which::ClusterInit(init) => Response::ClusterInit(cluster::decode_init_response(init?)?),
        Which::ClusterStatus(status) => Response::ClusterStatus(cluster::decode_status(status?)?),
        Which::ReplaceReplica(replace) => {
            let reader = replace?;
            Response::ReplaceReplica(ReplaceReplicaResponse {
                done: reader.get_done(),
                remaining: reader.get_remaining(),
            })
        }
        Which::Done(()) => Response::Done,
        Which::Calls(bytes) => Response::Calls(bytes?.to_vec()),
        Which::Refused(refusal) => Response::Refused(decode_refusal(refusal?)?),
    })
}

fn encode_refusal(refusal: &Refusal, mut builder: wire::refusal::Builder<'_>) {
    builder.set_code(match refusal.code {
        RefusalCode::NotLeader => wire::RefusalCode::NotLeader,
        RefusalCode::UnknownGroup => wire::RefusalCode::UnknownGroup,
        RefusalCode::Unavailable => wire::RefusalCode::Unavailable,
        RefusalCode::OutcomeUnknown => wire::RefusalCode::OutcomeUnknown,
        RefusalCode::Invalid => wire::RefusalCode::Invalid,
        RefusalCode::NotFound => wire::RefusalCode::NotFound,
        RefusalCode::Conflict => wire::RefusalCode::Conflict,
        RefusalCode::OverLimit => wire::RefusalCode::OverLimit,
        RefusalCode::WrongState => wire::RefusalCode::WrongState,
    });
    builder.set_step(&refusal.step);
    builder.set_peer(&refusal.peer);
    builder.set_message(&refusal.message);
    builder.set_leader(optional_address_text(refusal.leader));
    builder.set_has_retry_after(refusal.retry_after_ms.is_some());
    builder.set_retry_after_ms(refusal.retry_after_ms.unwrap_or_default());
}

fn decode_refusal(reader: wire::refusal::Reader<'_>) -> Result<Refusal, CodecError> {
    let code = match reader.get_code()? {
        wire::RefusalCode::NotLeader => RefusalCode::NotLeader,
        wire::RefusalCode::UnknownGroup => RefusalCode::UnknownGroup,
        wire::RefusalCode::Unavailable => RefusalCode::Unavailable,
        wire::RefusalCode::OutcomeUnknown => RefusalCode::OutcomeUnknown,
        wire::RefusalCode::Invalid => RefusalCode::Invalid,
        wire::RefusalCode::NotFound => RefusalCode::NotFound,
        wire::RefusalCode::Conflict => RefusalCode::Conflict,
        wire::RefusalCode::OverLimit => RefusalCode::OverLimit,
        wire::RefusalCode::WrongState => RefusalCode::WrongState,
    };
    Ok(Refusal {
        code,
        step: string(reader.get_step()?)?,
        peer: string(reader.get_peer()?)?,
        message: string(reader.get_message()?)?,
        leader: optional_address("leader", reader.get_leader()?)?,
        retry_after_ms: reader
            .get_has_retry_after()
            .then(|| reader.get_retry_after_ms()),
    })
}
