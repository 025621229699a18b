//! Compatibility with state stored by builds of each format. The golden bytes were written by
//! those builds.

mod support;

use pinerill_calls::job::{CallJobId, ListedState};
use pinerill_calls::message::Format;
use pinerill_cluster::machine::{
    read_command, write_command, ClusterMachine, Command, StampedCommand,
};
use pinerill_control::host::StateMachine;
use support::golden::{self, Golden};
use support::Table;

fn assert_complete(golden: &Golden, machine: &ClusterMachine) {
    let format = golden.format;
    let held = machine.table().expect("a table");
    assert_eq!(held.table.version, 7, "format {format}");
    assert_eq!(held.document, b"{doc}", "format {format}");
    let route = &held.table.routes[0];
    assert_eq!(
        (route.rank, route.is_public, route.caller_idle_timeout_ms),
        (2, false, Some(4000))
    );
    let tenants = held.table.tenants.as_deref();
    let ranks = tenants.map(|all| all.iter().map(|one| one.rank).collect::<Vec<_>>());
    assert_eq!(ranks, (format >= 6).then(|| vec![Some(1)]));
    let service = &held.table.services[0];
    let health_path = (format >= 7).then_some("/health");
    assert_eq!(
        (service.slots, service.health_path.as_deref()),
        (Some(4), health_path)
    );
    assert_eq!(service.slow_start.is_some(), format >= 8);
    let evacuated: Vec<&str> = machine.evacuations().zones().collect();
    assert_eq!(evacuated.is_empty(), format < 8);
    assert_eq!(machine.machines()[&5].name, "m-1", "format {format}");
    assert!(machine.retiring().contains(&9), "format {format}");
    let tenant = (format >= 6).then_some("t");
    let id = CallJobId::new(tenant, "job");
    let (_, record) = machine.jobs().find(&id).expect("the job");
    assert_eq!(record.listed[0].state, ListedState::Completed);
    assert_eq!(machine.jobs().queue().len(), 2, "format {format}");
    assert_eq!(machine.jobs().waiting_tokens(&id, "jobs"), 200);
}

#[test]
fn commands_written_by_other_builds_are_applied() {
    for golden in golden::all() {
        let mut machine = ClusterMachine::default();
        for (index, command) in golden.entries("command").enumerate() {
            support::apply(
                &mut machine,
                index as u64 + 1,
                command,
                &mut Table::default(),
            );
        }
        assert_complete(&golden, &machine);
    }
}

#[test]
fn snapshots_written_by_other_builds_are_restored() {
    for golden in golden::all() {
        let snapshot = golden.entries("snapshot").next().expect("a snapshot");
        let mut machine = ClusterMachine::default();
        let restored = machine.restore(snapshot);
        assert!(restored.is_ok(), "format {}: {restored:?}", golden.format);
        assert_complete(&golden, &machine);
    }
}

#[test]
fn snapshots_are_written_in_the_format_in_force() {
    for golden in golden::all() {
        let snapshot = golden.entries("snapshot").next().expect("a snapshot");
        let mut machine = ClusterMachine::default();
        machine.restore(snapshot).expect("a snapshot");
        assert_eq!(machine.format().byte(), golden.format);
        let again = machine.snapshot();
        assert_eq!(again[0], golden.format);
        if golden.format >= 6 {
            assert_eq!(again, snapshot, "format {}", golden.format);
        }
        let mut restored = ClusterMachine::default();
        restored.restore(&again).expect("a snapshot");
        assert_complete(&golden, &restored);
    }
}

#[test]
fn commands_are_written_exactly_as_builds_of_their_format_write_them() {
    for golden in golden::all() {
        for bytes in golden.entries("command") {
            let (format, command) = read_command(bytes).expect("a command");
            assert_eq!(format.byte(), golden.format);
            let written = write_command(command, format).expect("expressible");
            assert_eq!(written, bytes, "format {}", golden.format);
        }
    }
}

#[test]
fn the_newest_applied_format_stays_in_force() {
    let all = golden::all();
    let first = |format: usize| {
        all[format - 4]
            .entries("command")
            .next()
            .expect("a command")
    };
    let mut machine = ClusterMachine::default();
    for (index, (format, in_force)) in [(5, 5), (8, 8), (5, 8)].into_iter().enumerate() {
        let command = first(format);
        support::apply(
            &mut machine,
            index as u64 + 1,
            command,
            &mut Table::default(),
        );
        assert_eq!(machine.format().byte(), in_force);
    }
}

#[test]
fn zone_commands_cannot_be_written_before_format_8() {
    let command = || StampedCommand {
        elapsed_ms: 0,
        command: Command::EvacuateZone("za".to_owned()),
    };
    for format in Format::newest_first() {
        let written = write_command(command(), format);
        assert_eq!(written.is_ok(), format.byte() >= 8, "format {format}");
    }
}

#[test]
fn a_truncated_snapshot_is_rejected() {
    for golden in golden::all() {
        let snapshot = golden.entries("snapshot").next().expect("a snapshot");
        for length in 0..snapshot.len() {
            let restored = ClusterMachine::default().restore(&snapshot[..length]);
            assert!(
                restored.is_err(),
                "format {}, {length} bytes",
                golden.format
            );
        }
    }
}
