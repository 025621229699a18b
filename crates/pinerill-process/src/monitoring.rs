//! `/metrics`, `/livez` and `/readyz`.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::http::Status;
use rocket::response::status::Custom;
use rocket::{catch, catchers, get, routes, Build, Request, Rocket, State};

use crate::server::server_settings;

/// What operators and their monitoring look at.
pub trait Monitored: Send + Sync + 'static {
    /// All metrics in the usual text format.
    ///
    /// # Errors
    /// When they can't be written, with the reason.
    fn metrics_text(&self) -> Result<String, String>;

    /// Why it is not ready; empty when it is.
    fn unready_reasons(&self) -> Vec<String>;
}

/// The server for operators and their monitoring.
pub fn monitoring_server(address: SocketAddr, subject: Arc<dyn Monitored>) -> Rocket<Build> {
    // Monitoring keeps connections open between two looks; a process that stops
    // doesn't wait for these.
    let settings = server_settings(address)
        .merge(("shutdown.grace", 0))
        .merge(("shutdown.mercy", 0));
    rocket::custom(settings)
        .manage(subject)
        .mount("/", routes![metrics, livez, readyz])
        .register("/", catchers![other])
}

#[get("/metrics")]
fn metrics(subject: &State<Arc<dyn Monitored>>) -> Custom<String> {
    match subject.metrics_text() {
        Ok(text) => Custom(Status::Ok, text),
        Err(message) => Custom(Status::InternalServerError, message),
    }
}

#[get("/livez")]
fn livez() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(subject: &State<Arc<dyn Monitored>>) -> Custom<String> {
    let reasons = subject.unready_reasons();
    if reasons.is_empty() {
        return Custom(Status::Ok, "ok\n".to_owned());
    }
    Custom(Status::ServiceUnavailable, reasons.join("\n") + "\n")
}

#[catch(default)]
fn other(status: Status, request: &Request<'_>) -> String {
    format!("{} {}: {status}\n", request.method(), request.uri().path())
}
