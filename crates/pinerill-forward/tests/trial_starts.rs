//! How many nodes begin a trial of the same suspect at the same moment.

use pinerill_forward::crash::suspect::{BlockingCrashes, Suspect};
use pinerill_forward::crash::trials::{Trials, MAX_TRIAL_WAIT_MS};
use pinerill_forward::crash::{PartKey, Requester};

const NODES: usize = 30;
/// Nodes that may begin a trial before the first announcement arrives.
const FEW_NODES: usize = 4;

fn part(id: u64) -> Suspect {
    Suspect::Part(PartKey::new(&Requester::Unknown, "svc", id))
}

/// Items arrive, or workers have room again, long after the last crash.
#[test]
fn few_nodes_begin_a_trial_at_once_when_it_has_been_due_for_long() {
    let crashes = BlockingCrashes {
        further: 0,
        last_ms: 0,
    };
    let now_ms = 10 * MAX_TRIAL_WAIT_MS;
    let nodes = (0..NODES).map(|number| Trials::new(&format!("node-{number}")));
    let at_once = nodes.filter(|node| node.due_ms(part(1), crashes) <= now_ms);
    let at_once = at_once.count();
    assert!(at_once <= FEW_NODES, "{at_once} of {NODES} begin at once");
}
