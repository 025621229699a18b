//! Handles one request: reads its head, checks route, key and quota, reads the body and passes it
//! to the handler.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use pinerill_calls::job::NewCallJob;
use pinerill_calls::protocol::{CallHead, CallerAnswer, CallerRequest, HttpAnswer, Refusal};
use pinerill_calls::table::{Access, PresentedKey, Route, RouteIndex, RouteKind};
use pinerill_process::clock::{timeout_at, BootTime};

use super::jobs;
use crate::call::{run_call, AnswerBody, Call};
use crate::crash::{RequestIdentity, Requester};
use crate::drain;
use crate::exchange::WorkerRequest;
use crate::fleet::Prompt;
use crate::node::Node;
use crate::quota::{self, Permit};

/// Retry delay given to callers by a node that has no route table yet. It is a little longer than
/// a cluster whose processes all start at once takes to know its workers.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Serves one request and returns the response, which may be a refusal.
pub(super) async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<AnswerBody> {
    node.metrics.requests.inc();
    let arrived = BootTime::now();
    let (mut head, body) = request.into_parts();
    let key = node.caller_protocol.take_key(&mut head.headers);
    let path = head.uri.path().to_owned();
    let mut id = String::new();
    let answered = match node.caller_protocol.read_request(&head) {
        Ok(CallerRequest::Call(call)) => {
            id.clone_from(&call.id);
            let received = Received {
                head,
                key,
                call,
                body,
                arrived,
            };
            serve_call(node.clone(), received).await
        }
        // A caller may repeat any of these requests, whether or not it was carried out.
        Ok(other) => unless_answers_due(&node, serve_jobs(&node, &head, key, other)).await,
        Err(error) => Err(Refusal::Malformed(error.to_string())),
    };
    answered.unwrap_or_else(|refusal| refusal_response(&node, &id, &path, &refusal))
}

/// A call whose head has arrived and whose body is not read yet.
struct Received {
    head: Parts,
    key: PresentedKey,
    call: CallHead,
    body: Incoming,
    arrived: BootTime,
}

/// Serves a request for a stored job. Each tenant has access to its own jobs only.
async fn serve_jobs(
    node: &Node,
    head: &Parts,
    key: PresentedKey,
    request: CallerRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let table = known_table(node).await?;
    let host = node.caller_protocol.host(&head.headers);
    let access = table.access_to_jobs(host, key).map_err(Refusal::Denied)?;
    let answer = jobs::serve(node, access.name(), request).await?;
    Ok(into_response(answer))
}

/// Logs a refusal and returns the response for it. The log line contains the path because requests
/// for jobs have no id, and their path names the job or item.
fn refusal_response(node: &Node, id: &str, path: &str, refusal: &Refusal) -> Response<AnswerBody> {
    let answer = node.caller_protocol.answer(CallerAnswer::Refused(refusal));
    let status = answer.status.as_u16();
    node.metrics.refused(status);
    let table = node.table().map(|index| index.table().version);
    log::info!(
        event = "request_refused", id, path, status, table:? = table,
        directory_age_ms = node.directory_age_ms(), reason:% = refusal; ""
    );
    into_response(answer)
}

fn into_response(answer: HttpAnswer) -> Response<AnswerBody> {
    let body = Full::new(answer.body).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Serves a call or the submission of a job.
async fn serve_call(node: Arc<Node>, received: Received) -> Result<Response<AnswerBody>, Refusal> {
    match unless_answers_due(&node, read_work(&node, received)).await? {
        Work::Call(call) => run_call(node, *call).await,
        Work::Job(job, deadline) => jobs::submit(&node, *job, deadline).await.map(into_response),
    }
}

/// Awaits a step in which nothing is sent to a worker and no job is stored.
///
/// # Errors
/// Returns the refusal of the step, or the one of a stopping node if responses fall due first.
async fn unless_answers_due<T>(
    node: &Node,
    step: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let output = node.drain.until_answers_due(step).await;
    output.unwrap_or_else(|_| Err(drain::not_run()))
}

/// An admitted request, read to its end.
enum Work {
    Call(Box<Call>),
    /// A job to store, and the time by which its caller must have a response.
    Job(Box<NewCallJob>, BootTime),
}

/// Admits and reads a call or the submission of a job. Route, key and quota are checked before the
/// body is read.
async fn read_work(node: &Arc<Node>, received: Received) -> Result<Work, Refusal> {
    let table = admit(node).await?;
    let Received {
        head,
        key,
        call,
        body,
        arrived,
    } = received;
    let path = head.uri.path();
    let route = table
        .route(&call.host, path)
        .ok_or(Refusal::NoRoute)?
        .clone();
    let access = table.access(&route, key).map_err(Refusal::Denied)?;
    let deadline = Call::deadline_of(&call, &route, arrived);
    let limit = table.table().limits.max_body_bytes;
    if route.kind == RouteKind::Batch && head.method == Method::POST {
        jobs::check_homes(node, &access.allowed_regions(&route))?;
        let body = read_body(body, limit, deadline).await?;
        let job = node
            .caller_protocol
            .read_job(&call, access.name(), path, &route, &body)
            .map_err(|error| Refusal::Malformed(error.to_string()))?;
        return Ok(Work::Job(Box::new(job), deadline));
    }
    let permit = acquire_permit(node, &access, deadline).await?;
    let body = read_body(body, limit, deadline).await?;
    let admitted = Admitted {
        head,
        call,
        route,
        access,
        permit,
        body,
        arrived,
        deadline,
    };
    Ok(Work::Call(Box::new(admitted.into_call(&table)?)))
}

/// Waits for a quota permit if the call's tenant has a limit on requests; returns `None` if it
/// has none.
async fn acquire_permit(
    node: &Arc<Node>,
    access: &Access,
    deadline: BootTime,
) -> Result<Option<Permit>, Refusal> {
    match &access.tenant {
        Some(tenant) if tenant.limit.is_some() => {
            quota::admit(node, tenant, deadline).await.map(Some)
        }
        _ => Ok(None),
    }
}

/// Returns the route table if the node accepts calls, after waiting while the known state is
/// stale from a suspension of the machine. A call that arrives late while the node stops is
/// refused, because its response would be cut off at the end. A node without a route table
/// refuses calls too, because it can't know that a route does not exist.
async fn admit(node: &Node) -> Result<Arc<RouteIndex>, Refusal> {
    if node.drain.is_admission_over() {
        return Err(drain::not_run());
    }
    node.wait_for_refresh().await;
    known_table(node).await
}

/// Returns the route table, waiting briefly for the first one if the node has just started.
///
/// # Errors
/// Returns a refusal with a retry delay if there is no table yet.
async fn known_table(node: &Node) -> Result<Arc<RouteIndex>, Refusal> {
    node.first_table().await.ok_or(Refusal::NotRun {
        reason: "no route table yet",
        retry_after: Some(STARTING_RETRY_AFTER),
    })
}

/// A call that passed all checks, with its body.
struct Admitted {
    head: Parts,
    call: CallHead,
    route: Arc<Route>,
    access: Access,
    permit: Option<Permit>,
    body: Bytes,
    arrived: BootTime,
    deadline: BootTime,
}

impl Admitted {
    fn into_call(self, table: &RouteIndex) -> Result<Call, Refusal> {
        let target = self
            .route
            .target_at(rand::random())
            .ok_or(Refusal::NoRoute)?;
        let service = target.service.clone();
        let head = self.head;
        let identity = RequestIdentity::new(
            Requester::new(self.access.name(), head.headers.get(AUTHORIZATION)),
            head.method.clone(),
            self.call.host.clone(),
            head.uri.clone(),
            self.body.clone(),
        );
        let identity = identity.with_prompt(&service, &self.call.prompt);
        Ok(Call {
            identity: Arc::new(identity),
            prompt: Prompt::from_call(&self.call),
            request: WorkerRequest {
                method: head.method,
                uri: head.uri,
                body: self.body,
                id: self.call.id.clone(),
            },
            head: self.call,
            headers: head.headers,
            rank: self.access.rank(&self.route),
            homes: self.access.allowed_regions(&self.route),
            access: self.access,
            permit: self.permit,
            route: self.route,
            service,
            table_version: table.table().version,
            arrived: self.arrived,
            deadline: self.deadline,
        })
    }
}

async fn read_body(body: Incoming, limit: u64, deadline: BootTime) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, limit as usize);
    let read = timeout_at(deadline, limited.collect()).await;
    match read {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLong),
        Ok(Err(error)) => Err(Refusal::Malformed(format!("read body: {error}"))),
        Err(_) => Err(Refusal::NotRun {
            reason: "the body did not arrive in time",
            retry_after: None,
        }),
    }
}
