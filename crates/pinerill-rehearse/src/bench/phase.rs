//! The phases of a run.

use clap::ValueEnum;
use serde::Serialize;

use crate::load::dispatcher::DispatchPolicy;

/// One phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub enum Phase {
    /// Online load, sent by the kit straight to the engines.
    Direct,
    /// Online load through pinerill.
    OnlineOnly,
    /// Batch load through pinerill.
    BatchOnly,
    /// Both through pinerill.
    Mixed,
    /// Both, sent by the kit straight to the engines, batch like online.
    NoPriority,
    /// Both, sent by the kit, each to engines of its own.
    StaticSplit,
}

/// Who sends the requests of a phase to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Pinerill's nodes.
    Pinerill,
    /// The kit's own dispatcher.
    Kit(DispatchPolicy),
}

impl Phase {
    /// All phases, in the order in which they run.
    pub const ALL: [Self; 6] = [
        Self::Direct,
        Self::OnlineOnly,
        Self::BatchOnly,
        Self::Mixed,
        Self::NoPriority,
        Self::StaticSplit,
    ];

    /// Its name in figures, and in identifiers of its requests.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::OnlineOnly => "online_only",
            Self::BatchOnly => "batch_only",
            Self::Mixed => "mixed",
            Self::NoPriority => "no_priority",
            Self::StaticSplit => "static_split",
        }
    }

    /// Whether online requests are sent.
    pub fn has_online(self) -> bool {
        self != Self::BatchOnly
    }

    /// Whether batch items are sent.
    pub fn has_batch(self) -> bool {
        !matches!(self, Self::Direct | Self::OnlineOnly)
    }

    /// Who sends. A static split gives online and batch half of the engines
    /// each.
    pub fn sender(self, engines: usize) -> Sender {
        match self {
            Self::OnlineOnly | Self::BatchOnly | Self::Mixed => Sender::Pinerill,
            Self::Direct => Sender::Kit(DispatchPolicy::EnginePriority),
            Self::NoPriority => Sender::Kit(DispatchPolicy::NoPriority),
            Self::StaticSplit => Sender::Kit(DispatchPolicy::StaticSplit {
                online_engines: engines / 2,
            }),
        }
    }
}
