//! What the search for requests that crash workers costs. In a release build a body of 18 KB is
//! hashed in some 13 us, and a ledger is asked in less than 1 us. While no worker has crashed
//! a while ago, only the bodies of runs that end early are hashed; before there was a
//! ledger, none was. The bounds here are those of a build without optimisation on a busy machine.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use pinerill_forward::crash::ledger::{CrashLedger, Verdict};
use pinerill_forward::crash::{RequestIdentity, Requester};

const BODY_BYTES: usize = 18_000;
const REPEATS: u32 = 200;
const LONGEST_HASH: Duration = Duration::from_millis(10);
const LONGEST_LOOK: Duration = Duration::from_micros(500);

#[test]
fn a_body_is_hashed_once_and_a_look_into_the_ledger_is_short() {
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
    let look = began.elapsed() / REPEATS;
    println!("hash {hash:?}, look {look:?}");
    assert!(
        hash < LONGEST_HASH && look < LONGEST_LOOK,
        "{hash:?}, {look:?}"
    );
}
