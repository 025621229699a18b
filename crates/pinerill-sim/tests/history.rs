//! The checker of bundle histories accepts what may happen and nothing else.

use pinerill_sim::bundle::{
    BundleHistory, BundleOperation, BundleState, ProposalEnd, FOUNDING_DIGEST,
};

const ANNA: u64 = 10;
const BELA: u64 = 20;
const LATER: u64 = 30;

fn bundle(version: u64, digest: u64) -> BundleState {
    BundleState { version, digest }
}

fn propose(version: u64, digest: u64, base: u64) -> BundleOperation {
    BundleOperation::Propose {
        bundle: bundle(version, digest),
        base,
        signed: true,
        end: None,
    }
}

fn read() -> BundleOperation {
    BundleOperation::Read { end: None }
}

/// Anna's bundle took version 1.
fn with_first_bundle() -> BundleHistory {
    let mut history = BundleHistory::default();
    let anna = history.call(propose(1, ANNA, FOUNDING_DIGEST));
    history.proposed(anna, ProposalEnd::Accepted);
    history
}

#[test]
fn one_of_two_racing_proposals_wins() {
    let mut history = BundleHistory::default();
    let anna = history.call(propose(1, ANNA, FOUNDING_DIGEST));
    let bela = history.call(propose(1, BELA, FOUNDING_DIGEST));
    history.proposed(bela, ProposalEnd::Accepted);
    history.proposed(anna, ProposalEnd::Conflict(bundle(1, BELA)));
    assert!(history.is_linearizable());
}

#[test]
fn two_winners_of_one_version_are_found() {
    let mut history = with_first_bundle();
    let bela = history.call(propose(1, BELA, FOUNDING_DIGEST));
    history.proposed(bela, ProposalEnd::Accepted);
    assert!(!history.is_linearizable());
}

#[test]
fn a_proposal_sent_again_gets_its_first_answer() {
    let mut history = with_first_bundle();
    let later = history.call(propose(2, LATER, ANNA));
    history.proposed(later, ProposalEnd::Accepted);
    let mut refused = history.clone();
    let again = history.call(propose(1, ANNA, FOUNDING_DIGEST));
    history.proposed(again, ProposalEnd::Accepted);
    assert!(history.is_linearizable());
    let again = refused.call(propose(1, ANNA, FOUNDING_DIGEST));
    refused.proposed(again, ProposalEnd::Conflict(bundle(2, LATER)));
    assert!(!refused.is_linearizable());
}

#[test]
fn a_stale_read_is_found() {
    let mut history = with_first_bundle();
    let reader = history.call(read());
    history.read(reader, bundle(0, FOUNDING_DIGEST));
    assert!(!history.is_linearizable());
}

#[test]
fn an_unknown_proposal_may_take_effect_late_but_not_be_undone() {
    let mut history = with_first_bundle();
    history.call(propose(2, LATER, ANNA));
    let reader = history.call(read());
    history.read(reader, bundle(1, ANNA));
    let reader = history.call(read());
    history.read(reader, bundle(2, LATER));
    assert!(history.is_linearizable());
    let reader = history.call(read());
    history.read(reader, bundle(1, ANNA));
    assert!(!history.is_linearizable());
}

#[test]
fn a_proposal_said_not_done_must_not_take_effect() {
    let mut history = with_first_bundle();
    let refused = history.call(propose(2, LATER, ANNA));
    history.not_done(refused);
    assert!(history.is_linearizable());
    let reader = history.call(read());
    history.read(reader, bundle(2, LATER));
    assert!(!history.is_linearizable());
}

#[test]
fn a_bundle_without_its_signatures_is_never_in_force() {
    let mut history = BundleHistory::default();
    let unsigned = history.call(BundleOperation::Propose {
        bundle: bundle(1, ANNA),
        base: FOUNDING_DIGEST,
        signed: false,
        end: None,
    });
    history.proposed(unsigned, ProposalEnd::Wrong);
    assert!(history.is_linearizable());
    let reader = history.call(read());
    history.read(reader, bundle(1, ANNA));
    assert!(!history.is_linearizable());
}
