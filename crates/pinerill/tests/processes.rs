//! The long-running processes: what they show, how they stop, and when they
//! do not start.

mod support;

use std::net::{SocketAddr, TcpListener};

use pinerill_rehearse::fleet::process::Signal;
use support::cluster::{await_some, Cluster, Process};
use support::exit;

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let client = reqwest::Client::builder().no_proxy().build().ok()?;
        let answer = client
            .get(format!("http://{address}{path}"))
            .send()
            .await
            .ok()?;
        Some((answer.status().as_u16(), answer.text().await.ok()?))
    })
}

/// Waits until a process has ended; returns its exit code.
fn await_end(process: &mut Process) -> i32 {
    let what = format!("the end of {}", process.child.name());
    let status = await_some(&what, || process.child.exit_status().expect("looked"));
    status.code().expect("ends by itself")
}

#[test]
fn both_processes_show_metrics_liveness_and_readiness_and_stop_with_0() {
    let cluster = Cluster::founded(1);
    let node = cluster.start_node("node-1");
    let prefixes = ["pinerill_groups ", "pinerill_node_requests_in_flight "];
    for (process, prefix) in [&cluster.controls[0], &node].into_iter().zip(prefixes) {
        let get = |path| get(process.admin, path);
        let live = await_some("/livez", || get("/livez"));
        assert_eq!(live, (200, "ok\n".to_owned()));
        let (status, metrics) = get("/metrics").expect("an answer");
        assert_eq!(status, 200);
        assert!(
            metrics.lines().any(|line| line.starts_with(prefix)),
            "{metrics}"
        );
        let (status, text) = get("/nonsense").expect("an answer");
        assert_eq!(
            (status, text.as_str()),
            (404, "GET /nonsense: 404 Not Found\n")
        );
    }
    let ready = await_some("readiness", || {
        get(cluster.controls[0].admin, "/readyz").filter(|answer| answer.0 == 200)
    });
    assert_eq!(ready.1, "ok\n");
    let (status, reasons) = get(node.admin, "/readyz").expect("an answer");
    assert_eq!(status, 503);
    assert!(reasons.contains("no worker is known\n"), "{reasons}");

    let controls = cluster.controls;
    for mut process in [node].into_iter().chain(controls) {
        process.child.signal(Signal::Terminate).expect("sent");
        assert_eq!(await_end(&mut process), exit::DONE, "{}", process.log());
    }
}

#[test]
fn a_port_that_is_taken_ends_the_process_and_is_named() {
    let cluster = Cluster::unfounded();
    for (command, field) in [
        ("control", "listen"),
        ("control", "admin"),
        ("node", "listen"),
        ("node", "admin"),
    ] {
        let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = taken.local_addr().expect("bound");
        let name = format!("{command}-with-taken-{field}");
        let mut process = cluster.start_with_address(command, &name, field, address);
        assert_eq!(await_end(&mut process), exit::FAILED, "{name}");
        let log = process.log();
        let message = log.lines().last().expect("a message");
        assert!(message.starts_with("pinerill: "), "{name}: {log}");
        assert!(message.contains(&address.to_string()), "{name}: {log}");
        assert!(message.contains("in use"), "{name}: {log}");
    }
}

#[test]
fn a_data_folder_in_use_is_refused_and_named() {
    let cluster = Cluster::unfounded();
    cluster.controls[0].await_log("listens at");
    let mut second = cluster.start_control_on("second", "control-0");
    assert_eq!(await_end(&mut second), exit::FAILED);
    let log = second.log();
    let folder = cluster.folder.argument("control-0");
    assert!(log.contains(&format!("open data folder {folder}")), "{log}");
}

#[test]
fn a_process_without_its_cluster_key_ends_with_2() {
    let cluster = Cluster::unfounded();
    let section = cluster.cluster_section("fanar", "missing.key");
    let mut node = cluster.start_node_with("node-1", &section);
    assert_eq!(await_end(&mut node), exit::WRONG_INPUT);
    let log = cluster.folder.without_path(&node.log());
    assert!(
        log.contains("read cluster key with FOLDER/missing.key"),
        "{log}"
    );
}
