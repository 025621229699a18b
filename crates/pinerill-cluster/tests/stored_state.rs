//! State that a process of the version before has stored: `stored/` was written by its code.

mod support;

use pinerill_calls::job::{CallJobId, ItemCall, ListedState};
use pinerill_calls::message::{decode_stored, PREVIOUS_VERSION};
use pinerill_cluster::machine::ClusterMachine;
use pinerill_control::host::StateMachine;
use support::Table;

const COMMANDS: &str = include_str!("stored/commands.hex");
const SNAPSHOT: &str = include_str!("stored/snapshot.hex");
const ITEM_CALL: &str = include_str!("stored/item_call.hex");

fn bytes(line: &str) -> Vec<u8> {
    let digits = line.trim().as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("digits");
            u8::from_str_radix(pair, 16).expect("digits")
        })
        .collect()
}

fn assert_whole(machine: &ClusterMachine) {
    let table = &machine.table().expect("a table").table;
    assert_eq!(table.version, 7);
    let tenants = table.tenants.as_ref().expect("tenants");
    assert_eq!((tenants.len(), tenants[0].rank), (1, Some(1)));
    let service = &table.services[0];
    assert_eq!(
        (service.slots, service.health_path.as_deref()),
        (Some(4), Some("/health"))
    );
    assert_eq!(service.slow_start, None);
    assert_eq!(machine.evacuations().revision(), 0);
    assert_eq!(
        (table.routes[0].rank, table.routes[0].is_public),
        (2, false)
    );
    assert_eq!(machine.machines()[&5].name, "m-1");
    let id = CallJobId::new(Some("t"), "job");
    let (_, record) = machine.jobs().find(&id).expect("the job");
    assert_eq!(record.listed[0].state, ListedState::Completed);
    assert_eq!(machine.jobs().queue().len(), 2);
    assert_eq!(machine.jobs().waiting_tokens(&id, "jobs"), 200);
}

#[test]
fn commands_of_the_version_before_are_applied() {
    let mut machine = ClusterMachine::default();
    for (index, line) in COMMANDS.lines().enumerate() {
        let command = bytes(line);
        assert_eq!(command[0], PREVIOUS_VERSION);
        support::apply(
            &mut machine,
            index as u64 + 1,
            &command,
            &mut Table::default(),
        );
    }
    assert_whole(&machine);
}

#[test]
fn a_snapshot_of_the_version_before_is_restored_and_saved_anew() {
    let mut machine = ClusterMachine::default();
    machine.restore(&bytes(SNAPSHOT)).expect("a snapshot");
    assert_whole(&machine);
    let mut again = ClusterMachine::default();
    again.restore(&machine.snapshot()).expect("a snapshot");
    assert_whole(&again);
}

#[test]
fn a_call_of_the_version_before_is_read() {
    let call: ItemCall = decode_stored(&bytes(ITEM_CALL)).expect("a call");
    assert_eq!(
        (call.path.as_str(), &call.body[..]),
        ("/b/x", &[1, 2, 3][..])
    );
}
