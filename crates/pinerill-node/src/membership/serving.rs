//! Which engines serve a service while versions change. Pure.
//!
//! As long as fewer than half of the engines that hold a model have the
//! version of the bundle ready, those with another version serve as well, so
//! that a change of version leaves no gap and does not crowd the few engines
//! that are ahead.

use super::report::{EngineReport, Role};
use crate::configuration::ServicePlan;

/// What an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holding {
    /// Its role.
    pub role: Role,
    /// `model@version` of the models that are ready.
    pub models: Vec<String>,
    /// `adapter@version` of the adapters that are ready.
    pub adapters: Vec<String>,
}

/// The names under which an engine serves a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// `model@version`
    pub model: String,
    /// `adapter@version`
    pub adapter: Option<String>,
    /// Both are the versions of the bundle.
    pub exact: bool,
}

impl Holding {
    /// Takes over what a report says. Returns whether it differs.
    pub(super) fn take(&mut self, report: &EngineReport) -> bool {
        let same = self.role == report.role
            && self.models == report.models
            && self.adapters == report.adapters;
        if !same {
            *self = Self {
                role: report.role,
                models: report.models.clone(),
                adapters: report.adapters.clone(),
            };
        }
        !same
    }

    /// What it holds of a service's model and adapter, if it has both in some
    /// version.
    pub fn serves(&self, plan: &ServicePlan) -> Option<Served> {
        let model = held_version(&self.models, &plan.model)?;
        let adapter = match &plan.adapter {
            Some(adapter) => Some(held_version(&self.adapters, adapter)?),
            None => None,
        };
        let exact = *model == plan.model && adapter == plan.adapter.as_ref();
        Some(Served {
            model: model.clone(),
            adapter: adapter.cloned(),
            exact,
        })
    }
}

/// The wanted version if it is held, or else another one of the same name.
fn held_version<'a>(held: &'a [String], wanted: &str) -> Option<&'a String> {
    let exact = held.iter().find(|one| *one == wanted);
    exact.or_else(|| held.iter().rev().find(|one| base(one) == base(wanted)))
}

fn base(name: &str) -> &str {
    name.split_once('@').map_or(name, |(base, _)| base)
}

/// Of all holders that take new work, those that serve now.
pub fn select_serving<T>(holders: Vec<(T, Served)>) -> Vec<(T, Served)> {
    let exact = holders.iter().filter(|(_, served)| served.exact).count();
    if exact * 2 < holders.len() {
        return holders;
    }
    let ready = holders.into_iter().filter(|(_, served)| served.exact);
    ready.collect()
}
