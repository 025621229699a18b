//! Workers for tests.

use std::net::{Ipv4Addr, SocketAddr};

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};

/// A worker of four slots that is ready.
pub fn entry(id: WorkerId) -> WorkerEntry {
    WorkerEntry {
        id,
        service: "svc".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: "za".to_owned(),
        slots: 4,
        state: WorkerState::Ready,
        cold_left_ms: 0,
    }
}
