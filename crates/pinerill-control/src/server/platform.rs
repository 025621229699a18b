//! Follows the platform's list of machines by long poll.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pinerill_types::{WorkerName, ZoneName};
use pinerill_wire::message::{WorkerRecord, WorkerState};
use reqwest::StatusCode;
use serde::Deserialize;
use tokio::time::sleep;

use super::control::Control;

/// How long the platform may hold a poll, milliseconds.
const POLL_WAIT_MS: u64 = 5_000;
/// Longest wait for its answer.
const POLL_TIME: Duration = Duration::from_millis(POLL_WAIT_MS + 2_000);
/// Pause after a poll that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Shortest pause between two lists.
const LIST_PAUSE: Duration = Duration::from_millis(50);
/// Idle connections that are kept. A list does not say which poll it answers, so each poll has a
/// connection of its own, on which no answer to an earlier one can arrive.
const MAX_IDLE_CONNECTIONS: usize = 0;
/// Machines of this kind hold engines.
const WORKER_KIND: &str = "worker";

/// The platform's list, see `docs/PROTOCOLS.md`.
#[derive(Debug, Deserialize)]
struct MachineList {
    revision: u64,
    machines: Vec<Machine>,
}

#[derive(Debug, Deserialize)]
struct Machine {
    name: WorkerName,
    kind: String,
    address: SocketAddr,
    zone: ZoneName,
    engines: u16,
    state: MachineState,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MachineState {
    Live,
    Leaving,
    Gone,
}

impl From<Machine> for WorkerRecord {
    fn from(machine: Machine) -> Self {
        Self {
            name: machine.name,
            address: machine.address,
            zone: machine.zone,
            engines: machine.engines,
            state: match machine.state {
                MachineState::Live => WorkerState::Live,
                MachineState::Leaving => WorkerState::Leaving,
                MachineState::Gone => WorkerState::Gone,
            },
            leaving_incarnation: 0,
        }
    }
}

impl Control {
    /// Polls until the task is dropped; does nothing without a platform.
    pub(super) async fn follow_platform(self: Arc<Self>) {
        let Some(address) = self.settings.platform else {
            return;
        };
        let built = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        let client = match built {
            Ok(client) => client,
            Err(error) => {
                log::error!(step = "build HTTP client", error:%; "no platform list");
                return;
            }
        };
        let mut revision = 0;
        let mut failing = false;
        loop {
            match poll(&client, address, revision).await {
                Ok(list) => {
                    if failing {
                        log::info!(peer:% = address; "platform list answers again");
                    }
                    failing = false;
                    if let Some(list) = list {
                        revision = list.revision;
                        self.take_platform_list(list);
                        sleep(LIST_PAUSE).await;
                    }
                }
                Err(error) => {
                    if !failing {
                        log::warn!(step = "poll platform list", peer:% = address, error:%; "no list");
                    }
                    failing = true;
                    self.count(&self.counters.platform_failures);
                    // A platform that was restarted counts from the start.
                    revision = 0;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn take_platform_list(&self, list: MachineList) {
        let machines = list.machines.into_iter();
        let workers = machines
            .filter(|machine| machine.kind == WORKER_KIND)
            .map(WorkerRecord::from)
            .collect();
        self.update_directory(|directory| directory.take_platform_list(workers));
    }
}

/// One poll; none when the list is still the same.
async fn poll(
    client: &reqwest::Client,
    address: SocketAddr,
    revision: u64,
) -> reqwest::Result<Option<MachineList>> {
    let url = format!("http://{address}/machines?after={revision}&wait_ms={POLL_WAIT_MS}");
    let response = client.get(url).timeout(POLL_TIME).send().await?;
    if response.status() == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    let list = response.error_for_status()?.json().await?;
    Ok(Some(list))
}
