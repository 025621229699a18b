//! Operators' and callers' commands against a real cluster.

mod support;

use std::collections::BTreeSet;

use serde_json::{json, Value};
use sha2::{Digest as _, Sha256};
use support::cluster::{await_available, await_some, Cluster, Process};
use support::{exit, pinerill, Finished};

const SERVICES: &str = r#"
[models.lamp]
version = "3"
weights = "lamp/3"
[services.fanar]
model = "lamp"
"#;

/// Bearer keys of two tenants, which must never show anywhere.
const CREW_KEY: &str = "bearer-key-of-the-night-crew";
const DESK_KEY: &str = "bearer-key-of-the-dispatch-desk";

fn fields(value: &Value) -> BTreeSet<&str> {
    let object = value.as_object().expect("an object");
    object.keys().map(String::as_str).collect()
}

#[test]
fn a_cluster_is_founded_once_and_shows_its_state() {
    let cluster = Cluster::unfounded();
    let operators = cluster.make_operators();
    let mut init = vec![
        "cluster",
        "init",
        "--job-groups",
        "2",
        "--voters",
        "3",
        "--json",
    ];
    init.extend(operators.iter().map(String::as_str));
    let founded = cluster.await_available(&init).json();
    assert_eq!(fields(&founded), BTreeSet::from(["cluster_id", "replicas"]));

    let status = cluster.await_leaders();
    assert_eq!(status["cluster_id"], founded["cluster_id"]);
    let replicas = status["replicas"].as_array().expect("a list");
    assert_eq!(replicas.len(), 3);
    let expected = BTreeSet::from(["replica", "name", "zone", "address", "reachable"]);
    assert_eq!(fields(&replicas[0]), expected);
    let expected = BTreeSet::from([
        "group", "leader", "term", "commit", "applied", "voters", "learners",
    ]);
    assert_eq!(fields(&status["groups"][0]), expected);

    let text = cluster.run(&["cluster", "status"]).done();
    let id = founded["cluster_id"].as_str().expect("text");
    assert!(text.starts_with(&format!("cluster {id}\n")), "{text}");
    assert!(text.contains("control-0 zone-of-control-0"), "{text}");
    assert!(text.contains("group 0 leader "), "{text}");

    let message = cluster.run(&init).refused(exit::REFUSED);
    assert!(
        message.starts_with("pinerill: initialise cluster with control-"),
        "{message}"
    );
    assert!(message.contains("initialised before"), "{message}");
}

#[test]
fn a_bundle_needs_its_signatures_and_one_of_two_wins() {
    let cluster = Cluster::founded(2);
    let file = cluster.next_bundle("next.toml", SERVICES);
    let change = cluster.folder.argument("change.json");
    let signed = cluster.sign(&file, "amina", "amina", &change, false).json();
    let expected = BTreeSet::from(["version", "digest", "set", "removed", "signatures"]);
    assert_eq!(fields(&signed), expected);
    let propose = ["bundle", "propose", &change];

    let message = cluster.run(&propose).refused(exit::WRONG_INPUT);
    assert!(message.contains("1 of 2 sign-offs"), "{message}");
    assert!(
        message.starts_with("pinerill: propose bundle with control-"),
        "{message}"
    );

    cluster
        .sign(&change, "brahim", "amina", &change, true)
        .done();
    let message = cluster.run(&propose).refused(exit::WRONG_INPUT);
    assert!(
        message.contains("the signature of operator `brahim` does not fit"),
        "{message}"
    );

    cluster
        .sign(&change, "brahim", "brahim", &change, true)
        .done();
    let as_json = [&propose[..], &["--json"]].concat();
    let accepted = cluster.run(&as_json).json();
    let digest = &signed["digest"];
    assert_eq!(
        accepted,
        json!({"accepted": true, "version": 1, "digest": digest})
    );
    assert_eq!(
        cluster.run(&as_json).json(),
        accepted,
        "sent again: the first answer"
    );

    let shown = cluster.run(&["bundle", "show", "--json"]).json();
    assert_eq!(fields(&shown), BTreeSet::from(["digest", "bundle"]));
    assert_eq!(&shown["digest"], digest);
    assert_eq!(shown["bundle"]["services"]["fanar"]["model"], "lamp");

    let text = cluster.run(&["bundle", "status"]).done();
    let digest = digest.as_str().expect("text");
    assert_eq!(text, format!("version 1 digest {digest}\n"));
}

#[test]
fn of_two_bundles_with_one_version_the_second_is_a_conflict_that_names_the_first() {
    let cluster = Cluster::founded(1);
    let mut digests = Vec::new();
    for (name, version) in [("first", "3"), ("second", "4")] {
        let services = SERVICES.replace("\"3\"", &format!("\"{version}\""));
        let file = cluster.next_bundle(&format!("{name}.toml"), &services);
        let out = cluster.folder.argument(&format!("{name}.json"));
        digests.push(cluster.sign(&file, "amina", "amina", &out, false).json()["digest"].clone());
    }
    cluster
        .run(&["bundle", "propose", &cluster.folder.argument("first.json")])
        .done();
    let second = cluster.folder.argument("second.json");
    let winner = digests[0].as_str().expect("text");
    let message = cluster
        .run(&["bundle", "propose", &second])
        .refused(exit::REFUSED);
    assert!(
        message.contains(&format!("version 1 is {winner}")),
        "{message}"
    );
    let refused = cluster.run(&["bundle", "propose", &second, "--json"]);
    assert_eq!(refused.code, exit::REFUSED);
    let document: Value = serde_json::from_str(&refused.stdout).expect("JSON");
    assert_eq!(
        document,
        json!({"accepted": false, "version": 1, "digest": winner})
    );
}

fn tenants() -> String {
    let tenant = |name: &str, key: &str| {
        let hash = hex::encode(Sha256::digest(key));
        format!("[tenants.{name}]\nkey_hashes = [\"{hash}\"]\nservices = [\"fanar\"]\n")
    };
    format!(
        "{SERVICES}{}{}",
        tenant("crew", CREW_KEY),
        tenant("desk", DESK_KEY)
    )
}

/// A node of a cluster with two tenants, as one tenant calls it.
struct Caller<'a> {
    cluster: &'a Cluster,
    node: String,
}

impl Caller<'_> {
    fn job(&self, key: &str, command: &str, rest: &[&str]) -> Finished {
        let key = self.cluster.folder.write("caller.key", &format!("{key}\n"));
        let mut arguments = vec!["job", command, "--node", &self.node, "--key-file", &key];
        arguments.extend(rest);
        pinerill(&arguments)
    }
}

fn line(id: &str) -> String {
    json!({
        "custom_id": id, "method": "POST", "url": "/v1/completions",
        "body": {"model": "fanar", "prompt": id, "max_tokens": 4},
    })
    .to_string()
}

fn node_with_tenants(cluster: &Cluster) -> Process {
    cluster.roll_out(&tenants());
    let node = cluster.start_node("node-1");
    cluster.await_in_force("node-1", 1);
    node
}

#[test]
fn a_job_is_submitted_followed_read_and_cancelled_by_its_tenant_alone() {
    let cluster = Cluster::founded(1);
    let node = node_with_tenants(&cluster);
    let caller = Caller {
        cluster: &cluster,
        node: node.listen.to_string(),
    };
    let lines = cluster
        .folder
        .write("lines.jsonl", &format!("{}\n{}\n", line("a"), line("b")));
    let submit = ["--idempotency-key", "handover", lines.as_str()];
    let job = await_available(|| caller.job(CREW_KEY, "submit", &submit)).json();
    let id = job["id"].as_str().expect("text");
    assert_eq!(job["state"], "in_progress");
    assert_eq!(job["counts"]["total"], 2);
    assert_eq!(
        caller.job(CREW_KEY, "submit", &submit).json()["id"],
        id,
        "the same job"
    );
    assert_eq!(caller.job(CREW_KEY, "status", &[id]).json()["id"], id);

    let other = cluster
        .folder
        .write("other.jsonl", &format!("{}\n", line("c")));
    let message = caller
        .job(
            CREW_KEY,
            "submit",
            &["--idempotency-key", "handover", &other],
        )
        .refused(exit::REFUSED);
    assert!(message.contains("idempotency_conflict"), "{message}");
    let malformed = cluster.folder.write("malformed.jsonl", "{\n");
    let message = caller
        .job(CREW_KEY, "submit", &["--idempotency-key", "x", &malformed])
        .refused(exit::WRONG_INPUT);
    assert!(message.contains("line 1"), "{message}");

    for command in ["status", "output", "cancel"] {
        let message = caller.job(DESK_KEY, command, &[id]).refused(exit::REFUSED);
        assert!(message.contains("unknown_job"), "{command}: {message}");
        let message = caller.job("a-guess", command, &[id]).refused(exit::REFUSED);
        assert!(message.contains("unauthorized"), "{command}: {message}");
    }

    assert_eq!(
        caller.job(CREW_KEY, "output", &[id]).done(),
        "",
        "nothing has ended"
    );
    assert_eq!(
        caller.job(CREW_KEY, "cancel", &[id]).json()["state"],
        "cancelled"
    );
    assert_eq!(
        caller.job(CREW_KEY, "status", &[id]).json()["counts"]["cancelled"],
        2
    );
    let output = caller.job(CREW_KEY, "output", &[id]).done();
    let states: Vec<Value> = output
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("JSON lines")["state"].clone())
        .collect();
    assert_eq!(states, ["cancelled", "cancelled"]);

    for process in cluster.controls.iter().chain([&node]) {
        for key in [CREW_KEY, DESK_KEY, "a-guess"] {
            assert!(!process.log().contains(key), "{key} in a log");
        }
    }
}

#[test]
fn a_lost_control_machine_is_replaced_by_one_with_an_empty_folder() {
    let mut cluster = Cluster::founded(1);
    let identity = |status: &Value, name: &str, reachable: bool| {
        let replicas = status["replicas"].as_array()?;
        let fits = |one: &&Value| one["name"] == name && one["reachable"] == reachable;
        let found = replicas.iter().find(fits)?;
        found["replica"].as_str().map(str::to_owned)
    };
    let lost = identity(&cluster.await_leaders(), "control-2", true).expect("it is there");
    drop(cluster.controls.pop());
    std::fs::remove_dir_all(cluster.folder.file("control-2")).expect("its folder");
    let control = cluster.start_control(2);
    cluster.controls.push(control);
    let new = await_some("the new identity", || {
        let finished = cluster.run(&["cluster", "status", "--json"]);
        let status = (finished.code == exit::DONE).then(|| finished.json())?;
        identity(&status, "control-2", true).filter(|new| *new != lost)
    });
    let replace = ["cluster", "replace", "--lost", &lost, "--new", &new];
    let text = cluster.await_available(&replace).done();
    assert!(text.ends_with(" 0 remaining\n"), "{text}");
    let as_json = [&replace[..], &["--json"]].concat();
    let again = cluster.run(&as_json).json();
    assert_eq!(
        again,
        json!({"done": 3, "remaining": 0}),
        "run again: done as before"
    );

    let status = cluster.await_leaders();
    for group in status["groups"].as_array().expect("a list") {
        let voters = group["voters"].as_array().expect("a list");
        assert!(
            voters.contains(&json!(new)) && !voters.contains(&json!(lost)),
            "{group}"
        );
    }
    let unknown = ["cluster", "replace", "--lost", "1", "--new", &new];
    let message = cluster.run(&unknown).refused(exit::WRONG_INPUT);
    assert!(
        message.contains("replace replica with control-"),
        "{message}"
    );
}

#[test]
fn a_stranger_and_a_process_of_another_cluster_are_refused() {
    let cluster = Cluster::founded(1);
    let other_key = cluster.folder.argument("other.key");
    pinerill(&["cluster", "keygen", "--out", &other_key]).done();
    let cases = [
        ("fanar", "other.key", "does not know the cluster key"),
        (
            "quizmaster",
            "cluster.key",
            "this is cluster `fanar`, not `quizmaster`",
        ),
    ];
    for (index, (name, key, reason)) in cases.into_iter().enumerate() {
        let section = cluster.cluster_section(name, key);
        let settings = cluster.folder.write("stranger.toml", &section);
        let message = pinerill(&["cluster", "status", "--settings", &settings]);
        let message = message.refused(exit::UNAVAILABLE);
        assert!(message.contains("handshake with 127.0.0.1:"), "{message}");
        assert!(message.contains(reason), "{message}");
        let secret = cluster.folder.read(key);
        assert!(!message.contains(secret.trim()), "{message}");

        let node = cluster.start_node_with(&format!("stranger-{index}"), &section);
        node.await_log(reason);
        assert!(!node.log().contains(secret.trim()), "the key is not logged");
        let status = cluster.run(&["bundle", "status", "--json"]).json();
        assert_eq!(status["nodes"], json!([]), "it was not let in");
    }
}
