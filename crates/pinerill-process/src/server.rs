//! Runs a Rocket server in its own task, with a bounded graceful shutdown.

use std::net::SocketAddr;
use std::time::Duration;

use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use rocket::{Build, Ignite, Rocket, Shutdown};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Grace period at shutdown in which open connections may finish, in seconds.
const GRACE_SECONDS: u32 = 2;
/// Additional time after the grace period until connections are closed, in seconds.
const MERCY_SECONDS: u32 = 1;
/// Time for which an idle connection is kept open, in seconds.
const KEEP_ALIVE_SECONDS: u32 = 75;
/// Longest time that [`Server::stop`] waits. It covers the grace period and the additional
/// time until connections are closed.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Error of a server that could not listen or exited during startup.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve at {address}: {message}")]
pub struct ServerError {
    /// Address at which the server was to listen.
    pub address: SocketAddr,
    /// Description of the failure.
    pub message: String,
}

/// Returns Rocket settings for `address`. Signal handling and logging are disabled in
/// Rocket, since the process does both itself.
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

/// A running HTTP server.
pub struct Server {
    shutdown: Shutdown,
    task: JoinHandle<Result<Rocket<Ignite>, rocket::Error>>,
}

impl Server {
    /// Starts the server and waits until it listens.
    ///
    /// # Errors
    /// Returns an error if the server can't bind the address or its configuration is invalid.
    pub async fn start(address: SocketAddr, rocket: Rocket<Build>) -> Result<Self, ServerError> {
        let failed = |message: String| ServerError { address, message };
        let (ready, listening) = oneshot::channel();
        let ready = parking_lot::Mutex::new(Some(ready));
        let rocket = rocket.attach(AdHoc::on_liftoff("listening", move |_| {
            if let Some(ready) = ready.lock().take() {
                // The receiver is gone if the caller dropped this future.
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
            Ok(Ok(_)) => "the server exited before it started to listen".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        }))
    }

    /// Closes the listener and waits until all connections have ended, up to a time limit.
    pub async fn stop(self) {
        self.shutdown.notify();
        // Connections that are still open after the timeout are abandoned.
        let _ = tokio::time::timeout(STOP_TIMEOUT, self.task).await;
    }
}
