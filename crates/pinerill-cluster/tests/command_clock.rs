//! Time between the commands of one leadership.

use pinerill_cluster::command_clock::CommandClock;
use proptest::prelude::*;

#[test]
fn a_command_whose_time_was_read_before_the_last_one_counts_no_time_twice() {
    let mut clock = CommandClock::begin(1_000);
    assert_eq!(clock.take_elapsed_ms(3_000), 2_000);
    assert_eq!(clock.take_elapsed_ms(1_500), 0);
    assert_eq!(clock.take_elapsed_ms(3_100), 100);
}

proptest! {
    #[test]
    fn commands_never_count_more_time_than_has_passed(
        times in prop::collection::vec(0u64..10_000, 1..50),
    ) {
        let mut clock = CommandClock::begin(0);
        let counted: u64 = times.iter().map(|now_ms| clock.take_elapsed_ms(*now_ms)).sum();
        prop_assert_eq!(Some(&counted), times.iter().max());
    }
}
