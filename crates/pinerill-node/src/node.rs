//! What the parts of one node share.

use std::sync::Arc;

use parking_lot::Mutex;
use pinerill_types::settings::NodeSettings;
use pinerill_wire::api::ControlApi;
use pinerill_wire::connection::LinkCounters;

use crate::admission::TenantLimits;
use crate::batch::BatchControl;
use crate::configuration::Configuration;
use crate::dispatcher::Dispatcher;
use crate::drain::Drain;
use crate::engine::worker_client;
use crate::gateway::Disconnects;
use crate::groups::Groups;
use crate::jobs::{IntakeMemory, JobsClient};
use crate::membership::Fleet;
use crate::metrics::Metrics;
use crate::online::ExecutionContext;

/// The shared parts of one node.
pub struct Node {
    /// Its settings.
    pub settings: NodeSettings,
    /// Random number of this start.
    pub incarnation: u64,
    /// Control machines.
    pub api: Arc<dyn ControlApi>,
    /// The bundle in force.
    pub configuration: Arc<Configuration>,
    /// Workers and engines.
    pub fleet: Arc<Fleet>,
    /// Replicated groups.
    pub groups: Arc<Groups>,
    /// What online requests share.
    pub execution: Arc<ExecutionContext>,
    /// Stop of its batch side.
    pub batch: Arc<BatchControl>,
    /// Callers' batch jobs.
    pub jobs: JobsClient,
    /// Memory of batch bodies that arrive.
    pub intake: IntakeMemory,
    /// Limits of tenants.
    pub limits: Arc<Mutex<TenantLimits>>,
    /// Requests in flight and the planned stop.
    pub drain: Arc<Drain>,
    /// Callers who went away.
    pub disconnects: Arc<Disconnects>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Bytes to and from control machines, when the connections are its own.
    pub link: Option<Arc<LinkCounters>>,
}

impl Node {
    /// A node that has not begun to watch or listen.
    ///
    /// # Errors
    /// When counters or connections can't be set up.
    pub fn new(
        settings: NodeSettings,
        api: Arc<dyn ControlApi>,
        link: Option<Arc<LinkCounters>>,
    ) -> anyhow::Result<Self> {
        let metrics = Arc::new(Metrics::new()?);
        let fleet = Arc::new(Fleet::new(&settings, metrics.clone()));
        let dispatcher = Arc::new(Dispatcher::new(fleet.clone(), metrics.clone()));
        let execution = Arc::new(ExecutionContext {
            fleet: fleet.clone(),
            dispatcher,
            metrics: metrics.clone(),
            scripts: worker_client()?,
            budgets: Mutex::default(),
        });
        let groups = Arc::<Groups>::default();
        Ok(Self {
            batch: Arc::new(BatchControl::new(settings.drain_ms)),
            jobs: JobsClient::new(api.clone(), groups.clone()),
            intake: IntakeMemory::new(settings.batch_limit_kib),
            incarnation: rand::random(),
            disconnects: Arc::new(Disconnects::new(settings.listen)),
            settings,
            api,
            configuration: Arc::default(),
            fleet,
            groups,
            execution,
            limits: Arc::default(),
            drain: Arc::default(),
            metrics,
            link,
        })
    }
}
