//! Records of requests and lines of ledgers that tests start from; each test
//! sets what it is about.

use pinerill_rehearse::engine::messages::Priority;
use pinerill_rehearse::ledger::{LedgerEvent, LedgerLine};
use pinerill_rehearse::load::record::{OnlineEnd, OnlineRecord};
use pinerill_rehearse::load::schedule::OnlineKind;

/// The short online request of this number, due at once.
pub fn online_record(number: u64, end: OnlineEnd) -> OnlineRecord {
    OnlineRecord {
        number,
        request_id: format!("request-{number}"),
        kind: OnlineKind::Short,
        in_burst: false,
        at_most_once: false,
        content: format!("content-{number}"),
        due_us: 0,
        first_token_us: None,
        gaps_us: Vec::new(),
        tokens: 4,
        end,
    }
}

/// What an engine noted about the online request of this number.
pub fn ledger_line(number: u64, event: LedgerEvent) -> LedgerLine {
    LedgerLine {
        time_us: 1,
        arrived_us: 1,
        first_token_us: None,
        engine: "worker-1/0".to_owned(),
        incarnation: 1,
        event,
        request_id: format!("request-{number}"),
        content: format!("content-{number}"),
        model: "m@1".to_owned(),
        priority: Priority::Online,
        prompt_tokens: 8,
        cached_tokens: 0,
        continue_from: 0,
        generated: 4,
        recomputed_tokens: 0,
        digest: None,
    }
}
