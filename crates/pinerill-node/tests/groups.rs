//! Guards against a job key that maps to another group when a control machine
//! lists only some of the groups. The job would then be looked up in a group that
//! does not have it.

use pinerill_node::groups::Groups;
use pinerill_wire::message::{DirectoryUpdate, GroupRecord};

fn directory_update(groups: &[u32]) -> DirectoryUpdate {
    DirectoryUpdate {
        epoch: 1,
        revision: 1,
        full: true,
        workers: Vec::new(),
        removed_workers: Vec::new(),
        nodes: Vec::new(),
        removed_nodes: Vec::new(),
        groups: groups.iter().map(|group| group_record(*group)).collect(),
    }
}

fn group_record(group: u32) -> GroupRecord {
    GroupRecord {
        group,
        leader: None,
        backlog: Vec::new(),
    }
}

#[test]
fn a_key_keeps_its_group_when_an_update_lists_only_some_groups() {
    let groups = Groups::default();
    let tenant = "crew".into();
    groups.apply(&directory_update(&[0, 1, 2, 3, 4, 5, 6, 7, 8]));
    assert_eq!(groups.group_of(&tenant, "key"), None, "not confirmed yet");
    groups.confirm();
    let before: Vec<_> = (0..50)
        .map(|key| groups.group_of(&tenant, &key.to_string()))
        .collect();
    assert!(before.iter().all(Option::is_some));
    for partial in [&[0, 1, 2][..], &[0, 1, 2, 9]] {
        groups.apply(&directory_update(partial));
        groups.confirm();
        let after: Vec<_> = (0..50)
            .map(|key| groups.group_of(&tenant, &key.to_string()))
            .collect();
        assert_eq!(after, before);
    }
}
