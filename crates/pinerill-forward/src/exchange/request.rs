//! Requests to workers as HTTP/1 bytes.

use std::io::{self, IoSlice};

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Uri};
use tokio::net::TcpStream;

/// The bytes of a request that are still to be written.
#[derive(Debug, Default)]
pub(super) struct EncodedRequest {
    method: Method,
    head: Bytes,
    body: Bytes,
    /// Whether any byte was written.
    is_begun: bool,
}

impl EncodedRequest {
    /// Encodes a request whose body is known as a whole. Headers that describe the framing of
    /// another connection are replaced.
    pub(super) fn new(method: &Method, uri: &Uri, mut headers: HeaderMap, body: Bytes) -> Self {
        headers.remove(CONTENT_LENGTH);
        headers.remove(TRANSFER_ENCODING);
        headers.remove(CONNECTION);
        if !body.is_empty() || !matches!(*method, Method::GET | Method::HEAD) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        EncodedRequest {
            method: method.clone(),
            head: encode_head(method, uri, &headers),
            body,
            is_begun: false,
        }
    }

    /// Returns the request's method.
    pub(super) fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the number of bytes that are still to be written.
    pub(super) fn remaining(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns whether nothing was written yet.
    pub(super) fn is_untouched(&self) -> bool {
        !self.is_begun
    }

    /// Writes as many bytes as the socket accepts at once.
    ///
    /// # Errors
    /// Returns [`io::ErrorKind::WouldBlock`] if the socket accepts none now, and any other error
    /// of the connection.
    pub(super) fn write_to(&mut self, stream: &TcpStream) -> io::Result<()> {
        let slices = [IoSlice::new(&self.head), IoSlice::new(&self.body)];
        let written = stream.try_write_vectored(&slices)?;
        self.is_begun |= written > 0;
        let of_head = written.min(self.head.len());
        self.head.advance(of_head);
        self.body.advance(written - of_head);
        Ok(())
    }
}

fn encode_head(method: &Method, uri: &Uri, headers: &HeaderMap) -> Bytes {
    let mut head = BytesMut::with_capacity(512);
    let line = format!("{method} {uri} HTTP/1.1\r\n");
    head.extend_from_slice(line.as_bytes());
    for (name, value) in headers {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head.freeze()
}
