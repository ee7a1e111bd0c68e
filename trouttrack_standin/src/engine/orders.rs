//! Fenced orders to an engine.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum OrderKind {
    /// Fetch and load a model.
    LoadModel {
        /// Its name.
        model: String,
        /// Its version.
        version: String,
    },
    /// Fetch and load an adapter.
    LoadAdapter {
        /// Its name.
        adapter: String,
    },
    /// Change role.
    ChangeRole {
        /// The new role.
        role: String,
    },
}

/// An order with its fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch of the lease under which it was given.
    pub epoch: u64,
    /// What it asks for.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What an engine holds by orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderLog {
    /// The highest epoch seen.
    pub epoch: u64,
    /// Models and versions that are loaded.
    pub models: BTreeSet<String>,
    /// Adapters that are loaded.
    pub adapters: BTreeSet<String>,
    /// The role.
    pub role: String,
    /// Orders obeyed, oldest first.
    pub obeyed: Vec<Order>,
}

impl OrderLog {
    /// Obeys an order unless its epoch is old and `checks` is on. Returns
    /// whether it was obeyed, and whether weights must be fetched.
    pub(super) fn take(&mut self, order: Order, checks: bool) -> Option<bool> {
        if checks && order.epoch < self.epoch {
            return None;
        }
        self.epoch = self.epoch.max(order.epoch);
        let fetch = match &order.kind {
            OrderKind::LoadModel { model, version } => {
                self.models.insert(format!("{model}@{version}"))
            }
            OrderKind::LoadAdapter { adapter } => self.adapters.insert(adapter.clone()),
            OrderKind::ChangeRole { role } => {
                self.role.clone_from(role);
                false
            }
        };
        self.obeyed.push(order);
        Some(fetch)
    }
}
