//! Bundles without a cluster: keys, check, sign.

mod support;

use expect_test::expect;
use serde_json::{json, Value};
use support::{exit, operator_key, pinerill, Folder};

const SERVICES: &str = r#"
[models.lamp]
version = "3"
weights = "lamp/3"
[services.fanar]
model = "lamp"
[tenants.crew]
key_hashes = ["0000000000000000000000000000000000000000000000000000000000000000"]
services = ["fanar"]
"#;

fn document(folder: &Folder) -> String {
    let public = operator_key(folder, "amina");
    format!("version = 1\n[operators.amina]\npublic_key = \"{public}\"\n{SERVICES}")
}

#[test]
fn a_right_bundle_passes_the_check() {
    let folder = Folder::new();
    let file = folder.write("bundle.toml", &document(&folder));
    let text = pinerill(&["bundle", "check", &file]).done();
    assert!(text.starts_with("version 1 digest "), "{text}");
    let shown = pinerill(&["bundle", "check", &file, "--json"]).json();
    let digest = text.trim().rsplit(' ').next().unwrap();
    assert_eq!(shown, json!({"version": 1, "digest": digest}));
}

#[test]
fn wrong_references_are_all_named() {
    let folder = Folder::new();
    let text = document(&folder)
        .replace("model = \"lamp\"", "model = \"lantern\"")
        .replace("services = [\"fanar\"]", "services = [\"fanal\"]");
    let file = folder.write("bundle.toml", &text);
    let message = pinerill(&["bundle", "check", &file]).refused(exit::WRONG_INPUT);
    expect![[r#"
        pinerill: FOLDER/bundle.toml:
          services.fanar.model: `lantern` is wrong: one of this bundle's models
          tenants.crew.services: `fanal` is wrong: one of this bundle's services
    "#]]
    .assert_eq(&folder.without_path(&message));
}

/// Refused before any control machine is asked: no settings are there.
#[test]
fn a_bundle_with_a_wrong_reference_is_not_signed() {
    let folder = Folder::new();
    let text = document(&folder).replace("model = \"lamp\"", "model = \"lantern\"");
    let file = folder.write("bundle.toml", &text);
    let (key, out) = (folder.argument("amina.key"), folder.argument("out.json"));
    let sign = [
        "bundle",
        "sign",
        &file,
        "--operator",
        "amina",
        "--key",
        &key,
        "--out",
        &out,
    ];
    let message = pinerill(&sign).refused(exit::WRONG_INPUT);
    assert!(
        message.contains("services.fanar.model: `lantern`"),
        "{message}"
    );
    assert!(!folder.file("out.json").exists());
}

#[test]
fn an_unknown_field_is_refused_with_its_line() {
    let folder = Folder::new();
    let text = document(&folder).replace("weights", "wights");
    let file = folder.write("bundle.toml", &text);
    let message = pinerill(&["bundle", "check", &file]).refused(exit::WRONG_INPUT);
    assert!(message.contains("line 7"), "{message}");
    assert!(message.contains("wights"), "{message}");
}

fn change_file(folder: &Folder) -> String {
    let digest = "00".repeat(32);
    let change = json!({"version": 1, "base": digest, "digest": digest, "set": [], "removed": []});
    let signed = json!({"change": change, "sign_offs": []});
    folder.write("change.json", &signed.to_string())
}

fn add_signature(folder: &Folder, change: &str, operator: &str) -> Value {
    let key = folder.argument(&format!("{operator}.key"));
    pinerill(&[
        "bundle",
        "sign",
        "--add",
        change,
        "--operator",
        operator,
        "--key",
        &key,
        "--out",
        change,
        "--json",
    ])
    .json()
}

#[test]
fn a_signature_is_added_without_a_cluster_and_replaces_the_operators_former_one() {
    let folder = Folder::new();
    let change = change_file(&folder);
    for name in ["amina", "brahim"] {
        operator_key(&folder, name);
    }
    assert_eq!(add_signature(&folder, &change, "amina")["signatures"], 1);
    assert_eq!(add_signature(&folder, &change, "amina")["signatures"], 1);
    let last = add_signature(&folder, &change, "brahim");
    let digest = "00".repeat(32);
    let expected = json!({"version": 1, "digest": digest, "set": 0, "removed": 0, "signatures": 2});
    assert_eq!(last, expected);
    let signed: Value = serde_json::from_str(&folder.read("change.json")).unwrap();
    let secret = folder.read("amina.key");
    assert!(
        !signed.to_string().contains(secret.trim()),
        "no secret in the change"
    );
}

#[test]
fn a_signed_change_that_is_cut_or_of_another_shape_is_refused() {
    let folder = Folder::new();
    operator_key(&folder, "amina");
    let key = folder.argument("amina.key");
    for text in ["", "{", "[]", "{\"change\": {}}"] {
        let file = folder.write("change.json", text);
        let sign = [
            "bundle",
            "sign",
            "--add",
            &file,
            "--operator",
            "amina",
            "--key",
            &key,
        ];
        let sign = [&sign[..], &["--out", &file]].concat();
        let message = pinerill(&sign).refused(exit::WRONG_INPUT);
        assert!(message.contains("change.json: "), "{text}: {message}");
        assert_eq!(folder.read("change.json"), text, "left as it was");
    }
}
