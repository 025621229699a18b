//! Bundles: propose, show and status.

use pinerill_types::bundle::{Bundle, BundleChange, SignedChange};
use pinerill_types::{Digest, NodeName, ZoneName};

use crate::codec::EncodedBundle;

/// How a node gets from its bundle to the one in force.
#[derive(Debug, Clone, PartialEq)]
pub enum BundleUpdate {
    /// These changes, in order.
    Changes(Vec<BundleChange>),
    /// The whole bundle, shared by all answers that carry it.
    Snapshot(EncodedBundle),
}

/// An operator proposes the next bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposeBundle {
    /// The change and its signatures.
    pub signed: SignedChange,
}

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalAnswer {
    /// It is in force now, or was accepted before under the same digest.
    Accepted,
    /// Another bundle has this version, or the base is not the one in force.
    Conflict,
}

/// Answer to a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposeBundleResponse {
    /// What became of it.
    pub answer: ProposalAnswer,
    /// The version that won at the proposal's number, or the one in force.
    pub version: u64,
    /// Its digest.
    pub digest: Digest,
}

/// Asks for the bundle in force, confirmed by a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BundleShow;

/// The bundle in force.
#[derive(Debug, Clone, PartialEq)]
pub struct BundleShown {
    /// The bundle.
    pub bundle: Bundle,
    /// Its digest.
    pub digest: Digest,
}

/// Asks which nodes have which version in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BundleStatusRequest;

/// One node and the version in force there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeBundle {
    /// The node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// The version in force there.
    pub version: u64,
}

/// The version in force and who has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleStatusResponse {
    /// The committed version.
    pub version: u64,
    /// Its digest.
    pub digest: Digest,
    /// All live nodes.
    pub nodes: Vec<NodeBundle>,
}
