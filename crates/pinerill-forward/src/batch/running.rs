//! An item that runs here, and how it comes to do so.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, Uri};
use pinerill_calls::compression::decompress;
use pinerill_calls::directory::WorkerId;
use pinerill_calls::job::{Header, ItemCall};
use pinerill_calls::message::{decode_any, CallsRequest, CallsResponse, LeasedItem, ReadItem};
use pinerill_calls::table::AllowedRegions;
use pinerill_process::clock::BootTime;

use crate::crash::{RequestIdentity, Requester};
use crate::exchange::{EventText, WorkerRequest};
use crate::fleet::Prompt;
use crate::node::Node;

/// Longest wait for an item's call.
const FETCH_TIME: Duration = Duration::from_secs(2);

/// An item with what has arrived of it.
pub(super) struct Running {
    pub(super) leased: LeasedItem,
    pub(super) service: String,
    /// Regions in which it may run.
    pub(super) homes: AllowedRegions,
    pub(super) headers: Vec<Header>,
    pub(super) identity: Arc<RequestIdentity>,
    pub(super) request: WorkerRequest,
    pub(super) prompt: Prompt,
    pub(super) text: EventText,
    pub(super) last: Option<u64>,
    /// The worker that broke it off last.
    pub(super) avoid: Vec<WorkerId>,
    pub(super) attempts: u32,
    /// Runs though it was known to crash workers.
    pub(super) trials: u32,
    /// It may run once more though it is.
    pub(super) on_trial: bool,
    /// Time that it has run at workers.
    pub(super) ran: Duration,
    /// When its result is due, on the node's clock, milliseconds.
    pub(super) due_ms: i64,
    /// When it gave way, until the next event after that.
    pub(super) gave_way: Option<BootTime>,
    /// How often it gave way.
    pub(super) times_given_way: u32,
    /// Length of the text, and of what is kept of it.
    pub(super) bytes: (usize, usize),
}

/// What it takes to run a leased item; none if it can't be run here.
pub(super) async fn begin(node: &Node, leased: LeasedItem) -> Option<Running> {
    let call = fetch(node, &leased).await?;
    let uri: Uri = call.path.parse().ok()?;
    let table = node.table()?;
    let route = table.route(&leased.host, uri.path())?;
    let service = route.target_at(rand::random())?.service.clone();
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
    let tenant = leased.item.job.tenant();
    Some(Running {
        homes: table.allowed_regions(route, tenant),
        identity: Arc::new(identity),
        service,
        prompt: Prompt::from_call(&node.caller_protocol.item_head(&call.headers)),
        request: WorkerRequest {
            method: Method::POST,
            uri,
            body,
            id: leased.id.clone(),
        },
        headers: call.headers,
        leased,
        text: EventText::default(),
        last: None,
        avoid: Vec::new(),
        attempts: 0,
        trials: 0,
        on_trial: false,
        ran: Duration::ZERO,
        due_ms,
        gave_way: None,
        times_given_way: 0,
        bytes: (0, 0),
    })
}

fn credentials(headers: &[Header]) -> Option<HeaderValue> {
    let named = |header: &&Header| header.name.eq_ignore_ascii_case(AUTHORIZATION.as_str());
    let header = headers.iter().find(named)?;
    HeaderValue::from_str(&header.value).ok()
}

/// The item's call, from a control machine of this zone if there is one: they
/// all hold it, and bytes between zones are dear.
async fn fetch(node: &Node, leased: &LeasedItem) -> Option<ItemCall> {
    let request = CallsRequest::ReadItem(ReadItem {
        job: leased.item.job.clone(),
        item: leased.id.clone(),
    });
    let answer = node
        .cluster
        .call_near(&request, FETCH_TIME, Duration::ZERO)
        .await;
    let CallsResponse::Item(Some(call)) = answer.ok()?.response else {
        return None;
    };
    let bytes = decompress(&call).ok()?;
    decode_any(&bytes).ok()
}
