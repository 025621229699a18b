//! What the HTTP servers of all stand-ins share.

use std::net::SocketAddr;

use anyhow::anyhow;
use rocket::config::{LogLevel, Shutdown};
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::{self, Responder, Response};
use rocket::{Build, Config, Data, Rocket};
use serde_json::json;
use tokio::signal::unix::{signal, SignalKind};

/// Largest request body that a stand-in reads.
const BODY_LIMIT_MEBIBYTES: u64 = 16;
/// How long open connections may go on after a stop, in seconds. Idle ones
/// take all of it.
const STOP_GRACE_SECONDS: u32 = 1;
/// How long after that they may take to close, in seconds: the machine may be
/// busy. A stop takes it only when it must.
const STOP_MERCY_SECONDS: u32 = 5;

/// A server that listens at `address` and leaves signals to its stand-in.
pub fn server(address: SocketAddr) -> Rocket<Build> {
    let shutdown = Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: STOP_GRACE_SECONDS,
        mercy: STOP_MERCY_SECONDS,
        force: false,
        ..Shutdown::default()
    };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        keep_alive: 60,
        shutdown,
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// Serves until the process is told to stop. Fails when the address is taken.
pub async fn serve_until_stopped(server: Rocket<Build>) -> anyhow::Result<()> {
    let server = ignite(server).await?;
    let shutdown = server.shutdown();
    tokio::spawn(async move {
        if stop_signal().await.is_ok() {
            shutdown.notify();
        }
    });
    launch(server).await
}

/// Checks the server's configuration.
pub async fn ignite(server: Rocket<Build>) -> anyhow::Result<Rocket<rocket::Ignite>> {
    server
        .ignite()
        .await
        .map_err(|error| anyhow!("preparing the server: {error}"))
}

/// Serves until its shutdown is notified.
pub async fn launch(server: Rocket<rocket::Ignite>) -> anyhow::Result<()> {
    let address = format!("{}:{}", server.config().address, server.config().port);
    match server.launch().await {
        Ok(_) => Ok(()),
        Err(error) => Err(anyhow!("serving at {address}: {error}")),
    }
}

/// Ends at the first SIGTERM or SIGINT.
pub async fn stop_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Reads a whole body, `None` when it is too large or cut.
pub async fn read_body(data: Data<'_>) -> Option<Vec<u8>> {
    let body = data.open(BODY_LIMIT_MEBIBYTES.mebibytes()).into_bytes();
    match body.await {
        Ok(body) if body.is_complete() => Some(body.into_inner()),
        _ => None,
    }
}

/// All request headers a stand-in reads.
#[derive(Debug)]
pub struct RequestHeaders(rocket::http::HeaderMap<'static>);

impl RequestHeaders {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get_one(name)
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for RequestHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let mut headers = rocket::http::HeaderMap::new();
        for header in request.headers().iter() {
            let name = header.name().to_string();
            headers.add(Header::new(name, header.value().to_string()));
        }
        Outcome::Success(Self(headers))
    }
}

/// A refusal or error answer.
#[derive(Debug)]
pub struct Failure {
    /// HTTP status.
    pub status: u16,
    /// Code that programs read.
    pub code: &'static str,
    /// Text for people.
    pub message: String,
    /// When to come back, in seconds.
    pub retry_after: Option<u32>,
}

impl Failure {
    /// A failure without a time to come back.
    pub fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            retry_after: None,
        }
    }
}

impl<'r> Responder<'r, 'static> for Failure {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "started": false,
        }})
        .to_string();
        let mut response = Response::build();
        response
            .status(Status::new(self.status))
            .header(ContentType::JSON)
            .sized_body(body.len(), std::io::Cursor::new(body));
        if let Some(seconds) = self.retry_after {
            response.raw_header("Retry-After", seconds.to_string());
        }
        response.ok()
    }
}
