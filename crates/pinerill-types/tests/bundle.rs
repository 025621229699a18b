//! Bundles: checks, changes and sign-offs.

use ed25519_dalek::SigningKey;
use expect_test::expect;
use pinerill_types::bundle::{
    check_bundle, count_sign_offs, Bundle, ChangeError, Operator, SignError, SignedChange,
};
use pinerill_types::OperatorName;

const DOCUMENT: &str = r#"
version = 1
[policy]
sign_offs = 2
[operators.amina]
public_key = "AMINA"
[operators.brahim]
public_key = "BRAHIM"
[models.lamp]
version = "3"
weights = "lamp/3"
[models.lamp.adapters.tickets]
version = "1"
weights = "tickets/1"
[services.fanar]
model = "lamp"
adapter = "tickets"
[tenants.crew]
key_hashes = ["0000000000000000000000000000000000000000000000000000000000000000"]
services = ["fanar"]
"#;

fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

fn public(seed: u8) -> String {
    let bytes = key(seed).verifying_key().to_bytes();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bundle() -> Bundle {
    let text = DOCUMENT
        .replace("AMINA", &public(1))
        .replace("BRAHIM", &public(2));
    Bundle::from_toml(&text).expect("the document is right")
}

fn next() -> Bundle {
    let mut next = bundle();
    next.version = 2;
    let model = next.models.values_mut().next().expect("a model");
    model.version = "4".to_owned();
    next
}

fn signed(seeds: &[(&str, u8)]) -> SignedChange {
    let mut signed = SignedChange {
        change: next().change_from(&bundle()),
        sign_offs: Vec::new(),
    };
    for (name, seed) in seeds {
        signed.sign(OperatorName::from(*name), &key(*seed));
    }
    signed
}

#[test]
fn right_document_has_no_problems() {
    assert_eq!(check_bundle(&bundle()), Vec::new());
}

#[test]
fn document_survives_toml() {
    let text = bundle().to_toml().expect("plain data");
    assert_eq!(Bundle::from_toml(&text).expect("own text"), bundle());
}

#[test]
fn wrong_references_and_values_are_named() {
    let text = DOCUMENT
        .replace("model = \"lamp\"", "model = \"lantern\"")
        .replace("sign_offs = 2", "sign_offs = 3")
        .replace("BRAHIM", &public(2))
        .replace("services = [\"fanar\"]", "services = [\"fanal\"]");
    let bundle = Bundle::from_toml(&text).expect("well-formed");
    let problems: Vec<String> = check_bundle(&bundle)
        .iter()
        .map(ToString::to_string)
        .collect();
    expect![[r#"
        policy.sign_offs: `3` is wrong: between 1 and the 2 operators of this bundle
        operators.amina.public_key: `AMINA` is wrong: 64 hexadecimal digits
        services.fanar.model: `lantern` is wrong: one of this bundle's models
        tenants.crew.services: `fanal` is wrong: one of this bundle's services"#]]
    .assert_eq(&problems.join("\n"));
}

#[test]
fn change_carries_only_what_differs() {
    let change = next().change_from(&bundle());
    assert_eq!(change.set.len(), 1);
    assert_eq!(change.set[0].key.name, "lamp");
    assert!(change.removed.is_empty());
    let result = bundle().with_change(&change).expect("applies to its base");
    assert_eq!(result, next());
}

#[test]
fn change_is_refused_on_another_base() {
    let change = next().change_from(&bundle());
    let refused = next().with_change(&change);
    assert!(matches!(refused, Err(ChangeError::OtherBase { .. })));
}

#[test]
fn tampered_change_is_refused() {
    let mut change = next().change_from(&bundle());
    change.set[0].value = change.set[0].value.replace("\"4\"", "\"5\"");
    let refused = bundle().with_change(&change);
    assert!(matches!(refused, Err(ChangeError::OtherResult { .. })));
}

#[test]
fn two_operators_suffice() {
    let signed = signed(&[("amina", 1), ("brahim", 2)]);
    assert_eq!(count_sign_offs(&bundle(), &signed), Ok(2));
}

#[test]
fn one_operator_twice_is_one() {
    let signed = signed(&[("amina", 1), ("amina", 1)]);
    let refused = count_sign_offs(&bundle(), &signed);
    assert_eq!(
        refused,
        Err(SignError::TooFew {
            wanted: 2,
            found: 1
        })
    );
}

#[test]
fn signature_of_another_key_is_refused() {
    let signed = signed(&[("amina", 1), ("brahim", 3)]);
    let refused = count_sign_offs(&bundle(), &signed);
    let brahim = OperatorName::from("brahim");
    assert_eq!(refused, Err(SignError::WrongSignature(brahim)));
}

#[test]
fn stranger_is_refused() {
    let signed = signed(&[("amina", 1), ("zineb", 2)]);
    let refused = count_sign_offs(&bundle(), &signed);
    let zineb = OperatorName::from("zineb");
    assert_eq!(refused, Err(SignError::UnknownOperator(zineb)));
}

#[test]
fn signature_over_another_change_is_refused() {
    let mut signed = signed(&[("amina", 1), ("brahim", 2)]);
    signed.change.version = 3;
    assert!(count_sign_offs(&bundle(), &signed).is_err());
}

#[test]
fn operator_key_must_be_hexadecimal() {
    let mut base = bundle();
    let broken = Operator {
        public_key: "x".to_owned(),
    };
    base.operators.insert(OperatorName::from("amina"), broken);
    let refused = count_sign_offs(&base, &signed(&[("amina", 1), ("brahim", 2)]));
    assert_eq!(refused, Err(SignError::WrongKey));
}
