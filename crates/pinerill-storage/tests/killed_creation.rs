//! A creation of a database that ends with its process.
//!
//! In a file of its own: a child process that has been forked holds the locks of all databases that
//! are open in the test's process until it runs its own program.

mod support;

use std::process::{Command, Stdio};
use std::time::Duration;

use pinerill_storage::Store;
use support::put;

/// Names the folder that a child process is to create.
const CHILD_FOLDER: &str = "PINERILL_TEST_CREATE";

/// Does nothing unless it is started by `a_killed_first_start_is_followed_by_one_that_opens`.
#[test]
fn a_first_start_that_is_to_be_killed() {
    let Some(folder) = std::env::var_os(CHILD_FOLDER) else {
        return;
    };
    let store = Store::open(folder).expect("opens");
    put(&store, 1, 100_000);
}

#[test]
fn a_killed_first_start_is_followed_by_one_that_opens() {
    const KILLS: u64 = 60;
    let program = std::env::current_exe().expect("this program");
    for number in 0..KILLS {
        let folder = tempfile::tempdir().expect("folder");
        let data = folder.path().join("data");
        let mut child = Command::new(&program)
            .args(["--exact", "a_first_start_that_is_to_be_killed"])
            .env(CHILD_FOLDER, &data)
            .stdout(Stdio::null())
            .spawn()
            .expect("starts");
        std::thread::sleep(Duration::from_millis(number / 2));
        child.kill().expect("killed");
        child.wait().expect("ended");
        let store = Store::open(&data);
        store.unwrap_or_else(|error| panic!("kill {number}: {error}"));
    }
}
