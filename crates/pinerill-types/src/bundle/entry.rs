//! Keyed entries of a bundle and the digest over them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::document::{Bundle, Model, Operator, Policy, Service, Tenant};
use super::tree::EntryTree;
use crate::id::{Digest, ModelName, OperatorName, ServiceName, TenantName};

/// The section that an entry belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// The policy; one entry with an empty name.
    Policy,
    /// An operator.
    Operator,
    /// A model.
    Model,
    /// A service.
    Service,
    /// A tenant.
    Tenant,
}

/// Names one entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// Its section.
    pub kind: EntryKind,
    /// Its name within the section.
    pub name: String,
}

/// One entry: its key and its value as JSON with fields in declared order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Which entry.
    pub key: EntryKey,
    /// The value, JSON.
    pub value: String,
}

impl Bundle {
    /// All entries by key.
    pub fn entries(&self) -> BTreeMap<EntryKey, String> {
        self.iter_entries().collect()
    }

    /// All entries, one after the other.
    pub fn iter_entries(&self) -> impl Iterator<Item = (EntryKey, String)> + '_ {
        let policy = std::iter::once(entry_of(EntryKind::Policy, "", &self.policy));
        let operators = self.operators.iter();
        let operators =
            operators.map(|(name, one)| entry_of(EntryKind::Operator, name.as_str(), one));
        let models = self.models.iter();
        let models = models.map(|(name, one)| entry_of(EntryKind::Model, name.as_str(), one));
        let services = self.services.iter();
        let services = services.map(|(name, one)| entry_of(EntryKind::Service, name.as_str(), one));
        let tenants = self.tenants.iter();
        let tenants = tenants.map(|(name, one)| entry_of(EntryKind::Tenant, name.as_str(), one));
        policy
            .chain(operators)
            .chain(models)
            .chain(services)
            .chain(tenants)
    }

    /// Value of one entry as JSON; none when there is no such entry.
    pub fn entry(&self, key: &EntryKey) -> Option<String> {
        let name = key.name.as_str();
        match key.kind {
            EntryKind::Policy if name.is_empty() => Some(value_of(&self.policy)),
            EntryKind::Policy => None,
            EntryKind::Operator => self.operators.get(&OperatorName::from(name)).map(value_of),
            EntryKind::Model => self.models.get(&ModelName::from(name)).map(value_of),
            EntryKind::Service => self.services.get(&ServiceName::from(name)).map(value_of),
            EntryKind::Tenant => self.tenants.get(&TenantName::from(name)).map(value_of),
        }
    }

    /// Digest over the version and every entry.
    ///
    /// Hashes the whole bundle; [`super::IndexedBundle`] keeps the digest.
    pub fn digest(&self) -> Digest {
        EntryTree::new(self.iter_entries()).root(self.version)
    }

    /// Sets one entry from its JSON value.
    ///
    /// # Errors
    /// The parser's message when the value is not of the section's type.
    pub fn set_entry(&mut self, entry: &Entry) -> Result<(), serde_json::Error> {
        let name = entry.key.name.as_str();
        match entry.key.kind {
            EntryKind::Policy => {
                self.policy = serde_json::from_str::<Policy>(&entry.value)?;
            }
            EntryKind::Operator => {
                let value = serde_json::from_str::<Operator>(&entry.value)?;
                self.operators.insert(OperatorName::from(name), value);
            }
            EntryKind::Model => {
                let value = serde_json::from_str::<Model>(&entry.value)?;
                self.models.insert(ModelName::from(name), value);
            }
            EntryKind::Service => {
                let value = serde_json::from_str::<Service>(&entry.value)?;
                self.services.insert(ServiceName::from(name), value);
            }
            EntryKind::Tenant => {
                let value = serde_json::from_str::<Tenant>(&entry.value)?;
                self.tenants.insert(TenantName::from(name), value);
            }
        }
        Ok(())
    }

    /// Removes one entry; the policy returns to its defaults.
    pub fn remove_entry(&mut self, key: &EntryKey) {
        let name = key.name.as_str();
        match key.kind {
            EntryKind::Policy => self.policy = Policy::default(),
            EntryKind::Operator => {
                self.operators.remove(&OperatorName::from(name));
            }
            EntryKind::Model => {
                self.models.remove(&ModelName::from(name));
            }
            EntryKind::Service => {
                self.services.remove(&ServiceName::from(name));
            }
            EntryKind::Tenant => {
                self.tenants.remove(&TenantName::from(name));
            }
        }
    }
}

fn entry_of<T: Serialize>(kind: EntryKind, name: &str, value: &T) -> (EntryKey, String) {
    let key = EntryKey {
        kind,
        name: name.to_owned(),
    };
    (key, value_of(value))
}

fn value_of<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("bundle values are plain data")
}
