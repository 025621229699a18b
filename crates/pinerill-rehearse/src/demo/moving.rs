//! Moves a service from the old script to engines by further bundles.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::DemoArguments;
use crate::check::{Finding, History, LedgerIndex, Verdict};
use crate::load::content::AnsweredBy;
use crate::load::online;
use crate::load::profile::{load_profile, OnlineProfile};
use crate::load::record::OnlineRecord;
use crate::load::schedule::{Arrival, OnlineKind};
use crate::rehearsal::{bundles, Progress, Rehearsal};

/// Requests at each share.
const REQUESTS: u64 = 24;
/// Time between two requests.
const REQUEST_GAP: Duration = Duration::from_millis(20);
/// Longest time for one answer: the script is slow.
const ANSWER_TIME: Duration = Duration::from_secs(30);
/// Length of an answer, in tokens: the script is slow.
const ANSWER_TOKENS: u32 = 8;
/// Length of the prompt that all requests share, in tokens.
const SHARED_PROMPT_TOKENS: u32 = 64;
/// Share of the script at the halfway bundle, per cent.
const HALF_PERCENT: u32 = 50;

/// What was sent while each share was in force.
#[derive(Clone, Debug)]
pub struct MovedService {
    at_script: Vec<OnlineRecord>,
    at_half: Vec<OnlineRecord>,
    at_engines: Vec<OnlineRecord>,
}

/// Sends requests at 100, 50 and 0 per cent of the script's share.
///
/// # Errors
/// When a bundle is not rolled out.
pub async fn move_service(
    rehearsal: &mut Rehearsal,
    arguments: &DemoArguments,
    history: &mut History,
    progress: &Progress,
) -> anyhow::Result<MovedService> {
    let service = rehearsal.preset.script_service;
    progress.step(format!("{service}: all traffic at the old script"));
    let at_script = send(rehearsal, arguments, "script", AnsweredBy::Script).await;
    set_share(rehearsal, HALF_PERCENT, progress).await?;
    let at_half = send(rehearsal, arguments, "half", AnsweredBy::Either).await;
    set_share(rehearsal, 0, progress).await?;
    let at_engines = send(rehearsal, arguments, "engines", AnsweredBy::Engines).await;
    history.scripted.extend(at_script.iter().cloned());
    history.scripted.extend(at_half.iter().cloned());
    history.online.extend(at_engines.iter().cloned());
    Ok(MovedService {
        at_script,
        at_half,
        at_engines,
    })
}

impl MovedService {
    /// Whether each share of the traffic went where the bundle said.
    pub fn check(&self, ledger: &LedgerIndex) -> Verdict {
        let mut finding = Finding::new("service moved by share");
        let at_engines = |records: &[OnlineRecord]| {
            let runs = records.iter().map(|record| ledger.runs(&record.content));
            runs.filter(|runs| !runs.is_empty()).count() as u64
        };
        let counts = [
            ("all at the script", at_engines(&self.at_script), 0..=0),
            ("half", at_engines(&self.at_half), 1..=REQUESTS - 1),
            (
                "all at engines",
                at_engines(&self.at_engines),
                REQUESTS..=REQUESTS,
            ),
        ];
        for (share, count, right) in counts {
            finding.checked += REQUESTS;
            if !right.contains(&count) {
                let detail = format!("{count} of {REQUESTS} ran at engines");
                finding.violate(share, detail);
            }
        }
        Verdict::new(vec![finding])
    }
}

async fn set_share(
    rehearsal: &mut Rehearsal,
    percent: u32,
    progress: &Progress,
) -> anyhow::Result<()> {
    let bundle = bundles::with_script_share(&rehearsal.bundle, &rehearsal.preset, percent);
    let version = bundle.version;
    let started = Instant::now();
    rehearsal.roll_out(bundle).await?;
    progress.step(format!(
        "bundle {version} signed off and in force on all nodes ({:.1} s): {percent} % at the script",
        started.elapsed().as_secs_f64()
    ));
    Ok(())
}

async fn send(
    rehearsal: &Rehearsal,
    arguments: &DemoArguments,
    tag: &str,
    answered_by: AnsweredBy,
) -> Vec<OnlineRecord> {
    let profile = OnlineProfile {
        shared_prompt_tokens: SHARED_PROMPT_TOKENS,
        answer_tokens: ANSWER_TOKENS,
        ..load_profile(arguments.preset).online
    };
    let arrivals = (0..REQUESTS).map(|number| Arrival {
        at: REQUEST_GAP * number as u32,
        number,
        kind: OnlineKind::Short,
        in_burst: false,
        at_most_once: false,
    });
    let target = Arc::new(rehearsal.online_target(rehearsal.preset.script_service));
    let content = Arc::new(rehearsal.moving_content(tag, answered_by));
    let start = Instant::now();
    let arrivals = arrivals.collect();
    online::run(
        target,
        content,
        Arc::new(profile),
        arrivals,
        start,
        ANSWER_TIME,
    )
    .await
}
