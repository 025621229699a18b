//! A rocket server in a task of its own.

use std::net::SocketAddr;
use std::time::Duration;

use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use rocket::{Build, Ignite, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Seconds that open connections get to end by themselves at shutdown.
const GRACE_SECONDS: u32 = 2;
/// Further seconds until they are closed.
const MERCY_SECONDS: u32 = 1;
/// Seconds that an idle connection is kept.
const KEEP_ALIVE_SECONDS: u32 = 75;
/// Longest wait until a server has closed its connections.
const STOP_LIMIT: Duration = Duration::from_secs(4);

/// A server could not listen, or failed.
#[derive(Debug, thiserror::Error)]
#[error("serve at {address}: {message}")]
pub struct ServerError {
    /// Where it listens.
    pub address: SocketAddr,
    /// What went wrong.
    pub message: String,
}

/// Settings of a server that leaves signals and logs to its process.
pub fn server_settings(address: SocketAddr) -> Figment {
    Figment::from(rocket::Config::release_default())
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        .merge(("keep_alive", KEEP_ALIVE_SECONDS))
        .merge(("ident", false))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
        .merge(("shutdown.force", false))
        .merge(("shutdown.grace", GRACE_SECONDS))
        .merge(("shutdown.mercy", MERCY_SECONDS))
}

/// A running server.
pub struct Server {
    shutdown: Shutdown,
    task: JoinHandle<Result<Rocket<Ignite>, rocket::Error>>,
}

impl Server {
    /// Starts to listen.
    ///
    /// # Errors
    /// When the address can't be had.
    pub async fn start(address: SocketAddr, rocket: Rocket<Build>) -> Result<Self, ServerError> {
        let failed = |message: String| ServerError { address, message };
        let (ready, listening) = oneshot::channel();
        let ready = parking_lot::Mutex::new(Some(ready));
        let rocket = rocket.attach(AdHoc::on_liftoff("listening", move |_| {
            if let Some(ready) = ready.lock().take() {
                // Whoever started the server may have given up.
                let _ = ready.send(());
            }
            Box::pin(async {})
        }));
        let ignited = rocket.ignite().await;
        let rocket = ignited.map_err(|error| failed(error.to_string()))?;
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(rocket.launch());
        if listening.await.is_ok() {
            return Ok(Self { shutdown, task });
        }
        Err(failed(match task.await {
            Ok(Ok(_)) => "it ended at once".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        }))
    }

    /// Closes the listener and waits until the connections have ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        // What is open after that is not waited for.
        let _ = tokio::time::timeout(STOP_LIMIT, self.task).await;
    }
}
