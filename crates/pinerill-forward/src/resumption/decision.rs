//! Decides what a resumption requires of its worker. Pure.
//!
//! A node that has just started knows neither the other nodes nor the versions of before until the
//! leader has told it. A resumption waits for that unless it would be refused in any case.
//!
//! Not knowing the origin is not the same as there being one version only. A node is sure without a
//! record if all nodes that answered have seen a single version for longer than a stream lives, and
//! if it has just heard the leader or another node. A node that hears nobody may be cut off while
//! others send streams to workers of a version that it has not seen. On a route with several
//! services, any of them may have begun the stream, so that it is never sure without a record.

use super::origins::KnownOrigin;
use crate::fleet::{ListedVersions, RequiredSoftware, SoftwareVersion};

/// What one node knows about a stream and the versions that may have begun it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Record of the stream's origin.
    pub origin: KnownOrigin,
    /// Versions of the service within the longest life of a stream.
    pub versions: ListedVersions,
}

/// What the leader has told a node since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderHistory {
    /// The history of versions and the addresses of other nodes, or it can't tell them in time.
    Settled,
    /// They are still awaited.
    Awaited,
}

/// What is known about a resumption.
#[derive(Debug, Clone)]
pub struct ResumptionInputs {
    /// What the node that got the resumption knows.
    pub own: Knowledge,
    /// What the leader has told the node that got the resumption.
    pub history: LeaderHistory,
    /// Whether the caller names the stream, so that another node may have its record.
    pub is_named: bool,
    /// Number of other nodes that were asked.
    pub asked: usize,
    /// Their answers so far.
    pub answers: Vec<Knowledge>,
    /// Whether the node has just heard the leader, which tells all nodes of a new version at once.
    pub hears_leader: bool,
    /// Whether all calls of the route go to one service.
    pub has_one_service: bool,
    /// Whether no further answers are awaited.
    pub is_final: bool,
}

/// Why a resumption may go to a worker, or why it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumptionBasis {
    /// The origin is recorded.
    Record,
    /// Only one version can have begun the stream.
    SingleVersion,
    /// The origin is unknown, or records contradict each other.
    Unknown,
}

impl ResumptionBasis {
    /// Returns the label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResumptionBasis::Record => "record",
            ResumptionBasis::SingleVersion => "single_version",
            ResumptionBasis::Unknown => "unknown",
        }
    }
}

/// The decision about a resumption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumptionDecision {
    /// More answers are needed.
    Wait,
    /// The stream may continue at a worker with this software.
    Continue(RequiredSoftware, ResumptionBasis),
    /// The stream could be mixed from two versions.
    Refuse,
}

/// Decides about a resumption.
pub fn decide(inputs: &ResumptionInputs) -> ResumptionDecision {
    let answers = inputs.answers.iter();
    let origin = answers.fold(inputs.own.origin, |known, answer| {
        known.merged_with(answer.origin)
    });
    match origin {
        KnownOrigin::Worker(origin) => {
            let required = RequiredSoftware::SameAs(origin);
            ResumptionDecision::Continue(required, ResumptionBasis::Record)
        }
        KnownOrigin::Contradictory => ResumptionDecision::Refuse,
        KnownOrigin::Unknown if !inputs.is_final && inputs.answers.len() < inputs.asked => {
            ResumptionDecision::Wait
        }
        KnownOrigin::Unknown if inputs.history == LeaderHistory::Awaited && may_help(inputs) => {
            ResumptionDecision::Wait
        }
        KnownOrigin::Unknown => decide_without_record(inputs),
    }
}

/// Returns whether a resumption may go on by what the leader tells. A history only adds versions.
fn may_help(inputs: &ResumptionInputs) -> bool {
    inputs.is_named || (inputs.has_one_service && single_version(inputs).is_ok())
}

fn decide_without_record(inputs: &ResumptionInputs) -> ResumptionDecision {
    let hears_nobody = inputs.asked > 0 && inputs.answers.is_empty() && !inputs.hears_leader;
    if hears_nobody || !inputs.has_one_service {
        return ResumptionDecision::Refuse;
    }
    match single_version(inputs) {
        Ok(Some(version)) => ResumptionDecision::Continue(
            RequiredSoftware::Version(version),
            ResumptionBasis::SingleVersion,
        ),
        Ok(None) | Err(SeveralVersions) => ResumptionDecision::Refuse,
    }
}

/// Several versions may have begun a stream.
struct SeveralVersions;

/// Returns the only version that any node has seen; `None` if no node knows it.
fn single_version(inputs: &ResumptionInputs) -> Result<Option<SoftwareVersion>, SeveralVersions> {
    let mut single = None;
    let all = std::iter::once(&inputs.own).chain(&inputs.answers);
    for knowledge in all {
        match knowledge.versions {
            ListedVersions::Unknown => {}
            ListedVersions::Single(version) if single.is_none_or(|known| known == version) => {
                single = Some(version);
            }
            ListedVersions::Single(_) | ListedVersions::Several => return Err(SeveralVersions),
        }
    }
    Ok(single)
}
