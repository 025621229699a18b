//! The stand-in for the weight store, which is rate-limited.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use futures::stream::{self, Stream};
use rocket::response::stream::ByteStream;
use rocket::{get, routes, State};
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

#[derive(Debug)]
struct WeightStore {
    arguments: WeightsArguments,
    fetches: Arc<Semaphore>,
}

/// Serves weights until SIGTERM or SIGINT.
pub async fn run(arguments: WeightsArguments) -> anyhow::Result<()> {
    let listen = arguments.listen;
    let store = WeightStore {
        fetches: Arc::new(Semaphore::new(arguments.fetches)),
        arguments,
    };
    let server = http::server(listen).manage(store);
    http::serve_until_stopped(server.mount("/", routes![weights])).await
}

#[get("/weights/<_path..>")]
fn weights(
    store: &State<WeightStore>,
    _path: PathBuf,
) -> Result<ByteStream<impl Stream<Item = Vec<u8>>>, http::Failure> {
    let permit = store.fetches.clone().try_acquire_owned();
    let permit = permit.map_err(|_| http::Failure {
        retry_after: Some(RETRY_AFTER_SECONDS),
        ..http::Failure::new(429, "over_rate", "too many fetches at once")
    })?;
    let arguments = &store.arguments;
    let share = (arguments.bytes_per_second / arguments.fetches.max(1) as u64).max(1);
    Ok(ByteStream(body(arguments.body_bytes, share, permit)))
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
