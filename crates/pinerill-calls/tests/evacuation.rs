//! Evacuation of zones, and restriction of requests to regions.

use pinerill_calls::evacuation::Evacuations;
use pinerill_calls::message::{decode, encode};
use pinerill_calls::table::AllowedRegions;

#[test]
fn repeated_orders_are_idempotent() {
    let mut evacuations = Evacuations::default();
    evacuations.evacuate("a");
    let once = evacuations.clone();
    evacuations.evacuate("a");
    assert_eq!(evacuations, once);
    evacuations.return_zone("b");
    assert_eq!(evacuations, once, "b was not evacuated");
    assert!(evacuations.is_evacuated("a") && !evacuations.is_evacuated("b"));
    assert_eq!(decode(&encode(&evacuations)), Ok(evacuations));
}

#[test]
fn a_return_is_visible_without_having_seen_the_evacuation() {
    let mut evacuations = Evacuations::default();
    evacuations.evacuate("a");
    let known = evacuations.revision();
    evacuations.evacuate("b");
    evacuations.return_zone("b");
    assert!(evacuations.was_returned_since(Some(known), "b"));
    assert!(evacuations.was_returned_since(None, "b"));
    assert!(!evacuations.was_returned_since(Some(evacuations.revision()), "b"));
    assert!(!evacuations.was_returned_since(Some(known), "a"));
}

fn homes(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::from_list(regions.iter().map(|region| (*region).to_owned()))
}

#[test]
fn the_regions_of_route_and_tenant_are_intersected() {
    let both = homes(&["north", "south"]).intersect(&homes(&["south", "west"]));
    assert!(both.allows(Some("south")));
    for other in [Some("north"), Some("west"), Some("east"), None] {
        assert!(!both.allows(other), "{other:?}");
    }
    let nowhere = homes(&["north"]).intersect(&homes(&["south"]));
    assert!(!nowhere.allows(Some("north")) && !nowhere.allows(Some("south")));
}

#[test]
fn an_empty_list_allows_every_region() {
    assert!(!homes(&[]).is_restricted());
    assert!(homes(&[]).allows(None));
    assert!(
        !homes(&["north"]).allows(None),
        "an unknown region is not allowed"
    );
}
