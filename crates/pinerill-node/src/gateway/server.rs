//! Builds the HTTP server that callers connect to.

use std::sync::Arc;

use pinerill_process::server_settings;
use rocket::http::Status;
use rocket::{catch, catchers, routes, Build, Request, Rocket};

use super::answer::Answer;
use super::batches;
use super::online;
use crate::failure::{FailureCode, RequestFailure};
use crate::node::Node;

/// Returns the server with all caller routes, on the address in
/// `settings.listen`. It is not started yet.
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
