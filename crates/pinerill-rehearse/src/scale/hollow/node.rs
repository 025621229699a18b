//! One hollow node: holds a watch, acknowledges bundles, leases and ends
//! batch items.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use pinerill_types::job::{AttemptEnd, LeasedItem};
use pinerill_types::{Digest, NodeName, ServiceName, WorkerName, ZoneName};
use pinerill_wire::api::ControlApi;
use pinerill_wire::client::ControlClient;
use pinerill_wire::codec::EncodedBundle;
use pinerill_wire::message::{
    AttemptRef, AttemptReport, AttemptVerdict, BundleUpdate, DirectoryUpdate, EndAttempts,
    GroupRecord, LeaseItems, LeaseWant, NodeRecord, Request, Response, WatchRequest, WatchResponse,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

/// Longest time that a watch is held open.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time until a watch counts as failed.
const WATCH_TIME: Duration = Duration::from_millis(2_500);
/// Pause after a failed watch.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two questions for items.
const LEASE_PAUSE: Duration = Duration::from_millis(250);
/// Time until a question for items counts as failed.
const LEASE_TIME: Duration = Duration::from_secs(5);
/// Life of a lease, milliseconds.
const LEASE_MS: u64 = 10_000;
/// Time that a hollow engine takes for an item.
const ITEM_TIME: Duration = Duration::from_millis(200);

/// What all nodes of a process count together.
#[derive(Debug, Default)]
pub struct Tally {
    /// Whether measuring has begun.
    pub measuring: std::sync::atomic::AtomicBool,
    /// Failed watches.
    pub failed_watches: AtomicU64,
    /// Versions below the one held.
    pub reverted: AtomicU64,
    /// Items leased.
    pub leased: AtomicU64,
    /// Ends that counted.
    pub counted: AtomicU64,
    /// Ends that came late.
    pub late: AtomicU64,
    /// Digests of whole bundles, by version. A real node computes its own; so
    /// many hollow ones on one machine share the work.
    digests: Mutex<BTreeMap<u64, Digest>>,
}

impl Tally {
    fn digest_of(&self, bundle: &EncodedBundle) -> Option<Digest> {
        let mut digests = self.digests.lock();
        if let Some(digest) = digests.get(&bundle.version()) {
            return Some(*digest);
        }
        let digest = bundle.decode().ok()?.digest();
        digests.insert(bundle.version(), digest);
        Some(digest)
    }
}

/// What one node saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Versions and when they were in force, Unix microseconds.
    pub versions: Vec<(u64, u64)>,
    /// Longest time without a confirmed watch while measuring.
    pub longest_unconfirmed: Duration,
    /// Workers it knows.
    pub workers: BTreeSet<WorkerName>,
    groups: BTreeMap<u32, GroupRecord>,
}

impl Seen {
    fn take_directory(&mut self, update: DirectoryUpdate) {
        if update.full {
            self.workers.clear();
            self.groups.clear();
        }
        let workers = update.workers.into_iter().map(|worker| worker.name);
        self.workers.extend(workers);
        for name in &update.removed_workers {
            self.workers.remove(name);
        }
        let groups = update.groups.into_iter().map(|one| (one.group, one));
        self.groups.extend(groups);
    }
}

/// One hollow node.
pub struct HollowNode {
    /// Its record in the directory.
    pub record: NodeRecord,
    /// Zones whose workers it wants to know.
    pub zones: Vec<ZoneName>,
    /// Its connections.
    pub client: ControlClient,
    /// What it saw.
    pub seen: Mutex<Seen>,
    /// Most items of one lease.
    pub lease_limit: u32,
    /// What all nodes of the process count together.
    pub tally: Arc<Tally>,
}

/// What the node has of bundle and directory.
struct Held {
    version: u64,
    digest: Digest,
    epoch: u64,
    revision: u64,
    confirmed: Instant,
}

/// Now, Unix microseconds.
pub fn unix_microseconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map(|since| since.as_micros() as u64).unwrap_or(0)
}

impl HollowNode {
    /// Watches for ever.
    pub async fn watch(self: Arc<Self>) {
        let mut held = Held {
            version: 0,
            digest: Digest::default(),
            epoch: 0,
            revision: 0,
            confirmed: Instant::now(),
        };
        loop {
            let sent = Instant::now();
            let request = Request::Watch(self.watch_request(&held));
            match self.client.call_any(request, WATCH_TIME).await {
                Ok(Response::Watch(response)) => self.take(&mut held, response, sent),
                _ => {
                    self.tally.failed_watches.fetch_add(1, Ordering::Relaxed);
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn watch_request(&self, held: &Held) -> WatchRequest {
        let mut node = self.record.clone();
        node.bundle_version = held.version;
        WatchRequest {
            node,
            bundle_digest: held.digest,
            zones: self.zones.clone(),
            directory_epoch: held.epoch,
            directory_revision: held.revision,
            leaving: Vec::new(),
            wait_ms: WATCH_WAIT.as_millis() as u64,
        }
    }

    fn take(&self, held: &mut Held, response: WatchResponse, sent: Instant) {
        if response.version < held.version {
            self.tally.reverted.fetch_add(1, Ordering::Relaxed);
        }
        if response.confirmed {
            self.note_confirmed(held, sent);
        }
        if let Some(update) = response.bundle {
            self.note_bundle(held, update);
        }
        let mut seen = self.seen.lock();
        if let Some(update) = response.directory {
            held.epoch = update.epoch;
            held.revision = update.revision;
            self.client.learn_groups(&update.groups);
            seen.take_directory(update);
        }
    }

    fn note_confirmed(&self, held: &mut Held, sent: Instant) {
        let without = sent.saturating_duration_since(held.confirmed);
        held.confirmed = sent;
        if self.tally.measuring.load(Ordering::Relaxed) {
            let mut seen = self.seen.lock();
            seen.longest_unconfirmed = seen.longest_unconfirmed.max(without);
        }
    }

    /// A hollow node keeps version and digest and lets the entries go.
    fn note_bundle(&self, held: &mut Held, update: BundleUpdate) {
        let (version, digest) = match update {
            BundleUpdate::Changes(changes) => match changes.last() {
                Some(change) => (change.version, change.digest),
                None => return,
            },
            BundleUpdate::Snapshot(bundle) => match self.tally.digest_of(&bundle) {
                Some(digest) => (bundle.version(), digest),
                None => return,
            },
        };
        held.version = version;
        held.digest = digest;
        let seen = (version, unix_microseconds());
        self.seen.lock().versions.push(seen);
    }

    /// Leases and ends items for ever.
    pub async fn work(self: Arc<Self>, seed: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut sequence = 0;
        loop {
            let pause = LEASE_PAUSE.mul_f64(random.gen_range(0.5..1.5));
            sleep(pause).await;
            let Some((group, service)) = self.choose_backlog(&mut random) else {
                continue;
            };
            sequence += 1;
            let items = self.lease(group, service, sequence).await;
            if !items.is_empty() {
                let node = self.clone();
                tokio::spawn(async move { node.end(group, items).await });
            }
        }
    }

    fn choose_backlog(&self, random: &mut Pcg64Mcg) -> Option<(u32, ServiceName)> {
        let seen = self.seen.lock();
        let waiting: Vec<(u32, &ServiceName)> = seen
            .groups
            .values()
            .flat_map(|group| group.backlog.iter().map(|one| (group.group, one)))
            .filter(|(_, backlog)| backlog.pending > 0)
            .map(|(group, backlog)| (group, &backlog.service))
            .collect();
        let (group, service) = waiting.choose(random)?;
        Some((*group, (*service).clone()))
    }

    async fn lease(&self, group: u32, service: ServiceName, sequence: u64) -> Vec<LeasedItem> {
        let request = Request::LeaseItems(LeaseItems {
            group,
            node: self.name(),
            incarnation: self.record.incarnation,
            sequence,
            wants: vec![LeaseWant {
                service,
                limit: self.lease_limit,
            }],
            lease_ms: LEASE_MS,
        });
        match self.client.call_leader(group, request, LEASE_TIME).await {
            Ok(Response::LeaseItems(response)) => {
                let count = response.items.len() as u64;
                self.tally.leased.fetch_add(count, Ordering::Relaxed);
                response.items
            }
            _ => Vec::new(),
        }
    }

    async fn end(&self, group: u32, items: Vec<LeasedItem>) {
        sleep(ITEM_TIME).await;
        let reports = items
            .iter()
            .map(|item| AttemptReport {
                attempt: AttemptRef {
                    job: item.job,
                    index: item.index,
                    attempt: item.attempt,
                },
                end: AttemptEnd::Completed(answer(item)),
            })
            .collect();
        let request = Request::EndAttempts(EndAttempts {
            group,
            node: self.name(),
            reports,
        });
        if let Ok(Response::EndAttempts(response)) =
            self.client.call_leader(group, request, LEASE_TIME).await
        {
            for verdict in response.verdicts {
                let counter = match verdict {
                    AttemptVerdict::Counted => &self.tally.counted,
                    AttemptVerdict::Late | AttemptVerdict::Unknown => &self.tally.late,
                };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn name(&self) -> NodeName {
        self.record.name.clone()
    }
}

/// An answer of the size that a repair order or a round of questions has.
fn answer(item: &LeasedItem) -> String {
    const ANSWER_BYTES: usize = 400;
    format!(
        "{{\"text\":\"{:0>width$}\"}}",
        item.index,
        width = ANSWER_BYTES
    )
}
