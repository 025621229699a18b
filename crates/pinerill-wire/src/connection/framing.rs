//! Frames on a byte stream: length, correlation number, message.

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::codec::{decode_frame, encode_frame, CodecError, Frame};

/// Longest message of a proved peer, in bytes. A whole bundle of 29,000
/// tenants has some 10 MiB.
pub const FRAME_LIMIT: usize = 64 * 1024 * 1024;
/// Longest message before the peer has proved itself, in bytes.
pub const HANDSHAKE_FRAME_LIMIT: usize = 4 * 1024;
/// Bytes before each message: length (`u32`) and correlation (`u64`), both
/// little-endian.
const HEADER_BYTES: usize = 12;

/// Why a connection can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket failed or was closed.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// A frame says that it is longer than allowed.
    #[error("a frame of {length} bytes, {limit} are allowed")]
    TooLong {
        /// What the header says.
        length: usize,
        /// What is allowed.
        limit: usize,
    },
    /// A frame's message is malformed or of another version.
    #[error("{0}")]
    Codec(#[from] CodecError),
    /// The peer said why it closes the connection.
    #[error("closed by the peer: {0}")]
    Goodbye(String),
    /// The peer is not who it should be.
    #[error("{0}")]
    Refused(String),
    /// A frame that has no place here.
    #[error("unexpected {0}")]
    Unexpected(&'static str),
    /// It took too long.
    #[error("no answer within {0} ms")]
    TimedOut(u128),
}

/// One frame with its correlation number, ready to be written.
pub(super) fn frame_bytes(correlation: u64, frame: &Frame) -> Vec<u8> {
    message_bytes(correlation, &encode_frame(frame))
}

/// One encoded message with its header.
pub(super) fn message_bytes(correlation: u64, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&correlation.to_le_bytes());
    bytes.extend_from_slice(message);
    bytes
}

/// Reads one message's correlation number and bytes.
pub(super) async fn read_message(
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<(u64, Vec<u8>), ConnectionError> {
    let length = stream.read_u32_le().await? as usize;
    let correlation = stream.read_u64_le().await?;
    if length > limit {
        return Err(ConnectionError::TooLong { length, limit });
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok((correlation, bytes))
}

/// Reads one frame.
pub(super) async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<(u64, Frame), ConnectionError> {
    let (correlation, bytes) = read_message(stream, limit).await?;
    Ok((correlation, decode_frame(&bytes)?))
}

/// Writes one frame at once.
pub(super) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    frame: &Frame,
) -> Result<(), ConnectionError> {
    stream.write_all(&frame_bytes(0, frame)).await?;
    Ok(())
}
