//! Hollow workers: one process answers for all of them, and for the platform
//! list that names them.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use rocket::http::{ContentType, Status};
use rocket::{get, post, routes, State};
use serde_json::{json, Value};

use super::super::load::MODELS;
use crate::standin::http;

/// Engines of each hollow worker: 45,000 engines on 11,000 workers.
const ENGINES: usize = 4;
/// Slots of each engine.
const SLOTS: usize = 16;
/// Size of an engine's cache, tokens.
const CACHE_TOKENS: usize = 100_000;

/// Arguments of the process.
#[derive(Args, Debug, Clone)]
pub struct HollowWorkerArguments {
    /// Address to listen at; all workers share it.
    #[arg(long)]
    pub listen: SocketAddr,
    /// How many workers.
    #[arg(long)]
    pub workers: u64,
    /// The zones, over which workers go in turn.
    #[arg(long, value_delimiter = ',')]
    pub zones: Vec<String>,
}

struct Answers {
    machines: String,
}

/// Serves until SIGTERM.
///
/// # Errors
/// When the address is taken.
pub async fn run(arguments: HollowWorkerArguments) -> anyhow::Result<()> {
    let answers = Answers {
        machines: machine_list(&arguments).to_string(),
    };
    let server = http::server(arguments.listen)
        .manage(answers)
        .mount("/", routes![machines, report, cache_events, state, order]);
    http::serve_until_stopped(server).await
}

fn machine_list(arguments: &HollowWorkerArguments) -> Value {
    let zones = &arguments.zones;
    let machines: Vec<Value> = (0..arguments.workers)
        .map(|number| {
            json!({
                "name": format!("hollow-worker-{number}"),
                "kind": "worker",
                "address": arguments.listen,
                "zone": zones[number as usize % zones.len()],
                "engines": ENGINES,
                "state": "live",
            })
        })
        .collect();
    json!({"revision": 1, "machines": machines})
}

fn unix_milliseconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map(|since| since.as_millis() as u64).unwrap_or(0)
}

#[get("/machines?<after>&<wait_ms>")]
async fn machines(
    answers: &State<Answers>,
    after: Option<u64>,
    wait_ms: Option<u64>,
) -> Result<(ContentType, String), Status> {
    if after == Some(1) {
        tokio::time::sleep(Duration::from_millis(wait_ms.unwrap_or(0))).await;
        return Err(Status::NotModified);
    }
    Ok((ContentType::JSON, answers.machines.clone()))
}

#[get("/worker")]
fn report() -> (ContentType, String) {
    let models: Vec<String> = (0..MODELS)
        .map(|index| format!("model-{index}@1"))
        .collect();
    let engines: Vec<Value> = (0..ENGINES)
        .map(|engine| {
            json!({
                "engine": engine, "role": "both", "running": 0, "waiting": 0,
                "batch_running": 0, "batch_paused": 0, "slots": SLOTS,
                "kv_used": 0, "kv_total": CACHE_TOKENS, "preemptions": 0,
                "models": models, "adapters": [],
            })
        })
        .collect();
    let report = json!({
        "worker": "hollow", "zone": "", "incarnation": 1,
        "as_of_ms": unix_milliseconds(), "leaving": false, "engines": engines,
    });
    (ContentType::JSON, report.to_string())
}

#[get("/worker/cache_events?<after>&<wait_ms>")]
async fn cache_events(after: Option<u64>, wait_ms: Option<u64>) -> (ContentType, String) {
    tokio::time::sleep(Duration::from_millis(wait_ms.unwrap_or(0))).await;
    let answer = json!({"next": after.unwrap_or(0), "events": []});
    (ContentType::JSON, answer.to_string())
}

#[get("/engines/<engine>/v1/state")]
fn state(engine: usize) -> (ContentType, String) {
    let models: Vec<Value> = (0..MODELS)
        .map(|index| {
            json!({"name": format!("model-{index}"), "version": "1", "adapters": [],
                   "state": "ready"})
        })
        .collect();
    let state = json!({
        "worker": "hollow", "engine": engine, "incarnation": 1, "role": "both",
        "leaving": false, "models": models, "fence": {"term": 0, "sequence": 0},
    });
    (ContentType::JSON, state.to_string())
}

#[post("/engines/<_engine>/v1/orders")]
fn order(_engine: usize) -> (ContentType, String) {
    (ContentType::JSON, json!({"accepted": true}).to_string())
}
