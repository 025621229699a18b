//! Disaggregated prefill: an engine with the prefill role processes the prompt,
//! and the decoding engine imports the resulting KV cache. If any step fails,
//! the decoding engine processes the prompt itself.

use std::sync::Arc;
use std::time::Duration;

use super::execution::OnlineRequest;
use crate::clock;
use crate::engine::{EngineCall, Priority, SendOutcome};
use crate::membership::{Engine, Fleet, Role, Served};

/// Shortest prompt, in bytes, that is prefilled at another engine: 768 tokens or
/// about three prefill steps. For shorter prompts the transfer does not pay:
/// they would queue behind long prompts at the few prefill engines, and the
/// decoding engine often has their shared prefix in its cache.
const MIN_PREFILL_PROMPT_BYTES: usize = 3_072;
/// Timeout of the request to the prefill engine. After it, the decoding engine
/// processes the prompt.
const PREFILL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one KV cache export or import.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the engine that should prefill the prompt for `decoder`. Returns
/// `None` if `decoder` does not have the decode role, the prompt is too short,
/// or no usable prefill engine has the same model version.
pub fn choose_prefill(
    fleet: &Fleet,
    request: &OnlineRequest,
    decoder: &Engine,
    served: &Served,
) -> Option<Arc<Engine>> {
    let long_enough = request.parsed.prompt.len() >= MIN_PREFILL_PROMPT_BYTES;
    if decoder.role() != Role::Decode || !long_enough {
        return None;
    }
    least_loaded(fleet, request, served)
}

/// Runs the prefill at `engine` and lets `decoder` import the KV cache. Returns
/// the handle of the imported cache, or `None` if a step failed or timed out.
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
        at_most_once: false,
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

/// Returns the usable prefill engine with the lowest online load. Only engines
/// with the version `served` qualify, because the decoder cannot use the KV
/// cache of another version.
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
