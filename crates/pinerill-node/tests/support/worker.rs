//! Fake worker with engines. The test controls its behaviour and inspects the received
//! requests. The text of an answer is derived from its prompt, so that a mixed-up,
//! truncated or duplicated answer is detected.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use pinerill_types::Digest;
use pinerill_wire::message::{WorkerRecord, WorkerState};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::stream::TextStream;
use rocket::response::{status::Custom, Responder};
use rocket::serde::json::Json;
use rocket::{get, post, routes, Shutdown, State};
use serde_json::{json, Value};

use super::free_address;

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Execution state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Running,
    Paused,
    Finished,
    Cancelled,
}

/// A received request.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub engine: u16,
    pub batch: bool,
    pub model: String,
    pub prompt: String,
    pub total: u32,
    pub continued_from: u32,
    pub stage: Stage,
    pub sent: u32,
}

/// Configured behaviour of the worker and the requests it has received.
#[derive(Debug)]
pub struct Model {
    pub incarnation: u64,
    pub leaving: bool,
    pub slots: u32,
    pub models: Vec<String>,
    /// Role stated in the load report.
    pub role: &'static str,
    pub preemptions: u64,
    /// Number of online requests of other nodes stated in the load report.
    pub online_elsewhere: u32,
    /// Requests produce this many tokens and then wait.
    pub hold_after: Option<u32>,
    /// When set, the load report does not change.
    pub frozen_report: bool,
    last_report: Value,
    /// Number of load reports sent.
    pub reports: u32,
    /// When set, attach requests are refused as unknown.
    pub forgetful: bool,
    /// When set, no answer begins.
    pub hold_heads: bool,
    /// If present, all requests are refused with this status and code.
    pub refusal: Option<(u16, &'static str)>,
    /// Streams that began before this number was increased end early.
    pub cuts: u32,
    /// Requests by `ENGINE/IDENTIFIER`.
    pub came: BTreeMap<String, ReceivedRequest>,
    /// Identifiers in order of arrival, including refused requests.
    pub arrivals: Vec<String>,
    /// `ENGINE/IDENTIFIER` of the requests for which a cancel arrived.
    pub cancels: Vec<String>,
}

type Shared = Arc<Mutex<Model>>;

/// A running worker.
pub struct FakeWorker {
    pub name: String,
    pub address: SocketAddr,
    pub model: Shared,
    engines: u16,
    shutdown: Shutdown,
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

impl FakeWorker {
    /// Starts a worker that has the model `fanar-8b@1` loaded and answers immediately.
    pub async fn start(name: &str, engines: u16) -> Self {
        let address = free_address();
        let model = Arc::new(Mutex::new(Model {
            incarnation: 1,
            leaving: false,
            slots: 4,
            models: vec!["fanar-8b@1".to_owned()],
            role: "both",
            preemptions: 0,
            online_elsewhere: 0,
            hold_after: None,
            frozen_report: false,
            last_report: Value::Null,
            reports: 0,
            forgetful: false,
            hold_heads: false,
            refusal: None,
            cuts: 0,
            came: BTreeMap::new(),
            arrivals: Vec::new(),
            cancels: Vec::new(),
        }));
        let settings = rocket::Config {
            address: address.ip(),
            port: address.port(),
            log_level: rocket::config::LogLevel::Off,
            shutdown: rocket::config::Shutdown {
                ctrlc: false,
                signals: Default::default(),
                grace: 0,
                mercy: 0,
                ..Default::default()
            },
            ..rocket::Config::release_default()
        };
        let server = rocket::custom(settings)
            .manage(model.clone())
            .manage(Engines(engines))
            .mount("/", routes![report, run, attach, cancel, pause, unpause])
            .ignite()
            .await
            .expect("a server");
        let shutdown = server.shutdown();
        tokio::spawn(server.launch());
        while tokio::net::TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Self {
            name: name.to_owned(),
            address,
            model,
            engines,
            shutdown,
        }
    }

    /// Returns the directory record of this worker.
    pub fn record(&self) -> WorkerRecord {
        self.record_at(self.address)
    }

    /// Returns the directory record with another address.
    pub fn record_at(&self, address: SocketAddr) -> WorkerRecord {
        WorkerRecord {
            name: self.name.as_str().into(),
            address,
            zone: "zone-1".into(),
            engines: self.engines,
            state: WorkerState::Live,
            leaving_incarnation: 0,
        }
    }

    /// Returns the number of requests in this stage.
    pub fn count(&self, batch: bool, stage: Stage) -> usize {
        let model = self.model.lock();
        let came = model.came.values();
        came.filter(|one| one.batch == batch && one.stage == stage)
            .count()
    }

    pub fn change(&self, change: impl FnOnce(&mut Model)) {
        change(&mut self.model.lock());
    }
}

struct Engines(u16);

#[get("/worker")]
fn report(model: &State<Shared>, engines: &State<Engines>) -> Json<Value> {
    let mut model = model.lock();
    model.reports += 1;
    if model.frozen_report {
        return Json(model.last_report.clone());
    }
    let engine = |number: u16| {
        let running = model
            .came
            .values()
            .filter(|one| one.engine == number && one.stage == Stage::Running && !model.hold_heads);
        let batch = running.clone().filter(|one| one.batch).count() as u32;
        json!({
            "engine": number, "role": model.role, "waiting": 0, "slots": model.slots,
            "running": running.count() as u32 + model.online_elsewhere,
            "batch_running": batch, "preemptions": model.preemptions,
            "models": model.models, "adapters": [],
        })
    };
    let list: Vec<Value> = (0..engines.0).map(engine).collect();
    let incarnation = model.incarnation;
    let report = json!({"incarnation": incarnation, "leaving": model.leaving, "engines": list});
    model.last_report = report.clone();
    Json(report)
}

struct Head {
    id: String,
    batch: bool,
    continue_from: u32,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Head {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let header = |name| request.headers().get_one(name).unwrap_or_default();
        Outcome::Success(Self {
            id: header("X-Request-Id").to_owned(),
            batch: header("X-Priority") == "batch",
            continue_from: header("X-Continue-From").parse().unwrap_or(0),
        })
    }
}

type Events = TextStream<futures::stream::BoxStream<'static, String>>;

struct Answer(Events);

impl<'r> Responder<'r, 'r> for Answer {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        let mut response = self.0.respond_to(request)?;
        response.set_raw_header("X-Load", "running=0,waiting=0,batch_running=0");
        Ok(response)
    }
}

type Refused = Custom<Json<Value>>;

fn key(engine: u16, id: &str) -> String {
    format!("{engine}/{id}")
}

fn refused(status: u16, code: &str) -> Refused {
    let error = json!({"code": code, "message": "refused", "started": false});
    Custom(Status::new(status), Json(json!({ "error": error })))
}

#[post("/engines/<engine>/v1/completions", data = "<body>")]
async fn run(
    model: &State<Shared>,
    engine: u16,
    head: Head,
    body: Json<Value>,
) -> Result<Answer, Refused> {
    let key = key(engine, &head.id);
    {
        let mut model = model.lock();
        model.arrivals.push(head.id.clone());
        if model.leaving {
            return Err(refused(503, "leaving"));
        }
        if let Some((status, code)) = model.refusal {
            return Err(refused(status, code));
        }
        let name = body["model"].as_str().unwrap_or_default().to_owned();
        if !model.models.contains(&name) {
            return Err(refused(503, "model_not_loaded"));
        }
        if model.came.contains_key(&key) {
            return Err(refused(409, "duplicate_request"));
        }
        if model.cancels.contains(&key) {
            return Err(refused(503, "cancelled_before_start"));
        }
        let came = ReceivedRequest {
            engine,
            batch: head.batch,
            model: name,
            prompt: body["prompt"].as_str().unwrap_or_default().to_owned(),
            total: body["max_tokens"].as_u64().unwrap_or(4) as u32,
            continued_from: head.continue_from,
            stage: Stage::Running,
            sent: head.continue_from,
        };
        model.came.insert(key.clone(), came);
    }
    while model.lock().hold_heads {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(answer(model.inner().clone(), key, head.continue_from))
}

#[get("/engines/<engine>/v1/requests/<id>/stream?<offset>")]
fn attach(model: &State<Shared>, engine: u16, id: String, offset: u32) -> Result<Answer, Refused> {
    let id = key(engine, &id);
    let knows = model.lock().came.contains_key(&id);
    if !knows || model.lock().forgetful {
        return Err(refused(404, "unknown_request"));
    }
    Ok(answer(model.inner().clone(), id, offset))
}

fn answer(model: Shared, id: String, offset: u32) -> Answer {
    let cuts = model.lock().cuts;
    let state = Some((model, id, offset, cuts));
    let events = futures::stream::unfold(state, |state| async {
        let (model, id, offset, cuts) = state?;
        loop {
            let next = next_event(&mut model.lock(), &id, offset, cuts);
            match next {
                Next::Event(event) => return Some((event, Some((model, id, offset + 1, cuts)))),
                Next::Last(event) => return Some((event, None)),
                Next::Cut => return None,
                Next::Wait => {}
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    Answer(TextStream(Box::pin(events)))
}

enum Next {
    Event(String),
    Last(String),
    Cut,
    Wait,
}

/// Returns token `index` of the answer to a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    format!("{prompt}:{index} ")
}

/// Returns the whole answer to a prompt.
pub fn text(prompt: &str, total: u32) -> String {
    (0..total).map(|index| token(prompt, index)).collect()
}

fn next_event(model: &mut Model, id: &str, offset: u32, cuts: u32) -> Next {
    if model.cuts != cuts {
        return Next::Cut;
    }
    let hold_after = model.hold_after;
    let Some(came) = model.came.get_mut(id) else {
        return Next::Cut;
    };
    let id = id.split_once('/').map_or(id, |(_, id)| id);
    let event = |tokens: u32, text: &str, end: Value| {
        let mut event = json!({
            "request_id": id, "offset": offset, "tokens": tokens, "text": text,
        });
        if let (Some(event), Value::Object(end)) = (event.as_object_mut(), end) {
            event.extend(end);
        }
        format!("data: {event}\n\n")
    };
    if came.stage == Stage::Cancelled {
        let end = json!({"finish_reason": "cancelled"});
        return Next::Last(event(0, "", end));
    }
    if offset >= came.total {
        came.stage = Stage::Finished;
        let digest = hex::encode(Digest::of(text(&came.prompt, came.total).as_bytes()).0);
        let usage = json!({"prompt_tokens": 1, "completion_tokens": came.total});
        let end = json!({"finish_reason": "length", "usage": usage, "digest": digest});
        return Next::Last(event(0, "", end) + "data: [DONE]\n\n");
    }
    let held = hold_after.is_some_and(|limit| offset >= limit);
    if held || (came.stage == Stage::Paused && offset >= came.sent) {
        return Next::Wait;
    }
    came.sent = came.sent.max(offset + 1);
    Next::Event(event(1, &token(&came.prompt, offset), json!({})))
}

#[post("/engines/<engine>/v1/requests/<id>/cancel")]
fn cancel(model: &State<Shared>, engine: u16, id: String) -> Json<Value> {
    let id = key(engine, &id);
    let mut model = model.lock();
    model.cancels.push(id.clone());
    let held = model.hold_heads;
    let state = match model.came.get_mut(&id) {
        None => "unknown",
        Some(came) if came.stage == Stage::Finished => "finished",
        Some(came) => {
            came.stage = Stage::Cancelled;
            if held {
                "not_started"
            } else {
                "cancelled"
            }
        }
    };
    Json(json!({ "state": state }))
}

#[post("/engines/<engine>/v1/requests/<id>/pause")]
fn pause(model: &State<Shared>, engine: u16, id: String) -> Json<Value> {
    change_stage(model, &key(engine, &id), Stage::Running, Stage::Paused)
}

#[post("/engines/<engine>/v1/requests/<id>/unpause")]
fn unpause(model: &State<Shared>, engine: u16, id: String) -> Json<Value> {
    change_stage(model, &key(engine, &id), Stage::Paused, Stage::Running)
}

fn change_stage(model: &State<Shared>, id: &str, from: Stage, to: Stage) -> Json<Value> {
    let mut model = model.lock();
    let came = model.came.get_mut(id);
    let state = match came {
        None => "unknown",
        Some(came) => {
            if came.stage == from {
                came.stage = to;
            }
            match came.stage {
                Stage::Running => "running",
                Stage::Paused => "paused",
                Stage::Finished => "finished",
                Stage::Cancelled => "cancelled",
            }
        }
    };
    Json(json!({ "state": state }))
}
