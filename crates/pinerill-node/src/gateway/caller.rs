//! Reads the request headers that identify a caller and set its options.

use std::net::SocketAddr;

use pinerill_types::id::is_name;
use rocket::request::{FromRequest, Outcome, Request};

use crate::failure::{FailureCode, RequestFailure};

/// Random bytes in a generated request identifier, which is their hex form.
const IDENTIFIER_BYTES: usize = 16;

/// Request headers that Pinerill uses. Extracting them never fails; their
/// values are checked by the methods.
#[derive(Debug, Clone)]
pub struct Caller {
    key: Option<String>,
    request_id: Option<String>,
    at_most_once: Option<String>,
    deadline_ms: Option<String>,
    /// `Idempotency-Key` header as sent.
    pub idempotency_key: Option<String>,
    /// `Pinerill-Deadline-Seconds` header as sent.
    pub deadline_seconds: Option<String>,
    /// Remote address of the connection; None when Rocket doesn't know it.
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
    /// Returns the bearer key, or None when there is no `Authorization: Bearer`
    /// header.
    pub fn key(&self) -> Option<&str> {
        self.key.as_deref()
    }

    /// Returns the request identifier that the caller sent, or a generated one
    /// when it sent none or one that is not a valid name.
    pub fn identifier(&self) -> String {
        let given = self.request_id.as_ref().filter(|id| is_name(id));
        given.cloned().unwrap_or_else(generate_identifier)
    }

    /// Checks the request identifier that the caller sent, if any.
    ///
    /// # Errors
    /// `invalid_request` when it is not a valid name.
    pub fn check_identifier(&self) -> Result<(), RequestFailure> {
        match &self.request_id {
            Some(id) if !is_name(id) => Err(invalid(
                "Pinerill-Request-Id: 1 to 128 of A-Z a-z 0-9 . _ -",
            )),
            _ => Ok(()),
        }
    }

    /// Whether the caller demands that the request runs at most once.
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

    /// Returns the deadline that the caller sent, in milliseconds, or None.
    ///
    /// # Errors
    /// `invalid_request` when it is not a number above 0.
    pub fn deadline_ms(&self) -> Result<Option<u64>, RequestFailure> {
        parse_positive(self.deadline_ms.as_deref(), "Pinerill-Deadline-Ms")
    }
}

/// Parses a header value that must be a whole number above 0. Returns None
/// when the header is absent.
///
/// # Errors
/// `invalid_request`, with the header's name in the message.
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

fn generate_identifier() -> String {
    let bytes: [u8; IDENTIFIER_BYTES] = rand::random();
    hex::encode(bytes)
}
