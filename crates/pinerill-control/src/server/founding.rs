//! A new cluster out of control machines with empty folders.
//!
//! 1. The machine that was asked checks that it reaches every control machine
//!    of the settings and that none belongs to a founded cluster.
//! 2. It plans the groups and sends the plan to all of them, itself last.
//!    Each voter of a group starts it with the same voters; nothing else ever
//!    starts a group with voters, so a machine whose disk was lost can't take
//!    part in a second founding.
//! 3. Whoever comes to lead the meta group proposes the founding.
//!
//! Each step may be repeated: a second `cluster init` after a failure in
//! between uses the identity that was handed out before.

use std::time::Duration;

use pinerill_wire::message::{
    ClusterInit, ClusterInitResponse, CreateGroups, GroupVoters, RefusalCode, Request, Response,
};
use tokio::time::sleep;

use super::control::{replica_record, Control};
use super::founders::founders;
use super::refusal::refused;
use crate::meta::{spread_replicas, ControlMachine, Founding, GroupPlan, MetaCommand};

const INIT: &str = "initialise cluster";
const CREATE: &str = "create groups";
/// Longest wait for another machine to create its groups.
const CREATE_TIME: Duration = Duration::from_secs(10);
/// Longest wait until the founding is committed.
const FOUNDING_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks at whether it is.
const FOUNDING_PAUSE: Duration = Duration::from_millis(20);

impl Control {
    /// Founds a cluster.
    pub(super) async fn found_cluster(&self, init: ClusterInit) -> Response {
        match self.try_found(init).await {
            Ok(response) => Response::ClusterInit(response),
            Err(refusal) => *refusal,
        }
    }

    async fn try_found(&self, init: ClusterInit) -> Result<ClusterInitResponse, Box<Response>> {
        if self.is_founded() {
            return Err(self.wrong_state("the cluster was initialised before"));
        }
        let machines = self.all_machines()?;
        let create = CreateGroups {
            cluster_id: self.cluster_id_for_founding()?,
            founding: init.founding,
            machines: machines
                .iter()
                .map(|one| replica_record(one, true))
                .collect(),
            groups: spread_replicas(&machines, init.job_groups, init.voters)
                .into_iter()
                .map(|plan| GroupVoters {
                    group: plan.group,
                    voters: plan.voters,
                })
                .collect(),
        };
        self.create_elsewhere(&create).await?;
        let cluster_id = create.cluster_id;
        let replicas = create.machines.clone();
        match self.create_groups(create).await {
            Response::Done => {}
            refusal => return Err(Box::new(refusal)),
        }
        self.await_founding().await?;
        log::info!("cluster {cluster_id:016x} founded");
        Ok(ClusterInitResponse {
            cluster_id,
            replicas,
        })
    }

    /// Every control machine of the settings, in a fixed order.
    fn all_machines(&self) -> Result<Vec<ControlMachine>, Box<Response>> {
        let connected = self.pool.connected_peers();
        founders(self.own_record(), self.other_addresses(), &connected).map_err(|missing| {
            let refusal = refused(RefusalCode::Unavailable, INIT, self.name(), missing);
            Box::new(refusal)
        })
    }

    /// The identity that an earlier try handed out, or a new one.
    fn cluster_id_for_founding(&self) -> Result<u64, Box<Response>> {
        let own = self.identity.cluster_id();
        let others = self.pool.peers().into_iter().map(|peer| peer.cluster_id);
        let mut known: Vec<u64> = others.chain([own]).filter(|id| *id != 0).collect();
        known.sort_unstable();
        known.dedup();
        match known.as_slice() {
            [] => Ok(rand::random::<u64>().max(1)),
            [one] => Ok(*one),
            _ => Err(self.wrong_state("the control machines belong to several clusters")),
        }
    }

    async fn create_elsewhere(&self, create: &CreateGroups) -> Result<(), Box<Response>> {
        let others = create
            .machines
            .iter()
            .filter(|machine| machine.address != self.settings.listen);
        for machine in others {
            let request = Request::CreateGroups(Box::new(create.clone()));
            let answer = self.pool.call(machine.address, request, CREATE_TIME).await;
            match answer {
                Ok(Response::Done) => {}
                Ok(refusal) => return Err(Box::new(refusal)),
                Err(error) => {
                    let name = &machine.name;
                    let refusal = refused(RefusalCode::OutcomeUnknown, CREATE, name, error);
                    return Err(Box::new(refusal));
                }
            }
        }
        Ok(())
    }

    /// Starts this machine's share of a new cluster.
    pub(super) async fn create_groups(&self, create: CreateGroups) -> Response {
        if self.is_founded() {
            return *self.wrong_state("this machine belongs to a founded cluster");
        }
        let founding = founding_of(&create);
        let groups = self.groups.clone();
        let created = tokio::task::spawn_blocking(move || {
            groups.join_cluster(create.cluster_id)?;
            groups.create(&create.groups)
        });
        let failure = match created.await {
            Ok(Ok(())) => {
                *self.founding.lock() = Some(founding);
                return Response::Done;
            }
            Ok(Err(error)) => format!("{error:#}"),
            Err(error) => error.to_string(),
        };
        refused(RefusalCode::Unavailable, CREATE, self.name(), failure)
    }

    async fn await_founding(&self) -> Result<(), Box<Response>> {
        let founded = async {
            while !self.is_founded() {
                sleep(FOUNDING_PAUSE).await;
            }
        };
        let waited = tokio::time::timeout(FOUNDING_TIME, founded).await;
        waited.map_err(|_| {
            let message = "the meta group has not committed the founding yet; run it again";
            Box::new(refused(
                RefusalCode::OutcomeUnknown,
                INIT,
                self.name(),
                message,
            ))
        })
    }

    /// Proposes a founding that waits, as the meta group's leader.
    pub(super) async fn propose_founding(&self) {
        if self.is_founded() {
            self.founding.lock().take();
            return;
        }
        let Some(founding) = self.founding.lock().clone() else {
            return;
        };
        let command = MetaCommand::Found(Box::new(founding));
        match self.propose_meta(&command, INIT).await {
            Ok(reply) => log::info!("founding proposed: {reply:?}"),
            Err(refusal) => log::warn!("founding proposed: {refusal:?}"),
        }
    }

    fn wrong_state(&self, message: &str) -> Box<Response> {
        Box::new(refused(RefusalCode::WrongState, INIT, self.name(), message))
    }
}

fn founding_of(create: &CreateGroups) -> Founding {
    let machines = create.machines.iter().map(|machine| ControlMachine {
        replica: machine.replica,
        name: machine.name.clone(),
        zone: machine.zone.clone(),
        address: machine.address,
    });
    let groups = create.groups.iter();
    Founding {
        cluster_id: create.cluster_id,
        bundle_json: Founding::encode_bundle(&create.founding),
        machines: machines.collect(),
        groups: groups
            .map(|one| GroupPlan::new(one.group, one.voters.clone()))
            .collect(),
    }
}
