//! What a node does with the answer of its zone lender: it applies what was lent, and asks the
//! leader for requests that still wait.

use crate::message::{Shortage, TenantAsk, TenantLoan};

/// A zone lender's answer, divided.
#[derive(Debug, Default)]
pub struct FollowUp {
    /// Asks to which the zone lender's answer is final for now, and their loans, for
    /// [`crate::borrower::Borrower::apply_loans`].
    pub answered: (Vec<TenantAsk>, Vec<TenantLoan>),
    /// Asks for the leader, for requests that still wait. Its loans are applied by
    /// [`crate::borrower::Borrower::apply_urgent`] after [`combined`].
    pub asks: Vec<TenantAsk>,
    /// What applies to `asks` if the leader is silent: `None` if the zone lender has no part.
    pub without_leader: Vec<Option<TenantLoan>>,
}

/// Divides a zone lender's answer. `loans` are in the order of `asks`, `None` for tenants of
/// which it has no part.
pub fn follow_up(asks: Vec<TenantAsk>, loans: &[Option<TenantLoan>]) -> FollowUp {
    let mut result = FollowUp::default();
    for (ask, loan) in asks.into_iter().zip(loans) {
        let lent = loan.map_or(0, |loan| loan.urgent);
        let waiting = ask.urgent.saturating_sub(lent);
        let is_final = loan.is_some_and(|loan| loan.shortage == Some(Shortage::NoLimit));
        if waiting > 0 && !is_final {
            result.asks.push(TenantAsk {
                tenant: ask.tenant.clone(),
                held: 0,
                returned: 0,
                urgent: waiting,
                ahead: 0,
            });
            result.without_leader.push(loan.map(|loan| TenantLoan {
                urgent: 0,
                ahead: 0,
                shortage: loan.shortage,
            }));
        }
        if let Some(loan) = loan {
            let shortage = loan.shortage.filter(|_| is_final);
            result.answered.0.push(ask);
            result.answered.1.push(TenantLoan { shortage, ..*loan });
        }
    }
    result
}

/// Returns the loans to apply after the leader answered [`FollowUp::asks`]: the limit is reached
/// until the first of both lenders has a token.
pub fn combined(
    from_leader: &[TenantLoan],
    without_leader: &[Option<TenantLoan>],
) -> Vec<TenantLoan> {
    let both = from_leader.iter().zip(without_leader);
    both.map(|(leader, zone)| {
        let zone = zone.and_then(|loan| loan.shortage);
        let shortage = match (leader.shortage, zone) {
            (
                Some(Shortage::LimitReached { next_ms }),
                Some(Shortage::LimitReached { next_ms: of_zone }),
            ) => Some(Shortage::LimitReached {
                next_ms: next_ms.min(of_zone),
            }),
            (shortage, _) => shortage,
        };
        TenantLoan {
            shortage,
            ..*leader
        }
    })
    .collect()
}
