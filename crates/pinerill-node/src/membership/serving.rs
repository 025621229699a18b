//! Selects the engines that serve a service during a version change.
//!
//! Performs no I/O. While fewer than half of the engines that have the model
//! loaded have the version of the bundle, engines with another version serve
//! as well. This avoids an outage during the change and does not overload the
//! few engines that already have the new version.

use super::report::{EngineReport, Role};
use crate::configuration::ServicePlan;

/// Role of an engine and the models and adapters it has loaded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineCapabilities {
    /// Role in the last report; `Both` before the first one.
    pub role: Role,
    /// Loaded models as `model@version`.
    pub models: Vec<String>,
    /// Loaded adapters as `adapter@version`.
    pub adapters: Vec<String>,
}

/// Versions of a service's model and adapter that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// Loaded model as `model@version`.
    pub model: String,
    /// Loaded adapter as `adapter@version`; None if the service has none.
    pub adapter: Option<String>,
    /// Whether model and adapter both have the version of the bundle.
    pub exact: bool,
}

impl EngineCapabilities {
    /// Replaces the state by that of a load report. Returns whether it changed.
    pub(super) fn update(&mut self, report: &EngineReport) -> bool {
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

    /// Returns the loaded versions of the service's model and adapter. None if
    /// either one is not loaded in any version.
    pub fn serves(&self, plan: &ServicePlan) -> Option<Served> {
        let model = loaded_version(&self.models, &plan.model)?;
        let adapter = match &plan.adapter {
            Some(adapter) => Some(loaded_version(&self.adapters, adapter)?),
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

/// Finds the wanted `name@version` among the loaded ones, or else the last one
/// of the same name. None if no version is loaded.
fn loaded_version<'a>(loaded: &'a [String], wanted: &str) -> Option<&'a String> {
    let exact = loaded.iter().find(|one| *one == wanted);
    exact.or_else(|| {
        loaded
            .iter()
            .rev()
            .find(|one| base_name(one) == base_name(wanted))
    })
}

fn base_name(name: &str) -> &str {
    name.split_once('@').map_or(name, |(base, _)| base)
}

/// Selects the engines that serve a service from all that have its model
/// loaded and take new work. Returns all of them while fewer than half have the
/// exact version, and then only those with the exact version.
pub fn select_serving<T>(engines: Vec<(T, Served)>) -> Vec<(T, Served)> {
    let exact = engines.iter().filter(|(_, served)| served.exact).count();
    if exact * 2 < engines.len() {
        return engines;
    }
    let ready = engines.into_iter().filter(|(_, served)| served.exact);
    ready.collect()
}
