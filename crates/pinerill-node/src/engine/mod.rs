//! HTTP client for engines, and the parsing and assembly of their streamed
//! answers.

mod answer_reader;
mod assembly;
mod client;
mod frame;
mod sse;

pub use answer_reader::{AnswerReader, DroppedFrames, Progress};
pub use assembly::{Assembly, Finish, FrameOutcome};
pub use client::{
    error_chain, single_use_client, worker_client, AttachError, CancelAnswer, EngineCall,
    EngineClient, PauseAnswer, Priority, Refusal, SendError, SendOutcome, WorkerClient,
};
pub use frame::{parse_load_header, Frame, LoadHeader, Usage};
pub use sse::SseParser;
