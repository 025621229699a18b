//! Control machines in one process, on loopback, with real data folders.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use pinerill_control::server::{run_with, StopSignals};
use pinerill_types::bundle::Bundle;
use pinerill_types::settings::{ClusterSettings, ControlSettings, LogSettings, Settings};
use pinerill_types::{NodeName, ZoneName};
use pinerill_wire::api::{CallError, ControlApi, Role};
use pinerill_wire::client::ControlClient;
use pinerill_wire::connection::{ClusterKey, Identity};
use pinerill_wire::message::{
    BundleShow, BundleShown, ClusterInit, ClusterStatusRequest, ClusterStatusResponse, NodeRecord,
    Request, Response, WatchRequest, WatchResponse,
};
use tempfile::TempDir;
use tokio::task::JoinHandle;

/// Longest wait for anything; a pass never takes it.
pub const WAIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);
const CLUSTER: &str = "test";
const KEY: [u8; 32] = [7; 32];

struct Machine {
    signal: StopSignals,
    task: JoinHandle<anyhow::Result<()>>,
}

/// Control machines and what they stand on.
pub struct Fleet {
    folder: TempDir,
    addresses: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    machines: BTreeMap<usize, Machine>,
    platform: Option<SocketAddr>,
}

/// Ports below those of outgoing connections, so that a machine that is
/// started again finds its own free.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let begin = 10_240 + (std::process::id() % 200) as u16 * 100;
    let mut addresses = Vec::new();
    while addresses.len() < count {
        let port = begin + NEXT.fetch_add(1, Ordering::Relaxed) % 10_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    addresses
}

impl Fleet {
    /// Starts `count` control machines with empty folders, each in a zone of
    /// its own.
    pub fn start(count: usize) -> Self {
        Self::start_with(count, None)
    }

    /// Starts them with the platform that lists machines, if one is given.
    pub fn start_with(count: usize, platform: Option<SocketAddr>) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("key"), hex::encode(KEY)).expect("a key file");
        let mut fleet = Self {
            folder,
            addresses: free_addresses(count),
            admins: free_addresses(count),
            machines: BTreeMap::new(),
            platform,
        };
        for number in 0..count {
            fleet.start_machine(number);
        }
        fleet
    }

    /// Where a machine's files are.
    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("control-{number}"))
    }

    /// Starts a machine on whatever its folder holds.
    pub fn start_machine(&mut self, number: usize) {
        let signal = StopSignals::default();
        let settings = self.settings(number);
        let task = tokio::spawn(run_with(settings, signal.clone()));
        self.machines.insert(number, Machine { signal, task });
    }

    fn settings(&self, number: usize) -> Settings {
        let zone = ZoneName(format!("zone-{number}"));
        let control = ControlSettings {
            name: NodeName(format!("control-{number}")),
            zone,
            listen: self.addresses[number],
            admin: self.admins[number],
            data_folder: self.data_folder(number),
            platform: self.platform,
            heartbeat_ms: 30,
            election_ms: 150,
            snapshot_entries: 50,
            concurrent_loads: 1,
        };
        Settings {
            cluster: ClusterSettings {
                name: CLUSTER.to_owned(),
                key_file: self.folder.path().join("key"),
                controls: self.addresses.clone(),
            },
            control: Some(control),
            node: None,
            log: LogSettings::default(),
        }
    }

    /// Stops a machine as planned.
    pub async fn stop_machine(&mut self, number: usize) {
        let machine = self.machines.remove(&number).expect("it runs");
        machine.signal.planned.cancel();
        machine.task.await.expect("no panic").expect("a clean stop");
    }

    /// Stops a machine without handing anything over.
    pub async fn halt_machine(&mut self, number: usize) {
        let machine = self.machines.remove(&number).expect("it runs");
        machine.signal.forced.cancel();
        machine.signal.planned.cancel();
        machine.task.await.expect("no panic").expect("a stop");
    }

    /// Loses a stopped machine's disk.
    pub fn lose_disk(&self, number: usize) {
        remove_folder(&self.data_folder(number));
    }

    /// A client of all machines.
    pub fn client(&self, role: Role, name: &str) -> ControlClient {
        let key = ClusterKey::from_bytes(KEY);
        let identity = Identity::new(CLUSTER, key, role, name, "zone-0");
        ControlClient::new(identity, &self.addresses)
    }

    /// A client of one machine.
    pub fn client_of(&self, number: usize, role: Role, name: &str) -> ControlClient {
        let key = ClusterKey::from_bytes(KEY);
        let identity = Identity::new(CLUSTER, key, role, name, "zone-0");
        ControlClient::new(identity, &self.addresses[number..=number])
    }

    /// Founds a cluster, once all machines have found each other.
    pub async fn found(&self, founding: &Bundle, job_groups: u32) {
        let request = Request::ClusterInit(ClusterInit {
            founding: founding.clone(),
            job_groups,
            voters: 5,
        });
        let client = self.client(Role::Operator, "operator");
        let founded = until(|| async {
            let answer = client.call_any(request.clone(), WAIT).await;
            match answer {
                Ok(Response::ClusterInit(done)) => Some(done),
                _ => None,
            }
        });
        founded.await;
        self.await_leaders(job_groups as usize + 1).await;
    }

    /// Waits until each group has a leader.
    pub async fn await_leaders(&self, groups: usize) {
        until(|| async {
            let status = self.status().await?;
            let led = status.groups.iter().filter(|one| one.leader.is_some());
            (led.count() == groups).then_some(())
        })
        .await;
    }

    /// Status by any machine.
    pub async fn status(&self) -> Option<ClusterStatusResponse> {
        let client = self.client(Role::Operator, "operator");
        let request = Request::ClusterStatus(ClusterStatusRequest);
        match client.call_any(request, WAIT).await {
            Ok(Response::ClusterStatus(status)) => Some(status),
            _ => None,
        }
    }
}

fn remove_folder(path: &Path) {
    std::fs::remove_dir_all(path).expect("a folder");
}

/// Asks again until there is an answer.
pub async fn until<T, F, R>(mut ask: F) -> T
where
    F: FnMut() -> R,
    R: std::future::Future<Output = Option<T>>,
{
    let asked = async {
        loop {
            if let Some(answer) = ask().await {
                return answer;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    let waited = tokio::time::timeout(WAIT, asked).await;
    waited.expect("it comes about in time")
}

/// The bundle in force, confirmed.
pub async fn bundle_in_force(client: &ControlClient) -> Result<BundleShown, CallError> {
    match client
        .call_any(Request::BundleShow(BundleShow), WAIT)
        .await?
    {
        Response::BundleShow(shown) => Ok(shown),
        other => panic!("not a bundle: {other:?}"),
    }
}

/// A watch of a node that knows nothing yet.
pub fn first_watch(node: &str) -> WatchRequest {
    WatchRequest {
        node: NodeRecord {
            name: node.into(),
            zone: "zone-0".into(),
            incarnation: 1,
            draining: false,
            bundle_version: 0,
        },
        bundle_digest: Default::default(),
        zones: Vec::new(),
        directory_epoch: 0,
        directory_revision: 0,
        leaving: Vec::new(),
        wait_ms: 1_000,
    }
}

/// Holds one watch.
pub async fn watch(
    client: &ControlClient,
    request: &WatchRequest,
) -> Result<WatchResponse, CallError> {
    match client
        .call_any(Request::Watch(request.clone()), WAIT)
        .await?
    {
        Response::Watch(response) => Ok(response),
        other => panic!("not a watch: {other:?}"),
    }
}
