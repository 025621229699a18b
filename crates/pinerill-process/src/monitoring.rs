//! HTTP endpoints for metrics and health checks: `/metrics`, `/livez` and `/readyz`.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::http::Status;
use rocket::response::status::Custom;
use rocket::{catch, catchers, get, routes, Build, Request, Rocket, State};

use crate::server::server_settings;

/// Source of the metrics and the readiness state of a process.
pub trait Monitored: Send + Sync + 'static {
    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns the reason if the metrics can't be encoded.
    fn metrics_text(&self) -> Result<String, String>;

    /// Returns the reasons why the process is not ready; empty if it is ready.
    fn unready_reasons(&self) -> Vec<String>;
}

/// Builds the server that exposes `subject` at `/metrics`, `/livez` and `/readyz`.
pub fn monitoring_server(address: SocketAddr, subject: Arc<dyn Monitored>) -> Rocket<Build> {
    // Monitoring systems keep connections open between two scrapes. A process that shuts
    // down doesn't wait for these connections.
    let settings = server_settings(address)
        .merge(("shutdown.grace", 0))
        .merge(("shutdown.mercy", 0));
    rocket::custom(settings)
        .manage(subject)
        .mount("/", routes![metrics, livez, readyz])
        .register("/", catchers![default_catcher])
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
fn default_catcher(status: Status, request: &Request<'_>) -> String {
    format!("{} {}: {status}\n", request.method(), request.uri().path())
}
