//! Load of a scale run: changes of configuration and batch jobs.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use ed25519_dalek::SigningKey;
use pinerill_types::bundle::{
    Bundle, Entry, EntryKey, EntryKind, IndexedBundle, Model, Service, SignedChange, Tenant,
};
use pinerill_types::job::{ItemInput, JobState};
use pinerill_types::{Digest, ModelName, OperatorName, ServiceName, TenantName};
use pinerill_wire::api::ControlApi;
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{
    BundleShow, ProposalAnswer, ProposeBundle, Request, Response, SubmitJob, META_GROUP,
};
use tokio::time::{interval, MissedTickBehavior};

use super::hollow::{unix_microseconds, Quantiles};

/// Time until a proposal or a part of a job counts as failed.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Models in steady use at the required size.
pub const MODELS: u32 = 20;
/// Items of one part of a job.
const PART_ITEMS: u32 = 1_000;
/// Deadline and retention of a job: one day, milliseconds.
const DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// The operator who signs.
pub struct Signer {
    /// Name in the founding bundle.
    pub operator: OperatorName,
    /// Secret key.
    pub key: SigningKey,
}

/// Proposes changes at a steady rate and notes when each was committed.
pub struct ChangeDriver {
    client: Arc<ControlClient>,
    signer: Signer,
    bundle: IndexedBundle,
    tenants: u32,
    /// The last proposal, until its answer arrives.
    unanswered: Option<SignedChange>,
    /// When each version was proposed, Unix microseconds.
    pub proposed: BTreeMap<u64, u64>,
    /// When each version was known to be committed, Unix microseconds.
    pub committed: BTreeMap<u64, u64>,
}

impl ChangeDriver {
    /// Reads the bundle in force.
    ///
    /// # Errors
    /// When the control machines don't answer.
    pub async fn start(client: Arc<ControlClient>, signer: Signer) -> anyhow::Result<Self> {
        let answer = client
            .call_any(Request::BundleShow(BundleShow), CALL_TIME)
            .await?;
        let Response::BundleShow(shown) = answer else {
            bail!("reading the bundle in force: unexpected answer");
        };
        Ok(Self {
            client,
            signer,
            bundle: IndexedBundle::new(shown.bundle),
            tenants: 0,
            unanswered: None,
            proposed: BTreeMap::new(),
            committed: BTreeMap::new(),
        })
    }

    /// Rolls out models, services and `tenants` tenants in one change.
    ///
    /// # Errors
    /// When the proposal is not accepted.
    pub async fn roll_out_base(&mut self, tenants: u32) -> anyhow::Result<()> {
        self.tenants = tenants;
        let bundle = base_bundle(tenants);
        let entries = bundle
            .entries()
            .into_iter()
            .filter(|(key, _)| key.kind != EntryKind::Policy)
            .map(|(key, value)| Entry { key, value })
            .collect();
        self.propose(entries).await
    }

    /// Changes one tenant's limits, `per_second` times a second, for `time`.
    ///
    /// # Errors
    /// When a proposal is not accepted.
    pub async fn run(&mut self, per_second: f64, time: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + time;
        let mut ticks = interval(Duration::from_secs_f64(1.0 / per_second));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while Instant::now() < end {
            ticks.tick().await;
            self.change_once().await?;
        }
        Ok(())
    }

    /// Changes one tenant's limits. After an error, the next call proposes
    /// the same change again.
    ///
    /// # Errors
    /// When the proposal is not accepted.
    pub async fn change_once(&mut self) -> anyhow::Result<()> {
        if let Some(signed) = self.unanswered.take() {
            return self.send(signed).await;
        }
        let turn = self.bundle.version() as u32;
        let tenant = tenant(turn % self.tenants, 100.0 + f64::from(turn));
        let entry = Entry {
            key: EntryKey {
                kind: EntryKind::Tenant,
                name: tenant_name(turn % self.tenants).0,
            },
            value: serde_json::to_string(&tenant)?,
        };
        self.propose(vec![entry]).await
    }

    /// From proposal to known commit, without the first `skip` versions.
    pub fn commit_times(&self, skip: usize) -> Quantiles {
        let times = self
            .committed
            .iter()
            .skip(skip)
            .filter_map(|(version, at)| Some(at.saturating_sub(*self.proposed.get(version)?)));
        Quantiles::of_microseconds(times)
    }

    async fn propose(&mut self, entries: Vec<Entry>) -> anyhow::Result<()> {
        let mut signed = SignedChange {
            change: self.bundle.compose(entries)?,
            sign_offs: Vec::new(),
        };
        signed.sign(self.signer.operator.clone(), &self.signer.key);
        self.proposed
            .insert(signed.change.version, unix_microseconds());
        self.send(signed).await
    }

    async fn send(&mut self, signed: SignedChange) -> anyhow::Result<()> {
        let version = signed.change.version;
        self.unanswered = Some(signed.clone());
        let request = Request::ProposeBundle(ProposeBundle { signed });
        let answer = self
            .client
            .call_leader(META_GROUP, request, CALL_TIME)
            .await?;
        self.unanswered = None;
        self.committed.insert(version, unix_microseconds());
        match answer {
            Response::ProposeBundle(done) if done.answer == ProposalAnswer::Accepted => Ok(()),
            other => bail!("proposing version {version}: {other:?}"),
        }
    }
}

fn base_bundle(tenants: u32) -> Bundle {
    let mut bundle = Bundle::default();
    for index in 0..MODELS {
        let model = Model {
            version: "1".to_owned(),
            weights: format!("models/{index}"),
            adapters: BTreeMap::new(),
            placement: Default::default(),
        };
        let model_name = ModelName(format!("model-{index}"));
        let service: Service = serde_json::from_value(serde_json::json!({ "model": model_name }))
            .expect("a service needs only a model");
        bundle.models.insert(model_name, model);
        bundle.services.insert(service_name(index), service);
    }
    for index in 0..tenants {
        let value = tenant(index, 100.0);
        bundle.tenants.insert(tenant_name(index), value);
    }
    bundle
}

fn service_name(index: u32) -> ServiceName {
    ServiceName(format!("service-{index}"))
}

fn tenant_name(index: u32) -> TenantName {
    TenantName(format!("tenant-{index}"))
}

fn tenant(index: u32, requests_per_second: f64) -> Tenant {
    let key = Digest::of(format!("key {index}").as_bytes());
    Tenant {
        key_hashes: vec![key.to_string()],
        services: [service_name(index % MODELS)].into(),
        requests_per_second,
        burst: 200,
        concurrent_requests: 512,
        open_batch_items: 1_000_000,
    }
}

/// Submits jobs so that items arrive at a steady rate.
pub struct JobDriver {
    client: Arc<ControlClient>,
    groups: u32,
    items_per_job: u32,
    /// Items that were accepted.
    pub accepted: AtomicU64,
    /// Jobs that were accepted.
    pub jobs: AtomicU64,
}

impl JobDriver {
    /// A driver of `groups` job groups.
    pub fn new(client: Arc<ControlClient>, groups: u32, items_per_job: u32) -> Self {
        Self {
            client,
            groups,
            items_per_job,
            accepted: AtomicU64::new(0),
            jobs: AtomicU64::new(0),
        }
    }

    /// Submits for `time` at `items_per_second`; jobs overlap.
    ///
    /// # Errors
    /// When a job is refused.
    pub async fn run(
        self: &Arc<Self>,
        items_per_second: f64,
        time: Duration,
    ) -> anyhow::Result<()> {
        let end = Instant::now() + time;
        let pause = f64::from(self.items_per_job) / items_per_second;
        let mut ticks = interval(Duration::from_secs_f64(pause));
        let mut tasks = tokio::task::JoinSet::new();
        let mut number = 0;
        while Instant::now() < end {
            ticks.tick().await;
            let driver = self.clone();
            let job = number;
            tasks.spawn(async move { driver.submit(job).await });
            number += 1;
        }
        while let Some(done) = tasks.join_next().await {
            done.context("submitting a job")??;
        }
        Ok(())
    }

    /// Submits as fast as jobs are accepted, `submitters` at a time.
    ///
    /// # Errors
    /// When a job is refused.
    pub async fn run_closed(
        self: &Arc<Self>,
        submitters: u32,
        time: Duration,
    ) -> anyhow::Result<()> {
        let end = Instant::now() + time;
        let mut tasks = tokio::task::JoinSet::new();
        for submitter in 0..submitters {
            let driver = self.clone();
            tasks.spawn(async move {
                let mut number = submitter;
                while Instant::now() < end {
                    driver.submit(number).await?;
                    number += submitters;
                }
                anyhow::Ok(())
            });
        }
        while let Some(done) = tasks.join_next().await {
            done.context("submitting a job")??;
        }
        Ok(())
    }

    async fn submit(&self, number: u32) -> anyhow::Result<()> {
        let mut received = 0;
        while received < self.items_per_job {
            let part = self.part(number, received);
            let group = part.group;
            let answer = self
                .client
                .call_leader(group, Request::SubmitJob(part), CALL_TIME)
                .await?;
            let Response::SubmitJob(answer) = answer else {
                bail!("submitting job {number}: unexpected answer");
            };
            let new = answer.received - received;
            self.accepted.fetch_add(u64::from(new), Ordering::Relaxed);
            received = answer.received;
            if answer.state != JobState::Receiving {
                break;
            }
        }
        self.jobs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn part(&self, number: u32, first: u32) -> SubmitJob {
        let count = PART_ITEMS.min(self.items_per_job - first);
        SubmitJob {
            group: 1 + number % self.groups,
            tenant: tenant_name(0),
            service: service_name(number % MODELS),
            idempotency_key: format!("scale-{number}"),
            body_digest: Digest::of(&number.to_le_bytes()),
            total_items: self.items_per_job,
            deadline_ms: unix_microseconds() / 1_000 + DEADLINE_MS,
            first_index: first,
            items: (first..first + count).map(item).collect(),
            open_items_limit: u32::MAX,
            attempts_limit: 8,
            retention_ms: DEADLINE_MS,
        }
    }
}

/// An item with a prompt of typical size.
fn item(index: u32) -> ItemInput {
    const PROMPT_BYTES: usize = 300;
    ItemInput {
        custom_id: format!("item-{index}"),
        url: "/v1/completions".to_owned(),
        body: format!(
            "{{\"max_tokens\":64,\"prompt\":\"{index:0>width$}\"}}",
            width = PROMPT_BYTES
        ),
        at_most_once: false,
    }
}
