//! What the kit measures with: quantiles of times.

use pinerill_rehearse::bench::TailQuantiles;
use pinerill_rehearse::scale::hollow::Quantiles;

/// Half a second, and one outlier of a minute in a hundred.
fn times() -> impl Iterator<Item = u64> {
    (0..200).map(|number| match number {
        0 | 1 => 60_000_000,
        _ => 500_000,
    })
}

/// Whether two times agree to three digits.
fn close(found: f64, wanted: f64) -> bool {
    (found - wanted).abs() <= wanted / 1_000.0
}

#[test]
fn quantiles_tell_milliseconds_from_minutes() {
    let scale = Quantiles::of_microseconds(times());
    let bench = TailQuantiles::of_microseconds(times());
    assert_eq!((scale.count, bench.count), (200, 200));
    assert!(
        close(scale.p50, 500.0) && close(bench.p50, 500.0),
        "{scale:?} {bench:?}"
    );
    assert!(
        close(scale.p99, 500.0) && close(bench.p95, 500.0),
        "{scale:?} {bench:?}"
    );
    assert!(
        close(scale.max, 60_000.0) && close(bench.max, 60_000.0),
        "{scale:?} {bench:?}"
    );
}
