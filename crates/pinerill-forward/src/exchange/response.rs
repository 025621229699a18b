//! Incremental decoder of HTTP/1 responses. Pure: bytes in, heads and chunks of bodies out.
//!
//! A client library ends a connection on which a response arrives that is not due. This decoder
//! leaves it to its caller to skip such a response and to read the next one.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, Version};
use thiserror::Error;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 100;
/// Longest line that gives the size of a chunk, and longest trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// End of a line in the framing of a body.
const LINE_END: &[u8] = b"\r\n";
/// Maximum number of interim responses before one response.
const MAX_INTERIM_RESPONSES: usize = 64;
/// Maximum number of trailer lines after a chunked body.
const MAX_TRAILERS: usize = 100;

/// Bytes that are not a valid response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MalformedResponse {
    /// The head is not valid, for example because of an unknown status or header.
    #[error("malformed head: {0}")]
    Head(String),
    /// The head or a line within the body exceeds its size limit.
    #[error("{0} exceeds the size limit")]
    TooLong(&'static str),
    /// The headers contradict each other on where the body ends.
    #[error("the length of the body is unclear: {0}")]
    Length(&'static str),
    /// A chunk has no valid size, or is not followed by the end of its line.
    #[error("malformed chunk")]
    Chunk,
    /// The connection ended before the response did.
    #[error("the connection ended within the response")]
    Truncated,
}

/// A part of a response body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The regular end of the body.
    End,
}

/// How much of the body is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remaining {
    /// This number of bytes.
    Length(u64),
    /// A line with the size of the next chunk, and what follows.
    ChunkSize,
    /// This number of bytes of the current chunk, and further chunks.
    Chunk(u64),
    /// The end of the line behind a chunk, and further chunks.
    ChunkEnd,
    /// Trailer lines, of which this number may still come.
    Trailers(usize),
    /// All bytes until the connection ends, of which there must be some: a head that states no
    /// length may have been cut before the line that does.
    SomeUntilClose,
    /// All bytes until the connection ends.
    UntilClose,
    /// Nothing.
    Nothing,
}

/// Decodes one response after the other from the bytes of a connection.
#[derive(Debug)]
pub struct ResponseDecoder {
    max_head_bytes: usize,
    remaining: Remaining,
    keeps_alive: bool,
    /// Number of interim responses since the last final one.
    interim_responses: usize,
}

impl ResponseDecoder {
    /// Returns a decoder that accepts heads of up to this number of bytes.
    pub fn new(max_head_bytes: usize) -> Self {
        ResponseDecoder {
            max_head_bytes,
            remaining: Remaining::Nothing,
            keeps_alive: true,
            interim_responses: 0,
        }
    }

    /// Returns whether the last response was read to its end and left the connection open.
    pub fn keeps_alive(&self) -> bool {
        self.keeps_alive && self.remaining == Remaining::Nothing
    }

    /// Takes the head of the next response to a request with this method from `received`;
    /// returns `None` until it has arrived completely. Interim responses are skipped.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid head, or after too many interim responses.
    pub fn next_head(
        &mut self,
        request: &Method,
        received: &mut BytesMut,
    ) -> Result<Option<Parts>, MalformedResponse> {
        loop {
            let Some(head) = take_head(received, self.max_head_bytes)? else {
                return Ok(None);
            };
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(MalformedResponse::Head("protocol upgrade".to_owned()));
            }
            if head.status.is_informational() {
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(MalformedResponse::TooLong(
                        "the series of interim responses",
                    ));
                }
                continue;
            }
            self.interim_responses = 0;
            self.remaining = body_length(request, &head)?;
            self.keeps_alive = !self.ends_with_connection() && keeps_alive(&head);
            return Ok(Some(head));
        }
    }

    /// Takes the next part of the body from `received`; returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// Returns an error if the body is not validly framed.
    pub fn next_part(
        &mut self,
        received: &mut BytesMut,
    ) -> Result<Option<BodyPart>, MalformedResponse> {
        loop {
            match self.remaining {
                Remaining::Nothing => return Ok(Some(BodyPart::End)),
                Remaining::Length(0) => self.remaining = Remaining::Nothing,
                Remaining::Chunk(0) => self.remaining = Remaining::ChunkEnd,
                Remaining::Length(_)
                | Remaining::Chunk(_)
                | Remaining::SomeUntilClose
                | Remaining::UntilClose => {
                    return Ok(self.take_data(received));
                }
                Remaining::ChunkSize | Remaining::ChunkEnd | Remaining::Trailers(_) => {
                    let Some(end) = line_end(received)? else {
                        return Ok(None);
                    };
                    self.remaining = after_line(self.remaining, &received[..end])?;
                    received.advance(end + LINE_END.len());
                }
            }
        }
    }

    /// Handles the end of the connection, which ends a body without a length.
    ///
    /// # Errors
    /// Returns an error if the response is incomplete.
    pub fn end_of_input(&mut self) -> Result<BodyPart, MalformedResponse> {
        if self.remaining != Remaining::UntilClose {
            return Err(MalformedResponse::Truncated);
        }
        self.remaining = Remaining::Nothing;
        Ok(BodyPart::End)
    }

    fn ends_with_connection(&self) -> bool {
        matches!(
            self.remaining,
            Remaining::SomeUntilClose | Remaining::UntilClose
        )
    }

    fn take_data(&mut self, received: &mut BytesMut) -> Option<BodyPart> {
        if received.is_empty() {
            return None;
        }
        let available = received.len() as u64;
        let taken = match &mut self.remaining {
            Remaining::Length(left) | Remaining::Chunk(left) => {
                let taken = available.min(*left);
                *left -= taken;
                taken
            }
            remaining => {
                *remaining = Remaining::UntilClose;
                available
            }
        };
        // At most `received.len()`, which is a usize.
        let data = received.split_to(taken as usize);
        Some(BodyPart::Data(data.freeze()))
    }
}

/// Takes a complete head from the front of `received`.
fn take_head(
    received: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<Parts>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = parsed.parse(received);
    let length = match status.map_err(|error| MalformedResponse::Head(error.to_string()))? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if received.len() >= max_bytes => {
            return Err(MalformedResponse::TooLong("the head"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    if length > max_bytes {
        return Err(MalformedResponse::TooLong("the head"));
    }
    let head = read_head(&parsed)?;
    received.advance(length);
    Ok(Some(head))
}

fn read_head(parsed: &httparse::Response<'_, '_>) -> Result<Parts, MalformedResponse> {
    let malformed = |error: &dyn std::fmt::Display| MalformedResponse::Head(error.to_string());
    let (mut head, ()) = Response::new(()).into_parts();
    head.version = match parsed.version {
        Some(0) => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default());
    head.status = status.map_err(|error| malformed(&error))?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let name = name.map_err(|error| malformed(&error))?;
        let value = value.map_err(|error| malformed(&error))?;
        head.headers.append(name, value);
    }
    Ok(head)
}

fn body_length(request: &Method, head: &Parts) -> Result<Remaining, MalformedResponse> {
    let has_no_body = *request == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    if has_no_body {
        return Ok(Remaining::Nothing);
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return transfer_encoding(head);
    }
    let length = content_length(&head.headers)?;
    let without_length = match head.status.is_success() {
        true => Remaining::SomeUntilClose,
        false => Remaining::UntilClose,
    };
    Ok(length.map_or(without_length, Remaining::Length))
}

fn transfer_encoding(head: &Parts) -> Result<Remaining, MalformedResponse> {
    if head.version == Version::HTTP_10 {
        return Err(MalformedResponse::Length("transfer encoding in HTTP/1.0"));
    }
    let last = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let coding = codings.and_then(|codings| codings.rsplit(',').next());
    match coding {
        Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Ok(Remaining::ChunkSize),
        _ => Err(MalformedResponse::Length(
            "a transfer coding that does not end in chunks",
        )),
    }
}

/// Returns the length that the headers give; `None` if they give none.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedResponse> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().unwrap_or_default().trim();
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let number = text.parse().ok().filter(|_| is_number);
        let number: u64 = number.ok_or(MalformedResponse::Length("not a number"))?;
        if length.is_some_and(|length| length != number) {
            return Err(MalformedResponse::Length("two lengths"));
        }
        length = Some(number);
    }
    Ok(length)
}

/// Returns whether the connection stays open after a response. It is not kept either if the
/// response gives its length twice, because a proxy may have understood it otherwise.
fn keeps_alive(head: &Parts) -> bool {
    let is_framed_twice =
        head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH);
    if is_framed_twice {
        return false;
    }
    match head.version {
        Version::HTTP_10 => has_connection_option(&head.headers, "keep-alive"),
        _ => !has_connection_option(&head.headers, "close"),
    }
}

fn has_connection_option(headers: &HeaderMap, wanted: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut options = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case(wanted))
}

/// Returns the length of the line at the front of `received` without its end; `None` until it is
/// complete.
fn line_end(received: &[u8]) -> Result<Option<usize>, MalformedResponse> {
    let searched = &received[..received.len().min(MAX_CHUNK_LINE_BYTES)];
    match searched.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && searched[end - 1] == b'\r' => Ok(Some(end - 1)),
        Some(_) => Err(MalformedResponse::Chunk),
        None if received.len() >= MAX_CHUNK_LINE_BYTES => {
            Err(MalformedResponse::TooLong("a line of the body"))
        }
        None => Ok(None),
    }
}

/// Returns what is still to come after a line of a chunked body.
fn after_line(remaining: Remaining, line: &[u8]) -> Result<Remaining, MalformedResponse> {
    match remaining {
        Remaining::ChunkSize => match chunk_size(line)? {
            0 => Ok(Remaining::Trailers(MAX_TRAILERS)),
            size => Ok(Remaining::Chunk(size)),
        },
        Remaining::ChunkEnd if line.is_empty() => Ok(Remaining::ChunkSize),
        Remaining::Trailers(_) if line.is_empty() => Ok(Remaining::Nothing),
        Remaining::Trailers(0) => Err(MalformedResponse::TooLong("the trailer")),
        Remaining::Trailers(left) => Ok(Remaining::Trailers(left - 1)),
        _ => Err(MalformedResponse::Chunk),
    }
}

/// Reads the size of a chunk; an extension behind a semicolon is ignored.
fn chunk_size(line: &[u8]) -> Result<u64, MalformedResponse> {
    let digits = line.split(|byte| *byte == b';').next();
    let digits = digits.unwrap_or_default().trim_ascii();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(MalformedResponse::Chunk)
}
