//! HTTP routes of a worker.

use std::sync::Arc;
use std::time::Duration;

use rocket::http::{ContentType, Status};
use rocket::response::stream::ByteStream;
use rocket::response::{self, Responder, Response};
use rocket::serde::json::Json;
use rocket::{get, post, routes, Data, Request, Route, Shutdown, State};
use serde::Deserialize;
use serde_json::{json, Value};

use super::cache_events::CacheEventPage;
use super::catalog::{Catalog, FenceVerdict};
use super::host::EngineHost;
use super::orders::{self, FencedOrder};
use super::request::EngineRequest;
use super::stream::AnswerReader;
use super::Worker;
use crate::engine::messages::EngineUsage;
use crate::standin::http::{read_body, Failure, RequestHeaders};

type AnswerStream = std::pin::Pin<Box<dyn futures::Stream<Item = String> + Send>>;

/// All routes of a worker.
pub fn all() -> Vec<Route> {
    routes![
        load_report,
        completions,
        chat_completions,
        attach,
        cancel,
        pause,
        unpause,
        order,
        state,
        cache_events,
        export_kv,
        import_kv,
        kv_handle,
        ledger,
        usage
    ]
}

/// An answer with the load of its engine.
pub struct EngineAnswer {
    load: String,
    body: AnswerBody,
}

enum AnswerBody {
    Whole(String),
    Stream(AnswerStream),
}

impl<'r> Responder<'r, 'r> for EngineAnswer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            AnswerBody::Whole(body) => (ContentType::JSON, body).respond_to(request)?,
            AnswerBody::Stream(events) => {
                let mut response = ByteStream(events).respond_to(request)?;
                response.set_header(ContentType::EventStream);
                response
            }
        };
        response.set_raw_header("X-Load", self.load);
        Response::build_from(response).ok()
    }
}

#[get("/worker")]
fn load_report(worker: &State<Arc<Worker>>) -> (ContentType, String) {
    (ContentType::JSON, worker.report.last())
}

#[post("/engines/<engine>/v1/completions", data = "<body>")]
async fn completions(
    worker: &State<Arc<Worker>>,
    engine: usize,
    headers: RequestHeaders,
    body: Data<'_>,
) -> Result<EngineAnswer, Failure> {
    run_request(worker, engine, headers, body).await
}

#[post("/engines/<engine>/v1/chat/completions", data = "<body>")]
async fn chat_completions(
    worker: &State<Arc<Worker>>,
    engine: usize,
    headers: RequestHeaders,
    body: Data<'_>,
) -> Result<EngineAnswer, Failure> {
    run_request(worker, engine, headers, body).await
}

async fn run_request(
    worker: &Worker,
    engine: usize,
    headers: RequestHeaders,
    body: Data<'_>,
) -> Result<EngineAnswer, Failure> {
    let host = find_engine(worker, engine)?;
    let request = EngineRequest::parse(read_body(body).await, &headers)?;
    let record = host.submit(&request)?;
    let reader = AnswerReader::new(host, record, request.continue_from);
    let body = match request.stream {
        true => AnswerBody::Stream(Box::pin(reader.events())),
        false => AnswerBody::Whole(reader.whole().await),
    };
    Ok(EngineAnswer {
        load: load_header(host),
        body,
    })
}

#[get("/engines/<engine>/v1/requests/<id>/stream?<offset>")]
fn attach(
    worker: &State<Arc<Worker>>,
    engine: usize,
    id: &str,
    offset: Option<u32>,
) -> Result<EngineAnswer, Failure> {
    let host = find_engine(worker, engine)?;
    let record = host
        .record(id)
        .ok_or_else(|| unknown("unknown_request", id))?;
    let reader = AnswerReader::new(host, record, offset.unwrap_or(0));
    Ok(EngineAnswer {
        load: load_header(host),
        body: AnswerBody::Stream(Box::pin(reader.events())),
    })
}

#[post("/engines/<engine>/v1/requests/<id>/cancel")]
fn cancel(worker: &State<Arc<Worker>>, engine: usize, id: &str) -> Result<Json<Value>, Failure> {
    let state = find_engine(worker, engine)?.cancel(&id.into());
    Ok(Json(json!({ "state": state })))
}

#[post("/engines/<engine>/v1/requests/<id>/pause")]
fn pause(worker: &State<Arc<Worker>>, engine: usize, id: &str) -> Result<Json<Value>, Failure> {
    let state = find_engine(worker, engine)?.set_paused(&id.into(), true);
    Ok(Json(json!({ "state": state })))
}

#[post("/engines/<engine>/v1/requests/<id>/unpause")]
fn unpause(worker: &State<Arc<Worker>>, engine: usize, id: &str) -> Result<Json<Value>, Failure> {
    let state = find_engine(worker, engine)?.set_paused(&id.into(), false);
    Ok(Json(json!({ "state": state })))
}

#[post("/engines/<engine>/v1/orders", data = "<order>")]
fn order(
    worker: &State<Arc<Worker>>,
    engine: usize,
    order: Json<FencedOrder>,
) -> Result<(Status, Json<Value>), Failure> {
    let host = find_engine(worker, engine)?;
    let answer = match orders::apply(worker, host, order.into_inner()) {
        FenceVerdict::New | FenceVerdict::Repeated => (Status::Ok, json!({"accepted": true})),
        FenceVerdict::Stale(newest) => {
            host.note_stale_order();
            let error = json!({"code": "stale_fence", "message": "a newer order was seen"});
            (Status::Conflict, json!({"error": error, "fence": newest}))
        }
    };
    Ok((answer.0, Json(answer.1)))
}

#[get("/engines/<engine>/v1/state")]
fn state(worker: &State<Arc<Worker>>, engine: usize) -> Result<Json<Value>, Failure> {
    let host = find_engine(worker, engine)?;
    let catalog = host.catalog();
    Ok(Json(json!({
        "worker": host.identity.worker,
        "engine": engine,
        "incarnation": host.identity.incarnation,
        "role": catalog.role,
        "leaving": host.is_leaving(),
        "models": models_state(&catalog),
        "fence": catalog.fence,
    })))
}

#[get("/worker/cache_events?<after>&<wait_ms>")]
async fn cache_events(
    worker: &State<Arc<Worker>>,
    after: Option<u64>,
    wait_ms: Option<u64>,
    stopping: Shutdown,
) -> Json<CacheEventPage> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    let after = after.unwrap_or(0);
    // A reader that waits must not hold up the worker's stop.
    tokio::select! {
        page = worker.cache_events.read_or_wait(after, wait) => Json(page),
        () = stopping => Json(worker.cache_events.read(after)),
    }
}

/// Body of a KV export.
#[derive(Debug, Deserialize)]
struct ExportBody {
    request_id: String,
}

#[post("/engines/<engine>/v1/kv/export", data = "<body>")]
fn export_kv(
    worker: &State<Arc<Worker>>,
    engine: usize,
    body: Json<ExportBody>,
) -> Result<Json<Value>, Failure> {
    let host = find_engine(worker, engine)?;
    let id = body.request_id.as_str();
    let (handle, tokens) = host
        .export_kv(&id.into())
        .ok_or_else(|| unknown("unknown_request", id))?;
    Ok(Json(json!({"handle": handle, "tokens": tokens})))
}

/// Body of a KV import.
#[derive(Debug, Deserialize)]
struct ImportBody {
    handle: String,
    source: String,
}

/// What an engine says of its handle.
#[derive(Debug, Deserialize)]
struct HandleBody {
    tokens: u32,
    content: String,
}

#[post("/engines/<engine>/v1/kv/import", data = "<body>")]
async fn import_kv(
    worker: &State<Arc<Worker>>,
    engine: usize,
    body: Json<ImportBody>,
) -> Result<Json<Value>, Failure> {
    let host = find_engine(worker, engine)?;
    let url = format!("http://{}/v1/kv/{}", body.source, body.handle);
    let handle: HandleBody = fetch_handle(&worker.client, &url)
        .await
        .map_err(|_| unknown("unknown_handle", &body.handle))?;
    let speed = worker.arguments.kv_transfer_tokens_per_second.max(1);
    let transfer_us = u64::from(handle.tokens) * 1_000_000 / speed;
    tokio::time::sleep(Duration::from_micros(transfer_us)).await;
    // A source that was lost on the way has sent only a part.
    fetch_handle(&worker.client, &url)
        .await
        .map_err(|_| unknown("unknown_handle", &body.handle))?;
    host.import_kv(body.handle.clone(), handle.content, handle.tokens);
    Ok(Json(json!({"tokens": handle.tokens})))
}

async fn fetch_handle(client: &reqwest::Client, url: &str) -> reqwest::Result<HandleBody> {
    let response = client.get(url).send().await?;
    response.error_for_status()?.json().await
}

#[get("/engines/<engine>/v1/kv/<handle>")]
fn kv_handle(
    worker: &State<Arc<Worker>>,
    engine: usize,
    handle: &str,
) -> Result<Json<Value>, Failure> {
    let host = find_engine(worker, engine)?;
    let (content, tokens) = host
        .kv_handle(handle)
        .ok_or_else(|| unknown("unknown_handle", handle))?;
    Ok(Json(json!({"tokens": tokens, "content": content})))
}

#[get("/ledger")]
fn ledger(worker: &State<Arc<Worker>>) -> Vec<u8> {
    worker.ledger.text()
}

#[get("/usage")]
fn usage(worker: &State<Arc<Worker>>) -> Json<Vec<EngineUsage>> {
    let usages = worker.engines.iter().map(|engine| engine.usage());
    Json(usages.collect())
}

fn find_engine(worker: &Worker, engine: usize) -> Result<&Arc<EngineHost>, Failure> {
    let found = worker.engines.get(engine);
    found.ok_or_else(|| unknown("unknown_engine", &engine.to_string()))
}

fn unknown(code: &'static str, name: &str) -> Failure {
    Failure::new(404, code, format!("{name} is not known here"))
}

fn load_header(host: &EngineHost) -> String {
    let load = host.load();
    format!(
        "running={},waiting={},batch_running={},kv_used={},kv_total={}",
        load.running, load.waiting, load.batch_running, load.kv_used, load.kv_total
    )
}

fn models_state(catalog: &Catalog) -> Vec<Value> {
    let models = catalog.models.iter();
    models
        .map(|(model, state)| {
            let adapters: Vec<Value> = catalog
                .adapters
                .keys()
                .filter(|(owner, _)| *owner == model.name)
                .map(|(_, name)| json!({"name": name.name, "version": name.version}))
                .collect();
            json!({
                "name": model.name,
                "version": model.version,
                "adapters": adapters,
                "state": state,
            })
        })
        .collect()
}
