//! Bounds the cost of crash detection per request. In a release build, hashing a body of 18 KB
//! takes some 13 us, and a lookup in the ledger less than 1 us. While the ledger is empty, only the
//! bodies of runs that end early are hashed; without crash detection none would be. The bounds here
//! allow for a build without optimization on a busy machine.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use pinerill_forward::crash::ledger::{CrashLedger, Verdict};
use pinerill_forward::crash::{RequestIdentity, Requester};

const BODY_BYTES: usize = 18_000;
const REPEATS: u32 = 200;
const MAX_HASH_TIME: Duration = Duration::from_millis(10);
const MAX_LOOKUP_TIME: Duration = Duration::from_micros(500);

#[test]
fn hashing_a_body_and_lookups_by_its_cached_fingerprint_stay_within_their_bounds() {
    let body = Bytes::from(vec![7; BODY_BYTES]);
    let identity = || {
        let uri = "/r/x".parse().expect("a path");
        RequestIdentity::new(
            Requester::Unknown,
            Method::POST,
            "h".to_owned(),
            uri,
            body.clone(),
        )
    };
    let began = Instant::now();
    for _ in 0..REPEATS {
        identity().fingerprint();
    }
    let hash = began.elapsed() / REPEATS;
    let (identity, ledger) = (identity(), CrashLedger::default());
    identity.fingerprint();
    let began = Instant::now();
    for _ in 0..REPEATS {
        assert_eq!(ledger.verdict(identity.fingerprint()), Verdict::MayRun);
    }
    let lookup = began.elapsed() / REPEATS;
    println!("hash {hash:?}, lookup {lookup:?}");
    assert!(
        hash < MAX_HASH_TIME && lookup < MAX_LOOKUP_TIME,
        "{hash:?}, {lookup:?}"
    );
}
