//! The state of a leased item on this node, and its preparation from the item's stored call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, Uri};
use pinerill_calls::compression::decompress;
use pinerill_calls::directory::WorkerId;
use pinerill_calls::job::{Header, ItemCall};
use pinerill_calls::message::{decode_any, CallsRequest, CallsResponse, LeasedItem, ReadItem};
use pinerill_calls::table::{AllowedRegions, Route, Target};
use pinerill_process::clock::BootTime;

use crate::crash::{RequestIdentity, Requester};
use crate::exchange::{EventText, WorkerRequest};
use crate::fleet::{Prompt, RequiredSoftware};
use crate::node::Node;

/// Time limit for fetching an item's call.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A leased item with its request and the progress of its runs.
pub(super) struct ActiveItem {
    pub(super) leased: LeasedItem,
    pub(super) service: String,
    /// Regions in which the item may run.
    pub(super) homes: AllowedRegions,
    pub(super) headers: Vec<Header>,
    pub(super) identity: Arc<RequestIdentity>,
    pub(super) request: WorkerRequest,
    pub(super) prompt: Prompt,
    /// Text of all events received so far.
    pub(super) text: EventText,
    /// Number of the last event received; None before the first.
    pub(super) last_event: Option<u64>,
    /// Software that may continue the text; any while no event has arrived.
    pub(super) software: RequiredSoftware,
    /// Workers that the next attempt avoids: that of the last broken attempt, and those that
    /// responded without a result since. Empty once no other worker is available.
    pub(super) avoid: Vec<WorkerId>,
    pub(super) attempts: u32,
    /// Number of responses that were neither a result nor a failed run.
    pub(super) without_result: u32,
    /// Number of trial runs made although the item is known to crash workers.
    pub(super) trials: u32,
    /// Total time that the item has run at workers, as a worker of usual pace would have taken.
    pub(super) time_run: Duration,
    /// Due time of the result in milliseconds on the node's clock.
    pub(super) due_ms: i64,
    /// Time of the first preemption since the last event; None once another event has arrived.
    pub(super) interrupted_at: Option<BootTime>,
    /// Number of times that the item was preempted.
    pub(super) preemptions: u32,
    /// Length of the completed text and of its compressed form, in bytes.
    pub(super) bytes: (usize, usize),
}

impl ActiveItem {
    /// Drops what the item's runs have brought, so that the next one begins with the first event.
    pub(super) fn begin_again(&mut self) {
        self.text = EventText::default();
        self.last_event = None;
        self.software = RequiredSoftware::Any;
        self.time_run = Duration::ZERO;
    }
}

/// Fetches the call of a leased item and looks up its route. Returns None if the call cannot be
/// fetched or decoded, or if no route of this node's table matches it.
pub(super) async fn prepare(node: &Node, leased: LeasedItem) -> Option<ActiveItem> {
    let call = fetch_call(node, &leased).await?;
    let uri: Uri = call.path.parse().ok()?;
    let table = node.table()?;
    let route = table.route(&leased.host, uri.path())?;
    let service = draw_service(node, route)?;
    let due_ms = node.now_ms() as i64 + leased.due_in_ms;
    let body = Bytes::from(call.body);
    let identity = RequestIdentity::new(
        Requester::new(
            leased.item.job.tenant(),
            credentials(&call.headers).as_ref(),
        ),
        Method::POST,
        leased.host.clone(),
        uri.clone(),
        body.clone(),
    );
    let head = node.caller_protocol.item_head(&call.headers);
    let identity = identity.with_prompt(&service, &head.prompt);
    let tenant = leased.item.job.tenant();
    Some(ActiveItem {
        homes: table.allowed_regions(route, tenant),
        identity: Arc::new(identity),
        service,
        prompt: Prompt::from_call(&head),
        request: WorkerRequest {
            method: Method::POST,
            uri,
            body,
            id: leased.id.clone(),
        },
        headers: call.headers,
        leased,
        text: EventText::default(),
        last_event: None,
        software: RequiredSoftware::Any,
        avoid: Vec::new(),
        attempts: 0,
        without_result: 0,
        trials: 0,
        time_run: Duration::ZERO,
        due_ms,
        interrupted_at: None,
        preemptions: 0,
        bytes: (0, 0),
    })
}

/// Draws the service of an item by the weights of its route, among the services that have free slots
/// for items if there are any: the leader grants items of a route if one of its services has some.
fn draw_service(node: &Node, route: &Route) -> Option<String> {
    let point = rand::random();
    let target = node.with_fleet(|fleet, now_ms| {
        let has_slot = |target: &Target| fleet.has_batch_slot(now_ms, &target.service);
        route.target_among(point, has_slot)
    });
    let target = target.or_else(|| route.target_at(point))?;
    Some(target.service.clone())
}

fn credentials(headers: &[Header]) -> Option<HeaderValue> {
    let named = |header: &&Header| header.name.eq_ignore_ascii_case(AUTHORIZATION.as_str());
    let header = headers.iter().find(named)?;
    HeaderValue::from_str(&header.value).ok()
}

/// Fetches the item's call, preferably from a control machine of this zone: all of them store
/// it, and traffic between zones is expensive. Returns None if it is missing or unreadable.
async fn fetch_call(node: &Node, leased: &LeasedItem) -> Option<ItemCall> {
    let request = CallsRequest::ReadItem(ReadItem {
        job: leased.item.job.clone(),
        item: leased.id.clone(),
    });
    let answer = node
        .cluster
        .call_near(&request, FETCH_TIMEOUT, Duration::ZERO)
        .await;
    let CallsResponse::Item(Some(call)) = answer.ok()?.response else {
        return None;
    };
    let bytes = decompress(&call).ok()?;
    decode_any(&bytes).ok()
}
