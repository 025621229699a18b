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
    /// Both through pinerill, while workers, a node and a zone fail.
    MixedFailures,
    /// Both, sent by the kit straight to the engines, batch like online.
    NoPriority,
    /// Both, sent by the kit, each to engines of its own.
    StaticSplit,
    /// Online with many long prompts through pinerill; engines do everything.
    LongBoth,
    /// The same arrivals; engines are split in prefill and decode.
    LongSplit,
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
    pub const ALL: [Self; 9] = [
        Self::Direct,
        Self::OnlineOnly,
        Self::BatchOnly,
        Self::Mixed,
        Self::MixedFailures,
        Self::NoPriority,
        Self::StaticSplit,
        Self::LongBoth,
        Self::LongSplit,
    ];

    /// Its name in figures, and in identifiers of its requests.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::OnlineOnly => "online_only",
            Self::BatchOnly => "batch_only",
            Self::Mixed => "mixed",
            Self::MixedFailures => "mixed_failures",
            Self::NoPriority => "no_priority",
            Self::StaticSplit => "static_split",
            Self::LongBoth => "long_both",
            Self::LongSplit => "long_split",
        }
    }

    /// Whether online requests are sent.
    pub fn has_online(self) -> bool {
        self != Self::BatchOnly
    }

    /// Whether batch items are sent.
    pub fn has_batch(self) -> bool {
        let online_alone = matches!(self, Self::Direct | Self::OnlineOnly);
        !online_alone && !self.has_long_prompts()
    }

    /// Whether it runs when no phase was named: the comparison of roles has
    /// another load than all others.
    pub fn runs_by_default(self) -> bool {
        !self.has_long_prompts()
    }

    /// Whether many long prompts are sent.
    pub fn has_long_prompts(self) -> bool {
        matches!(self, Self::LongBoth | Self::LongSplit)
    }

    /// Whether things fail meanwhile.
    pub fn has_failures(self) -> bool {
        self == Self::MixedFailures
    }

    /// Who sends. A static split gives online and batch half of the engines
    /// each.
    pub fn sender(self, engines: usize) -> Sender {
        match self {
            Self::OnlineOnly
            | Self::BatchOnly
            | Self::Mixed
            | Self::MixedFailures
            | Self::LongBoth
            | Self::LongSplit => Sender::Pinerill,
            Self::Direct => Sender::Kit(DispatchPolicy::EnginePriority),
            Self::NoPriority => Sender::Kit(DispatchPolicy::NoPriority),
            Self::StaticSplit => Sender::Kit(DispatchPolicy::StaticSplit {
                online_engines: engines / 2,
            }),
        }
    }
}
