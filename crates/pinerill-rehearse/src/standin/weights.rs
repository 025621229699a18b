//! The stand-in for the weight store, which is rate-limited.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use futures::stream::{self, Stream};
use parking_lot::Mutex;
use rocket::response::stream::ByteStream;
use rocket::serde::json::Json;
use rocket::{get, routes, State};
use serde::{Deserialize, Serialize};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::http;

/// Bytes sent at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// When a refused fetch may come back, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Flags of the weight store.
#[derive(Args, Debug, Clone)]
pub struct WeightsArguments {
    /// Address to listen at.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Size of every body, in bytes.
    #[arg(long, default_value_t = 1_048_576)]
    pub body_bytes: usize,
    /// Rate of all fetches together, in bytes per second.
    #[arg(long, default_value_t = 4_194_304)]
    pub bytes_per_second: u64,
    /// Fetches served at once, each at an equal share of the rate.
    #[arg(long, default_value_t = 4)]
    pub fetches: usize,
}

/// What the store has served since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsUsage {
    /// Fetches that were let in.
    pub fetches: u64,
    /// Fetches that were refused as over the rate.
    pub refused: u64,
    /// Most fetches at once.
    pub most_at_once: usize,
}

#[derive(Debug)]
struct WeightStore {
    arguments: WeightsArguments,
    fetches: Arc<Semaphore>,
    usage: Mutex<WeightsUsage>,
}

impl WeightStore {
    /// Lets one more fetch in, if the rate allows it.
    fn enter(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.fetches.clone().try_acquire_owned().ok();
        let mut usage = self.usage.lock();
        match permit {
            Some(_) => {
                let running = self.arguments.fetches - self.fetches.available_permits();
                usage.fetches += 1;
                usage.most_at_once = usage.most_at_once.max(running);
            }
            None => usage.refused += 1,
        }
        permit
    }
}

/// Serves weights until SIGTERM or SIGINT.
pub async fn run(arguments: WeightsArguments) -> anyhow::Result<()> {
    let listen = arguments.listen;
    let store = WeightStore {
        fetches: Arc::new(Semaphore::new(arguments.fetches)),
        arguments,
        usage: Mutex::default(),
    };
    let server = http::server(listen).manage(store);
    http::serve_until_stopped(server.mount("/", routes![weights, usage])).await
}

#[get("/weights/<_path..>")]
fn weights(
    store: &State<WeightStore>,
    _path: PathBuf,
) -> Result<ByteStream<impl Stream<Item = Vec<u8>>>, http::Failure> {
    let permit = store.enter().ok_or_else(|| http::Failure {
        retry_after: Some(RETRY_AFTER_SECONDS),
        ..http::Failure::new(429, "over_rate", "too many fetches at once")
    })?;
    let arguments = &store.arguments;
    let share = (arguments.bytes_per_second / arguments.fetches.max(1) as u64).max(1);
    Ok(ByteStream(body(arguments.body_bytes, share, permit)))
}

#[get("/usage")]
fn usage(store: &State<WeightStore>) -> Json<WeightsUsage> {
    Json(*store.usage.lock())
}

fn body(
    bytes: usize,
    bytes_per_second: u64,
    permit: OwnedSemaphorePermit,
) -> impl Stream<Item = Vec<u8>> {
    stream::unfold((bytes, permit), move |(left, permit)| async move {
        if left == 0 {
            return None;
        }
        let size = left.min(CHUNK_BYTES);
        let pace = size as u64 * 1_000_000 / bytes_per_second;
        tokio::time::sleep(Duration::from_micros(pace)).await;
        Some((vec![0; size], (left - size, permit)))
    })
}
