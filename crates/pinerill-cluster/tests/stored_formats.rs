//! State that builds of each format have stored: the bytes were written by those builds.

mod support;

use pinerill_calls::job::{CallJobId, ListedState};
use pinerill_cluster::machine::ClusterMachine;
use pinerill_control::host::StateMachine;
use support::golden::{self, Golden};
use support::Table;

fn assert_whole(golden: &Golden, machine: &ClusterMachine) {
    let format = golden.format;
    let held = machine.table().expect("a table");
    assert_eq!(held.table.version, 7, "format {format}");
    assert_eq!(held.document, b"{doc}", "format {format}");
    assert_eq!(held.table.routes[0].caller_patience_ms, Some(4000));
    assert_eq!(held.table.tenants.is_some(), format >= 6);
    assert_eq!(machine.machines()[&5].name, "m-1", "format {format}");
    assert!(machine.retiring().contains(&9), "format {format}");
    let tenant = (format >= 6).then_some("t");
    let (_, record) = machine
        .jobs()
        .find(&CallJobId::new(tenant, "job"))
        .expect("the job");
    assert_eq!(record.listed[0].state, ListedState::Completed);
    assert_eq!(machine.jobs().queue().len(), 2, "format {format}");
}

#[test]
fn commands_that_another_build_wrote_are_not_lost() {
    for golden in golden::all() {
        let mut machine = ClusterMachine::default();
        for (index, command) in golden.of("command").enumerate() {
            support::apply(
                &mut machine,
                index as u64 + 1,
                command,
                &mut Table::default(),
            );
        }
        assert_whole(&golden, &machine);
    }
}

#[test]
fn a_snapshot_that_another_build_wrote_does_not_end_the_process() {
    for golden in golden::all() {
        let snapshot = golden.of("snapshot").next().expect("a snapshot");
        let mut machine = ClusterMachine::default();
        let restored = machine.restore(snapshot);
        assert!(restored.is_ok(), "format {}: {restored:?}", golden.format);
        assert_whole(&golden, &machine);
    }
}
