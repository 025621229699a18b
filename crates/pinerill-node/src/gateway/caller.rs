//! What a request's head says about its caller.

use std::net::SocketAddr;

use pinerill_types::id::is_name;
use rocket::request::{FromRequest, Outcome, Request};

use crate::failure::{FailureCode, RequestFailure};

/// Bytes of a generated identifier.
const IDENTIFIER_BYTES: usize = 16;

/// Headers that pinerill reads; reading them never fails.
#[derive(Debug, Clone)]
pub struct Caller {
    key: Option<String>,
    request_id: Option<String>,
    at_most_once: Option<String>,
    deadline_ms: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// `Pinerill-Deadline-Seconds`.
    pub deadline_seconds: Option<String>,
    /// Where it connects from.
    pub remote: Option<SocketAddr>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
        let key = request
            .headers()
            .get_one("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(|key| key.trim().to_owned());
        Outcome::Success(Self {
            key,
            request_id: header("Pinerill-Request-Id"),
            at_most_once: header("Pinerill-At-Most-Once"),
            deadline_ms: header("Pinerill-Deadline-Ms"),
            idempotency_key: header("Idempotency-Key"),
            deadline_seconds: header("Pinerill-Deadline-Seconds"),
            remote: request.remote(),
        })
    }
}

impl Caller {
    /// The bearer key.
    pub fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// The caller's identifier, or a new one. One that is not a name is not
    /// used.
    pub fn identifier(&self) -> String {
        let given = self.request_id.as_ref().filter(|id| is_name(id));
        given.cloned().unwrap_or_else(new_identifier)
    }

    /// Checks the identifier.
    ///
    /// # Errors
    /// `invalid_request` when it is not a name.
    pub fn check_identifier(&self) -> Result<(), RequestFailure> {
        match &self.request_id {
            Some(id) if !is_name(id) => Err(invalid(
                "Pinerill-Request-Id: 1 to 128 of A-Z a-z 0-9 . _ -",
            )),
            _ => Ok(()),
        }
    }

    /// Whether the request is not to be repeated.
    ///
    /// # Errors
    /// `invalid_request` for anything but `true` and `false`.
    pub fn at_most_once(&self) -> Result<bool, RequestFailure> {
        match self.at_most_once.as_deref() {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(_) => Err(invalid("Pinerill-At-Most-Once: true or false")),
        }
    }

    /// The caller's deadline, milliseconds.
    ///
    /// # Errors
    /// `invalid_request` when it is not a number above 0.
    pub fn deadline_ms(&self) -> Result<Option<u64>, RequestFailure> {
        parse_positive(self.deadline_ms.as_deref(), "Pinerill-Deadline-Ms")
    }
}

/// Reads a header with a number above 0.
///
/// # Errors
/// `invalid_request` that names the header.
pub fn parse_positive(value: Option<&str>, header: &str) -> Result<Option<u64>, RequestFailure> {
    let Some(text) = value else {
        return Ok(None);
    };
    let number = text.parse::<u64>().ok().filter(|number| *number > 0);
    number
        .map(Some)
        .ok_or_else(|| invalid(&format!("{header}: a number above 0")))
}

fn invalid(message: &str) -> RequestFailure {
    RequestFailure::not_run(FailureCode::InvalidRequest, "read headers", message)
}

fn new_identifier() -> String {
    let bytes: [u8; IDENTIFIER_BYTES] = rand::random();
    hex::encode(bytes)
}
