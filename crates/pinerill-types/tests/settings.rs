//! Settings: the example passes, problems are all named at once, flags and
//! environment go before the file.

use std::io::Write;

use expect_test::expect;
use pinerill_types::settings::{load, Override, EXAMPLE};

fn file(text: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("temporary file");
    file.write_all(text.as_bytes()).expect("write");
    file
}

fn set(field: &str, value: &str) -> Override {
    Override {
        field: field.to_owned(),
        value: value.to_owned(),
    }
}

fn refusal(text: &str, overrides: &[Override]) -> String {
    let file = file(text);
    let error = load(file.path(), overrides).expect_err("must be refused");
    error
        .to_string()
        .replace(&file.path().display().to_string(), "FILE")
}

#[test]
fn example_passes_the_check() {
    let file = file(EXAMPLE);
    let settings = load(file.path(), &[]).expect("the example is right");
    assert_eq!(settings.node.expect("has a node").worker_subset, 48);
}

#[test]
fn flags_go_before_the_file() {
    let file = file(EXAMPLE);
    let overrides = [
        set("node.worker_subset", "7"),
        set("node.zone", "berrechid-2"),
    ];
    let settings = load(file.path(), &overrides).expect("settings");
    let node = settings.node.expect("has a node");
    assert_eq!(node.worker_subset, 7);
    assert_eq!(node.zone.as_str(), "berrechid-2");
}

#[test]
fn every_problem_is_named_at_once() {
    let overrides = [
        set("control.election_ms", "50"),
        set("control.admin", "10.0.1.1:7400"),
        set("node.worker_subset", "0"),
        set("node.zone", "berrechid"),
        set("log.level", "loud"),
    ];
    expect![[r#"
        settings FILE:
          log.level: `loud` is wrong: error, warn, info or debug
          control.election_ms: `50` is wrong: at least 300, which is 3 times control.heartbeat_ms
          node.neighbours: `berrechid` is wrong: zones other than node.zone
          node.worker_subset: `0` is wrong: at least 1
          control.admin: `10.0.1.1:7400` is wrong: an address other than control.listen's"#]]
    .assert_eq(&refusal(EXAMPLE, &overrides));
}

#[test]
fn unknown_field_is_refused() {
    let text = EXAMPLE.replace("worker_subset", "worker_subsets");
    assert!(refusal(&text, &[]).contains("worker_subsets"));
}

#[test]
fn bad_address_is_refused_with_its_field() {
    let refusal = refusal(EXAMPLE, &[set("node.listen", "somewhere")]);
    assert!(refusal.contains("node.listen"), "{refusal}");
}

#[test]
fn missing_file_is_named() {
    let error = load(std::path::Path::new("no/such/file"), &[]).expect_err("missing");
    expect!["settings no/such/file: no such file"].assert_eq(&error.to_string());
}
