//! Histories of bundles, checked for linearizability against a register with
//! compare-and-set.

use std::collections::BTreeSet;

use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

use super::founding::FOUNDING_DIGEST;

/// A version and a short digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BundleState {
    /// The version.
    pub version: u64,
    /// The short digest.
    pub digest: u64,
}

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalEnd {
    /// It is in force, or was.
    Accepted,
    /// Another one won: that of its version, or the one in force.
    Conflict(BundleState),
    /// It lacked signatures.
    Wrong,
}

/// An operation of an operator. `None` as end: not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BundleOperation {
    /// Proposes a bundle.
    Propose {
        /// The bundle.
        bundle: BundleState,
        /// Digest of the bundle that it is based on.
        base: u64,
        /// Whether it has enough signatures.
        signed: bool,
        /// How it ended.
        end: Option<ProposalEnd>,
    },
    /// Reads the bundle in force.
    Read {
        /// What was read.
        end: Option<BundleState>,
    },
}

/// The sequential specification: digests by version.
pub struct BundleRegister;

impl Specification for BundleRegister {
    type State = Vec<u64>;
    type Operation = BundleOperation;

    fn init() -> Vec<u64> {
        vec![FOUNDING_DIGEST]
    }

    fn apply(operation: &BundleOperation, taken: &Vec<u64>) -> (bool, Vec<u64>) {
        let version = taken.len() as u64 - 1;
        let in_force = BundleState {
            version,
            digest: taken[taken.len() - 1],
        };
        match operation {
            BundleOperation::Read { end } => {
                let fits = end.is_none_or(|read| read == in_force);
                (fits, taken.clone())
            }
            BundleOperation::Propose {
                bundle,
                base,
                signed,
                end,
            } => {
                let (right_end, after) = propose(taken, in_force, *bundle, *base, *signed);
                let fits = match end {
                    Some(end) => *end == right_end,
                    // Kept in the history only if it took effect.
                    None => right_end == ProposalEnd::Accepted,
                };
                (fits, after)
            }
        }
    }
}

fn propose(
    taken: &[u64],
    in_force: BundleState,
    bundle: BundleState,
    base: u64,
    signed: bool,
) -> (ProposalEnd, Vec<u64>) {
    let unchanged = taken.to_vec();
    if let Some(winner) = taken.get(bundle.version as usize) {
        if *winner == bundle.digest {
            return (ProposalEnd::Accepted, unchanged);
        }
        let winner = BundleState {
            version: bundle.version,
            digest: *winner,
        };
        return (ProposalEnd::Conflict(winner), unchanged);
    }
    if bundle.version != in_force.version + 1 || base != in_force.digest {
        return (ProposalEnd::Conflict(in_force), unchanged);
    }
    if !signed {
        return (ProposalEnd::Wrong, unchanged);
    }
    let mut after = unchanged;
    after.push(bundle.digest);
    (ProposalEnd::Accepted, after)
}

/// One operation under way or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(usize);

/// Calls and returns in their order.
#[derive(Clone, Debug, Default)]
pub struct BundleHistory {
    operations: Vec<BundleOperation>,
    /// Operations in the order of calls and returns; true marks a return.
    events: Vec<(usize, bool)>,
    /// Operations that are known to have done nothing.
    void: BTreeSet<usize>,
    returned: BTreeSet<usize>,
}

impl BundleHistory {
    /// An operation begins.
    pub fn call(&mut self, operation: BundleOperation) -> OperationId {
        let id = self.operations.len();
        self.operations.push(operation);
        self.events.push((id, false));
        OperationId(id)
    }

    /// A proposal ends.
    pub fn proposed(&mut self, id: OperationId, proposal_end: ProposalEnd) {
        if let BundleOperation::Propose { end, .. } = &mut self.operations[id.0] {
            *end = Some(proposal_end);
        }
        self.returns(id);
    }

    /// A read ends.
    pub fn read(&mut self, id: OperationId, state: BundleState) {
        if let BundleOperation::Read { end } = &mut self.operations[id.0] {
            *end = Some(state);
        }
        self.returns(id);
    }

    fn returns(&mut self, id: OperationId) {
        self.events.push((id.0, true));
        self.returned.insert(id.0);
    }

    /// An operation is known to have done nothing, such as one that every
    /// machine refused.
    pub fn not_done(&mut self, id: OperationId) {
        self.void.insert(id.0);
    }

    /// Whether some order of the operations explains all that was answered.
    ///
    /// A proposal of unknown outcome whose bundle nobody ever saw can be left
    /// out: it may be ordered behind everything else. One that was seen must
    /// have taken effect; of several with the same bundle the first called
    /// can stand for all.
    pub fn is_linearizable(&self) -> bool {
        let seen = self.seen_digests();
        let mut represented = BTreeSet::new();
        let mut kept = BTreeSet::new();
        for (id, operation) in self.operations.iter().enumerate() {
            let pending = !self.returned.contains(&id);
            let keep = match operation {
                _ if self.void.contains(&id) => false,
                BundleOperation::Propose { bundle, .. } if pending => {
                    seen.contains(&bundle.digest) && represented.insert(bundle.digest)
                }
                BundleOperation::Read { .. } if pending => false,
                _ => true,
            };
            if keep {
                kept.insert(id);
            }
        }
        let actions = self.actions(&kept);
        actions.is_empty()
            || WGLChecker::<BundleRegister>::is_linearizable(History::from_actions(actions))
    }

    /// Digests that some answer names, or that an accepted proposal builds on.
    fn seen_digests(&self) -> BTreeSet<u64> {
        let mut seen = BTreeSet::new();
        for operation in &self.operations {
            match operation {
                BundleOperation::Read { end } => seen.extend(end.map(|state| state.digest)),
                BundleOperation::Propose {
                    bundle, base, end, ..
                } => match end {
                    Some(ProposalEnd::Accepted) => seen.extend([bundle.digest, *base]),
                    Some(ProposalEnd::Conflict(winner)) => seen.extend([winner.digest]),
                    Some(ProposalEnd::Wrong) => seen.extend([*base]),
                    None => {}
                },
            }
        }
        self.add_bases_of_pending(&mut seen);
        seen
    }

    /// A pending proposal that was seen makes its base seen too.
    fn add_bases_of_pending(&self, seen: &mut BTreeSet<u64>) {
        loop {
            let before = seen.len();
            for operation in &self.operations {
                if let BundleOperation::Propose { bundle, base, .. } = operation {
                    if seen.contains(&bundle.digest) {
                        seen.insert(*base);
                    }
                }
            }
            if seen.len() == before {
                return;
            }
        }
    }

    /// Each operation as a process of its own, pending ones returning last.
    fn actions(&self, kept: &BTreeSet<usize>) -> Vec<(usize, Action<BundleOperation>)> {
        let mut actions = Vec::new();
        for (id, returns) in &self.events {
            if kept.contains(id) {
                let operation = self.operations[*id].clone();
                let action = if *returns {
                    Action::Response(operation)
                } else {
                    Action::Call(operation)
                };
                actions.push((*id, action));
            }
        }
        for id in kept.iter().filter(|id| !self.returned.contains(id)) {
            actions.push((*id, Action::Response(self.operations[*id].clone())));
        }
        actions
    }

    /// The operations, for a trace.
    pub fn operations(&self) -> &[BundleOperation] {
        &self.operations
    }
}
