//! Ports that are picked for processes can be listened at.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use pinerill_rehearse::fleet::ports::free_address;

const STARTERS: usize = 6;
const PICKS: usize = 20_000;

/// While other threads start processes: a child holds, until it executes its program, whatever
/// was open as it was forked, a socket that probes a port among it.
#[test]
fn a_picked_port_can_be_listened_at_while_processes_are_started() {
    let done = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let started = Command::new(env!("CARGO_BIN_EXE_pinerill-rehearse"))
                        .arg("--version")
                        .stdout(Stdio::null())
                        .status();
                    assert!(started.expect("it starts").success());
                }
            });
        }
        let refused = (0..PICKS).filter(|_| {
            let address = free_address().expect("a port");
            TcpListener::bind(address).is_err()
        });
        let refused = refused.count();
        done.store(true, Ordering::Relaxed);
        refused
    });
    assert_eq!(taken, 0, "of {PICKS} ports");
}
