//! Fake control machines with one bundle, one directory and in-memory job groups.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;
use pinerill_types::bundle::Bundle;
use pinerill_wire::api::{CallError, CallErrorKind, ControlApi};
use pinerill_wire::codec::EncodedBundle;
use pinerill_wire::message::{
    BundleUpdate, DirectoryUpdate, GroupRecord, LeavingSign, Request, Response, WatchRequest,
    WatchResponse, WorkerRecord,
};

use super::jobs::FakeJobs;

/// Number of job groups.
pub const JOB_GROUPS: u32 = 4;
/// Time for which a watch without changes stays open.
const WATCH_WAIT: Duration = Duration::from_millis(20);

/// Fault injected into a call to a job group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call is executed, but its answer is lost.
    AnswerLost,
    /// The call never arrives.
    NotSent,
}

#[derive(Debug, Default)]
struct FakeDirectory {
    revision: u64,
    workers: Vec<WorkerRecord>,
    groups: Vec<GroupRecord>,
}

type ChosenFault = (fn(&Request) -> bool, Fault);

/// In-process replacement of the control machines.
pub struct FakeControl {
    /// The bundle in force.
    pub bundle: Mutex<Bundle>,
    directory: Mutex<FakeDirectory>,
    /// Jobs of all groups.
    pub jobs: Mutex<FakeJobs>,
    /// Pending faults, each with the predicate of the calls it applies to.
    faults: Mutex<VecDeque<ChosenFault>>,
    /// When set, no call is answered.
    pub cut_off: AtomicBool,
    /// Leaving signals received from nodes.
    pub leaving: Mutex<Vec<LeavingSign>>,
    /// Number of watch calls received.
    pub watches: AtomicU64,
    /// Every received call to a job group, in order.
    pub calls: Mutex<Vec<Request>>,
}

impl FakeControl {
    pub fn new(bundle: Bundle) -> Self {
        Self {
            bundle: Mutex::new(bundle),
            directory: Mutex::default(),
            jobs: Mutex::new(FakeJobs::default()),
            faults: Mutex::default(),
            cut_off: AtomicBool::new(false),
            leaving: Mutex::default(),
            watches: AtomicU64::new(0),
            calls: Mutex::default(),
        }
    }

    /// Replaces the workers in the directory.
    pub fn list_workers(&self, workers: Vec<WorkerRecord>) {
        let mut directory = self.directory.lock();
        directory.workers = workers;
        directory.revision += 1;
    }

    /// Injects `fault` into the next call that matches `chosen`.
    pub fn fault(&self, chosen: fn(&Request) -> bool, fault: Fault) {
        self.faults.lock().push_back((chosen, fault));
    }

    fn take_fault(&self, request: &Request) -> Option<Fault> {
        let mut faults = self.faults.lock();
        let at = faults.iter().position(|(chosen, _)| chosen(request))?;
        faults.remove(at).map(|(_, fault)| fault)
    }

    /// Returns the number of calls to job groups that match `chosen`.
    pub fn count(&self, chosen: impl Fn(&Request) -> bool) -> usize {
        self.calls.lock().iter().filter(|call| chosen(call)).count()
    }

    fn watch(&self, watch: &WatchRequest) -> WatchResponse {
        self.leaving.lock().extend(watch.leaving.iter().cloned());
        let bundle = self.bundle.lock().clone();
        let known = watch.bundle_digest == bundle.digest();
        let directory = self.directory_since(watch);
        WatchResponse {
            confirmed: true,
            version: bundle.version,
            bundle: (!known).then(|| BundleUpdate::Snapshot(EncodedBundle::from(&bundle))),
            directory,
        }
    }

    /// Returns the whole directory if workers or backlogs have changed.
    fn directory_since(&self, watch: &WatchRequest) -> Option<DirectoryUpdate> {
        let groups = self.groups();
        let mut directory = self.directory.lock();
        if directory.groups != groups {
            directory.groups.clone_from(&groups);
            directory.revision += 1;
        }
        (watch.directory_revision < directory.revision).then(|| DirectoryUpdate {
            epoch: 1,
            revision: directory.revision,
            full: true,
            workers: directory.workers.clone(),
            removed_workers: Vec::new(),
            nodes: vec![watch.node.clone()],
            removed_nodes: Vec::new(),
            groups,
        })
    }

    fn groups(&self) -> Vec<GroupRecord> {
        let jobs = self.jobs.lock();
        (0..=JOB_GROUPS)
            .map(|group| GroupRecord {
                group,
                leader: None,
                backlog: jobs.backlog(group),
            })
            .collect()
    }
}

fn failed(kind: CallErrorKind) -> CallError {
    CallError {
        kind,
        step: "await answer".to_owned(),
        peer: "control-1".to_owned(),
        message: "a fault of the test".to_owned(),
    }
}

#[async_trait]
impl ControlApi for FakeControl {
    async fn call_any(&self, request: Request, timeout: Duration) -> Result<Response, CallError> {
        let Request::Watch(watch) = request else {
            panic!("only watches go to any machine");
        };
        if self.cut_off.load(Ordering::Relaxed) {
            tokio::time::sleep(timeout).await;
            return Err(failed(CallErrorKind::Unknown));
        }
        self.watches.fetch_add(1, Ordering::Relaxed);
        let answer = self.watch(&watch);
        if answer.bundle.is_none() && answer.directory.is_none() {
            tokio::time::sleep(WATCH_WAIT).await;
        }
        Ok(Response::Watch(answer))
    }

    async fn call_leader(
        &self,
        group: u32,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        if self.cut_off.load(Ordering::Relaxed) {
            tokio::time::sleep(timeout).await;
            return Err(failed(CallErrorKind::Unknown));
        }
        self.calls.lock().push(request.clone());
        let fault = self.take_fault(&request);
        if fault == Some(Fault::NotSent) {
            return Err(failed(CallErrorKind::NotSent));
        }
        let answer = self.jobs.lock().call(group, request);
        match (fault, answer) {
            (Some(_), _) => Err(failed(CallErrorKind::Unknown)),
            (None, Response::Refused(refusal)) => Err(refusal.into()),
            (None, answer) => Ok(answer),
        }
    }

    fn learn_groups(&self, _groups: &[GroupRecord]) {}
}
