//! How operators ask and are answered.

use http::request::Parts;

use super::{HttpAnswer, MalformedRequest};
use crate::message::{PutTable, RetirementState};
use crate::table::RouteTable;

/// Reads operators' requests and writes their answers.
pub trait OperatorProtocol: Send + Sync + 'static {
    /// What a request asks for.
    ///
    /// # Errors
    /// When head or body can't be understood; such a request is invalid for
    /// good.
    fn read_request(&self, head: &Parts, body: &[u8]) -> Result<OperatorRequest, MalformedRequest>;

    /// The route table of a document that was accepted, as this build reads it.
    ///
    /// # Errors
    /// When the document can't be understood.
    fn read_table(&self, document: &[u8]) -> Result<RouteTable, MalformedRequest>;

    /// An answer in the operators' manner.
    fn answer(&self, answer: &OperatorAnswer) -> HttpAnswer;
}

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// A new route table.
    PutTable(Box<PutTable>),
    /// The document in force.
    GetDocument,
    /// A control machine is to be emptied.
    StartRetirement(String),
    /// How far that is.
    RetirementState(String),
    /// Workers of a zone shall get nothing new.
    EvacuateZone(String),
    /// The zone is in service again.
    ReturnZone(String),
}

/// What an operator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The table is kept durably, or one as new already was.
    TableStored,
    /// The document in force.
    Document(Vec<u8>),
    /// No document was ever accepted.
    NoDocument,
    /// The request is invalid.
    Invalid(String),
    /// No such call.
    NotFound,
    /// How far the emptying of a machine is.
    Retirement(RetirementState),
    /// The order about a zone is kept durably, or was before.
    ZoneOrderStored,
    /// Not carried out, or nobody knows; to be asked again.
    Unavailable(String),
}
