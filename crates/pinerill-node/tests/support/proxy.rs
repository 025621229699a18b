//! TCP proxy in front of a fake peer that can cut connections.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// A running proxy; stops on drop.
pub struct Proxy {
    pub address: SocketAddr,
    connections: Arc<Mutex<JoinSet<()>>>,
    listener: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.gone();
    }
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let connections = Arc::new(Mutex::new(JoinSet::new()));
        let shared = connections.clone();
        let listener = tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                shared.lock().spawn(async move {
                    if let Ok(mut far) = TcpStream::connect(target).await {
                        let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                    }
                });
            }
        });
        Self {
            address,
            connections,
            listener,
        }
    }

    /// Cuts all connections; new ones are accepted.
    pub fn cut(&self) {
        self.connections.lock().abort_all();
    }

    /// Cuts all connections and accepts no new ones.
    pub fn gone(&self) {
        self.listener.abort();
        self.cut();
    }
}
