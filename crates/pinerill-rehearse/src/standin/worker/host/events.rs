//! Carries an engine's events to its ledger, its cache events and its readers.

use std::collections::HashMap;
use std::sync::Arc;

use log::error;

use super::super::cache_events::CacheEventKind;
use super::super::request::{FinishReason, Progress, RequestRecord};
use super::EngineHost;
use crate::engine::messages::{EngineEvent, RequestId};
use crate::ledger::{unix_us, LedgerEvent, LedgerLine};

impl EngineHost {
    /// Ledger first, so that nothing is read that isn't written down.
    pub(super) fn publish(
        &self,
        records: &HashMap<RequestId, Arc<RequestRecord>>,
        events: &[EngineEvent],
    ) {
        let mut lines = Vec::new();
        let mut changes = Vec::new();
        for event in events {
            match event {
                EngineEvent::Stored { block, tokens } => {
                    self.record_cache(CacheEventKind::Stored, *block, *tokens)
                }
                EngineEvent::Evicted { block, tokens } => {
                    self.record_cache(CacheEventKind::Evicted, *block, *tokens)
                }
                EngineEvent::Started { request_id, .. }
                | EngineEvent::Token { request_id, .. }
                | EngineEvent::Finished { request_id, .. }
                | EngineEvent::Preempted { request_id, .. }
                | EngineEvent::Resumed { request_id } => {
                    if let Some(record) = records.get(request_id) {
                        self.apply(record, event, &mut lines, &mut changes);
                    }
                }
            }
        }
        self.write_ledger(&lines);
        for (record, progress) in changes {
            record.progress.send_replace(progress);
        }
    }

    fn apply<'a>(
        &self,
        record: &'a Arc<RequestRecord>,
        event: &EngineEvent,
        lines: &mut Vec<LedgerLine>,
        changes: &mut Vec<(&'a Arc<RequestRecord>, Progress)>,
    ) {
        let index = change_index(record, changes);
        let progress = &mut changes[index].1;
        let ledger_event = match event {
            EngineEvent::Started { cached_tokens, .. } => {
                progress.started = true;
                progress.cached_tokens = *cached_tokens;
                LedgerEvent::Started
            }
            EngineEvent::Token { generated, .. } => {
                progress.generated = *generated;
                progress.first_token_us.get_or_insert_with(unix_us);
                return;
            }
            EngineEvent::Finished {
                recomputed_tokens, ..
            } => {
                progress.recomputed_tokens = *recomputed_tokens;
                progress.finish = Some(FinishReason::Length);
                LedgerEvent::Finished
            }
            EngineEvent::Preempted { .. } => LedgerEvent::Preempted,
            EngineEvent::Resumed { .. } => LedgerEvent::Resumed,
            EngineEvent::Stored { .. } | EngineEvent::Evicted { .. } => return,
        };
        lines.push(self.ledger_line(record, progress, ledger_event));
    }

    pub(super) fn end_cancelled(&self, record: &Arc<RequestRecord>) {
        let mut progress = *record.progress.borrow();
        progress.finish = Some(FinishReason::Cancelled);
        if progress.started {
            let line = self.ledger_line(record, &progress, LedgerEvent::Cancelled);
            self.write_ledger(&[line]);
        }
        record.progress.send_replace(progress);
    }

    fn ledger_line(
        &self,
        record: &RequestRecord,
        progress: &Progress,
        event: LedgerEvent,
    ) -> LedgerLine {
        let finished = event == LedgerEvent::Finished;
        LedgerLine {
            time_us: unix_us(),
            arrived_us: record.arrived_us,
            first_token_us: progress.first_token_us,
            engine: self.identity.full_name(),
            incarnation: self.identity.incarnation,
            event,
            request_id: record.request_id.to_string(),
            content: record.content.clone(),
            model: record.model.clone(),
            priority: record.priority,
            prompt_tokens: record.prompt_tokens,
            cached_tokens: progress.cached_tokens,
            continue_from: record.continue_from,
            generated: progress.generated,
            recomputed_tokens: progress.recomputed_tokens,
            digest: finished.then(|| record.answer.digest(progress.generated)),
        }
    }

    fn write_ledger(&self, lines: &[LedgerLine]) {
        if let Err(failure) = self.ledger.append(lines) {
            error!("writing the ledger of {}: {failure}", self.identity.worker);
        }
    }

    fn record_cache(&self, kind: CacheEventKind, block: u64, tokens: u32) {
        let engine = self.identity.number;
        self.cache_events.record(engine, kind, block, tokens);
    }
}

fn change_index<'a>(
    record: &'a Arc<RequestRecord>,
    changes: &mut Vec<(&'a Arc<RequestRecord>, Progress)>,
) -> usize {
    let known = changes
        .iter()
        .position(|(other, _)| Arc::ptr_eq(other, record));
    known.unwrap_or_else(|| {
        let progress = *record.progress.borrow();
        changes.push((record, progress));
        changes.len() - 1
    })
}
