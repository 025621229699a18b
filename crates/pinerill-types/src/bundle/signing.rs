//! Operators' signatures over a change.

use std::collections::BTreeSet;

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};

use super::change::BundleChange;
use super::document::Bundle;
use crate::id::OperatorName;

/// First bytes of every signed message.
const SIGNING_DOMAIN: &[u8] = b"pinerill-sign-off-1";

/// One operator's signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignOff {
    /// Who signed.
    pub operator: OperatorName,
    /// Ed25519 signature over [`signing_message`], 128 hexadecimal digits.
    pub signature: String,
}

/// A change with the signatures gathered so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedChange {
    /// The change.
    pub change: BundleChange,
    /// Who signed it.
    pub sign_offs: Vec<SignOff>,
}

/// Why a change's signatures don't suffice.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SignError {
    /// No such operator in the bundle in force.
    #[error("operator `{0}` is not in the bundle in force")]
    UnknownOperator(OperatorName),
    /// The signature is not the operator's over this change.
    #[error("the signature of operator `{0}` does not fit this change")]
    WrongSignature(OperatorName),
    /// A key is not 64 hexadecimal digits of a valid key.
    #[error("the key is not a valid ed25519 key of 64 hexadecimal digits")]
    WrongKey,
    /// Too few distinct operators signed.
    #[error("{found} of {wanted} sign-offs")]
    TooFew {
        /// How many the bundle in force asks for.
        wanted: u32,
        /// How many distinct operators signed.
        found: u32,
    },
}

/// The bytes that an operator signs: version, base and result.
pub fn signing_message(change: &BundleChange) -> Vec<u8> {
    let mut message = SIGNING_DOMAIN.to_vec();
    message.extend_from_slice(&change.version.to_be_bytes());
    message.extend_from_slice(&change.base.0);
    message.extend_from_slice(&change.digest.0);
    message
}

/// Parses a secret key of 64 hexadecimal digits.
///
/// # Errors
/// [`SignError::WrongKey`] for anything else.
pub fn signing_key_from_hex(text: &str) -> Result<SigningKey, SignError> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| SignError::WrongKey)?;
    Ok(SigningKey::from_bytes(&bytes))
}

impl SignedChange {
    /// Adds (or replaces) the signature of `operator`.
    pub fn sign(&mut self, operator: OperatorName, key: &SigningKey) {
        let signature = key.sign(&signing_message(&self.change));
        self.sign_offs
            .retain(|sign_off| sign_off.operator != operator);
        self.sign_offs.push(SignOff {
            operator,
            signature: hex::encode(signature.to_bytes()),
        });
    }
}

/// Verifies the signatures with the keys of the bundle in force and counts
/// distinct operators.
///
/// # Errors
/// When a signature is wrong or fewer operators signed than `base` asks for.
pub fn count_sign_offs(base: &Bundle, signed: &SignedChange) -> Result<u32, SignError> {
    let message = signing_message(&signed.change);
    let mut operators = BTreeSet::new();
    for sign_off in &signed.sign_offs {
        verify(base, sign_off, &message)?;
        operators.insert(&sign_off.operator);
    }
    let found = operators.len() as u32;
    let wanted = base.policy.sign_offs;
    if found < wanted {
        return Err(SignError::TooFew { wanted, found });
    }
    Ok(found)
}

fn verify(base: &Bundle, sign_off: &SignOff, message: &[u8]) -> Result<(), SignError> {
    let name = &sign_off.operator;
    let operator = base
        .operators
        .get(name)
        .ok_or_else(|| SignError::UnknownOperator(name.clone()))?;
    let mut key_bytes = [0; 32];
    hex::decode_to_slice(&operator.public_key, &mut key_bytes).map_err(|_| SignError::WrongKey)?;
    let key = VerifyingKey::from_bytes(&key_bytes).map_err(|_| SignError::WrongKey)?;
    let mut signature_bytes = [0; 64];
    hex::decode_to_slice(&sign_off.signature, &mut signature_bytes)
        .map_err(|_| SignError::WrongSignature(name.clone()))?;
    let signature = Signature::from_bytes(&signature_bytes);
    key.verify(message, &signature)
        .map_err(|_| SignError::WrongSignature(name.clone()))
}
