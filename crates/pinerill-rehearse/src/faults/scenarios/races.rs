//! Operators who race while the answers to them are lost.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context};
use async_trait::async_trait;
use futures::future::join_all;
use pinerill_types::bundle::{Bundle, SignedChange};
use pinerill_wire::api::{CallError, CallErrorKind};
use pinerill_wire::client::ControlClient;
use pinerill_wire::message::{
    ClusterStatusRequest, ProposalAnswer, ProposeBundle, Request, Response,
};
use tokio::time::{sleep, Instant};

use super::bundles::changed;
use crate::faults::scenario::Scenario;
use crate::faults::stage::Stage;
use crate::fleet::ports::free_addresses;
use crate::fleet::relay::RelayProcess;
use crate::standin::relay::link::Passage;
use crate::standin::relay::LinkArguments;

/// Races, each with another bundle of each operator.
const RACES: u64 = 4;
/// Operators.
const OPERATORS: usize = 2;
/// Longest wait for an answer that is lost.
const LOST_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for one answer otherwise.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Longest time until the winner is in force.
const DECIDED_TIME: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Bounds of the time between two operators' proposals.
const EARLIEST: Duration = Duration::ZERO;
const LATEST: Duration = Duration::from_millis(3);

/// Operators race under one version, no answer reaches them, and each sends
/// its proposal again.
pub struct RacingAnswersLost;

#[async_trait]
impl Scenario for RacingAnswersLost {
    fn name(&self) -> &'static str {
        "racing-answers-lost"
    }

    fn what(&self) -> &'static str {
        "4 races of two operators under one version, all answers lost, each proposal sent again"
    }

    fn defect(&self) -> Option<&'static str> {
        Some("bundle-resent-is-refused=return")
    }

    async fn play(&self, stage: &mut Stage) -> anyhow::Result<()> {
        stage.submit("beside-races", 60).await?;
        let mut operators = Vec::new();
        for number in 0..OPERATORS {
            operators.push(RelayedOperator::start(stage, number).await?);
        }
        for race in 0..RACES {
            race_once(stage, &operators, race).await?;
        }
        for operator in &mut operators {
            operator.relays.stop().await?;
        }
        Ok(())
    }
}

/// An operator who reaches the control machines through relays of its own.
struct RelayedOperator {
    relays: RelayProcess,
    links: Vec<LinkArguments>,
}

impl RelayedOperator {
    async fn start(stage: &Stage, number: usize) -> anyhow::Result<Self> {
        let controls = &stage.rehearsal.fleet.controls;
        let listen = free_addresses(controls.len())?;
        let links: Vec<LinkArguments> = controls
            .iter()
            .zip(listen)
            .map(|(control, listen)| LinkArguments {
                name: control.process.name().to_owned(),
                listen,
                target: control.settings.listen,
            })
            .collect();
        let name = format!("operator-relays-{number}");
        let launcher = &stage.rehearsal.launcher;
        let relays = RelayProcess::start(launcher, &name, &links, Duration::ZERO).await?;
        Ok(Self { relays, links })
    }

    /// Loses all answers from now on, or lets them through again. What was
    /// connected while answers were lost is closed.
    async fn lose_answers(&self, lose: bool) -> anyhow::Result<()> {
        let backward = if lose { Passage::Cut } else { Passage::Open };
        for link in &self.links {
            if !lose {
                self.relays.reset(&link.name).await?;
            }
            self.relays.set(&link.name, Passage::Open, backward).await?;
        }
        Ok(())
    }

    /// The relayed address of a control machine.
    fn address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        let link = self.links.iter().find(|link| link.name == name);
        Ok(link.with_context(|| format!("no relay to {name}"))?.listen)
    }
}

async fn race_once(
    stage: &mut Stage,
    operators: &[RelayedOperator],
    race: u64,
) -> anyhow::Result<()> {
    let base = stage.rehearsal.bundle.clone();
    let limits = [3_000.0 + race as f64, 4_000.0 + race as f64];
    let contenders: Vec<Bundle> = limits.iter().map(|one| changed(&base, *one)).collect();
    let mut signed = Vec::new();
    for bundle in &contenders {
        let change = bundle.change_from(&base);
        signed.push(stage.rehearsal.operators.sign_directly(change)?);
    }
    let leader = stage.rehearsal.fleet.meta_leader().await?.name;
    stage.step(format!("race {race}: answers of {leader} are lost"));
    let client = stage.rehearsal.fleet.client()?;
    propose_without_answers(stage, operators, &signed, &client, &leader).await?;
    let winner = await_winner(stage, &contenders).await?;
    stage.step(format!("operator {winner} has won; both send again"));
    let proposals = signed.iter().zip(operators).map(|(signed, operator)| {
        let (client, address) = (&client, operator.address(&leader));
        async move { propose(client, address?, signed, CALL_TIME).await }
    });
    let answers = join_all(proposals).await;
    for (number, answer) in answers.into_iter().enumerate() {
        let wanted = match number == winner {
            true => ProposalAnswer::Accepted,
            false => ProposalAnswer::Conflict,
        };
        let detail = format!("winner {winner}, {answer:?}");
        let answer = answer?;
        let holds = matches!(&answer, Ok(answer) if *answer == wanted);
        stage.expect(
            "resent proposal",
            holds,
            &format!("operator {number}"),
            detail,
        );
    }
    let in_force = stage.rehearsal.operators.show().await?;
    let same = in_force == contenders[winner];
    let detail = format!("version {} in force", in_force.version);
    stage.expect("one bundle wins", same, "bundle show", detail);
    stage.operations += 2 * OPERATORS as u64 + 1;
    stage.rehearsal.bundle = contenders[winner].clone();
    Ok(())
}

/// Connects every operator, then loses all answers and sends the proposals.
async fn propose_without_answers(
    stage: &mut Stage,
    operators: &[RelayedOperator],
    signed: &[SignedChange],
    client: &ControlClient,
    leader: &str,
) -> anyhow::Result<()> {
    for operator in operators {
        let question = Request::ClusterStatus(ClusterStatusRequest);
        let address = operator.address(leader)?;
        client.call_at(address, question, CALL_TIME).await?;
        operator.lose_answers(true).await?;
    }
    let mut waiting = Vec::new();
    for (signed, operator) in signed.iter().zip(operators) {
        let address = operator.address(leader)?;
        waiting.push(propose(client, address, signed, LOST_TIME));
        stage.pause(EARLIEST, LATEST).await;
    }
    for (number, answer) in join_all(waiting).await.into_iter().enumerate() {
        let answer = answer?;
        let unknown = matches!(&answer, Err(error) if error.kind == CallErrorKind::Unknown);
        let subject = format!("operator {number}");
        stage.expect(
            "lost answer is unknown",
            unknown,
            &subject,
            format!("{answer:?}"),
        );
    }
    for operator in operators {
        operator.lose_answers(false).await?;
    }
    Ok(())
}

async fn propose(
    client: &ControlClient,
    address: SocketAddr,
    signed: &SignedChange,
    time: Duration,
) -> anyhow::Result<Result<ProposalAnswer, CallError>> {
    let signed = signed.clone();
    let request = Request::ProposeBundle(ProposeBundle { signed });
    match client.call_at(address, request, time).await {
        Ok(Response::ProposeBundle(done)) => Ok(Ok(done.answer)),
        Ok(other) => bail!("proposing a bundle: unexpected {other:?}"),
        Err(error) => Ok(Err(error)),
    }
}

/// Waits until one of the contenders is in force.
async fn await_winner(stage: &Stage, contenders: &[Bundle]) -> anyhow::Result<usize> {
    let end = Instant::now() + DECIDED_TIME;
    while Instant::now() < end {
        let in_force = stage.rehearsal.operators.show().await?;
        let winner = contenders.iter().position(|one| *one == in_force);
        if let Some(winner) = winner {
            return Ok(winner);
        }
        sleep(LOOK_PAUSE).await;
    }
    bail!("no proposal was carried out within {DECIDED_TIME:?}")
}
