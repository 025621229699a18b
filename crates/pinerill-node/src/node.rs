//! State shared by the components of one node.

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
use crate::engine::single_use_client;
use crate::gateway::Disconnects;
use crate::groups::Groups;
use crate::jobs::{IntakeMemory, JobsClient};
use crate::membership::Fleet;
use crate::metrics::Metrics;
use crate::online::ExecutionContext;

/// Shared components of one node.
pub struct Node {
    /// Settings of the node, constant while it runs.
    pub settings: NodeSettings,
    /// Random number that distinguishes this start of the node from earlier ones.
    pub incarnation: u64,
    /// Client for calls to the control machines.
    pub api: Arc<dyn ControlApi>,
    /// The configuration bundle in force and its lease.
    pub configuration: Arc<Configuration>,
    /// Known workers and their engines.
    pub fleet: Arc<Fleet>,
    /// Known replicated groups and their backlogs.
    pub groups: Arc<Groups>,
    /// State shared by all online requests.
    pub execution: Arc<ExecutionContext>,
    /// Stops batch execution and reports when it has ended.
    pub batch: Arc<BatchControl>,
    /// Client for callers' batch jobs in the job groups.
    pub jobs: JobsClient,
    /// Memory budget for batch bodies being received.
    pub intake: IntakeMemory,
    /// Admission limits of tenants.
    pub limits: Arc<Mutex<TenantLimits>>,
    /// Requests in flight and the state of a planned stop.
    pub drain: Arc<Drain>,
    /// Detects callers that have disconnected.
    pub disconnects: Arc<Disconnects>,
    /// Prometheus metrics of this node.
    pub metrics: Arc<Metrics>,
    /// Byte counters of the connections to control machines; `None` if the node did not
    /// open the connections itself.
    pub link: Option<Arc<LinkCounters>>,
}

impl Node {
    /// Creates a node that does not yet watch the control machines or listen for requests.
    ///
    /// # Errors
    /// Returns an error if metrics or connections can't be set up.
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
            scripts: single_use_client()?,
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
