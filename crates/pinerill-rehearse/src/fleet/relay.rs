//! One relay process and its links.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{ensure, Context};
use reqwest::{Client, RequestBuilder};

use super::launcher::Launcher;
use super::ports::free_address;
use super::process::ChildProcess;
use super::ready::wait_http;
use crate::standin::relay::link::{LinkState, Passage};
use crate::standin::relay::LinkArguments;

/// Longest time until the relays are ready.
const READY_TIME: Duration = Duration::from_secs(20);
/// Longest time of a planned stop.
const STOP_TIME: Duration = Duration::from_secs(10);

/// A process that relays links, all with the same latency.
#[derive(Debug)]
pub struct RelayProcess {
    control: RelayControl,
    process: ChildProcess,
}

/// Changes the links of a relay process.
#[derive(Clone, Debug)]
pub struct RelayControl {
    admin: SocketAddr,
    client: Client,
    latency: Duration,
}

impl RelayProcess {
    /// Starts it with `links` open.
    ///
    /// # Errors
    /// When the process does not get ready.
    pub async fn start(
        launcher: &Launcher,
        name: &str,
        links: &[LinkArguments],
        latency: Duration,
    ) -> anyhow::Result<Self> {
        let admin = free_address()?;
        let mut arguments = vec![
            "relay".to_owned(),
            format!("--admin={admin}"),
            format!("--delay-us={}", latency.as_micros()),
        ];
        for link in links {
            let (name, listen, target) = (&link.name, link.listen, link.target);
            arguments.push(format!("--link={name}={listen},{target}"));
        }
        let client = Client::builder().no_proxy().build()?;
        let mut process = launcher.start_standin(name, arguments)?;
        wait_http(&client, &mut process, admin, "/links", READY_TIME).await?;
        let control = RelayControl {
            admin,
            client,
            latency,
        };
        Ok(Self { control, process })
    }

    /// Changes its links.
    pub fn control(&self) -> RelayControl {
        self.control.clone()
    }

    /// Lets bytes pass both ways, or not.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn set_both(&self, link: &str, passage: Passage) -> anyhow::Result<()> {
        self.control.set(link, passage, passage).await
    }

    /// Lets bytes pass towards the target and back, or not.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn set(&self, link: &str, forward: Passage, backward: Passage) -> anyhow::Result<()> {
        self.control.set(link, forward, backward).await
    }

    /// Closes all connections of a link.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn reset(&self, link: &str) -> anyhow::Result<()> {
        self.control.reset(link).await
    }

    /// Planned stop.
    ///
    /// # Errors
    /// When it does not end with exit code 0.
    pub async fn stop(&mut self) -> anyhow::Result<()> {
        self.process.stop(STOP_TIME).await
    }
}

impl RelayControl {
    /// Lets bytes pass towards the target and back, or not.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn set(&self, link: &str, forward: Passage, backward: Passage) -> anyhow::Result<()> {
        let state = LinkState {
            forward,
            backward,
            delay_us: self.latency.as_micros() as u64,
        };
        let url = format!("http://{}/links/{link}", self.admin);
        self.order(link, self.client.put(url).json(&state)).await
    }

    /// Closes all connections of a link.
    ///
    /// # Errors
    /// When the relay does not answer.
    pub async fn reset(&self, link: &str) -> anyhow::Result<()> {
        let url = format!("http://{}/links/{link}/reset", self.admin);
        self.order(link, self.client.post(url)).await
    }

    async fn order(&self, link: &str, call: RequestBuilder) -> anyhow::Result<()> {
        let sent = call.send().await;
        let response = sent.with_context(|| format!("changing link {link}"))?;
        let status = response.status();
        ensure!(status.is_success(), "changing link {link}: {status}");
        Ok(())
    }
}
