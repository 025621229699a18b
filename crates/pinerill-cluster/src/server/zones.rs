//! Handles operators' requests to evacuate zones and to return them to service. Workers of an
//! evacuated zone receive no new work.

use pinerill_calls::message::{CallsRequest, CallsResponse};
use pinerill_calls::protocol::OperatorAnswer;
use pinerill_wire::message::Refusal;

use super::control::Control;
use super::operators::operator_failure;
use super::refusal;
use crate::machine::{Applied, Command};

impl Control {
    /// Forwards an evacuation or return to the leader. The answer is `NotFound` if the settings
    /// list zones and this one is not among them.
    pub(super) async fn operator_zone_order(
        &self,
        zone: String,
        order: impl FnOnce(String) -> CallsRequest,
    ) -> OperatorAnswer {
        let zones = &self.settings.zones;
        if !zones.is_empty() && !zones.contains_key(&zone) {
            log::info!(event = "zone_unknown", zone = zone.as_str(); "");
            return OperatorAnswer::NotFound;
        }
        match self.forward_to_leader(order(zone)).await {
            Ok(CallsResponse::Done) => OperatorAnswer::ZoneOrderStored,
            other => operator_failure(other),
        }
    }

    pub(super) async fn evacuate_zone(&self, zone: String) -> Result<CallsResponse, Box<Refusal>> {
        let command = Command::EvacuateZone(zone.clone());
        self.store_zone_order("evacuate zone", &zone, command).await
    }

    pub(super) async fn return_zone(&self, zone: String) -> Result<CallsResponse, Box<Refusal>> {
        let command = Command::ReturnZone(zone.clone());
        self.store_zone_order("return zone", &zone, command).await
    }

    async fn store_zone_order(
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
