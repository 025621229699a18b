//! The meta group's state machine: bundles, control machines, groups.

mod common;

use std::collections::BTreeMap;

use common::{founding, founding_bundle, machines, signed_change, MemoryTable};
use pinerill_control::machine::StateMachine;
use pinerill_control::meta::{
    read_history, spread_replicas, MetaCommand, MetaMachine, MetaReply, PastVersion,
    ProposalOutcome, Replacement, UpdateSince,
};
use pinerill_types::bundle::{Bundle, SignedChange, Tenant};
use pinerill_types::TenantName;
use proptest::prelude::*;

struct Fixture {
    machine: MetaMachine,
    table: MemoryTable,
    bundle: Bundle,
}

impl Fixture {
    fn new(operators: &[&str], sign_offs: u32) -> Self {
        let bundle = founding_bundle(operators, sign_offs);
        let mut fixture = Self {
            machine: MetaMachine::new(),
            table: MemoryTable::default(),
            bundle: bundle.clone(),
        };
        let command = MetaCommand::Found(Box::new(founding(&bundle, 6, 4)));
        assert_eq!(fixture.apply(command), MetaReply::Founded);
        fixture
    }

    fn apply(&mut self, command: MetaCommand) -> MetaReply {
        self.machine.apply_command(command, &mut self.table)
    }

    fn propose(&mut self, signed: &SignedChange) -> ProposalOutcome {
        match self.apply(MetaCommand::ProposeBundle(Box::new(signed.clone()))) {
            MetaReply::Bundle(outcome) => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn accept(&mut self, next: Bundle, operators: &[&str]) {
        let signed = signed_change(&self.bundle, &next, operators);
        let outcome = self.propose(&signed);
        assert!(
            matches!(outcome, ProposalOutcome::Accepted { .. }),
            "{outcome:?}"
        );
        self.bundle = next;
    }
}

fn tenant() -> Tenant {
    let json = r#"{"key_hashes":[],"services":[]}"#;
    serde_json::from_str(json).unwrap()
}

fn with_tenant(base: &Bundle, name: &str) -> Bundle {
    let mut next = base.clone();
    next.version += 1;
    next.tenants.insert(TenantName::from(name), tenant());
    next
}

#[test]
fn founded_once() {
    let mut fixture = Fixture::new(&["anna"], 1);
    let mut again = founding(&fixture.bundle, 6, 4);
    let command = MetaCommand::Found(Box::new(again.clone()));
    assert_eq!(fixture.apply(command), MetaReply::Founded);
    again.cluster_id = 8;
    let command = MetaCommand::Found(Box::new(again));
    let refused = MetaReply::AlreadyFounded { cluster_id: 7 };
    assert_eq!(fixture.apply(command), refused);
}

#[test]
fn equal_versions_have_one_winner_and_a_resent_proposal_its_first_answer() {
    let mut fixture = Fixture::new(&["anna", "bela"], 1);
    let base = fixture.bundle.clone();
    let first = signed_change(&base, &with_tenant(&base, "first"), &["anna"]);
    let second = signed_change(&base, &with_tenant(&base, "second"), &["bela"]);
    let accepted = ProposalOutcome::Accepted {
        version: 1,
        digest: first.change.digest,
    };
    assert_eq!(fixture.propose(&first), accepted);
    assert_eq!(fixture.propose(&second), ProposalOutcome::Decided);
    fixture.bundle = with_tenant(&base, "first");
    for number in 0..300 {
        let next = with_tenant(&fixture.bundle, &format!("later-{number}"));
        fixture.accept(next, &["anna"]);
    }
    assert_eq!(fixture.propose(&first), ProposalOutcome::Decided);
    let past = read_history(&fixture.table, 1).unwrap();
    assert_eq!(past, PastVersion::Taken(first.change.digest));
    assert_eq!(fixture.machine.bundle().unwrap().version(), 301);
}

#[test]
fn proposal_on_another_base_names_the_bundle_in_force() {
    let mut fixture = Fixture::new(&["anna"], 1);
    let base = fixture.bundle.clone();
    let other = with_tenant(&base, "other");
    fixture.accept(with_tenant(&base, "first"), &["anna"]);
    let signed = signed_change(&other, &with_tenant(&other, "second"), &["anna"]);
    let expected = ProposalOutcome::OtherBase {
        version: 1,
        digest: fixture.bundle.digest(),
    };
    assert_eq!(fixture.propose(&signed), expected);
}

#[test]
fn signatures_count_by_the_keys_in_force() {
    let mut fixture = Fixture::new(&["anna", "bela"], 2);
    let next = with_tenant(&fixture.bundle, "first");
    let wrong = |outcome| matches!(outcome, ProposalOutcome::Wrong { .. });
    let one = signed_change(&fixture.bundle, &next, &["anna"]);
    assert!(wrong(fixture.propose(&one)));
    let mut twice = signed_change(&fixture.bundle, &next, &["anna"]);
    twice.sign_offs.push(twice.sign_offs[0].clone());
    assert!(wrong(fixture.propose(&twice)));
    let stranger = signed_change(&fixture.bundle, &next, &["anna", "carl"]);
    assert!(wrong(fixture.propose(&stranger)));
    let mut other = signed_change(&fixture.bundle, &next, &["anna", "bela"]);
    other.change.version = 2;
    assert!(!matches!(
        fixture.propose(&other),
        ProposalOutcome::Accepted { .. }
    ));
    fixture.accept(next, &["anna", "bela"]);

    let mut next = fixture.bundle.clone();
    next.version += 1;
    next.operators.remove(&"bela".into());
    let (name, carl) = common::operator("carl");
    next.operators.insert(name, carl);
    fixture.accept(next, &["anna", "bela"]);
    let next = with_tenant(&fixture.bundle, "second");
    let old_keys = signed_change(&fixture.bundle, &next, &["anna", "bela"]);
    assert!(wrong(fixture.propose(&old_keys)));
    fixture.accept(next, &["anna", "carl"]);
}

#[test]
fn wrong_bundle_changes_nothing() {
    let mut fixture = Fixture::new(&["anna"], 1);
    let mut next = with_tenant(&fixture.bundle, "first");
    let tenant = next.tenants.values_mut().next().unwrap();
    tenant.services.insert("nowhere".into());
    let signed = signed_change(&fixture.bundle, &next, &["anna"]);
    let outcome = fixture.propose(&signed);
    let ProposalOutcome::Wrong { message } = outcome else {
        panic!("{outcome:?}");
    };
    assert!(message.contains("tenants.first.services"), "{message}");
    assert_eq!(fixture.machine.bundle().unwrap().bundle(), &fixture.bundle);
}

#[test]
fn watchers_catch_up_by_changes_or_by_the_whole() {
    let mut fixture = Fixture::new(&["anna"], 1);
    let mut bundles = vec![fixture.bundle.clone()];
    for number in 0..20 {
        let next = with_tenant(&fixture.bundle, &format!("tenant-{number}"));
        fixture.accept(next.clone(), &["anna"]);
        bundles.push(next);
    }
    for old in &bundles {
        let update = fixture.machine.update_since(old.version, old.digest());
        match update.unwrap() {
            UpdateSince::Same => assert_eq!(old.version, 20),
            UpdateSince::Changes(changes) => {
                let mut bundle = old.clone();
                for change in changes {
                    bundle = bundle.with_change(&change).unwrap();
                }
                assert_eq!(bundle, fixture.bundle);
            }
            other => panic!("{other:?}"),
        }
    }
    let update = |version, digest| fixture.machine.update_since(version, digest).unwrap();
    let unknown = founding_bundle(&["carl"], 1).digest();
    assert_eq!(update(3, unknown), UpdateSince::Snapshot);
    assert_eq!(update(21, unknown), UpdateSince::Ahead);
}

#[test]
fn lost_machine_is_replaced_group_by_group() {
    let mut fixture = Fixture::new(&["anna"], 1);
    let lost = 100;
    let mut new = machines(1, 1)[0].clone();
    new.replica = 900;
    let held: Vec<u32> = fixture
        .machine
        .groups()
        .filter(|plan| plan.voters.contains(&lost))
        .map(|plan| plan.group)
        .collect();
    let replace = MetaCommand::ReplaceMachine { lost, new };
    let todo = held.len() as u32;
    for group in &held {
        let done = todo - held.iter().skip_while(|one| *one != group).count() as u32;
        let expected = Replacement {
            done,
            remaining: todo - done,
        };
        let reply = fixture.apply(replace.clone());
        assert_eq!(reply, MetaReply::Replacement(expected));
        let voters = fixture.machine.members(*group).unwrap().voters;
        assert!(voters.contains(&900) && !voters.contains(&lost));
        let both = [voters.clone(), vec![lost]].concat();
        for voters in [both, voters] {
            let group = *group;
            let reply = fixture.apply(MetaCommand::ConfirmGroup { group, voters });
            assert_eq!(reply, MetaReply::GroupConfirmed);
        }
    }
    let done = fixture.machine.replacement(lost, 900).unwrap();
    assert_eq!(done.remaining, 0);
    assert_eq!(fixture.machine.replaced_by(lost), Some(900));
    let mut returning = machines(1, 1)[0].clone();
    returning.replica = lost;
    let reply = fixture.apply(MetaCommand::SetMachine(returning));
    assert!(matches!(reply, MetaReply::Rejected { .. }));
}

#[test]
fn replicas_spread_over_zones_and_machines() {
    let machines = machines(16, 4);
    let plans = spread_replicas(&machines, 64, 5);
    let mut load: BTreeMap<u64, u32> = BTreeMap::new();
    for plan in &plans {
        let mut zones: BTreeMap<u64, u32> = BTreeMap::new();
        for voter in &plan.voters {
            *load.entry(*voter).or_default() += 1;
            *zones.entry((voter - 100) % 4).or_default() += 1;
        }
        assert_eq!(plan.voters.len(), 5);
        assert_eq!(zones.len(), 4);
        assert!(zones.values().all(|count| *count <= 2));
    }
    let least = load.values().min().unwrap();
    let most = load.values().max().unwrap();
    assert!(most - least <= 3, "{least} to {most}");
    assert_eq!(spread_replicas(&machines[..4], 1, 5)[0].voters.len(), 3);
}

#[test]
fn every_other_machine_learns_the_meta_group() {
    let fixture = Fixture::new(&["anna"], 1);
    let meta = fixture.machine.members(0).unwrap();
    assert_eq!((meta.voters.len(), meta.learners.len()), (5, 1));
    let job = fixture.machine.members(1).unwrap();
    assert_eq!((job.voters.len(), job.learners.len()), (5, 0));
}

#[test]
fn a_command_that_cannot_be_read_is_not_skipped() {
    let mut machine = MetaMachine::new();
    let mut table = MemoryTable::default();
    let before = machine.snapshot();
    for bytes in [&[][..], &[9, 0], &[1, 250]] {
        assert!(machine.apply(1, bytes, &mut table).is_err());
        assert_eq!(machine.snapshot(), before);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]
    #[test]
    fn restored_machine_answers_alike(
        steps in proptest::collection::vec((0u8..4, 0u8..3), 1..20),
        cut in 0usize..20,
    ) {
        let mut fixture = Fixture::new(&["anna"], 1);
        let mut copy: Option<(MetaMachine, MemoryTable)> = None;
        let mut bundles = vec![fixture.bundle.clone()];
        for (number, (name, back)) in steps.iter().enumerate() {
            if number == cut {
                let mut machine = MetaMachine::new();
                machine.restore(&fixture.machine.snapshot()).unwrap();
                copy = Some((machine, fixture.table.clone()));
            }
            let base = bundles[bundles.len().saturating_sub(1 + usize::from(*back))].clone();
            let next = with_tenant(&base, &format!("tenant-{name}"));
            let signed = Box::new(signed_change(&base, &next, &["anna"]));
            let command = MetaCommand::ProposeBundle(signed);
            let reply = fixture.apply(command.clone());
            if matches!(reply, MetaReply::Bundle(ProposalOutcome::Accepted { .. })) {
                bundles.push(next);
            }
            if let Some((machine, table)) = &mut copy {
                prop_assert_eq!(machine.apply_command(command, table), reply);
                prop_assert_eq!(machine.snapshot(), fixture.machine.snapshot());
                prop_assert_eq!(&*table, &fixture.table);
            }
        }
    }
}
