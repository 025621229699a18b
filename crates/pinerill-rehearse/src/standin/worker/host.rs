//! Drives one engine model with the clock, and carries its events to readers,
//! ledger and cache events.

mod events;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::cache_events::CacheEventLog;
use super::catalog::{Catalog, CatalogRefusal};
use super::kv_handles::KvHandles;
use super::request::{EngineRequest, FinishReason, RequestRecord};
use crate::engine::messages::{
    CancelState, EngineLoad, EngineUsage, Micros, Refusal, RequestId, RequestState,
};
use crate::engine::model::EngineModel;
use crate::engine::parameters::EngineParameters;
use crate::ledger::Ledger;
use crate::standin::http::Failure;

/// Whose engine it is.
#[derive(Clone, Debug)]
pub struct EngineIdentity {
    /// Name of the worker.
    pub worker: String,
    /// Number of the engine.
    pub number: usize,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

impl EngineIdentity {
    /// Full name, `{worker}/{engine}`.
    pub fn full_name(&self) -> String {
        format!("{}/{}", self.worker, self.number)
    }
}

/// What changes under one lock.
#[derive(Debug)]
struct Inner {
    model: EngineModel,
    catalog: Catalog,
    records: HashMap<RequestId, Arc<RequestRecord>>,
    handles: KvHandles,
    leaving: bool,
}

/// One engine of a worker.
#[derive(Debug)]
pub struct EngineHost {
    /// Whose engine it is.
    pub identity: EngineIdentity,
    parameters: EngineParameters,
    inner: Mutex<Inner>,
    wake: Notify,
    readers: AtomicUsize,
    imports: AtomicU64,
    imported_tokens: AtomicU64,
    stale_orders: AtomicU64,
    started_at: Instant,
    ledger: Arc<Ledger>,
    cache_events: Arc<CacheEventLog>,
}

impl EngineHost {
    /// An idle engine.
    pub fn new(
        identity: EngineIdentity,
        parameters: EngineParameters,
        catalog: Catalog,
        ledger: Arc<Ledger>,
        cache_events: Arc<CacheEventLog>,
    ) -> Self {
        let inner = Inner {
            model: EngineModel::new(parameters.clone()),
            catalog,
            records: HashMap::new(),
            handles: KvHandles::default(),
            leaving: false,
        };
        Self {
            identity,
            parameters,
            inner: Mutex::new(inner),
            wake: Notify::new(),
            readers: AtomicUsize::new(0),
            imports: AtomicU64::new(0),
            imported_tokens: AtomicU64::new(0),
            stale_orders: AtomicU64::new(0),
            started_at: Instant::now(),
            ledger,
            cache_events,
        }
    }

    /// Steps the model at its times; sleeps while there is nothing to do.
    pub async fn run(self: Arc<Self>) {
        loop {
            match self.step() {
                Some(at) => tokio::time::sleep_until(self.instant_of(at)).await,
                None => self.wake.notified().await,
            }
        }
    }

    /// Takes a request in, or answers why it never runs.
    pub fn submit(&self, request: &EngineRequest) -> Result<Arc<RequestRecord>, Failure> {
        let record = Arc::new(RequestRecord::new(request));
        let mut inner = self.inner.lock();
        if inner.leaving {
            return Err(Failure::new(503, "leaving", "this worker is leaving"));
        }
        let tokens_left = request.max_tokens.saturating_sub(request.continue_from);
        inner
            .catalog
            .check(&request.model, &request.adapter, tokens_left)
            .map_err(|refusal| catalog_failure(refusal, &request.model))?;
        let imported_tokens = inner.imported_tokens(request, &record.content);
        let submission = request.submission(self.parameters.block_tokens, imported_tokens);
        let idle = inner.model.next_step_at().is_none();
        inner
            .model
            .submit(self.now(), submission)
            .map_err(refusal_failure)?;
        let id = record.request_id.clone();
        inner.records.insert(id, record.clone());
        drop(inner);
        if idle {
            self.wake.notify_one();
        }
        Ok(record)
    }

    /// Ends a request.
    pub fn cancel(&self, id: &RequestId) -> CancelState {
        let mut inner = self.inner.lock();
        let was_live = matches!(
            inner.model.state(id),
            RequestState::Waiting
                | RequestState::Running
                | RequestState::Paused
                | RequestState::Preempted
        );
        let (state, _) = inner.model.cancel(self.now(), id);
        if was_live {
            if let Some(record) = inner.records.get(id).cloned() {
                self.end_cancelled(&record);
            }
        }
        state
    }

    /// Pauses a request, or resumes it; answers its state.
    pub fn set_paused(&self, id: &RequestId, paused: bool) -> RequestState {
        let state = match paused {
            true => self.inner.lock().model.pause(id),
            false => self.inner.lock().model.unpause(id),
        };
        self.wake.notify_one();
        state
    }

    /// The record of a request, also after its end.
    pub fn record(&self, id: &str) -> Option<Arc<RequestRecord>> {
        self.inner.lock().records.get(id).cloned()
    }

    /// Refuses new requests from now on; paused ones run again.
    pub fn leave(&self) {
        let mut inner = self.inner.lock();
        inner.leaving = true;
        inner.model.unpause_all();
        drop(inner);
        self.wake.notify_one();
    }

    /// Whether the worker is leaving.
    pub fn is_leaving(&self) -> bool {
        self.inner.lock().leaving
    }

    /// Whether a request runs or an answer is being read.
    pub fn is_busy(&self) -> bool {
        self.readers.load(Ordering::SeqCst) > 0 || !self.inner.lock().model.is_idle()
    }

    /// Counts at this moment.
    pub fn load(&self) -> EngineLoad {
        self.inner.lock().model.load()
    }

    /// Work done since the start.
    pub fn usage(&self) -> EngineUsage {
        EngineUsage {
            imports: self.imports.load(Ordering::Relaxed),
            imported_tokens: self.imported_tokens.load(Ordering::Relaxed),
            stale_orders: self.stale_orders.load(Ordering::Relaxed),
            ..self.inner.lock().model.usage()
        }
    }

    /// The catalog at this moment.
    pub fn catalog(&self) -> Catalog {
        self.inner.lock().catalog.clone()
    }

    /// Changes the catalog.
    pub fn with_catalog<Output>(&self, change: impl FnOnce(&mut Catalog) -> Output) -> Output {
        change(&mut self.inner.lock().catalog)
    }

    /// Exports the KV cache of a request; `None` when it holds none.
    pub fn export_kv(&self, id: &RequestId) -> Option<(String, u32)> {
        let mut inner = self.inner.lock();
        let record = inner.records.get(id)?.clone();
        let progress = *record.progress.borrow();
        let tokens = match progress.finish {
            Some(FinishReason::Length) => record.prompt_tokens + progress.generated,
            Some(FinishReason::Cancelled) => return None,
            None => inner.model.exportable_tokens(id)?,
        };
        let name = format!(
            "{}-{}-{id}",
            self.identity.incarnation, self.identity.number
        );
        inner
            .handles
            .insert(name.clone(), record.content.clone(), tokens);
        Some((name, tokens))
    }

    /// Keeps an imported handle for the request that brings it.
    pub fn import_kv(&self, handle: String, content: String, tokens: u32) {
        self.imports.fetch_add(1, Ordering::Relaxed);
        self.imported_tokens
            .fetch_add(u64::from(tokens), Ordering::Relaxed);
        self.inner.lock().handles.insert(handle, content, tokens);
    }

    /// Counts an order that came after a newer one.
    pub fn note_stale_order(&self) {
        self.stale_orders.fetch_add(1, Ordering::Relaxed);
    }

    /// Content and tokens of a handle.
    pub fn kv_handle(&self, handle: &str) -> Option<(String, u32)> {
        self.inner.lock().handles.get(handle)
    }

    /// Counts a reader of an answer until the guard is dropped.
    pub fn reader(self: &Arc<Self>) -> ReaderGuard {
        self.readers.fetch_add(1, Ordering::SeqCst);
        ReaderGuard(self.clone())
    }

    fn step(&self) -> Option<Micros> {
        let mut inner = self.inner.lock();
        let events = inner.model.step(self.now());
        let next = inner.model.next_step_at();
        self.publish(&inner.records, &events);
        next
    }

    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    fn instant_of(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at)
    }
}

impl Inner {
    fn imported_tokens(&self, request: &EngineRequest, content: &str) -> u32 {
        let handle = request.kv_handle.as_ref();
        match handle.and_then(|name| self.handles.get(name)) {
            Some((of_content, tokens)) if of_content == content => tokens,
            _ => 0,
        }
    }
}

/// Counts as a reader while it lives.
#[derive(Debug)]
pub struct ReaderGuard(Arc<EngineHost>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::SeqCst);
    }
}

fn refusal_failure(refusal: Refusal) -> Failure {
    match refusal {
        Refusal::DuplicateRequest => Failure::new(
            409,
            "duplicate_request",
            "this incarnation has seen the identifier",
        ),
        Refusal::CancelledBeforeStart => Failure::new(
            503,
            "cancelled_before_start",
            "a cancel came before the request",
        ),
        Refusal::QueueFull => Failure {
            retry_after: Some(1),
            ..Failure::new(429, "queue_full", "the queue of this priority is full")
        },
        Refusal::TooLarge => Failure::new(
            400,
            "bad_request",
            "prompt and answer never fit in the KV cache",
        ),
    }
}

fn catalog_failure(refusal: CatalogRefusal, model: &str) -> Failure {
    let code = match refusal {
        CatalogRefusal::ModelNotLoaded => "model_not_loaded",
        CatalogRefusal::Loading => "loading",
        CatalogRefusal::WrongRole => "wrong_role",
    };
    Failure::new(503, code, format!("model {model}"))
}
