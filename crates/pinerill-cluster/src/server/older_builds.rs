//! Answers nodes and control machines of older builds in the forms that they read.

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

/// Digests of older formats that are remembered: a directory has one in each format, and nodes
/// name the present one or one of the last few.
const DIGESTS_KEPT: usize = 32;

/// No node of an older build knows of evacuations; none is news to it.
const ANY_EVACUATIONS: u64 = u64::MAX;

/// Which present digest a digest of an older format stands for.
#[derive(Debug, Default)]
pub(super) struct OlderDigests {
    /// The newest last.
    pairs: VecDeque<(Digest, Digest)>,
}

impl OlderDigests {
    fn present(&self, older: Digest) -> Option<Digest> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(one, _)| *one == older).map(|(_, now)| *now)
    }

    fn keep(&mut self, older: Digest, present: Digest) {
        if self.present(older) == Some(present) {
            return;
        }
        self.pairs.push_back((older, present));
        if self.pairs.len() > DIGESTS_KEPT {
            self.pairs.pop_front();
        }
    }
}

impl Control {
    /// Carries out a request that came in a format, of an asker in a zone.
    ///
    /// # Errors
    /// A refusal, with the leader where another machine can answer.
    pub(super) async fn answer_as(
        &self,
        format: Format,
        zone: &str,
        request: CallsRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        match request {
            CallsRequest::Watch(watch) if format != Format::NEWEST => {
                self.watch_of_older(format, watch).await
            }
            CallsRequest::LeaseItems(mut lease) if format != Format::NEWEST => {
                // Older builds tell their zone in the handshake alone.
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
                self.may_take_part(&join.machine, format)?;
                self.joined(join, format).await
            }
            other => self.answer(other).await,
        }
    }

    /// A watch of an older build: it is told whole directories, named as it names them.
    async fn watch_of_older(
        &self,
        format: Format,
        asked: WatchRequest,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let known_processes = asked.processes;
        let named_by_digest = format >= Format::DIGESTS;
        let mut watch = asked;
        watch.processes = None;
        watch.evacuations = Some(ANY_EVACUATIONS);
        if let (true, Some(older)) = (named_by_digest, watch.directory) {
            watch.directory = self.older_digests.lock().present(older);
        }
        let mut response = self.watched(watch.clone()).await?;
        if response.directory.is_some() {
            watch.directory = None;
            watch.wait_ms = 0;
            response = self.watched(watch).await?;
        }
        if !named_by_digest {
            return Ok(CallsResponse::Watch(Box::new(response)));
        }
        if let Some(packed) = response.directory.take() {
            let update = packed.unpack();
            let update = update.map_err(|error| self.not_told(error))?;
            response.directory = Some(Packed::new(&self.older_update(format, update)));
        }
        let processes = response.processes.as_ref();
        let digest = processes.map(|told| older_processes_digest(format, told));
        if digest == known_processes {
            response.processes = None;
        }
        Ok(CallsResponse::Watch(Box::new(response)))
    }

    async fn watched(&self, watch: WatchRequest) -> Result<WatchResponse, Box<Refusal>> {
        match self.watch(watch).await? {
            CallsResponse::Watch(response) => Ok(*response),
            _ => Err(self.not_told("an answer of another kind")),
        }
    }

    /// The same whole directory, named by its digest in an older format.
    fn older_update(&self, format: Format, update: DirectoryUpdate) -> DirectoryUpdate {
        let DirectoryChange::Whole(workers) = update.change else {
            return update;
        };
        let directory = Directory::new(workers);
        let digest = directory.digest_in_format(format);
        let mut digests = self.older_digests.lock();
        digests.keep(digest, update.digest);
        DirectoryUpdate {
            digest,
            change: DirectoryChange::Whole(directory.workers().to_vec()),
        }
    }

    fn not_told(&self, error: impl std::fmt::Display) -> Box<Refusal> {
        refusal::unavailable(&self.record, "answer a watch of an older build", error)
    }
}

/// Takes the limit out of a job where replicas of two builds would count the tokens that wait
/// differently: builds of formats without tenants don't tell these apart. The leader has decided
/// before, though several jobs at once may then pass the limit together.
pub(super) fn without_counted_limit(
    job: &mut NewCallJob,
    in_force: Format,
    table: Option<&RouteTable>,
) {
    let has_tenants = table.is_some_and(|table| table.tenants.is_some());
    if in_force < Format::TENANTS && has_tenants {
        job.max_waiting_tokens = 0;
    }
}
