//! Engines that prefill and engines that decode, against engines that do both:
//! the same arrivals with many long prompts.

use std::collections::HashSet;
use std::time::Duration;

use pinerill_control::placement::engine_state::EngineRole;
use pinerill_types::bundle::WorkPlacement;
use serde::Serialize;

use super::notes::PhaseNotes;
use crate::engine::messages::EngineUsage;
use crate::faults::engines::{count_role, EngineObserver, EngineStates};
use crate::ledger::{LedgerEvent, LedgerLine};
use crate::load::record::OnlineRecord;
use crate::load::schedule::OnlineKind;
use crate::rehearsal::bundles::with_placement;
use crate::rehearsal::Rehearsal;

/// Bytes of one token's KV cache, as the engine's default memory has it.
const KV_BYTES_PER_TOKEN: u64 = 128 * 1_024;
/// Ending of the identifier of a prefill for another engine.
const PREFILL_ENDING: &str = ".prefill";
/// Time in which nodes hear of other roles.
const REPORT_TIME: Duration = Duration::from_secs(2);
const PER_CENT: usize = 100;

/// What roles did in a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleFigures {
    /// Engines that only prefill.
    pub prefill_engines: u32,
    /// Long requests sent.
    pub long_sent: u64,
    /// Long requests completed.
    pub long_completed: u64,
    /// Online requests of which a prefill began at another engine.
    pub prefilled_elsewhere: u64,
    /// Long ones among them.
    pub long_prefilled_elsewhere: u64,
    /// KV caches that reached the decoding engine.
    pub imports: u64,
    /// Prefills elsewhere whose KV cache did not reach the decoding engine,
    /// which then prefilled itself.
    pub fell_back: u64,
    /// KV cache moved between engines, tokens.
    pub moved_tokens: u64,
    /// The same, bytes.
    pub moved_bytes: u64,
}

impl RoleFigures {
    /// Works the figures out from a phase's requests, ledger lines and engines.
    pub fn of(
        prefill_engines: u32,
        online: &[OnlineRecord],
        lines: &[LedgerLine],
        before: &EngineUsage,
        after: &EngineUsage,
    ) -> Self {
        let prefills = lines.iter().filter(|line| {
            line.event == LedgerEvent::Started && line.request_id.ends_with(PREFILL_ENDING)
        });
        let contents: HashSet<&str> = prefills.map(|line| line.content.as_str()).collect();
        let long = || online.iter().filter(|one| one.kind == OnlineKind::Long);
        let elsewhere = |one: &&OnlineRecord| contents.contains(one.content.as_str());
        let completed = long().filter(|one| one.is_completed());
        let imports = after.imports - before.imports;
        let moved_tokens = after.imported_tokens - before.imported_tokens;
        let prefilled_elsewhere = online.iter().filter(elsewhere).count() as u64;
        Self {
            prefill_engines,
            long_sent: long().count() as u64,
            long_completed: completed.count() as u64,
            prefilled_elsewhere,
            long_prefilled_elsewhere: long().filter(elsewhere).count() as u64,
            imports,
            fell_back: prefilled_elsewhere.saturating_sub(imports),
            moved_tokens,
            moved_bytes: moved_tokens * KV_BYTES_PER_TOKEN,
        }
    }

    /// The figures of a phase.
    pub(super) fn of_phase(prefill_engines: u32, notes: &PhaseNotes<'_>) -> Self {
        let (before, after) = (&notes.usage_before, &notes.usage_after);
        Self::of(prefill_engines, notes.online, &notes.lines(), before, after)
    }
}

/// A placement in which `prefill_percent` of all engines only prefill.
pub fn split_placement(engines: usize, prefill_percent: usize) -> WorkPlacement {
    let prefill = (engines * prefill_percent / PER_CENT).clamp(1, engines - 1);
    WorkPlacement {
        both: 0,
        prefill: prefill as u32,
        decode: (engines - prefill) as u32,
    }
}

/// Gives the engines the roles of a placement, and waits until nodes know.
///
/// # Errors
/// When engines do not take their roles over in time.
pub(super) async fn take_roles(
    rehearsal: &mut Rehearsal,
    placement: WorkPlacement,
) -> anyhow::Result<()> {
    let bundle = with_placement(&rehearsal.bundle, &rehearsal.preset, placement);
    rehearsal.roll_out(bundle).await?;
    let observer = EngineObserver::new(&rehearsal.standins);
    let engines = rehearsal.preset.engines();
    let wanted = |states: &EngineStates| {
        let prefill = count_role(states, EngineRole::Prefill);
        let decode = count_role(states, EngineRole::Decode);
        let both = engines - (placement.prefill + placement.decode) as usize;
        (prefill, decode) == (placement.prefill as usize, placement.decode as usize)
            && count_role(states, EngineRole::Both) == both
    };
    observer
        .await_states("roles as the bundle says", wanted)
        .await?;
    tokio::time::sleep(REPORT_TIME).await;
    Ok(())
}
