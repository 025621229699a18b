//! When a zone tells other zones what it has in flight.

mod support;

use pinerill_forward::fleet::{ChoiceSettings, Fleet};
use support::entry_in;

/// Bytes between zones are paid for: a zone with much room tells its counts now and then.
#[test]
fn other_zones_hear_of_each_change_once_half_of_the_places_are_taken() {
    let mut fleet = Fleet::new("near", ChoiceSettings::default());
    let entries = [("near", "a"), ("near", "b"), ("other", "c")];
    fleet.apply_directory(0, &entries.map(|(zone, name)| entry_in(zone, name)));
    for _ in 0..3 {
        fleet.begin_request(0, "a", 0.0);
    }
    assert!(!fleet.needs_immediate_zone_reports(0));
    fleet.begin_request(0, "b", 0.0);
    assert!(fleet.needs_immediate_zone_reports(0), "four of eight");
    fleet.end_request("b");
    assert!(!fleet.needs_immediate_zone_reports(0));
    fleet.begin_request(0, "c", 0.0);
    assert!(
        fleet.needs_immediate_zone_reports(0),
        "other zones must know"
    );
}
