//! Decodes internal requests of nodes and control machines and dispatches them to their handlers.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_trait::async_trait;
use pinerill_calls::formats::{decode_request, encode_response};
use pinerill_calls::message::{CallsRequest, CallsResponse, Format, MessageError};
use pinerill_calls::traffic::Reach;
use pinerill_wire::api::{Peer, Role, Service};
use pinerill_wire::message::{Notification, Refusal, Request, Response};

use super::control::Control;
use super::refusal;

/// Service that answers nodes and other control machines.
pub(super) struct ControlService {
    pub(super) control: Arc<Control>,
}

#[async_trait]
impl Service for ControlService {
    async fn call(&self, peer: &Peer, request: Request) -> Response {
        let Request::Calls(bytes) = request else {
            let refused = refusal::invalid(&self.control.record, "read request", "not served here");
            return Response::Refused(*refused);
        };
        let (format, request) = match decode_request(&bytes) {
            Ok(read) => read,
            Err(error) => {
                // A peer of a newer build reacts to this refusal by retrying in an older format.
                self.control.record_unreadable_request(peer, &error);
                let refused = refusal::invalid(&self.control.record, "read request", error);
                return Response::Refused(*refused);
            }
        };
        let purpose = request.purpose();
        let reach = Reach::between(&self.control.record.zone, &peer.zone);
        let traffic = &self.control.traffic;
        traffic.record_received(purpose, reach, bytes.len());
        let answered = self
            .control
            .answer_in_format(format, &peer.zone, request)
            .await;
        let encoded = answered.and_then(|response| self.control.encode_answer(response, format));
        match encoded {
            Ok(bytes) => {
                traffic.record_sent(purpose, reach, 1, bytes.len());
                Response::Calls(bytes)
            }
            Err(refused) => Response::Refused(*refused),
        }
    }

    fn notified(&self, peer: &Peer, notification: Notification) {
        let Notification::Replica(envelopes) = notification;
        if peer.role != Role::Control || self.control.is_excluded(peer.replica) {
            return;
        }
        for envelope in envelopes {
            self.control.host.on_message(envelope);
        }
    }
}

impl Control {
    fn encode_answer(
        &self,
        response: CallsResponse,
        format: Format,
    ) -> Result<Vec<u8>, Box<Refusal>> {
        let encoded = encode_response(response, format);
        encoded.map_err(|error| refusal::unknown(&self.record, "write answer", error))
    }

    fn record_unreadable_request(&self, peer: &Peer, error: &MessageError) {
        self.unreadable_requests.fetch_add(1, Ordering::Relaxed);
        log::warn!(
            event = "request_unread", peer = peer.name.as_str(), role:? = peer.role, error:%; ""
        );
    }

    /// Handles an internal request in the newest format.
    ///
    /// # Errors
    /// Returns a refusal; it names the leader if another machine can answer.
    pub(super) async fn handle_request(
        &self,
        request: CallsRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        match request {
            CallsRequest::Watch(watch) => self.watch(watch).await,
            CallsRequest::SubmitJob(job) => self.submit_job(Format::NEWEST, *job).await,
            CallsRequest::ReadResults(read) => self.read_results(read).await,
            CallsRequest::ReadItem(read) => self.read_item(read).await,
            CallsRequest::EndJob(job) => self.end_job(job).await,
            CallsRequest::LeaseItems(lease) => self.lease_items(lease).await,
            CallsRequest::ReportItems(reports) => self.report_items(reports).await,
            CallsRequest::Borrow(borrow) => self.lend_tokens(borrow).await,
            CallsRequest::Join(join) => self.handle_join(join, Format::NEWEST).await,
            CallsRequest::PutTable(put) => self.put_table(*put).await,
            CallsRequest::ReadDocument => self.read_document().await,
            CallsRequest::StartRetirement(name) => self.start_retirement(&name).await,
            CallsRequest::RetirementState(name) => self.retirement_state(&name),
            CallsRequest::EvacuateZone(zone) => self.evacuate_zone(zone).await,
            CallsRequest::ReturnZone(zone) => self.return_zone(zone).await,
            CallsRequest::BorrowSlowStarts(request) => self.lend_slow_starts(request).await,
            CallsRequest::ReadVersions => self.read_versions(),
        }
    }
}
