//! Waits until processes are ready.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::ensure;
use reqwest::Client;

use super::process::{log_tail, ChildProcess};

/// How often a waiting caller asks.
const POLL: Duration = Duration::from_millis(20);
/// Longest time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until `path` at `address` is answered with success. Fails when the
/// process ends or after `timeout`, with the last answer.
pub async fn wait_http(
    client: &Client,
    process: &mut ChildProcess,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> anyhow::Result<()> {
    let url = format!("http://{address}{path}");
    let deadline = Instant::now() + timeout;
    loop {
        process.ensure_running()?;
        let last = match ask(client, &url).await {
            Ok(()) => return Ok(()),
            Err(last) => last,
        };
        ensure!(
            Instant::now() < deadline,
            "{} ({address}) is not ready after {timeout:?}: {last}; {}",
            process.name(),
            log_tail(process.log())
        );
        tokio::time::sleep(POLL).await;
    }
}

async fn ask(client: &Client, url: &str) -> Result<(), String> {
    let answer = client.get(url).timeout(ANSWER_TIMEOUT).send().await;
    let response = answer.map_err(|error| error.to_string())?;
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let body = response.text().await.unwrap_or_default();
    Err(format!("{status} {body}"))
}
