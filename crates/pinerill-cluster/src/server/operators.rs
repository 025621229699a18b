//! HTTP server for operators. The operator protocol parses the requests and renders the answers;
//! changes of the replicated state are forwarded to the leader.

use std::sync::Arc;

use pinerill_calls::message::{CallsRequest, CallsResponse, PutTable};
use pinerill_calls::protocol::{HttpAnswer, OperatorAnswer, OperatorRequest};
use pinerill_process::server_settings;
use pinerill_wire::message::{Refusal, RefusalCode};
use rocket::data::ToByteUnit;
use rocket::http::{Header, Method, Status};
use rocket::route::{Handler, Outcome};
use rocket::{Build, Data, Request, Response, Rocket, Route};

use super::control::Control;
use super::refusal;
use crate::machine::{Applied, Command};

/// Maximum size of a request body, MiB.
const MAX_DOCUMENT_MIB: u64 = 16;

/// Builds the HTTP server that handles all operator requests.
pub(super) fn server(control: Arc<Control>) -> Rocket<Build> {
    let address = control.settings.operator_listen;
    let handler = OperatorHandler { control };
    let methods = [Method::Get, Method::Post, Method::Put, Method::Delete];
    let routes: Vec<Route> = methods
        .into_iter()
        .map(|method| Route::new(method, "/<path..>", handler.clone()))
        .collect();
    rocket::custom(server_settings(address)).mount("/", routes)
}

#[derive(Clone)]
struct OperatorHandler {
    control: Arc<Control>,
}

#[rocket::async_trait]
impl Handler for OperatorHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let answer = self.control.handle_operation(request, data).await;
        Outcome::Success(http_response(answer))
    }
}

fn http_response<'r>(answer: HttpAnswer) -> Response<'r> {
    let mut response = Response::build();
    response.status(Status::new(answer.status.as_u16()));
    for (name, value) in &answer.headers {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        response.header(Header::new(name.to_string(), value));
    }
    let length = answer.body.len();
    response.sized_body(length, std::io::Cursor::new(answer.body));
    response.finalize()
}

impl Control {
    async fn handle_operation(&self, request: &Request<'_>, data: Data<'_>) -> HttpAnswer {
        let answer = match self.read_operation(request, data).await {
            Ok(operation) => self.execute_operation(operation).await,
            Err(answer) => answer,
        };
        self.operators.answer(&answer)
    }

    async fn read_operation(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<OperatorRequest, OperatorAnswer> {
        let invalid = |message: String| OperatorAnswer::Invalid(message);
        let read = data.open(MAX_DOCUMENT_MIB.mebibytes()).into_bytes().await;
        let body = read.map_err(|error| OperatorAnswer::Unavailable(error.to_string()))?;
        if !body.is_complete() {
            return Err(invalid("the document is too long".to_owned()));
        }
        let head = http::Request::builder()
            .method(request.method().as_str())
            .uri(request.uri().to_string())
            .body(());
        let (head, ()) = head
            .map_err(|error| invalid(error.to_string()))?
            .into_parts();
        self.operators
            .read_request(&head, &body)
            .map_err(|error| invalid(error.to_string()))
    }

    async fn execute_operation(&self, operation: OperatorRequest) -> OperatorAnswer {
        match operation {
            OperatorRequest::PutTable(put) => self.operator_put_table(*put).await,
            OperatorRequest::GetDocument => self.operator_get_document().await,
            OperatorRequest::StartRetirement(name) => {
                self.operator_retirement(CallsRequest::StartRetirement(name))
                    .await
            }
            OperatorRequest::RetirementState(name) => {
                self.operator_retirement(CallsRequest::RetirementState(name))
                    .await
            }
            OperatorRequest::EvacuateZone(zone) => {
                self.operator_zone_order(zone, CallsRequest::EvacuateZone)
                    .await
            }
            OperatorRequest::ReturnZone(zone) => {
                self.operator_zone_order(zone, CallsRequest::ReturnZone)
                    .await
            }
        }
    }

    async fn operator_put_table(&self, put: PutTable) -> OperatorAnswer {
        if let Err(error) = put.table.check() {
            log::info!(event = "table_invalid", version = put.table.version, error:%; "");
            return OperatorAnswer::Invalid(error.to_string());
        }
        let version = put.table.version;
        let answer = self
            .forward_to_leader(CallsRequest::PutTable(Box::new(put)))
            .await;
        match answer {
            Ok(CallsResponse::Done) => {
                log::info!(event = "table_acknowledged", version; "");
                OperatorAnswer::TableStored
            }
            other => operator_failure(other),
        }
    }

    /// Returns the document in force. A machine that is not a member of the group follows no
    /// leader and can't confirm its own copy, so it asks the leader that other machines named.
    async fn operator_get_document(&self) -> OperatorAnswer {
        let read = match self.group.status().leader.is_some() {
            true => self.read_document().await,
            false => self.forward_to_leader(CallsRequest::ReadDocument).await,
        };
        match read {
            Ok(CallsResponse::Document(Some(document))) => OperatorAnswer::Document(document),
            Ok(CallsResponse::Document(None)) => OperatorAnswer::NoDocument,
            other => {
                let answer = operator_failure(other);
                log::warn!(
                    event = "document_not_read", machine = self.record.name.as_str(),
                    leader:? = self.leader_address(), answer:?; ""
                );
                answer
            }
        }
    }

    /// Returns the document in force after a majority has confirmed that it is current.
    pub(super) async fn read_document(&self) -> Result<CallsResponse, Box<Refusal>> {
        self.barrier("read document").await?;
        let document = self
            .group
            .with_machine(|machine| machine.table().map(|stored| stored.document.clone()));
        Ok(CallsResponse::Document(document))
    }

    async fn operator_retirement(&self, request: CallsRequest) -> OperatorAnswer {
        match self.forward_to_leader(request).await {
            Ok(CallsResponse::Retirement(state)) => OperatorAnswer::Retirement(state),
            other => operator_failure(other),
        }
    }

    /// Stores a route table after validating it. The table with the highest version is in force.
    pub(super) async fn put_table(&self, put: PutTable) -> Result<CallsResponse, Box<Refusal>> {
        let step = "put table";
        if let Err(error) = put.table.check() {
            return Err(refusal::invalid(&self.record, step, error));
        }
        let version = put.table.version;
        let applied = self.propose(step, Command::PutTable(Box::new(put))).await?;
        log::info!(event = "table_kept", version; "");
        match applied {
            Applied::Done => Ok(CallsResponse::Done),
            other => Err(refusal::unknown(
                &self.record,
                step,
                format!("answered {other:?}"),
            )),
        }
    }
}

pub(super) fn operator_failure(answer: Result<CallsResponse, Box<Refusal>>) -> OperatorAnswer {
    match answer {
        Err(refusal) if refusal.code == RefusalCode::Invalid => {
            OperatorAnswer::Invalid(refusal.message)
        }
        Err(refusal) => OperatorAnswer::Unavailable(refusal.to_string()),
        Ok(_) => OperatorAnswer::Unavailable("an answer of another kind".to_owned()),
    }
}
