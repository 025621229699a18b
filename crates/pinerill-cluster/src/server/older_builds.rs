//! Converts requests and responses for nodes and control machines of older builds.

use std::collections::VecDeque;

use pinerill_calls::digest::Digest;
use pinerill_calls::directory::{Directory, DirectoryChange, DirectoryUpdate};
use pinerill_calls::formats::{convert_call, older_processes_digest};
use pinerill_calls::job::NewCallJob;
use pinerill_calls::message::{CallsRequest, CallsResponse, Format, WatchRequest, WatchResponse};
use pinerill_calls::packed::Packed;
use pinerill_calls::table::RouteTable;
use pinerill_wire::message::Refusal;

use super::control::Control;
use super::refusal;

/// Number of digests in older formats that are retained. A directory has a different digest in
/// each format, and nodes name the digest of the current directory or of one of the few before it.
const MAX_OLDER_DIGESTS: usize = 32;

/// Evacuation revision that is put into the watches of builds that don't support
/// evacuations. No revision is newer, so the response contains none.
const MAX_EVACUATION_REVISION: u64 = u64::MAX;

/// Maps digests of directories in older formats to those in the current format.
#[derive(Debug, Default)]
pub(super) struct OlderDigests {
    /// Pairs of an older and a current digest, oldest first.
    pairs: VecDeque<(Digest, Digest)>,
}

impl OlderDigests {
    fn current_digest(&self, older: Digest) -> Option<Digest> {
        let mut pairs = self.pairs.iter();
        pairs
            .find(|(one, _)| *one == older)
            .map(|(_, current)| *current)
    }

    fn insert(&mut self, older: Digest, current: Digest) {
        if self.current_digest(older) == Some(current) {
            return;
        }
        self.pairs.push_back((older, current));
        if self.pairs.len() > MAX_OLDER_DIGESTS {
            self.pairs.pop_front();
        }
    }
}

impl Control {
    /// Handles a request that was encoded in `format` by a peer in `zone`.
    ///
    /// # Errors
    /// Returns a refusal; it names the leader if another machine can answer.
    pub(super) async fn answer_in_format(
        &self,
        format: Format,
        zone: &str,
        request: CallsRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        match request {
            CallsRequest::Watch(watch) if format != Format::NEWEST => {
                self.watch_older_build(format, watch).await
            }
            CallsRequest::LeaseItems(mut lease) if format < Format::ZONES => {
                // Older builds send their zone only in the handshake.
                lease.zone = zone.to_owned();
                self.lease_items(lease).await
            }
            CallsRequest::SubmitJob(job) => self.submit_job(format, *job).await,
            CallsRequest::ReadItem(read) => match self.read_item(read).await? {
                CallsResponse::Item(Some(call)) => {
                    Ok(CallsResponse::Item(Some(convert_call(call, format))))
                }
                other => Ok(other),
            },
            CallsRequest::Join(join) => {
                self.admit_machine(&join.machine, format)?;
                self.handle_join(join, format).await
            }
            other => self.handle_request(other).await,
        }
    }

    /// Answers the watch of an older build. The response holds a directory only as a whole, and
    /// its digests are computed in the peer's format.
    async fn watch_older_build(
        &self,
        format: Format,
        request: WatchRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let known_processes = request.processes;
        let named_by_digest = format >= Format::DIGESTS;
        let mut watch = request;
        watch.processes = None;
        if format < Format::ZONES {
            watch.evacuations = Some(MAX_EVACUATION_REVISION);
        }
        if let (true, Some(older)) = (named_by_digest, watch.directory) {
            watch.directory = self.older_digests.lock().current_digest(older);
        }
        let mut response = self.watch_response(watch.clone()).await?;
        if response.directory.is_some() {
            watch.directory = None;
            watch.wait_ms = 0;
            response = self.watch_response(watch).await?;
        }
        if !named_by_digest {
            return Ok(CallsResponse::Watch(Box::new(response)));
        }
        if let Some(packed) = response.directory.take() {
            let update = packed.unpack();
            let update = update.map_err(|error| self.watch_refusal(error))?;
            response.directory = Some(Packed::new(&self.convert_update(format, update)));
        }
        let processes = response.processes.as_ref();
        let digest = processes.map(|sent| older_processes_digest(format, sent));
        if digest == known_processes {
            response.processes = None;
        }
        Ok(CallsResponse::Watch(Box::new(response)))
    }

    async fn watch_response(&self, watch: WatchRequest) -> Result<WatchResponse, Box<Refusal>> {
        match self.watch(watch).await? {
            CallsResponse::Watch(response) => Ok(*response),
            _ => Err(self.watch_refusal("an answer of another kind")),
        }
    }

    /// Replaces the digest of a whole directory by the one in an older format and remembers which
    /// current digest it stands for. Other updates are returned unchanged.
    fn convert_update(&self, format: Format, update: DirectoryUpdate) -> DirectoryUpdate {
        let DirectoryChange::Whole(workers) = update.change else {
            return update;
        };
        let directory = Directory::new(workers);
        let digest = directory.digest_in_format(format);
        let mut digests = self.older_digests.lock();
        digests.insert(digest, update.digest);
        DirectoryUpdate {
            digest,
            change: DirectoryChange::Whole(directory.workers().to_vec()),
        }
    }

    fn watch_refusal(&self, error: impl std::fmt::Display) -> Box<Refusal> {
        refusal::unavailable(&self.record, "answer a watch of an older build", error)
    }
}

/// Removes the limit on waiting tokens from a job if replicas of different builds would count
/// those tokens differently: formats without tenants don't distinguish the tokens of tenants. The
/// leader has checked the limit already, but several concurrent jobs may exceed it together.
pub(super) fn clear_token_limit(
    job: &mut NewCallJob,
    in_force: Format,
    table: Option<&RouteTable>,
) {
    let has_tenants = table.is_some_and(|table| table.tenants.is_some());
    if in_force < Format::TENANTS && has_tenants {
        job.max_waiting_tokens = 0;
    }
}
