//! The stand-in for a worker with its engines, as `docs/PROTOCOLS.md` has it.

pub mod cache_events;
pub mod catalog;
pub mod host;
pub mod kv_handles;
pub mod orders;
pub mod report;
pub mod request;
pub mod routes;
pub mod stream;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;

use crate::engine::parameters::EngineParameters;
use crate::ledger::{unix_ms, Ledger};
use crate::standin::http;
use cache_events::CacheEventLog;
use catalog::{AdapterName, Catalog, Role, VersionedName};
use host::EngineHost;
use report::ReportBoard;

/// How often a leaving worker looks whether its work is done.
const LEAVE_POLL: Duration = Duration::from_millis(10);

/// Flags of a worker.
#[derive(Args, Debug, Clone)]
pub struct WorkerArguments {
    /// Name of the worker.
    #[arg(long)]
    pub name: String,
    /// Zone of the worker.
    #[arg(long)]
    pub zone: String,
    /// Address to listen at.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Number of engines.
    #[arg(long, default_value_t = 5)]
    pub engines: usize,
    /// A model that is loaded at start, `name@version`; may be given again.
    #[arg(long = "model")]
    pub models: Vec<VersionedName>,
    /// An adapter that is loaded at start, `model/name@version`; may be given again.
    #[arg(long = "adapter")]
    pub adapters: Vec<AdapterName>,
    /// Role of all engines at start.
    #[arg(long, value_enum, default_value_t = Role::Both)]
    pub role: Role,
    /// Address of the weight store; without one, a load takes `load_ms`.
    #[arg(long)]
    pub weights: Option<SocketAddr>,
    /// Time of a load without a weight store, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub load_ms: u64,
    /// File that the ledger is written to as well.
    #[arg(long)]
    pub ledger: Option<PathBuf>,
    /// Time between load reports, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub report_interval_ms: u64,
    /// Delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub cache_event_delay_ms: u64,
    /// Share of cache events that is lost, in percent.
    #[arg(long, default_value_t = 2)]
    pub cache_event_loss_percent: u32,
    /// Speed of KV transfers between engines, in tokens per second.
    #[arg(long, default_value_t = 200_000)]
    pub kv_transfer_tokens_per_second: u64,
    /// Seed of the losses of cache events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Costs and limits of each engine.
    #[command(flatten)]
    pub parameters: EngineParameters,
}

/// A running worker.
#[derive(Debug)]
pub struct Worker {
    /// Its flags.
    pub arguments: WorkerArguments,
    /// Number of this start: Unix time in milliseconds.
    pub incarnation: u64,
    /// Its engines.
    pub engines: Vec<Arc<EngineHost>>,
    /// What really ran.
    pub ledger: Arc<Ledger>,
    /// Cache events of all engines.
    pub cache_events: Arc<CacheEventLog>,
    /// The last load report.
    pub report: ReportBoard,
    /// Client for the weight store and other engines.
    pub client: reqwest::Client,
}

impl Worker {
    /// A worker with idle engines. Fails when the ledger can't be opened.
    pub fn new(arguments: WorkerArguments) -> anyhow::Result<Self> {
        let incarnation = unix_ms();
        let ledger = Arc::new(Ledger::open(arguments.ledger.as_deref())?);
        let cache_events = Arc::new(CacheEventLog::new(&arguments));
        let engines = (0..arguments.engines)
            .map(|number| {
                let catalog = Catalog::new(&arguments.models, &arguments.adapters, arguments.role);
                let host = EngineHost::new(
                    host::EngineIdentity {
                        worker: arguments.name.clone(),
                        number,
                        incarnation,
                    },
                    arguments.parameters.clone(),
                    catalog,
                    ledger.clone(),
                    cache_events.clone(),
                );
                Arc::new(host)
            })
            .collect();
        Ok(Self {
            report: ReportBoard::default(),
            client: reqwest::Client::new(),
            arguments,
            incarnation,
            engines,
            ledger,
            cache_events,
        })
    }

    /// Refuses new requests, lets paused ones run, and waits until all ended
    /// and all answers were read.
    async fn leave(&self) {
        for engine in &self.engines {
            engine.leave();
        }
        self.report.refresh(self);
        while self.engines.iter().any(|engine| engine.is_busy()) {
            tokio::time::sleep(LEAVE_POLL).await;
        }
    }
}

/// Runs a worker until SIGTERM or SIGINT, then lets its work finish.
pub async fn run(arguments: WorkerArguments) -> anyhow::Result<()> {
    let listen = arguments.listen;
    let worker = Arc::new(Worker::new(arguments)?);
    for engine in &worker.engines {
        tokio::spawn(engine.clone().run());
    }
    worker.report.refresh(&worker);
    tokio::spawn(report::run(worker.clone()));
    let server = http::server(listen).manage(worker.clone());
    let server = http::ignite(server.mount("/", routes::all())).await?;
    let shutdown = server.shutdown();
    tokio::spawn(async move {
        if http::stop_signal().await.is_ok() {
            worker.leave().await;
            shutdown.notify();
        }
    });
    http::launch(server).await
}
