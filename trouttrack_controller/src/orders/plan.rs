//! What an engine should be told.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use trouttrack_config::fleet::{FleetView, ServiceKind, Upstream};
use trouttrack_core::lease::Epoch;

/// The version that is loaded while the configuration names none.
const VERSION: &str = "current";

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
}

/// An order with its fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch of the lease under which it is given.
    pub epoch: Epoch,
    /// What it asks for.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The orders that an engine still needs, given the models (`NAME@VERSION`)
/// that it says it has loaded.
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::FleetView;
/// use trouttrack_controller::orders::missing;
/// let view = FleetView::default();
/// assert!(view.fleet.upstreams.iter().all(|u| missing(&view, u, &Default::default()).is_empty()));
/// ```
#[must_use]
pub fn missing(view: &FleetView, upstream: &Upstream, loaded: &BTreeSet<String>) -> Vec<OrderKind> {
    let services = upstream.services.iter().filter_map(|s| view.service(s));
    let models: BTreeSet<&str> = services
        .filter(|s| s.kind == ServiceKind::Model)
        .map(|s| s.model.as_str())
        .collect();
    models
        .into_iter()
        .filter(|m| !loaded.contains(&format!("{m}@{VERSION}")))
        .map(|m| OrderKind::LoadModel {
            model: m.to_owned(),
            version: VERSION.to_owned(),
        })
        .collect()
}
