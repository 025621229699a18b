//! HTTP endpoints for operators that list blocked requests and parts of prompts, and clear one.

use std::sync::Arc;

use rocket::http::Status;
use rocket::response::status::Custom;
use rocket::{get, post, routes, Build, Rocket, State};

use super::{PartKey, RequestFingerprint};
use crate::node::Node;

/// Mounts the endpoints below `/requests/blocked` on a node's admin server.
pub(crate) fn mount_blocked_requests(server: Rocket<Build>, node: Arc<Node>) -> Rocket<Build> {
    server
        .manage(node)
        .mount("/requests/blocked", routes![list, clear])
}

/// Lists the blocked requests and parts of prompts, one per line.
#[get("/")]
fn list(node: &State<Arc<Node>>) -> String {
    let requests = node.blocked_requests();
    let requests = requests.iter().map(|one| {
        format!(
            "{} crashes={} last_crash_ms_ago={}\n",
            one.request, one.crashes, one.last_ms
        )
    });
    let parts = node.blocked_parts();
    let parts = parts.iter().map(|one| {
        format!(
            "{} crashes={} last_crash_ms_ago={} part_of_prompts\n",
            one.part, one.crashes, one.last_ms
        )
    });
    requests.chain(parts).collect()
}

/// Clears all known crashes of a request or of a part of prompts, so that it may run again at all
/// nodes. Answers 404 if none was known.
#[post("/<request>/clear")]
fn clear(node: &State<Arc<Node>>, request: &str) -> Custom<String> {
    let Ok(request) = request.parse::<RequestFingerprint>() else {
        return Custom(Status::BadRequest, "not a fingerprint\n".to_owned());
    };
    let part = request.to_string().parse::<PartKey>();
    let is_part_cleared = part.is_ok_and(|part| node.clear_part(part));
    if node.clear_request(request) || is_part_cleared {
        log::warn!(event = "request_cleared", request:% = request; "");
        return Custom(Status::Ok, "cleared\n".to_owned());
    }
    Custom(
        Status::NotFound,
        "no worker is known to have crashed under it\n".to_owned(),
    )
}
