//! How long a connection to a worker is waited for.

use std::time::Duration;

use pinerill_forward::exchange::connect_times::{ConnectTimes, LONGEST, UNKNOWN};

fn after(zone: &str, times_ms: &[u64]) -> ConnectTimes {
    let mut times = ConnectTimes::default();
    for time in times_ms {
        times.took(zone, Duration::from_millis(*time));
    }
    times
}

#[test]
fn while_nothing_is_known_a_fifth_of_a_second_is_waited() {
    assert_eq!(ConnectTimes::default().patience("z"), UNKNOWN);
    assert_eq!(after("z", &[1]).patience("z"), UNKNOWN);
    assert_eq!(after("z", &[1; 20]).patience("another"), UNKNOWN);
}

#[test]
fn a_small_multiple_of_the_usual_time_is_waited() {
    // A worker that is slow to accept still gets 40 ms.
    assert_eq!(
        after("z", &[1; 20]).patience("z"),
        Duration::from_millis(40)
    );
    assert_eq!(
        after("z", &[20; 20]).patience("z"),
        Duration::from_millis(120)
    );
    assert_eq!(after("z", &[200; 20]).patience("z"), LONGEST);
}

#[test]
fn lost_packets_do_not_move_it_and_a_slower_network_does() {
    let mut times: Vec<u64> = vec![2; 28];
    times.extend([450; 4]);
    assert_eq!(after("z", &times).patience("z"), Duration::from_millis(40));
    times.extend([50; 32]);
    assert_eq!(after("z", &times).patience("z"), Duration::from_millis(300));
}
