//! Which group a job's key leads to.

use pinerill_node::groups::Groups;
use pinerill_wire::message::{DirectoryUpdate, GroupRecord};

fn update(groups: &[u32]) -> DirectoryUpdate {
    DirectoryUpdate {
        epoch: 1,
        revision: 1,
        full: true,
        workers: Vec::new(),
        removed_workers: Vec::new(),
        nodes: Vec::new(),
        removed_nodes: Vec::new(),
        groups: groups.iter().map(|group| record(*group)).collect(),
    }
}

fn record(group: u32) -> GroupRecord {
    GroupRecord {
        group,
        leader: None,
        backlog: Vec::new(),
    }
}

#[test]
fn a_key_keeps_its_group_when_a_machine_lists_only_some() {
    let groups = Groups::default();
    let tenant = "crew".into();
    groups.take(&update(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
    assert_eq!(groups.group_of(&tenant, "key"), None, "not confirmed yet");
    groups.confirm();
    let before: Vec<_> = (0..50)
        .map(|key| groups.group_of(&tenant, &key.to_string()))
        .collect();
    assert!(before.iter().all(Option::is_some));
    for partial in [&[0, 1, 2][..], &[0, 1, 2, 9]] {
        groups.take(&update(partial));
        groups.confirm();
        let after: Vec<_> = (0..50)
            .map(|key| groups.group_of(&tenant, &key.to_string()))
            .collect();
        assert_eq!(after, before);
    }
}
