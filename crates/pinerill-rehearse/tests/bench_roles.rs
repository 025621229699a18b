//! The arithmetic of the comparison of roles.

mod common;

use common::records::{ledger_line, online_record};
use pinerill_rehearse::bench::roles::{split_placement, RoleFigures};
use pinerill_rehearse::engine::messages::EngineUsage;
use pinerill_rehearse::ledger::{LedgerEvent, LedgerLine};
use pinerill_rehearse::load::record::{OnlineEnd, OnlineRecord};
use pinerill_rehearse::load::schedule::OnlineKind;

fn record(number: u64, kind: OnlineKind, end: OnlineEnd) -> OnlineRecord {
    OnlineRecord {
        kind,
        ..online_record(number, end)
    }
}

fn line(number: u64, request_id: &str, event: LedgerEvent) -> LedgerLine {
    LedgerLine {
        request_id: request_id.to_owned(),
        ..ledger_line(number, event)
    }
}

fn usage(imports: u64, imported_tokens: u64) -> EngineUsage {
    EngineUsage {
        imports,
        imported_tokens,
        ..EngineUsage::default()
    }
}

#[test]
fn prefills_elsewhere_and_what_fell_back_are_counted_by_request() {
    let failed = OnlineEnd::Failed("backend_failed".to_owned());
    let online = [
        record(1, OnlineKind::Long, OnlineEnd::Completed),
        record(2, OnlineKind::Long, OnlineEnd::Completed),
        record(3, OnlineKind::Long, failed),
        record(4, OnlineKind::Short, OnlineEnd::Completed),
    ];
    let lines = [
        line(1, "request-1.prefill", LedgerEvent::Started),
        line(1, "request-1.prefill", LedgerEvent::Finished),
        line(1, "request-1", LedgerEvent::Started),
        // Twice elsewhere, since the first decoding engine was lost.
        line(2, "request-2.prefill", LedgerEvent::Started),
        line(2, "request-2.prefill", LedgerEvent::Started),
        line(2, "request-2", LedgerEvent::Started),
        line(3, "request-3", LedgerEvent::Started),
        line(4, "request-4.prefill", LedgerEvent::Started),
        line(9, "request-9.prefill", LedgerEvent::Started),
    ];
    let (before, after) = (usage(5, 1_000), usage(7, 4_000));
    let figures = RoleFigures::of(2, &online, &lines, &before, &after);
    let wanted = RoleFigures {
        prefill_engines: 2,
        long_sent: 3,
        long_completed: 2,
        prefilled_elsewhere: 3,
        long_prefilled_elsewhere: 2,
        imports: 2,
        fell_back: 1,
        moved_tokens: 3_000,
        moved_bytes: 3_000 * 131_072,
    };
    assert_eq!(figures, wanted);
}

#[test]
fn a_split_leaves_engines_of_both_kinds() {
    for engines in 2..70 {
        for percent in [0, 1, 20, 50, 100] {
            let split = split_placement(engines, percent);
            assert_eq!((split.prefill + split.decode) as usize, engines);
            assert!(split.prefill > 0 && split.decode > 0 && split.both == 0);
        }
    }
    assert_eq!(split_placement(60, 20).prefill, 12);
}
