//! What goes into and comes out of the engine model.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Time since the engine's start, in microseconds.
pub type Micros = u64;

/// Identifier of a request, as its `X-Request-Id` header gives it.
pub type RequestId = Arc<str>;

/// Priority of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Admitted first; preempts batch requests.
    Online,
    /// Admitted when no online request waits.
    Batch,
}

/// A request as the model sees it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier, unique for one incarnation of the engine.
    pub request_id: RequestId,
    /// Priority.
    pub priority: Priority,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the whole answer, in tokens.
    pub max_tokens: u32,
    /// Answer tokens that were delivered elsewhere.
    pub continue_from: u32,
    /// Names of the prompt's whole cache blocks.
    pub blocks: Vec<u64>,
    /// Prompt and answer tokens whose KV cache was imported.
    pub imported_tokens: u32,
}

/// Why a request is refused before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The identifier was seen before at this incarnation.
    DuplicateRequest,
    /// A cancel for the identifier came before the request.
    CancelledBeforeStart,
    /// The queue of its priority is full.
    QueueFull,
    /// The request can never fit in the KV cache.
    TooLarge,
}

/// Answer to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelState {
    /// It never ran and never will.
    NotStarted,
    /// It ran and is ended by this cancel or an earlier one.
    Cancelled,
    /// It had finished.
    Finished,
    /// The identifier was never seen; it is remembered for a while.
    Unknown,
}

/// State of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// In a queue; has never run.
    Waiting,
    /// Holds a slot.
    Running,
    /// Stepped aside by request; holds KV cache if memory allows.
    Paused,
    /// Gave its slot to an online request; runs again by itself.
    Preempted,
    /// Ended with its whole answer.
    Finished,
    /// Ended by a cancel.
    Cancelled,
    /// Never seen.
    Unknown,
}

/// What happened in the engine, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first prefill of a request begins.
    Started {
        /// The request.
        request_id: RequestId,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// One more answer token.
    Token {
        /// The request.
        request_id: RequestId,
        /// Number of tokens generated so far, this one included.
        generated: u32,
    },
    /// A request ended with its whole answer.
    Finished {
        /// The request.
        request_id: RequestId,
        /// Prompt and answer tokens that were prefilled more than once.
        recomputed_tokens: u32,
    },
    /// A batch request gave up its slot.
    Preempted {
        /// The request.
        request_id: RequestId,
        /// Whether it keeps its KV cache.
        keeps_kv: bool,
    },
    /// A preempted or paused request runs again.
    Resumed {
        /// The request.
        request_id: RequestId,
    },
    /// A block entered the prefix cache.
    Stored {
        /// Name of the block.
        block: u64,
        /// Prompt tokens from the prompt's start to the block's end.
        tokens: u32,
    },
    /// A block left the prefix cache.
    Evicted {
        /// Name of the block.
        block: u64,
        /// Prompt tokens from the prompt's start to the block's end.
        tokens: u32,
    },
}

/// Counts of an engine at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests with a slot.
    pub running: u32,
    /// Requests that wait for their first slot.
    pub waiting: u32,
    /// Batch requests among `running`.
    pub batch_running: u32,
    /// Batch requests paused or preempted.
    pub batch_paused: u32,
    /// KV cache in use, prefix cache included, in tokens.
    pub kv_used: u64,
    /// KV cache in all, in tokens.
    pub kv_total: u64,
    /// Preemptions since start.
    pub preemptions: u64,
}

/// Work done for one priority since the engine's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkDone {
    /// Prompt (and lost) tokens prefilled.
    pub prefill_tokens: u64,
    /// Answer tokens generated.
    pub generated_tokens: u64,
}

/// Work done since the engine's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Time in steps, in microseconds.
    pub busy_us: u64,
    /// For online requests.
    pub online: WorkDone,
    /// For batch requests.
    pub batch: WorkDone,
    /// Tokens whose KV cache was imported from other engines.
    #[serde(default)]
    pub imported_tokens: u64,
    /// KV caches imported from other engines.
    #[serde(default)]
    pub imports: u64,
    /// Orders refused because a newer one had been seen.
    #[serde(default)]
    pub stale_orders: u64,
}

impl EngineUsage {
    /// The work done for one priority.
    pub fn work(&mut self, priority: Priority) -> &mut WorkDone {
        match priority {
            Priority::Online => &mut self.online,
            Priority::Batch => &mut self.batch,
        }
    }
}
