//! The nodes' long polls: route table, directory, control machines.

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

/// Longest time that an answer is held.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// What the leadership knows for one node.
struct Told {
    cell: CellId,
    directory: Option<Packed<DirectoryUpdate>>,
    directory_age_ms: Option<u64>,
    neighbours: Neighbours,
    nodes: u32,
    cell_nodes: u32,
    /// Control machines, if they were looked at a moment ago.
    controls: Option<Vec<ControlAddress>>,
}

impl Control {
    /// Answers once there is something newer, or when the time is up. Only the
    /// leader answers, so that nobody follows a machine that is cut off for
    /// longer than it takes to be deposed.
    pub(super) async fn watch(&self, request: WatchRequest) -> Result<CallsResponse, Box<Refusal>> {
        let arrived_ms = self.now_ms();
        let wait = Duration::from_millis(request.wait_ms).min(LONGEST_WAIT);
        let deadline = BootTime::now() + wait;
        let mut news = self.watch_news.subscribe();
        loop {
            let response = self.news_in_turn(&request, arrived_ms).await?;
            let has_news = response.table.is_some()
                || response.directory.is_some()
                || response.evacuations.is_some();
            if has_news || self.stopping.is_cancelled() {
                return Ok(CallsResponse::Watch(Box::new(response)));
            }
            if timeout_at(deadline, news.changed()).await.is_err() {
                let response = self.news_in_turn(&request, arrived_ms).await?;
                return Ok(CallsResponse::Watch(Box::new(response)));
            }
        }
    }

    async fn news_in_turn(
        &self,
        request: &WatchRequest,
        arrived_ms: u64,
    ) -> Result<WatchResponse, Box<Refusal>> {
        let _turn = self.turns.acquire().await;
        self.news_for(request, arrived_ms)
    }

    fn news_for(
        &self,
        request: &WatchRequest,
        arrived_ms: u64,
    ) -> Result<WatchResponse, Box<Refusal>> {
        let now_ms = self.now_ms();
        let asker = WatchingNode {
            name: &request.node,
            zone: &request.zone,
            peer: request.peer,
            cell: request.cell,
        };
        let told = self.with_leadership("watch", |leadership| {
            let cells = &mut leadership.cells;
            let cell = cells.record_node(now_ms, &asker);
            Told {
                cell,
                directory: cells.update(cell, request.directory),
                directory_age_ms: cells.directory(cell).age_ms(arrived_ms),
                neighbours: cells.neighbours(cell, &request.zone, request.peer),
                nodes: cells.node_count() as u32,
                cell_nodes: cells.nodes_in_cell(cell) as u32,
                controls: leadership.controls_told(now_ms),
            }
        })?;
        let table = self.table_newer_than(request.table_version)?;
        let evacuations = self.group.with_machine(|machine| {
            let present = machine.evacuations();
            let is_news = request.evacuations < Some(present.revision());
            is_news.then(|| present.clone())
        });
        let controls = match told.controls {
            Some(controls) => controls,
            None => self.look_at_controls(now_ms)?,
        };
        let processes = Processes {
            controls,
            peers: told.neighbours.peers,
            relays: told.neighbours.relays,
            bridges: told.neighbours.bridges,
        };
        let known = request.processes == Some(Digest::of(&processes));
        Ok(WatchResponse {
            table,
            directory: told.directory,
            directory_age_ms: told.directory_age_ms,
            nodes: told.nodes,
            cell: told.cell,
            cell_nodes: told.cell_nodes,
            processes: (!known).then_some(processes),
            evacuations,
        })
    }

    /// The route table, if it is newer than this version; packed once for all nodes.
    fn table_newer_than(
        &self,
        version: Option<u64>,
    ) -> Result<Option<Packed<RouteTable>>, Box<Refusal>> {
        let table = self.table_in_force();
        let is_newer = |table: &RouteTable| version.is_none_or(|known| table.version > known);
        let Some(table) = table.filter(|table| is_newer(table)) else {
            return Ok(None);
        };
        self.with_leadership("pack table", |leadership| {
            let held = leadership.packed_table.take();
            let held = held.filter(|(packed_version, _)| *packed_version == table.version);
            let (_, packed) = leadership
                .packed_table
                .insert(held.unwrap_or_else(|| (table.version, Packed::new(&table))));
            Some(packed.clone())
        })
    }

    /// Looks which control machines there are, for the watches that come within a moment.
    fn look_at_controls(&self, now_ms: u64) -> Result<Vec<ControlAddress>, Box<Refusal>> {
        let step = "look at control machines";
        let silent = self.with_leadership(step, |leadership| leadership.lost_machines(now_ms))?;
        let controls = self.known_controls(&silent);
        self.with_leadership(step, |leadership| {
            leadership.keep_controls(now_ms, controls.clone());
        })?;
        Ok(controls)
    }
}
