//! Memory that responses which are read whole may take together.

use pinerill_forward::exchange::answer_memory::AnswerMemory;

const MIB: usize = 1 << 20;

/// Many answers without end must not take the memory of the node together.
#[test]
fn long_responses_share_a_budget_and_return_it() {
    let budget = AnswerMemory::default();
    let mut first = budget.begin();
    let mut second = budget.begin();
    assert!(first.grow_to(16 * MIB));
    assert!(second.grow_to(8 * MIB));
    assert!(!second.grow_to(16 * MIB));
    drop(first);
    assert!(second.grow_to(16 * MIB));
}

/// Which sound work the budget never holds up.
#[test]
fn short_responses_pass_while_the_budget_is_used_up() {
    let budget = AnswerMemory::default();
    let mut long = budget.begin();
    let mut length = 0;
    while long.grow_to(length) {
        length += MIB;
    }
    assert!(length > 16 * MIB, "one response of the largest size fits");
    assert!(budget.begin().grow_to(64 << 10));
    assert!(!budget.begin().grow_to(4 * MIB));
}
