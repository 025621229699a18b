//! A small real cluster on loopback: three control machines and a node, each
//! a process of the program under test. All are ended when the value is
//! dropped, also by a panic.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use pinerill_rehearse::fleet::ports::free_address;
use pinerill_rehearse::fleet::process::{log_tail, ChildProcess, ProcessSpec};
use serde_json::Value;

use super::{exit, operator_key, pinerill, Finished, Folder, PROGRAM};

/// Control machines of the cluster.
const CONTROLS: usize = 3;
/// A condition that takes longer than this never comes.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Waits for a condition.
#[track_caller]
pub fn await_some<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + LONGEST_WAIT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "never came: {what}");
        sleep(LOOK_PAUSE);
    }
}

/// A process of the program, with its settings file.
pub struct Process {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub child: ChildProcess,
}

impl Process {
    /// All that it logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.child.log()).expect("a log")
    }

    /// Waits until its log has `part`.
    #[track_caller]
    pub fn await_log(&self, part: &str) {
        await_some(
            &format!("`{part}` in {}", log_tail(self.child.log())),
            || self.log().contains(part).then_some(()),
        );
    }
}

/// A running cluster.
pub struct Cluster {
    pub folder: Folder,
    pub controls: Vec<Process>,
    pub settings: String,
    addresses: Vec<SocketAddr>,
}

impl Cluster {
    /// Control machines that are not founded yet.
    pub fn unfounded() -> Self {
        let folder = Folder::new();
        let key = folder.argument("cluster.key");
        pinerill(&["cluster", "keygen", "--out", &key]).done();
        let addresses: Vec<SocketAddr> = (0..CONTROLS)
            .map(|_| free_address().expect("a free port"))
            .collect();
        let mut cluster = Self {
            settings: String::new(),
            folder,
            controls: Vec::new(),
            addresses,
        };
        let text = cluster.cluster_section("fanar", "cluster.key");
        cluster.settings = cluster.folder.write("operator.toml", &text);
        for index in 0..CONTROLS {
            let control = cluster.start_control(index);
            cluster.controls.push(control);
        }
        cluster
    }

    /// A founded cluster with the operators amina and brahim, whose bundles
    /// need `sign_offs` signatures.
    pub fn founded(sign_offs: u32) -> Self {
        let cluster = Self::unfounded();
        let operators = cluster.make_operators();
        let sign_offs = sign_offs.to_string();
        let mut arguments = vec!["cluster", "init", "--sign-offs", &sign_offs];
        arguments.extend(["--job-groups", "2", "--voters", "3"]);
        arguments.extend(operators.iter().map(String::as_str));
        cluster.await_available(&arguments).done();
        cluster.await_leaders();
        cluster
    }

    /// Makes the operators' keys; returns the flags that name them.
    pub fn make_operators(&self) -> Vec<String> {
        let flag = |name: &&str| format!("--operator={name}={}", operator_key(&self.folder, name));
        ["amina", "brahim"].iter().map(flag).collect()
    }

    /// The settings' section [cluster].
    pub fn cluster_section(&self, name: &str, key_file: &str) -> String {
        let key = self.folder.argument(key_file);
        let controls = &self.addresses;
        let list: Vec<String> = controls
            .iter()
            .map(|one| format!("{:?}", one.to_string()))
            .collect();
        let list = list.join(", ");
        format!("[cluster]\nname = \"{name}\"\nkey_file = \"{key}\"\ncontrols = [{list}]\n")
    }

    /// Starts the control machine with `index`, also again.
    pub fn start_control(&self, index: usize) -> Process {
        let name = format!("control-{index}");
        let admin = free_address().expect("a free port");
        let section = self.cluster_section("fanar", "cluster.key");
        let addresses = (self.addresses[index], admin);
        self.start_control_with(&name, &section, addresses, &name)
    }

    /// Starts one more control machine, with the data folder of another.
    pub fn start_control_on(&self, name: &str, data_folder: &str) -> Process {
        let addresses = (
            free_address().expect("a free port"),
            free_address().expect("a free port"),
        );
        let section = self.section_with_control(addresses.0);
        self.start_control_with(name, &section, addresses, data_folder)
    }

    /// Starts one more process with `address` in the place of `field`.
    pub fn start_with_address(
        &self,
        command: &str,
        name: &str,
        field: &str,
        address: SocketAddr,
    ) -> Process {
        let other = free_address().expect("a free port");
        let addresses = match field {
            "listen" => (address, other),
            _ => (other, address),
        };
        let section = self.section_with_control(addresses.0);
        match command {
            "control" => self.start_control_with(name, &section, addresses, name),
            _ => self.start_node_at(name, &section, addresses),
        }
    }

    /// The section [cluster] with one more control machine.
    fn section_with_control(&self, listen: SocketAddr) -> String {
        let section = self.cluster_section("fanar", "cluster.key");
        section.replace("controls = [", &format!("controls = [\"{listen}\", "))
    }

    fn start_control_with(
        &self,
        name: &str,
        section: &str,
        addresses: (SocketAddr, SocketAddr),
        data_folder: &str,
    ) -> Process {
        let (listen, admin) = addresses;
        let data = self.folder.argument(data_folder);
        let text = format!(
            "{section}[control]\nname = \"{name}\"\nzone = \"zone-of-{name}\"\n\
             listen = \"{listen}\"\nadmin = \"{admin}\"\ndata_folder = \"{data}\"\n"
        );
        self.start("control", name, &text, listen, admin)
    }

    /// Starts a node that logs all it can.
    pub fn start_node(&self, name: &str) -> Process {
        let section = self.cluster_section("fanar", "cluster.key");
        self.start_node_with(name, &section)
    }

    /// Starts a node with another section [cluster].
    pub fn start_node_with(&self, name: &str, section: &str) -> Process {
        let addresses = (
            free_address().expect("a free port"),
            free_address().expect("a free port"),
        );
        self.start_node_at(name, section, addresses)
    }

    fn start_node_at(
        &self,
        name: &str,
        section: &str,
        addresses: (SocketAddr, SocketAddr),
    ) -> Process {
        let (listen, admin) = addresses;
        let text = format!(
            "{section}[node]\nname = \"{name}\"\nzone = \"zone-0\"\nlisten = \"{listen}\"\n\
             admin = \"{admin}\"\nbody_limit_kib = 64\nbatch_limit_kib = 64\n\
             drain_ms = 2000\n[log]\nlevel = \"debug\"\ncounters_seconds = 1\n"
        );
        self.start("node", name, &text, listen, admin)
    }

    fn start(
        &self,
        command: &str,
        name: &str,
        settings: &str,
        listen: SocketAddr,
        admin: SocketAddr,
    ) -> Process {
        let settings = self.folder.write(&format!("{name}.toml"), settings);
        let spec = ProcessSpec {
            environment: Vec::new(),
            name: name.to_owned(),
            program: PROGRAM.into(),
            arguments: vec![command.to_owned(), "--settings".to_owned(), settings],
            log_folder: self.folder.path().to_owned(),
        };
        Process {
            listen,
            admin,
            child: ChildProcess::start(&spec).expect("starts"),
        }
    }

    /// Runs an operator's command.
    pub fn run(&self, arguments: &[&str]) -> Finished {
        let settings = ["--settings", self.settings.as_str()];
        pinerill(&[arguments, &settings].concat())
    }

    /// Runs an operator's command, again while it is told to come back.
    #[track_caller]
    pub fn await_available(&self, arguments: &[&str]) -> Finished {
        await_available(|| self.run(arguments))
    }

    /// Waits until every group has a leader; returns the status.
    #[track_caller]
    pub fn await_leaders(&self) -> Value {
        await_some("a leader of every group", || {
            let finished = self.run(&["cluster", "status", "--json"]);
            if finished.code != exit::DONE {
                return None;
            }
            let status = finished.json();
            let groups = status["groups"].as_array()?;
            let all = groups.len() == 3 && groups.iter().all(|group| group["leader"].is_string());
            all.then_some(status)
        })
    }

    /// Writes the bundle in force with `addition` as the next version.
    pub fn next_bundle(&self, name: &str, addition: &str) -> String {
        let shown = self.run(&["bundle", "show"]).done();
        let (head, rest) = shown.split_once("version = ").expect("a version");
        let (version, rest) = rest.split_once('\n').expect("lines");
        let next = version.parse::<u64>().expect("a number") + 1;
        let text = format!("{head}version = {next}\n{rest}\n{addition}");
        self.folder.write(name, &text)
    }

    /// Signs `file` as `operator` with the key of `key_of`.
    pub fn sign(&self, file: &str, operator: &str, key_of: &str, out: &str, add: bool) -> Finished {
        let key = self.folder.argument(&format!("{key_of}.key"));
        let mut arguments = vec!["bundle", "sign", file, "--operator", operator];
        arguments.extend(["--key", &key, "--out", out, "--json"]);
        if add {
            arguments.push("--add");
        }
        self.run(&arguments)
    }

    /// Rolls `addition` out with one signature.
    pub fn roll_out(&self, addition: &str) {
        let file = self.next_bundle("next.toml", addition);
        let change = self.folder.argument("next.json");
        self.sign(&file, "amina", "amina", &change, false).done();
        self.run(&["bundle", "propose", &change]).done();
    }

    /// Waits until `node` has `version` in force.
    #[track_caller]
    pub fn await_in_force(&self, node: &str, version: u64) {
        await_some(&format!("version {version} at {node}"), || {
            let status = self.run(&["bundle", "status", "--json"]).json();
            let nodes = status["nodes"].as_array()?.clone();
            let at_version = |one: &Value| one["node"] == node && one["version"] == version;
            nodes.iter().any(at_version).then_some(())
        });
    }
}

/// Repeats a command while it ends with "unavailable".
#[track_caller]
pub fn await_available(mut run: impl FnMut() -> Finished) -> Finished {
    await_some("an answer other than unavailable", || {
        let finished = run();
        (finished.code != exit::UNAVAILABLE).then_some(finished)
    })
}
