//! Answers the long polls by which nodes follow the route table, the directory of workers, the
//! evacuations, and the addresses of other processes.

use std::sync::Arc;
use std::time::Duration;

use pinerill_calls::cells::CellId;
use pinerill_calls::digest::Digest;
use pinerill_calls::directory::DirectoryUpdate;
use pinerill_calls::message::{
    CallsResponse, ControlAddress, Processes, WatchRequest, WatchResponse,
};
use pinerill_calls::packed::Packed;
use pinerill_calls::table::RouteTable;
use pinerill_process::clock::{timeout_at, BootTime};
use pinerill_wire::message::Refusal;

use super::control::Control;
use crate::cells::{Neighbours, WatchingNode};

/// Maximum time for which a watch is held open.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Part of the leader's soft state that concerns one node.
struct NodeView {
    cell: CellId,
    directory: Option<Packed<DirectoryUpdate>>,
    directory_age_ms: Option<u64>,
    neighbours: Neighbours,
    nodes: u32,
    cell_nodes: u32,
    /// Control machines; `None` if the cached list has expired.
    controls: Option<Vec<ControlAddress>>,
}

impl Control {
    /// Answers once the route table, the directory or the evacuations are newer than what the node
    /// has, or at the deadline. Only the leader answers, so a node follows a machine that is cut
    /// off no longer than it takes to depose it.
    pub(super) async fn watch(&self, request: WatchRequest) -> Result<CallsResponse, Box<Refusal>> {
        let arrived_ms = self.now_ms();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let deadline = BootTime::now() + wait;
        let mut changes = self.watch_changes.subscribe();
        loop {
            let response = self
                .build_watch_response_with_permit(&request, arrived_ms)
                .await?;
            let has_changes = response.table.is_some()
                || response.directory.is_some()
                || response.evacuations.is_some();
            if has_changes || self.stopping.is_cancelled() {
                return Ok(CallsResponse::Watch(Box::new(response)));
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                let response = self
                    .build_watch_response_with_permit(&request, arrived_ms)
                    .await?;
                return Ok(CallsResponse::Watch(Box::new(response)));
            }
        }
    }

    async fn build_watch_response_with_permit(
        &self,
        request: &WatchRequest,
        arrived_ms: u64,
    ) -> Result<WatchResponse, Box<Refusal>> {
        let _turn = self.request_limiter.acquire().await;
        self.build_watch_response(request, arrived_ms)
    }

    fn build_watch_response(
        &self,
        request: &WatchRequest,
        arrived_ms: u64,
    ) -> Result<WatchResponse, Box<Refusal>> {
        let now_ms = self.now_ms();
        let node = WatchingNode {
            name: &request.node,
            zone: &request.zone,
            peer: request.peer,
            cell: request.cell,
        };
        let table = self.table_in_force();
        let view = self.with_leadership("watch", |leadership| {
            let cells = &mut leadership.cells;
            if let Some(table) = &table {
                cells.record_table(now_ms, table);
            }
            let cell = cells.record_node(now_ms, &node);
            NodeView {
                cell,
                directory: cells.update(cell, request.directory),
                directory_age_ms: cells.directory(cell).age_ms(arrived_ms),
                neighbours: cells.neighbours(cell, &request.zone, request.peer),
                nodes: cells.node_count() as u32,
                cell_nodes: cells.nodes_in_cell(cell) as u32,
                controls: leadership.cached_controls(now_ms),
            }
        })?;
        let table = self.table_newer_than(table, request.table_version)?;
        let evacuations = self.group.with_machine(|machine| {
            let current = machine.evacuations();
            let is_change = request.evacuations < Some(current.revision());
            is_change.then(|| current.clone())
        });
        let controls = match view.controls {
            Some(controls) => controls,
            None => self.refresh_controls(now_ms)?,
        };
        let processes = Processes {
            controls,
            peers: view.neighbours.peers,
            relays: view.neighbours.relays,
            bridges: view.neighbours.bridges,
        };
        let is_known = request.processes == Some(Digest::of(&processes));
        Ok(WatchResponse {
            table,
            directory: view.directory,
            directory_age_ms: view.directory_age_ms,
            nodes: view.nodes,
            cell: view.cell,
            cell_nodes: view.cell_nodes,
            processes: (!is_known).then_some(processes),
            evacuations,
        })
    }

    /// Returns the software versions that the list has shown in the last minutes. Only the leader
    /// reads the list.
    pub(super) fn read_versions(&self) -> Result<CallsResponse, Box<Refusal>> {
        let now_ms = self.now_ms();
        let table = self.table_in_force();
        let versions = self.with_leadership("read versions", |leadership| {
            if let Some(table) = &table {
                leadership.cells.record_table(now_ms, table);
            }
            leadership.cells.versions(now_ms)
        })?;
        Ok(CallsResponse::Versions(versions))
    }

    /// Returns the route table in force if it is newer than `version`. The table is packed once and shared
    /// by all nodes.
    fn table_newer_than(
        &self,
        table: Option<Arc<RouteTable>>,
        version: Option<u64>,
    ) -> Result<Option<Packed<RouteTable>>, Box<Refusal>> {
        let is_newer = |table: &RouteTable| version.is_none_or(|known| table.version > known);
        let Some(table) = table.filter(|table| is_newer(table)) else {
            return Ok(None);
        };
        self.with_leadership("pack table", |leadership| {
            let cached = leadership.packed_table.take();
            let cached = cached.filter(|(packed_version, _)| *packed_version == table.version);
            let (_, packed) = leadership
                .packed_table
                .insert(cached.unwrap_or_else(|| (table.version, Packed::new(&table))));
            Some(packed.clone())
        })
    }

    /// Computes the list of control machines and caches it for watches that follow shortly after.
    fn refresh_controls(&self, now_ms: u64) -> Result<Vec<ControlAddress>, Box<Refusal>> {
        let step = "look at control machines";
        let lost = self.with_leadership(step, |leadership| leadership.lost_machines(now_ms))?;
        let controls = self.known_controls(&lost);
        self.with_leadership(step, |leadership| {
            leadership.cache_controls(now_ms, controls.clone());
        })?;
        Ok(controls)
    }
}
