//! Prefill at an engine of that role, whose KV cache the decoding engine then
//! imports. Anything that fails here costs only the prefill at the decoder.

use std::sync::Arc;
use std::time::Duration;

use super::execution::OnlineRequest;
use crate::clock;
use crate::engine::{EngineCall, Priority, SendOutcome};
use crate::membership::{Engine, Fleet, Role, Served};

/// Prompts below this many bytes (768 tokens, some three prefill steps) are not
/// worth the transfer: they would wait behind long ones at the few engines that
/// prefill, and their shared prefix is often cached where they decode.
const PROMPT_BYTES_MINIMUM: usize = 3_072;
/// Longest wait for the prefill.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for an export or import.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// The engine that does the prefill of a request for `decoder`, if it pays.
pub fn choose_prefill(
    fleet: &Fleet,
    request: &OnlineRequest,
    decoder: &Engine,
    served: &Served,
) -> Option<Arc<Engine>> {
    let long = request.parsed.prompt.len() >= PROMPT_BYTES_MINIMUM;
    if decoder.role() != Role::Decode || !long {
        return None;
    }
    least_loaded(fleet, request, served)
}

/// The handle of a prefill by `engine` that `decoder` has imported, if it came
/// to one.
pub async fn prepare_prefill(
    request: &OnlineRequest,
    engine: &Engine,
    decoder: &Engine,
    served: &Served,
) -> Option<String> {
    let id = format!("{}.prefill", request.id);
    let call = EngineCall {
        path: request.kind.path(),
        request_id: &id,
        priority: Priority::Online,
        adapter: served.adapter.as_deref(),
        kv_handle: None,
        continue_from: 0,
        body: request.parsed.prefill_body(&served.model),
    };
    let sent = tokio::time::timeout(PREFILL_TIMEOUT, run_prefill(engine, call)).await;
    if !sent.unwrap_or(false) {
        return None;
    }
    let handle = engine.client.export_kv(&id, TRANSFER_TIMEOUT).await?;
    let source = engine.kv_source();
    let imported = decoder
        .client
        .import_kv(&handle, &source, TRANSFER_TIMEOUT)
        .await;
    imported.then_some(handle)
}

async fn run_prefill(engine: &Engine, call: EngineCall<'_>) -> bool {
    match engine.client.send(call).await {
        Ok(SendOutcome::Answer(response)) => response.bytes().await.is_ok(),
        _ => false,
    }
}

/// Another version's KV cache would be of no use to the decoder.
fn least_loaded(fleet: &Fleet, request: &OnlineRequest, served: &Served) -> Option<Arc<Engine>> {
    let view = fleet.view();
    let now_ms = clock::now_ms();
    let engines = view.services.get(&request.plan.name)?;
    let usable = engines
        .prefill
        .iter()
        .filter(|engine| engine.worker.accepts_work(now_ms))
        .filter(|engine| engine.serves(&request.plan).as_ref() == Some(served));
    usable
        .min_by(|left, right| {
            let load = |engine: &Engine| engine.candidate(now_ms, 0).online;
            load(left).total_cmp(&load(right))
        })
        .cloned()
}
