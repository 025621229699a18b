//! Commands against addresses at which nothing listens.

mod support;

use pinerill_rehearse::fleet::ports::free_address;
use support::{exit, operator_key, pinerill, Folder};

fn settings(folder: &Folder, address: &str) -> String {
    let key = folder.argument("cluster.key");
    pinerill(&["cluster", "keygen", "--out", &key]).done();
    let text =
        format!("[cluster]\nname = \"fanar\"\nkey_file = \"{key}\"\ncontrols = [\"{address}\"]\n");
    folder.write("settings.toml", &text)
}

const BUNDLE: &str = "version = 1\n[operators.amina]\npublic_key = \"PUBLIC\"\n";

#[test]
fn operators_commands_end_with_4_and_name_step_and_peer() {
    let folder = Folder::new();
    let address = free_address().expect("a free port").to_string();
    let settings = settings(&folder, &address);
    let public = operator_key(&folder, "amina");
    let bundle = folder.write("bundle.toml", &BUNDLE.replace("PUBLIC", &public));
    let digest = "00".repeat(32);
    let change = format!(
        r#"{{"change":{{"version":1,"base":"{digest}","digest":"{digest}","set":[],"removed":[]}},"sign_offs":[]}}"#
    );
    let change = folder.write("change.json", &change);
    let (key, out) = (folder.argument("amina.key"), folder.argument("out.json"));
    let operator = format!("amina={public}");
    let cases: &[&[&str]] = &[
        &["bundle", "show"],
        &["bundle", "status"],
        &[
            "bundle",
            "sign",
            &bundle,
            "--operator",
            "amina",
            "--key",
            &key,
            "--out",
            &out,
        ],
        &["bundle", "propose", &change],
        &["cluster", "status"],
        &["cluster", "init", "--operator", &operator],
        &["cluster", "replace", "--lost", "1", "--new", "2"],
    ];
    for arguments in cases {
        let where_to = ["--settings", settings.as_str(), "--timeout-seconds", "1"];
        let message = pinerill(&[arguments, &where_to[..]].concat()).refused(exit::UNAVAILABLE);
        let part = format!("connect with {address}: Connection refused");
        assert!(message.contains(&part), "{arguments:?}: {message}");
    }
    assert!(!folder.file("out.json").exists(), "nothing was signed");
}

#[test]
fn callers_commands_end_with_4_and_name_step_and_peer() {
    let folder = Folder::new();
    let address = free_address().expect("a free port").to_string();
    let key = folder.write("caller.key", "a-bearer-key\n");
    let lines = folder.write("lines.jsonl", "{}\n");
    let cases: &[(&[&str], &str)] = &[
        (
            &["submit", "--idempotency-key", "k", &lines],
            "submit a job",
        ),
        (&["status", "j"], "read a job"),
        (&["output", "j"], "read results"),
        (&["cancel", "j"], "cancel a job"),
    ];
    for (arguments, step) in cases {
        let (command, rest) = arguments.split_first().expect("a command");
        let mut all = vec!["job", command, "--node", &address, "--key-file", &key];
        all.extend(rest);
        let message = pinerill(&all).refused(exit::UNAVAILABLE);
        let part = format!("pinerill: {step} with {address}: ");
        assert!(message.starts_with(&part), "{message}");
        assert!(message.contains("Connection refused"), "{message}");
        assert!(!message.contains("a-bearer-key"), "{message}");
    }
}
