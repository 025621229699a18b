//! Which nodes are ready, as a load balancer before them sees it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use reqwest::Client;
use tokio_util::task::AbortOnDropHandle;

/// Pause between two looks at a node.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for one look.
const LOOK_TIME: Duration = Duration::from_millis(500);

/// A node for callers and the address that tells whether it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Where callers send.
    pub listen: SocketAddr,
    /// Where `/readyz` is.
    pub admin: SocketAddr,
}

/// Looks at all nodes until it is dropped.
#[derive(Debug)]
pub struct NodeReadiness {
    nodes: Vec<(SocketAddr, Arc<AtomicBool>)>,
    _looks: Vec<AbortOnDropHandle<()>>,
}

impl NodeReadiness {
    /// Starts to look; a node counts as ready until it says otherwise.
    pub fn start(client: &Client, nodes: &[NodeAddresses]) -> Self {
        let mut watched = Vec::new();
        let mut looks = Vec::new();
        for node in nodes {
            let ready = Arc::new(AtomicBool::new(true));
            watched.push((node.listen, ready.clone()));
            let look = look(client.clone(), node.admin, ready);
            looks.push(AbortOnDropHandle::new(tokio::spawn(look)));
        }
        Self {
            nodes: watched,
            _looks: looks,
        }
    }

    /// The first ready node from `turn` on. When none is ready, the node whose
    /// turn it is: a refusal says more than silence.
    pub fn choose(&self, turn: usize) -> SocketAddr {
        let count = self.nodes.len();
        let turns = (0..count).map(|offset| &self.nodes[(turn + offset) % count]);
        let mut ready = turns.filter(|(_, ready)| ready.load(Ordering::Relaxed));
        let chosen = ready.next().unwrap_or(&self.nodes[turn % count]);
        chosen.0
    }
}

async fn look(client: Client, admin: SocketAddr, ready: Arc<AtomicBool>) {
    let url = format!("http://{admin}/readyz");
    loop {
        let answer = client.get(&url).timeout(LOOK_TIME).send().await;
        let is_ready = answer.is_ok_and(|response| response.status().is_success());
        ready.store(is_ready, Ordering::Relaxed);
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
