//! Commands of the meta group and their replies.

use pinerill_types::bundle::{Bundle, SignedChange};
use pinerill_types::Digest;
use serde::{Deserialize, Serialize};

use super::cluster::{ControlMachine, GroupPlan, Replacement};

/// A change of the meta group's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MetaCommand {
    /// Makes the cluster; only the first one counts.
    Found(Box<Founding>),
    /// The next bundle.
    ProposeBundle(Box<SignedChange>),
    /// Adds a control machine, or records its new name, zone or address.
    SetMachine(ControlMachine),
    /// Puts a new machine in the place of a lost one, in every group.
    ReplaceMachine {
        /// Identity of the lost folder.
        lost: u64,
        /// The new machine.
        new: ControlMachine,
    },
    /// A group's leader reports the voters that its log has committed.
    ConfirmGroup {
        /// The group.
        group: u32,
        /// Identities of its voters.
        voters: Vec<u64>,
    },
}

/// The state of a new cluster.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Founding {
    /// Identity of the cluster.
    pub cluster_id: u64,
    /// The founding bundle as JSON, since its fields are optional.
    pub bundle_json: String,
    /// The control machines.
    pub machines: Vec<ControlMachine>,
    /// All groups, the meta group among them.
    pub groups: Vec<GroupPlan>,
}

impl Founding {
    /// Encodes the founding bundle.
    pub fn encode_bundle(bundle: &Bundle) -> String {
        serde_json::to_string(bundle).expect("bundle values are plain data")
    }
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaReply {
    /// The cluster is founded, by this command or the same one before.
    Founded,
    /// The command needs a cluster, and there is none.
    NotFounded,
    /// Another cluster was founded here.
    AlreadyFounded {
        /// Its identity.
        cluster_id: u64,
    },
    /// What became of a bundle.
    Bundle(ProposalOutcome),
    /// The machine is recorded.
    MachineSet,
    /// How far a replacement is.
    Replacement(Replacement),
    /// The report is recorded.
    GroupConfirmed,
    /// The command can't be right.
    Rejected {
        /// Why.
        message: String,
    },
}

/// What became of a proposed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is in force.
    Accepted {
        /// Its version.
        version: u64,
        /// Its digest.
        digest: Digest,
    },
    /// The version was taken before; [`super::read_history`] tells by which
    /// bundle.
    Decided,
    /// It is not based on the bundle in force.
    OtherBase {
        /// The version in force.
        version: u64,
        /// Its digest.
        digest: Digest,
    },
    /// Signatures, entries or the result are wrong.
    Wrong {
        /// Why.
        message: String,
    },
}
