//! The stand-in for the platform's list of machines, which lags.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Args;
use parking_lot::Mutex;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, put, routes, Shutdown, State};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::http;

/// Flags of the platform list.
#[derive(Args, Debug, Clone)]
pub struct PlatformArguments {
    /// Address to listen at.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Time until a change is visible, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pub lag_ms: u64,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
    /// Gone.
    Gone,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its kind: `worker`.
    pub kind: String,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Number of its engines.
    pub engines: usize,
    /// Its state.
    pub state: MachineState,
}

/// The whole list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Grows with each visible change.
    pub revision: u64,
    /// All machines.
    pub machines: Vec<Machine>,
}

/// The list and the changes that are not visible yet.
#[derive(Debug, Default)]
pub struct MachineTable {
    revision: u64,
    machines: BTreeMap<String, Machine>,
    pending: Vec<(Instant, Machine)>,
}

impl MachineTable {
    /// Notes a change that is visible from `visible_at` on.
    pub fn put(&mut self, visible_at: Instant, machine: Machine) {
        self.pending.push((visible_at, machine));
    }

    /// The list as it is visible at `now`, unless its revision is `known`.
    pub fn list_unless(&mut self, known: Option<u64>, now: Instant) -> Option<MachineList> {
        self.make_visible(now);
        if known == Some(self.revision) {
            return None;
        }
        Some(MachineList {
            revision: self.revision,
            machines: self.machines.values().cloned().collect(),
        })
    }

    /// When the next change becomes visible.
    pub fn next_change(&self) -> Option<Instant> {
        self.pending.iter().map(|(visible_at, _)| *visible_at).min()
    }

    fn make_visible(&mut self, now: Instant) {
        let changes = std::mem::take(&mut self.pending).into_iter();
        let (due, pending): (Vec<_>, Vec<_>) =
            changes.partition(|(visible_at, _)| *visible_at <= now);
        self.pending = pending;
        for (_, machine) in due {
            self.revision += 1;
            self.machines.insert(machine.name.clone(), machine);
        }
    }
}

#[derive(Debug)]
struct Platform {
    table: Mutex<MachineTable>,
    /// A change was noted; readers look again when it becomes visible.
    noted: Notify,
    lag: Duration,
}

impl Platform {
    /// The list unless its revision is `known`, and when the next change
    /// becomes visible.
    fn look(&self, known: Option<u64>, now: Instant) -> (Option<MachineList>, Option<Instant>) {
        let mut table = self.table.lock();
        let list = table.list_unless(known, now);
        (list, table.next_change())
    }
}

/// Serves the list until SIGTERM or SIGINT.
pub async fn run(arguments: PlatformArguments) -> anyhow::Result<()> {
    let platform = Arc::new(Platform {
        table: Mutex::default(),
        noted: Notify::new(),
        lag: Duration::from_millis(arguments.lag_ms),
    });
    let server = http::server(arguments.listen).manage(platform);
    http::serve_until_stopped(server.mount("/", routes![machines, put_machine])).await
}

#[get("/machines?<after>&<wait_ms>")]
async fn machines(
    platform: &State<Arc<Platform>>,
    after: Option<u64>,
    wait_ms: Option<u64>,
    mut stopping: Shutdown,
) -> Result<Json<MachineList>, (Status, ())> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
    loop {
        // Made before the look, so that a change between look and wait wakes.
        let noted = platform.noted.notified();
        let now = Instant::now();
        let (list, next_change) = platform.look(after, now);
        if let Some(list) = list {
            return Ok(Json(list));
        }
        if now >= deadline {
            return Err((Status::NotModified, ()));
        }
        let wake = next_change.map_or(deadline, |change| change.min(deadline));
        tokio::select! {
            () = noted => {}
            () = sleep_until(wake.into()) => {}
            // A reader that waits must not hold up the stop.
            () = &mut stopping => return Err((Status::NotModified, ())),
        }
    }
}

#[put("/machines/<name>", data = "<machine>")]
fn put_machine(
    platform: &State<Arc<Platform>>,
    name: &str,
    machine: Json<Machine>,
) -> Result<Status, http::Failure> {
    if machine.name != name {
        let message = format!("the path says {name}, the record {}", machine.name);
        return Err(http::Failure::new(400, "bad_request", message));
    }
    let visible_at = Instant::now() + platform.lag;
    platform.table.lock().put(visible_at, machine.into_inner());
    platform.noted.notify_waiters();
    Ok(Status::NoContent)
}
