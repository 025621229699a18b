//! HTTP endpoints for operators that list blocked requests and clear one.

use std::sync::Arc;

use rocket::http::Status;
use rocket::response::status::Custom;
use rocket::{get, post, routes, Build, Rocket, State};

use super::RequestFingerprint;
use crate::node::Node;

/// Mounts the endpoints below `/requests/blocked` on a node's admin server.
pub(crate) fn mount_blocked_requests(server: Rocket<Build>, node: Arc<Node>) -> Rocket<Build> {
    server
        .manage(node)
        .mount("/requests/blocked", routes![list, clear])
}

/// Lists the blocked requests, one per line.
#[get("/")]
fn list(node: &State<Arc<Node>>) -> String {
    let blocked = node.blocked_requests();
    blocked
        .iter()
        .map(|one| {
            format!(
                "{} crashes={} last_crash_ms_ago={}\n",
                one.request, one.crashes, one.last_ms
            )
        })
        .collect()
}

/// Clears all known crashes of a request, so that it may run again at all nodes. Answers 404 if
/// none was known.
#[post("/<request>/clear")]
fn clear(node: &State<Arc<Node>>, request: &str) -> Custom<String> {
    let Ok(request) = request.parse::<RequestFingerprint>() else {
        return Custom(Status::BadRequest, "not a fingerprint\n".to_owned());
    };
    if node.clear_request(request) {
        log::warn!(event = "request_cleared", request:% = request; "");
        return Custom(Status::Ok, "cleared\n".to_owned());
    }
    Custom(
        Status::NotFound,
        "no worker is known to have crashed under it\n".to_owned(),
    )
}
