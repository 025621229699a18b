//! Hands each request to the part that answers it.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_trait::async_trait;
use pinerill_wire::api::{Peer, Role, Service};
use pinerill_wire::message::{
    Notification, RefusalCode, Request, Response, TransferLeadership, META_GROUP,
};

use super::control::Control;
use super::refusal::{propose_refused, refused};
use crate::host::ProposeError;
use pinerill_replica::ReplicaId;

/// Answers the requests of nodes, operators and other control machines.
pub(super) struct ControlService {
    pub(super) control: Arc<Control>,
}

#[async_trait]
impl Service for ControlService {
    async fn call(&self, peer: &Peer, request: Request) -> Response {
        let control = &self.control;
        if let Some(refusal) = self.not_allowed(peer, &request) {
            return refusal;
        }
        match request {
            Request::Watch(watch) => control.watch(watch).await,
            Request::PeerDirectory(ask) => control.peer_directory(ask).await,
            Request::ProposeBundle(proposal) => control.propose_bundle(proposal.signed).await,
            Request::BundleShow(_) => control.bundle_show().await,
            Request::BundleStatus(_) => control.bundle_status().await,
            Request::ClusterInit(init) => control.found_cluster(init).await,
            Request::CreateGroups(create) => control.create_groups(*create).await,
            Request::ClusterStatus(_) => control.cluster_status(),
            Request::ReplaceReplica(replace) => control.replace_replica(replace).await,
            Request::TransferLeadership(transfer) => control.transfer_leadership(transfer).await,
            request => control.job_request(request).await,
        }
    }

    fn notified(&self, peer: &Peer, notification: Notification) {
        if peer.role != Role::Control {
            return;
        }
        let Notification::Replica(envelopes) = notification;
        for envelope in envelopes {
            self.control.groups.on_message(envelope, peer.cluster_id);
        }
    }
}

impl ControlService {
    /// Only control machines found groups and exchange directories; a node
    /// does not operate the cluster.
    fn not_allowed(&self, peer: &Peer, request: &Request) -> Option<Response> {
        let allowed = match request {
            Request::CreateGroups(_) | Request::PeerDirectory(_) => peer.role == Role::Control,
            Request::ClusterInit(_)
            | Request::ReplaceReplica(_)
            | Request::TransferLeadership(_)
            | Request::ProposeBundle(_) => peer.role != Role::Node,
            _ => true,
        };
        let message = format!("{} may not ask for this as {:?}", peer.name, peer.role);
        let refusal = refused(
            RefusalCode::Invalid,
            "check role",
            self.control.name(),
            message,
        );
        (!allowed).then_some(refusal)
    }
}

impl Control {
    async fn job_request(&self, request: Request) -> Response {
        let Some(group) = job_group_of(&request) else {
            let message = "not a request that a control machine answers";
            return refused(RefusalCode::Invalid, "dispatch", self.name(), message);
        };
        match self.groups.job(group) {
            Some(job) => job.service.call(request).await,
            None => self.group_elsewhere(group),
        }
    }

    fn group_elsewhere(&self, group: u32) -> Response {
        let message = format!("group {group} does not run here");
        let mut response = refused(
            RefusalCode::UnknownGroup,
            "find group",
            self.name(),
            message,
        );
        if let Response::Refused(refusal) = &mut response {
            refusal.leader = self.leader_address(group);
        }
        response
    }

    async fn transfer_leadership(&self, transfer: TransferLeadership) -> Response {
        let step = "transfer leadership";
        let to = Some(ReplicaId(transfer.to));
        let handed_over = if transfer.group == META_GROUP {
            let Some(meta) = self.groups.meta().filter(|meta| meta.status().leads()) else {
                return self.not_leader(transfer.group, step);
            };
            meta.transfer_leadership(to).await
        } else {
            let job = self.groups.job(transfer.group);
            let Some(job) = job.filter(|job| job.handle.status().leads()) else {
                return self.not_leader(transfer.group, step);
            };
            job.handle.transfer_leadership(to).await
        };
        if handed_over {
            return Response::Done;
        }
        let message = format!("replica {:016x} did not take over in time", transfer.to);
        refused(RefusalCode::Unavailable, step, self.name(), message)
    }

    pub(super) fn not_leader(&self, group: u32, step: &str) -> Response {
        let error = ProposeError::NotLeader { leader: None };
        propose_refused(&error, step, self.name(), self.leader_address(group))
    }

    /// Counts a value of the server.
    pub(super) fn count(&self, counter: &std::sync::atomic::AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// The group of a request about jobs.
fn job_group_of(request: &Request) -> Option<u32> {
    match request {
        Request::SubmitJob(one) => Some(one.group),
        Request::JobStatus(one) => Some(one.job.group),
        Request::JobOutput(one) => Some(one.job.group),
        Request::CancelJob(one) => Some(one.job.group),
        Request::ListJobs(one) => Some(one.group),
        Request::LeaseItems(one) => Some(one.group),
        Request::EndAttempts(one) => Some(one.group),
        Request::RenewLeases(one) => Some(one.group),
        _ => None,
    }
}
