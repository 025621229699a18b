//! The protocol between operators and control machines.

use http::request::Parts;

use super::{HttpAnswer, MalformedRequest};
use crate::message::{PutTable, RetirementState};
use crate::table::RouteTable;

/// Parses requests of operators and formats the responses to them.
pub trait OperatorProtocol: Send + Sync + 'static {
    /// Parses the head and the body of a request.
    ///
    /// # Errors
    /// Returns an error if the head or the body is malformed. Repeating such a request can't
    /// succeed.
    fn read_request(&self, head: &Parts, body: &[u8]) -> Result<OperatorRequest, MalformedRequest>;

    /// Parses the route table from a stored document. A build may derive another table from the
    /// document than the build that accepted it.
    ///
    /// # Errors
    /// Returns an error if the document is malformed.
    fn read_table(&self, document: &[u8]) -> Result<RouteTable, MalformedRequest>;

    /// Formats a response.
    fn answer(&self, answer: &OperatorAnswer) -> HttpAnswer;
}

/// A parsed request of an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Replaces the route table and its document.
    PutTable(Box<PutTable>),
    /// Reads the document of the current route table.
    GetDocument,
    /// Starts to drain the control machine with this name.
    StartRetirement(String),
    /// Reads the progress of draining the control machine with this name.
    RetirementState(String),
    /// Stops sending new work to the workers of the zone with this name.
    EvacuateZone(String),
    /// Ends the evacuation of the zone with this name.
    ReturnZone(String),
}

/// A response to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The table is stored durably, or a table of the same or a higher version already was.
    TableStored,
    /// The document of the current route table, as the operator sent it.
    Document(Vec<u8>),
    /// The cluster has not accepted any document.
    NoDocument,
    /// The request is invalid, for this reason. Repeating it can't succeed.
    Invalid(String),
    /// The path names no operation.
    NotFound,
    /// Progress of draining a control machine.
    Retirement(RetirementState),
    /// The evacuation of a zone, or its end, is stored durably or already was.
    ZoneOrderStored,
    /// The request was not carried out, or its outcome is unknown, for this reason. The operator
    /// should retry.
    Unavailable(String),
}
