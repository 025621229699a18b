//! The meta group's state machine.

use std::collections::BTreeMap;

use pinerill_types::bundle::{
    check_bundle, count_sign_offs, Bundle, ChangeError, IndexedBundle, SignedChange,
};
use pinerill_types::Digest;
use serde::{Deserialize, Serialize};

use super::changes::{RecentChanges, UpdateSince};
use super::cluster::{Cluster, ControlMachine, GroupMembers, GroupPlan, Replacement};
use super::command::{Founding, MetaCommand, MetaReply, ProposalOutcome};
use super::history;
use crate::codec::{decode, encode};
use crate::machine::{StateMachine, TableWriter, UnreadableState};

/// Version of the founding bundle.
const FOUNDING_VERSION: u64 = 0;

/// State of the meta group.
#[derive(Debug, Default)]
pub struct MetaMachine {
    founded: Option<Founded>,
}

/// State once the cluster is founded.
#[derive(Debug)]
struct Founded {
    cluster: Cluster,
    bundle: IndexedBundle,
    changes: RecentChanges,
}

/// The state as it travels.
#[derive(Serialize, Deserialize)]
struct SnapshotState {
    cluster: Cluster,
    bundle_json: String,
    changes: RecentChanges,
}

impl MetaMachine {
    /// A machine before the cluster is founded.
    pub fn new() -> Self {
        Self::default()
    }

    /// Identity of the cluster, once founded.
    pub fn cluster_id(&self) -> Option<u64> {
        self.founded.as_ref().map(|one| one.cluster.cluster_id)
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<&IndexedBundle> {
        self.founded.as_ref().map(|one| &one.bundle)
    }

    /// How a watcher with this bundle gets to the one in force; none before
    /// the cluster is founded.
    pub fn update_since(&self, version: u64, digest: Digest) -> Option<UpdateSince> {
        let founded = self.founded.as_ref()?;
        let bundle = &founded.bundle;
        if digest == bundle.digest() {
            return Some(UpdateSince::Same);
        }
        if version > bundle.version() {
            return Some(UpdateSince::Ahead);
        }
        let update = match founded.changes.since(version, digest) {
            Some(changes) => UpdateSince::Changes(changes),
            None => UpdateSince::Snapshot,
        };
        Some(update)
    }

    /// How many changes lead from this bundle to the one in force; none when
    /// only the whole bundle does.
    pub fn changes_since(&self, version: u64, digest: Digest) -> Option<usize> {
        let founded = self.founded.as_ref()?;
        if digest == founded.bundle.digest() {
            return Some(0);
        }
        founded.changes.count_since(version, digest)
    }

    /// All control machines by identity.
    pub fn machines(&self) -> impl Iterator<Item = &ControlMachine> {
        let founded = self.founded.iter();
        founded.flat_map(|one| one.cluster.machines.values())
    }

    /// One control machine.
    pub fn machine(&self, replica: u64) -> Option<&ControlMachine> {
        self.founded.as_ref()?.cluster.machines.get(&replica)
    }

    /// What took the place of a lost folder.
    pub fn replaced_by(&self, lost: u64) -> Option<u64> {
        let founded = self.founded.as_ref()?;
        founded.cluster.replaced.get(&lost).copied()
    }

    /// All groups by number.
    pub fn groups(&self) -> impl Iterator<Item = &GroupPlan> {
        let founded = self.founded.iter();
        founded.flat_map(|one| one.cluster.groups.values())
    }

    /// Who should be in a group.
    pub fn members(&self, group: u32) -> Option<GroupMembers> {
        self.founded.as_ref()?.cluster.members(group)
    }

    /// How far the replacement of `lost` by `new` is.
    pub fn replacement(&self, lost: u64, new: u64) -> Option<Replacement> {
        let founded = self.founded.as_ref()?;
        Some(founded.cluster.progress(lost, new))
    }

    /// Applies a decoded command.
    pub fn apply_command(
        &mut self,
        command: MetaCommand,
        table: &mut dyn TableWriter,
    ) -> MetaReply {
        match command {
            MetaCommand::Found(founding) => self.found(*founding, table),
            MetaCommand::ProposeBundle(signed) => self.propose(*signed, table),
            MetaCommand::SetMachine(machine) => self.with_cluster(|cluster| {
                cluster.set_machine(machine)?;
                Ok(MetaReply::MachineSet)
            }),
            MetaCommand::ReplaceMachine { lost, new } => self.with_cluster(|cluster| {
                let replacement = cluster.replace(lost, new)?;
                Ok(MetaReply::Replacement(replacement))
            }),
            MetaCommand::ConfirmGroup { group, voters } => self.with_cluster(|cluster| {
                cluster.confirm_group(group, voters)?;
                Ok(MetaReply::GroupConfirmed)
            }),
        }
    }

    fn with_cluster(
        &mut self,
        change: impl FnOnce(&mut Cluster) -> Result<MetaReply, String>,
    ) -> MetaReply {
        let Some(founded) = &mut self.founded else {
            return MetaReply::NotFounded;
        };
        change(&mut founded.cluster).unwrap_or_else(|message| MetaReply::Rejected { message })
    }

    fn found(&mut self, founding: Founding, table: &mut dyn TableWriter) -> MetaReply {
        if let Some(founded) = &self.founded {
            let cluster_id = founded.cluster.cluster_id;
            return if cluster_id == founding.cluster_id {
                MetaReply::Founded
            } else {
                MetaReply::AlreadyFounded { cluster_id }
            };
        }
        match Founded::new(founding) {
            Ok(founded) => {
                history::record(table, FOUNDING_VERSION, founded.bundle.digest());
                self.founded = Some(founded);
                MetaReply::Founded
            }
            Err(message) => MetaReply::Rejected { message },
        }
    }

    fn propose(&mut self, signed: SignedChange, table: &mut dyn TableWriter) -> MetaReply {
        let Some(founded) = &mut self.founded else {
            return MetaReply::NotFounded;
        };
        let outcome = founded.propose(signed);
        if let ProposalOutcome::Accepted { version, digest } = &outcome {
            history::record(table, *version, *digest);
        }
        MetaReply::Bundle(outcome)
    }
}

impl Founded {
    fn new(founding: Founding) -> Result<Self, String> {
        let bundle: Bundle =
            serde_json::from_str(&founding.bundle_json).map_err(|error| error.to_string())?;
        if bundle.version != FOUNDING_VERSION {
            return Err(format!(
                "the founding bundle has version {FOUNDING_VERSION}"
            ));
        }
        let problems = check_bundle(&bundle);
        if !problems.is_empty() {
            return Err(ChangeError::Wrong { problems }.to_string());
        }
        let machines = founding.machines.into_iter();
        let groups = founding.groups.into_iter();
        Ok(Self {
            cluster: Cluster {
                cluster_id: founding.cluster_id,
                machines: machines.map(|one| (one.replica, one)).collect(),
                groups: groups.map(|one| (one.group, one)).collect(),
                replaced: BTreeMap::new(),
            },
            bundle: IndexedBundle::new(bundle),
            changes: RecentChanges::default(),
        })
    }

    /// Compare and set on version and base; then signatures by the keys of
    /// the bundle in force; then the result as a whole.
    fn propose(&mut self, signed: SignedChange) -> ProposalOutcome {
        let change = &signed.change;
        let version = self.bundle.version();
        let digest = self.bundle.digest();
        if change.version <= version {
            return ProposalOutcome::Decided;
        }
        if change.version != version + 1 || change.base != digest {
            return ProposalOutcome::OtherBase { version, digest };
        }
        if let Err(error) = count_sign_offs(self.bundle.bundle(), &signed) {
            let message = error.to_string();
            return ProposalOutcome::Wrong { message };
        }
        if let Err(error) = self.bundle.apply_checked(change) {
            let message = error.to_string();
            return ProposalOutcome::Wrong { message };
        }
        self.changes.push(signed.change);
        ProposalOutcome::Accepted {
            version: self.bundle.version(),
            digest: self.bundle.digest(),
        }
    }
}

impl StateMachine for MetaMachine {
    fn apply(
        &mut self,
        _index: u64,
        command: &[u8],
        table: &mut dyn TableWriter,
    ) -> Result<Vec<u8>, UnreadableState> {
        let command = decode::<MetaCommand>(command);
        let command = command.map_err(|error| UnreadableState(error.to_string()))?;
        Ok(encode(&self.apply_command(command, table)))
    }

    fn snapshot(&self) -> Vec<u8> {
        let state = self.founded.as_ref().map(|one| SnapshotState {
            cluster: one.cluster.clone(),
            bundle_json: Founding::encode_bundle(one.bundle.bundle()),
            changes: one.changes.clone(),
        });
        encode(&state)
    }

    fn restore(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        let state: Option<SnapshotState> = decode(bytes)?;
        self.founded = state
            .map(|one| -> anyhow::Result<Founded> {
                Ok(Founded {
                    cluster: one.cluster,
                    bundle: IndexedBundle::new(serde_json::from_str(&one.bundle_json)?),
                    changes: one.changes,
                })
            })
            .transpose()?;
        Ok(())
    }
}
