//! Directory entries and route tables shared by tests.

#![allow(dead_code)]

pub mod protocol;
pub mod raw_worker;

use std::net::{Ipv4Addr, SocketAddr};

use pinerill_calls::directory::{WorkerEntry, WorkerId, WorkerState};
use pinerill_calls::table::{RequestLimits, RouteTable, Service, SlowStart};

/// Returns a ready worker with four slots in zone `za`.
pub fn entry(id: WorkerId) -> WorkerEntry {
    WorkerEntry {
        id,
        service: "svc".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: "za".to_owned(),
        slots: 4,
        state: WorkerState::Ready,
        cold_left_ms: 0,
        version: None,
    }
}

/// Returns a ready worker with four slots in the given zone.
pub fn entry_in(zone: &str, name: &str) -> WorkerEntry {
    WorkerEntry {
        zone: zone.to_owned(),
        ..entry(WorkerId::new(name, None))
    }
}

/// Returns a route table whose only service has the given slow start.
pub fn table_with(slow_start: SlowStart) -> RouteTable {
    RouteTable {
        version: 1,
        routes: Vec::new(),
        services: vec![Service {
            name: "svc".to_owned(),
            max_connections: 10,
            slots: Some(4),
            cache_tokens: None,
            health_path: None,
            slow_start: Some(slow_start),
        }],
        limits: RequestLimits::default(),
        tenants: None,
    }
}
