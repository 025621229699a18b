//! Settings as a user meets them: example, check, flags and environment.

mod support;

use expect_test::expect;
use support::{exit, pinerill, pinerill_in, Folder};

fn example() -> String {
    pinerill(&["settings", "example"]).done()
}

#[test]
fn the_example_passes_the_check() {
    let folder = Folder::new();
    let settings = folder.write("pinerill.toml", &example());
    let printed = pinerill(&["settings", "check", &settings]).done();
    assert_eq!(
        folder.without_path(&printed),
        "FOLDER/pinerill.toml: no problems\n"
    );
}

/// Changes lines of the example.
fn changed(changes: &[(&str, &str)]) -> String {
    let mut text = example();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    text
}

#[test]
fn all_problems_are_named_at_once_with_field_value_and_what_would_be_right() {
    let folder = Folder::new();
    let text = changed(&[
        ("listen = \"10.0.1.2:8080\"", "listen = \"somewhere\""),
        (
            "controls = [\"10.0.1.1:7400\", ",
            "controls = [\"10.0.1.1:7400\", \"10.0.9.1\", 7400, ",
        ),
        ("worker_subset = 48", "worker_subsets = 48"),
        ("drain_ms = 60000", "drain_ms = \"a minute\""),
        ("report_poll_ms = 500", "report_poll_ms = -500"),
        ("election_ms = 600", "election_ms = 5"),
        ("admin = \"10.0.1.1:7401\"", "admin = \"10.0.1.1:7400\""),
        ("level = \"info\"", "level = \"loud\""),
        ("key_file = \"/etc/pinerill/cluster.key\"", ""),
    ]);
    let settings = folder.write("pinerill.toml", &text);
    let message = pinerill(&["settings", "check", &settings]).refused(exit::WRONG_INPUT);
    expect![[r#"
        pinerill: settings FOLDER/pinerill.toml:
          cluster.controls.1: `10.0.9.1` is wrong: IP:PORT, such as 10.0.2.1:7400
          cluster.controls.2: `7400` is wrong: IP:PORT, such as 10.0.3.1:7400
          cluster.key_file: `nothing` is wrong: it must be given, such as /etc/pinerill/cluster.key
          node.drain_ms: `a minute` is wrong: a whole number from 0, such as 60000
          node.listen: `somewhere` is wrong: IP:PORT, such as 10.0.1.2:8080
          node.report_poll_ms: `-500` is wrong: a whole number from 0, such as 500
          node.worker_subsets: `48` is wrong: no such field; there are name, zone, neighbours, listen, admin, body_limit_kib, batch_limit_kib, worker_subset, report_poll_ms, drain_lead_ms, drain_ms
          log.level: `loud` is wrong: error, warn, info or debug
          control.election_ms: `5` is wrong: at least 300, which is 3 times control.heartbeat_ms
          control.admin: `10.0.1.1:7400` is wrong: an address other than control.listen's
    "#]].assert_eq(&folder.without_path(&message));
}

#[test]
fn ports_that_clash_are_refused_also_under_the_address_for_all() {
    let folder = Folder::new();
    let text = changed(&[
        ("admin = \"10.0.1.2:8081\"", "admin = \"0.0.0.0:8080\""),
        ("admin = \"10.0.1.1:7401\"", "admin = \"10.0.1.1:7400\""),
    ]);
    let settings = folder.write("pinerill.toml", &text);
    let message = pinerill(&["settings", "check", &settings]).refused(exit::WRONG_INPUT);
    expect![[r#"
        pinerill: settings FOLDER/pinerill.toml:
          control.admin: `10.0.1.1:7400` is wrong: an address other than control.listen's
          node.admin: `0.0.0.0:8080` is wrong: an address other than node.listen's
    "#]]
    .assert_eq(&folder.without_path(&message));
}

/// A value so large that computing with it overflows must not end in a panic.
#[test]
fn the_largest_values_are_refused_and_do_not_overflow() {
    let folder = Folder::new();
    let largest = i64::MAX.to_string();
    let text = changed(&[
        ("heartbeat_ms = 100", &format!("heartbeat_ms = {largest}")),
        (
            "drain_lead_ms = 2000",
            &format!("drain_lead_ms = {largest}"),
        ),
        ("drain_ms = 60000", &format!("drain_ms = {largest}")),
        (
            "body_limit_kib = 1024",
            &format!("body_limit_kib = {largest}"),
        ),
        (
            "counters_seconds = 10",
            &format!("counters_seconds = {largest}"),
        ),
    ]);
    let settings = folder.write("pinerill.toml", &text);
    let message = pinerill(&["settings", "check", &settings]).refused(exit::WRONG_INPUT);
    expect![[r#"
        pinerill: settings FOLDER/pinerill.toml:
          log.counters_seconds: `9223372036854775807` is wrong: at most 86400
          control.heartbeat_ms: `9223372036854775807` is wrong: at most 28800000
          node.body_limit_kib: `9223372036854775807` is wrong: at most 1048576
          node.drain_lead_ms: `9223372036854775807` is wrong: at most 86400000
          node.drain_ms: `9223372036854775807` is wrong: at most 86400000
    "#]]
    .assert_eq(&folder.without_path(&message));
}

#[test]
fn text_that_is_no_toml_is_refused_with_its_line() {
    let folder = Folder::new();
    let settings = folder.write("pinerill.toml", "[cluster]\nname = \n");
    let message = pinerill(&["settings", "check", &settings]).refused(exit::WRONG_INPUT);
    let message = folder.without_path(&message);
    assert!(message.contains("FOLDER/pinerill.toml"), "{message}");
    assert!(message.contains("line 2"), "{message}");
}

/// Environment, arguments, and the value that counts.
type Case<'a> = (&'a [(&'a str, &'a str)], &'a [&'a str], &'a str);

/// Which value counted shows in a refusal of it.
#[test]
fn flags_go_before_the_environment_and_that_before_the_file() {
    let folder = Folder::new();
    let in_file = changed(&[("level = \"info\"", "level = \"file\"")]);
    let settings = folder.write("pinerill.toml", &in_file);
    let environment = [("PINERILL_LOG__LEVEL", "environment")];
    let flag = ["--set", "log.level=flag"];
    let plain = ["node", "--settings", &settings];
    let flagged = [&plain[..], &flag[..]].concat();
    let shorthand = [&flagged[..], &["--log-level", "shorthand"]].concat();
    let cases: &[Case] = &[
        (&[], &plain, "file"),
        (&environment, &plain, "environment"),
        (&environment, &flagged, "flag"),
        (&environment, &shorthand, "shorthand"),
    ];
    for (environment, arguments, value) in cases {
        let message = pinerill_in(environment, arguments).refused(exit::WRONG_INPUT);
        let part = format!("log.level: `{value}` is wrong: error, warn, info or debug");
        assert!(message.contains(&part), "{arguments:?}: {message}");
    }
}

#[test]
fn the_check_reads_the_environment_and_flags_as_a_process_does() {
    let folder = Folder::new();
    let settings = folder.write("pinerill.toml", &example());
    let check = ["settings", "check", settings.as_str()];
    let environment = [("PINERILL_NODE__WORKER_SUBSET", "0")];
    let message = pinerill_in(&environment, &check).refused(exit::WRONG_INPUT);
    assert!(
        message.contains("node.worker_subset: `0` is wrong"),
        "{message}"
    );
    let flagged = [&check[..], &["--set", "node.worker_subset=7"]].concat();
    pinerill_in(&environment, &flagged).done();
}

#[test]
fn a_flag_or_variable_for_no_field_is_refused_by_its_name() {
    let folder = Folder::new();
    let settings = folder.write("pinerill.toml", &example());
    let check = ["settings", "check", settings.as_str()];
    let environment = [("PINERILL_NODE__WORKER_SUBSETS", "7")];
    let message = pinerill_in(&environment, &check).refused(exit::WRONG_INPUT);
    assert!(
        message.contains("node.worker_subsets: `7` is wrong: no such field"),
        "{message}"
    );
    let flagged = [&check[..], &["--set", "nodes.zone=7"]].concat();
    let message = pinerill(&flagged).refused(exit::WRONG_INPUT);
    assert!(message.contains("nodes"), "{message}");
    let flagged = [&check[..], &["--set", "node.zone"]].concat();
    let message = pinerill(&flagged).refused(exit::WRONG_INPUT);
    assert!(
        message.contains("--set node.zone: use FIELD=VALUE"),
        "{message}"
    );
}

#[test]
fn a_process_without_its_section_is_refused() {
    let folder = Folder::new();
    let text = example();
    let (cluster, _) = text.split_once("[control]").expect("sections");
    let settings = folder.write("pinerill.toml", cluster);
    for process in ["control", "node"] {
        let message = pinerill(&[process, "--settings", &settings]).refused(exit::WRONG_INPUT);
        let part = format!("section [{process}] is missing");
        assert!(message.contains(&part), "{message}");
    }
}
