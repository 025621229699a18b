//! How long online requests waited at engines where batch work ran.

use std::collections::HashMap;

use crate::engine::messages::Priority;
use crate::ledger::{LedgerEvent, LedgerLine};

/// Times from arrival to start at an engine, in microseconds, of all online
/// requests that found batch work running there. The lines of one engine are
/// in order.
pub fn yield_times(lines: &[LedgerLine]) -> Vec<u64> {
    let mut batch_running: HashMap<&str, Vec<BatchSpan>> = HashMap::new();
    for line in lines.iter().filter(|one| one.priority == Priority::Batch) {
        let spans = batch_running.entry(line.engine.as_str()).or_default();
        take_batch(spans, line);
    }
    let online = lines
        .iter()
        .filter(|line| line.priority == Priority::Online && line.event == LedgerEvent::Started);
    online
        .filter(|line| {
            let spans = batch_running.get(line.engine.as_str());
            spans.is_some_and(|spans| spans.iter().any(|span| span.covers(line.arrived_us)))
        })
        .map(|line| line.time_us.saturating_sub(line.arrived_us))
        .collect()
}

/// A time in which one batch request held a slot.
struct BatchSpan {
    request_id: String,
    from_us: u64,
    until_us: u64,
}

impl BatchSpan {
    fn covers(&self, time_us: u64) -> bool {
        self.from_us <= time_us && time_us < self.until_us
    }
}

fn take_batch(spans: &mut Vec<BatchSpan>, line: &LedgerLine) {
    match line.event {
        LedgerEvent::Started | LedgerEvent::Resumed => spans.push(BatchSpan {
            request_id: line.request_id.clone(),
            from_us: line.time_us,
            until_us: u64::MAX,
        }),
        LedgerEvent::Preempted | LedgerEvent::Finished | LedgerEvent::Cancelled => {
            let open = spans
                .iter_mut()
                .rev()
                .find(|span| span.until_us == u64::MAX && span.request_id == line.request_id);
            if let Some(span) = open {
                span.until_us = line.time_us;
            }
        }
    }
}
