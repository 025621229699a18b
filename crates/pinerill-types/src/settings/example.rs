//! The commented example that `pinerill settings example` prints.

/// A settings file that passes [`super::check_settings`].
pub const EXAMPLE: &str = r#"# Settings of one pinerill process. A process reads the sections it needs.
# The environment goes before the file: PINERILL_NODE__ZONE sets node.zone.

[cluster]
# A process of a cluster with another name is refused.
name = "example"
# File with 64 hexadecimal digits; the same on every machine of the cluster.
key_file = "/etc/pinerill/cluster.key"
# Internal addresses of all control machines.
controls = ["10.0.1.1:7400", "10.0.2.1:7400", "10.0.3.1:7400"]

[control]
name = "control-1"
zone = "zone-a"
# Must be one of cluster.controls.
listen = "10.0.1.1:7400"
# /metrics, /livez and /readyz.
admin = "10.0.1.1:7401"
# The one folder with files.
data_folder = "/var/lib/pinerill"
# The platform's list of live and leaving machines.
platform = "10.0.0.5:8000"
# Heartbeat and shortest election timeout of replicated groups, milliseconds.
heartbeat_ms = 100
election_ms = 600
# Log entries after which a group takes a snapshot.
snapshot_entries = 10000
# Loads of weights that may run at once in the fleet.
concurrent_loads = 4

[node]
name = "node-1"
zone = "zone-a"
# Zones whose workers it may use besides its own, nearest first.
neighbours = ["sidi-maarouf", "berrechid"]
# For callers.
listen = "10.0.1.2:8080"
# /metrics, /livez and /readyz.
admin = "10.0.1.2:8081"
# Longest body of a request and of a batch, KiB.
body_limit_kib = 1024
batch_limit_kib = 65536
# Most workers that the node keeps connections and reports of.
worker_subset = 48
# Pause between two polls of a worker's load report, milliseconds.
report_poll_ms = 500
# Time for load balancers to see that a node stops, before it refuses requests.
drain_lead_ms = 2000
# Longest planned stop after that, milliseconds.
drain_ms = 60000

[log]
# error, warn, info or debug.
level = "info"
# Pause between two lines of counters, seconds.
counters_seconds = 10
"#;
