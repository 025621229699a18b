//! One link: its listener, its connections and its state.

use std::sync::Arc;

use anyhow::Context;
use log::warn;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::pump::{self, Direction};
use super::LinkArguments;

/// Whether bytes pass in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Passage {
    /// They pass after the delay.
    #[default]
    Open,
    /// They are lost in silence. A connection that lost bytes is closed when
    /// the link is open again, as if its retransmissions had run out.
    Cut,
    /// They are held back in silence and arrive in order afterwards.
    Frozen,
}

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkState {
    /// From the one who connects to the target.
    pub forward: Passage,
    /// From the target to the one who connects.
    pub backward: Passage,
    /// One-way delay, in microseconds.
    pub delay_us: u64,
}

impl LinkState {
    /// Whether a new connection can be made: packets pass both ways.
    pub fn is_open(&self) -> bool {
        self.forward == Passage::Open && self.backward == Passage::Open
    }

    /// The passage in one direction.
    pub fn passage(&self, direction: Direction) -> Passage {
        match direction {
            Direction::Forward => self.forward,
            Direction::Backward => self.backward,
        }
    }
}

/// One link that is being relayed.
#[derive(Debug)]
pub struct Link {
    arguments: LinkArguments,
    state: watch::Sender<LinkState>,
    connections: Mutex<CancellationToken>,
}

impl Link {
    /// Listens and relays in the background. Fails when the address is taken.
    pub async fn open(arguments: LinkArguments, state: LinkState) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind(arguments.listen)
            .await
            .with_context(|| format!("listening at {} for {}", arguments.listen, arguments.name))?;
        let link = Arc::new(Self {
            arguments,
            state: watch::Sender::new(state),
            connections: Mutex::default(),
        });
        tokio::spawn(link.clone().accept(listener));
        Ok(link)
    }

    /// State at this moment.
    pub fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Changes the state; it holds for open connections too.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        let connections = std::mem::take(&mut *self.connections.lock());
        connections.cancel();
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((caller, _)) => {
                    let ended = self.connections.lock().child_token();
                    tokio::spawn(self.clone().relay(caller, ended));
                }
                Err(error) => {
                    warn!("accepting at {}: {error}", self.arguments.listen);
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Relays one connection. While the link is not open, the caller's
    /// connection stands but nothing answers, as nearly as a relay can show it.
    async fn relay(self: Arc<Self>, caller: TcpStream, ended: CancellationToken) {
        let work = async {
            let mut state = self.state.subscribe();
            if state.wait_for(LinkState::is_open).await.is_err() {
                return;
            }
            match TcpStream::connect(self.arguments.target).await {
                Ok(target) => pump::run(caller, target, self.state.subscribe()).await,
                Err(error) => warn!("connecting to {}: {error}", self.arguments.target),
            }
        };
        tokio::select! {
            () = work => {}
            () = ended.cancelled() => {}
        }
    }
}
