//! A zone whose free slots run low must report its requests in flight to other zones immediately.

mod support;

use pinerill_forward::fleet::{ChoiceSettings, Fleet};
use support::entry_in;

/// Guards against needless traffic between zones, which is billed: a zone with many free slots
/// reports its counts only periodically.
#[test]
fn a_zone_reports_each_change_once_half_of_its_slots_are_in_use() {
    let mut fleet = Fleet::new("near", ChoiceSettings::default());
    let entries = [("near", "a"), ("near", "b"), ("other", "c")];
    fleet.apply_directory(0, &entries.map(|(zone, name)| entry_in(zone, name)));
    for _ in 0..3 {
        fleet.begin_request(0, "a", 0.0);
    }
    assert!(!fleet.needs_immediate_zone_reports(0));
    fleet.begin_request(0, "b", 0.0);
    assert!(
        fleet.needs_immediate_zone_reports(0),
        "four of eight slots are in use"
    );
    fleet.end_request("b");
    assert!(!fleet.needs_immediate_zone_reports(0));
    fleet.begin_request(0, "c", 0.0);
    assert!(
        fleet.needs_immediate_zone_reports(0),
        "a request runs in another zone"
    );
}
