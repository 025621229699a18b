//! `/metrics`, `/livez` and `/readyz`.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::figment::Figment;
use rocket::http::Status;
use rocket::response::status::Custom;
use rocket::{get, routes, Build, Rocket, State};

use super::control::Control;

fn server_settings(address: SocketAddr) -> Figment {
    Figment::from(rocket::Config::release_default())
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        .merge(("ident", false))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
        .merge(("shutdown.force", false))
}

/// The server for operators and their monitoring.
pub(super) fn admin_server(control: Arc<Control>) -> Rocket<Build> {
    rocket::custom(server_settings(control.settings.admin))
        .manage(control)
        .mount("/", routes![metrics, livez, readyz])
}

#[get("/metrics")]
fn metrics(control: &State<Arc<Control>>) -> Custom<String> {
    match control.metrics_text() {
        Ok(text) => Custom(Status::Ok, text),
        Err(error) => Custom(Status::InternalServerError, error.to_string()),
    }
}

#[get("/livez")]
fn livez() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(control: &State<Arc<Control>>) -> Custom<String> {
    let reasons = control.unready_reasons();
    if reasons.is_empty() {
        return Custom(Status::Ok, "ok\n".to_owned());
    }
    Custom(Status::ServiceUnavailable, reasons.join("\n") + "\n")
}
