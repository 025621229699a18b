//! The union of all requests.

use super::{bundle, cluster, directory, job, CodecError};
use crate::message::{
    BundleShow, BundleStatusRequest, CancelJob, ClusterStatusRequest, JobStatusRequest,
    ProposeBundle, ReplaceReplica, Request, TransferLeadership,
};
use crate::wire_capnp as wire;

pub(super) fn encode(request: &Request, mut builder: wire::request::Builder<'_>) {
    match request {
        Request::Watch(watch) => directory::encode_watch(watch, builder.init_watch()),
        Request::PeerDirectory(peer) => {
            directory::encode_peer_request(peer, builder.init_peer_directory());
        }
        Request::ProposeBundle(propose) => {
            bundle::encode_signed(&propose.signed, builder.init_propose_bundle());
        }
        Request::BundleShow(BundleShow) => builder.set_bundle_show(()),
        Request::BundleStatus(BundleStatusRequest) => builder.set_bundle_status(()),
        Request::SubmitJob(submit) => job::encode_submit(submit, builder.init_submit_job()),
        Request::JobStatus(status) => {
            job::encode_tenant_job(&status.tenant, status.job, builder.init_job_status());
        }
        Request::JobOutput(output) => {
            job::encode_output_request(output, builder.init_job_output());
        }
        Request::CancelJob(cancel) => {
            job::encode_tenant_job(&cancel.tenant, cancel.job, builder.init_cancel_job());
        }
        Request::ListJobs(list) => job::encode_list(list, builder.init_list_jobs()),
        Request::LeaseItems(lease) => job::encode_lease(lease, builder.init_lease_items()),
        Request::EndAttempts(end) => job::encode_end(end, builder.init_end_attempts()),
        Request::RenewLeases(renew) => job::encode_renew(renew, builder.init_renew_leases()),
        Request::ClusterInit(init) => cluster::encode_init(init, builder.init_cluster_init()),
        Request::ClusterStatus(ClusterStatusRequest) => builder.set_cluster_status(()),
        Request::ReplaceReplica(replace) => {
            let mut builder = builder.init_replace_replica();
            builder.set_lost(replace.lost);
            builder.set_new(replace.new);
        }
        Request::TransferLeadership(transfer) => {
            let mut builder = builder.init_transfer_leadership();
            builder.set_group(transfer.group);
            builder.set_to(transfer.to);
        }
        Request::CreateGroups(create) => {
            cluster::encode_create(create, builder.init_create_groups());
        }
        Request::Calls(bytes) => builder.set_calls(bytes),
    }
}

pub(super) fn decode(reader: wire::request::Reader<'_>) -> Result<Request, CodecError> {
    use wire::request::Which;
    Ok(match reader.which()? {
        Which::Watch(watch) => Request::Watch(directory::decode_watch(watch?)?),
        Which::PeerDirectory(peer) => Request::PeerDirectory(directory::decode_peer_request(peer?)),
        Which::ProposeBundle(signed) => Request::ProposeBundle(ProposeBundle {
            signed: bundle::decode_signed(signed?)?,
        }),
        Which::BundleShow(()) => Request::BundleShow(BundleShow),
        Which::BundleStatus(()) => Request::BundleStatus(BundleStatusRequest),
        Which::SubmitJob(submit) => Request::SubmitJob(job::decode_submit(submit?)?),
        Which::JobStatus(status) => {
            let (tenant, job) = job::decode_tenant_job(status?)?;
            Request::JobStatus(JobStatusRequest { tenant, job })
        }
        Which::JobOutput(output) => Request::JobOutput(job::decode_output_request(output?)?),
        Which::CancelJob(cancel) => {
            let (tenant, job) = job::decode_tenant_job(cancel?)?;
            Request::CancelJob(CancelJob { tenant, job })
        }
        Which::ListJobs(list) => Request::ListJobs(job::decode_list(list?)?),
        Which::LeaseItems(lease) => Request::LeaseItems(job::decode_lease(lease?)?),
        Which::EndAttempts(end) => Request::EndAttempts(job::decode_end(end?)?),
        Which::RenewLeases(renew) => Request::RenewLeases(job::decode_renew(renew?)?),
        Which::ClusterInit(init) => Request::ClusterInit(cluster::decode_init(init?)?),
        Which::ClusterStatus(()) => Request::ClusterStatus(ClusterStatusRequest),
        Which::ReplaceReplica(replace) => {
            let reader = replace?;
            Request::ReplaceReplica(ReplaceReplica {
                lost: reader.get_lost(),
                new: reader.get_new(),
            })
        }
        Which::TransferLeadership(transfer) => {
            let reader = transfer?;
            Request::TransferLeadership(TransferLeadership {
                group: reader.get_group(),
                to: reader.get_to(),
            })
        }
        Which::CreateGroups(create) => {
            Request::CreateGroups(Box::new(cluster::decode_create(create?)?))
        }
        Which::Calls(bytes) => Request::Calls(bytes?.to_vec()),
    })
}
