//! Operators' orders about zones: workers of an evacuated zone get nothing new.

use pinerill_calls::message::{CallsRequest, CallsResponse};
use pinerill_calls::protocol::OperatorAnswer;
use pinerill_wire::message::Refusal;

use super::control::Control;
use super::operators::unavailable;
use super::refusal;
use crate::machine::{Applied, Command};

impl Control {
    /// Passes an order on to the leader, unless the fleet has no such zone.
    pub(super) async fn operate_zone(
        &self,
        zone: String,
        order: impl FnOnce(String) -> CallsRequest,
    ) -> OperatorAnswer {
        let zones = &self.settings.zones;
        if !zones.is_empty() && !zones.contains_key(&zone) {
            log::info!(event = "zone_unknown", zone = zone.as_str(); "");
            return OperatorAnswer::NotFound;
        }
        match self.at_leader(order(zone)).await {
            Ok(CallsResponse::Done) => OperatorAnswer::ZoneOrderStored,
            other => unavailable(other),
        }
    }

    pub(super) async fn evacuate_zone(&self, zone: String) -> Result<CallsResponse, Box<Refusal>> {
        let command = Command::EvacuateZone(zone.clone());
        self.keep_zone_order("evacuate zone", &zone, command).await
    }

    pub(super) async fn return_zone(&self, zone: String) -> Result<CallsResponse, Box<Refusal>> {
        let command = Command::ReturnZone(zone.clone());
        self.keep_zone_order("return zone", &zone, command).await
    }

    async fn keep_zone_order(
        &self,
        step: &'static str,
        zone: &str,
        command: Command,
    ) -> Result<CallsResponse, Box<Refusal>> {
        let applied = self.propose(step, command).await?;
        let (revision, evacuated) = self.group.with_machine(|machine| {
            let evacuations = machine.evacuations();
            (evacuations.revision(), evacuations.is_evacuated(zone))
        });
        log::info!(event = "zone_order_kept", zone, revision, evacuated; "");
        match applied {
            Applied::Done => Ok(CallsResponse::Done),
            other => Err(refusal::unknown(
                &self.record,
                step,
                format!("answered {other:?}"),
            )),
        }
    }
}
