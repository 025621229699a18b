//! The two rocket servers of a node.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::figment::Figment;
use rocket::http::Status;
use rocket::response::status::Custom;
use rocket::{catch, catchers, get, routes, Build, Request, Rocket, State};

use super::answer::Answer;
use super::batches;
use super::online;
use crate::failure::{FailureCode, RequestFailure};
use crate::gauges;
use crate::node::Node;

/// Seconds that open connections get to end by themselves at shutdown.
const GRACE_SECONDS: u32 = 2;
/// Further seconds until they are closed.
const MERCY_SECONDS: u32 = 1;
/// Seconds that an idle connection is kept.
const KEEP_ALIVE_SECONDS: u32 = 75;

fn server_settings(address: SocketAddr) -> Figment {
    Figment::from(rocket::Config::release_default())
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        .merge(("keep_alive", KEEP_ALIVE_SECONDS))
        .merge(("ident", false))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
        .merge(("shutdown.force", false))
        .merge(("shutdown.grace", GRACE_SECONDS))
        .merge(("shutdown.mercy", MERCY_SECONDS))
}

/// The server for callers.
pub fn caller_server(node: Arc<Node>) -> Rocket<Build> {
    rocket::custom(server_settings(node.settings.listen))
        .manage(node)
        .mount(
            "/",
            routes![
                online::completions,
                online::chat_completions,
                online::models,
                batches::submit,
                batches::list,
                batches::status,
                batches::output,
                batches::cancel
            ],
        )
        .register("/", catchers![unknown_path, other_failure])
}

/// The server for operators and their monitoring.
pub fn admin_server(node: Arc<Node>) -> Rocket<Build> {
    rocket::custom(server_settings(node.settings.admin))
        .manage(node)
        .mount("/", routes![metrics, livez, readyz])
        .register("/", catchers![unknown_path, other_failure])
}

#[catch(404)]
fn unknown_path(request: &Request<'_>) -> Answer {
    let message = format!(
        "{} {} is not served",
        request.method(),
        request.uri().path()
    );
    let failure = RequestFailure::not_run(FailureCode::UnknownPath, "route", message);
    Answer::failure("", failure)
}

#[catch(default)]
fn other_failure(status: Status, _request: &Request<'_>) -> Answer {
    let failure = if status.code < Status::InternalServerError.code {
        RequestFailure::not_run(FailureCode::InvalidRequest, "route", status.to_string())
    } else {
        RequestFailure::unknown(FailureCode::Internal, "handle", status.to_string())
    };
    Answer::failure("", failure)
}

#[get("/metrics")]
fn metrics(node: &State<Arc<Node>>) -> Custom<String> {
    gauges::refresh(node);
    match node.metrics.text() {
        Ok(text) => Custom(Status::Ok, text),
        Err(error) => Custom(Status::InternalServerError, error.to_string()),
    }
}

#[get("/livez")]
fn livez() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(node: &State<Arc<Node>>) -> Custom<String> {
    let reasons = node.unready_reasons();
    if reasons.is_empty() {
        return Custom(Status::Ok, "ok\n".to_owned());
    }
    Custom(Status::ServiceUnavailable, reasons.join("\n") + "\n")
}
