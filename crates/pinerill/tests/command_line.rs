//! What every command has in common: help, version, usage, keys.

mod support;

use expect_test::expect;
use support::{exit, operator_key, pinerill, pinerill_in, Folder};

/// Every command and group of commands.
const COMMANDS: &[&[&str]] = &[
    &[],
    &["control"],
    &["node"],
    &["bundle"],
    &["bundle", "keygen"],
    &["bundle", "check"],
    &["bundle", "sign"],
    &["bundle", "propose"],
    &["bundle", "show"],
    &["bundle", "status"],
    &["job"],
    &["job", "submit"],
    &["job", "status"],
    &["job", "output"],
    &["job", "cancel"],
    &["cluster"],
    &["cluster", "keygen"],
    &["cluster", "init"],
    &["cluster", "status"],
    &["cluster", "replace"],
    &["explain"],
    &["settings"],
    &["settings", "check"],
    &["settings", "example"],
];

fn with<'a>(command: &[&'a str], flag: &'a str) -> Vec<&'a str> {
    let mut arguments = command.to_vec();
    arguments.push(flag);
    arguments
}

#[test]
fn every_command_has_help_that_names_the_exit_codes() {
    for command in COMMANDS {
        let help = pinerill(&with(command, "--help")).done();
        assert!(help.contains("Usage: pinerill"), "{command:?}: {help}");
        assert!(help.contains("Exit codes: 0 done"), "{command:?}: {help}");
    }
}

#[test]
fn help_lists_every_command() {
    for command in COMMANDS {
        let Some((name, group)) = command.split_last() else {
            continue;
        };
        let help = pinerill(&with(group, "--help")).done();
        let listed = help
            .lines()
            .any(|line| line.trim_start().starts_with(&format!("{name} ")));
        assert!(listed, "{command:?}: {help}");
    }
}

#[test]
fn every_command_tells_the_version() {
    for command in COMMANDS {
        let version = pinerill(&with(command, "--version")).done();
        let own = env!("CARGO_PKG_VERSION");
        assert!(
            version.ends_with(&format!(" {own}\n")),
            "{command:?}: {version}"
        );
    }
}

#[test]
fn wrong_usage_ends_with_2_and_names_what_is_wrong() {
    let cases: &[(&[&str], &str)] = &[
        (&[], "Usage: pinerill"),
        (&["bundle"], "Usage: pinerill bundle"),
        (&["nonsense"], "unrecognized subcommand 'nonsense'"),
        (&["bundle", "sign"], "--operator <OPERATOR>"),
        (
            &["cluster", "replace", "--lost", "x", "--new", "1"],
            "`x` is not a hexadecimal identity",
        ),
        (
            &["job", "status", "--node", "somewhere", "j"],
            "'somewhere'",
        ),
        (&["settings", "check", "--unheard-of"], "'--unheard-of'"),
    ];
    for (arguments, part) in cases {
        let message = pinerill(arguments).refused(exit::WRONG_INPUT);
        assert!(message.contains(part), "{arguments:?}: {message}");
    }
}

/// A file that is not there is wrong input: nothing was asked of anybody.
#[test]
fn a_missing_file_ends_with_2_and_names_it() {
    let folder = Folder::new();
    let missing = folder.argument("missing");
    let settings = folder.argument("settings");
    let public = operator_key(&folder, "amina");
    let operator = format!("amina={public}");
    let cases: &[&[&str]] = &[
        &["settings", "check", &missing],
        &["control", "--settings", &missing],
        &["node", "--settings", &missing],
        &["bundle", "check", &missing],
        &[
            "bundle",
            "sign",
            &missing,
            "--operator",
            "amina",
            "--key",
            &missing,
            "--out",
            &settings,
        ],
        &["bundle", "propose", &missing],
        &["bundle", "show", "--settings", &missing],
        &["bundle", "status", "--settings", &missing],
        &["cluster", "status", "--settings", &missing],
        &[
            "cluster",
            "init",
            "--settings",
            &missing,
            "--operator",
            &operator,
        ],
        &[
            "cluster",
            "replace",
            "--settings",
            &missing,
            "--lost",
            "1",
            "--new",
            "2",
        ],
        &[
            "job",
            "status",
            "--node",
            "127.0.0.1:9",
            "--key-file",
            &missing,
            "j",
        ],
        &[
            "job",
            "output",
            "--node",
            "127.0.0.1:9",
            "--key-file",
            &missing,
            "j",
        ],
        &[
            "job",
            "cancel",
            "--node",
            "127.0.0.1:9",
            "--key-file",
            &missing,
            "j",
        ],
        &[
            "job",
            "submit",
            "--node",
            "127.0.0.1:9",
            "--key-file",
            &missing,
            "--idempotency-key",
            "k",
            &missing,
        ],
    ];
    for arguments in cases {
        let message = pinerill(arguments).refused(exit::WRONG_INPUT);
        let message = folder.without_path(&message);
        assert!(
            message.contains("FOLDER/missing"),
            "{arguments:?}: {message}"
        );
        assert!(message.contains("o such file"), "{arguments:?}: {message}");
    }
}

#[test]
fn keys_are_written_for_their_owner_alone_and_never_over_a_file() {
    use std::os::unix::fs::PermissionsExt;
    let folder = Folder::new();
    for command in ["bundle", "cluster"] {
        let name = format!("{command}.key");
        let out = folder.argument(&name);
        let printed = pinerill(&[command, "keygen", "--out", &out]).done();
        let secret = folder.read(&name);
        let secret = secret.trim();
        assert_eq!(secret.len(), 64);
        assert!(!printed.contains(secret), "the secret is not printed");
        let mode = std::fs::metadata(folder.file(&name)).unwrap().permissions();
        assert_eq!(mode.mode() & 0o777, 0o600);

        let message = pinerill(&[command, "keygen", "--out", &out]).refused(exit::WRONG_INPUT);
        assert!(message.contains("File exists"), "{message}");
        assert_eq!(folder.read(&name).trim(), secret, "the old key stays");
    }
}

/// What a key file holds never shows, also when it is no key.
#[test]
fn a_malformed_key_is_refused_and_not_shown() {
    let folder = Folder::new();
    let key = folder.write("wrong.key", "not-a-key-but-a-secret\n");
    let text = format!(
        "[cluster]\nname = \"fanar\"\nkey_file = \"{key}\"\ncontrols = [\"127.0.0.1:9\"]\n"
    );
    let settings = folder.write("settings.toml", &text);
    let message = pinerill(&["cluster", "status", "--settings", &settings]);
    let message = folder.without_path(&message.refused(exit::WRONG_INPUT));
    expect![[r#"
        pinerill: read cluster key with FOLDER/wrong.key: not 64 hexadecimal digits
    "#]]
    .assert_eq(&message);

    let bundle = folder.write("change.json", r#"{"change":{"version":1,"base":"00","digest":"00","set":[],"removed":[]},"sign_offs":[]}"#);
    let out = folder.argument("out.json");
    let message = pinerill(&[
        "bundle",
        "sign",
        "--add",
        &bundle,
        "--operator",
        "amina",
        "--key",
        &key,
        "--out",
        &out,
    ]);
    let message = folder.without_path(&message.refused(exit::WRONG_INPUT));
    expect![[r#"
        pinerill: read operator's key with FOLDER/wrong.key: the key is not a valid ed25519 key of 64 hexadecimal digits
    "#]]
    .assert_eq(&message);
}

/// The variables that the commands' own flags read are no settings.
#[test]
fn variables_of_flags_do_not_clash_with_settings() {
    let folder = Folder::new();
    let example = pinerill(&["settings", "example"]).done();
    let settings = folder.write("pinerill.toml", &example);
    let environment = [
        ("PINERILL_SETTINGS", settings.as_str()),
        ("PINERILL_NODE", "127.0.0.1:8080"),
        ("PINERILL_KEY_FILE", "/etc/pinerill/caller.key"),
    ];
    pinerill_in(&environment, &["settings", "check", &settings]).done();
}
