//! The configuration as it is now.

use crate::gateways::Gateways;
use trouttrack_config::fleet::{FleetView, Part, join};
use trouttrack_state::ConfigStore;
use trouttrack_state::config_store::{StoreError, Stored};

/// Where the controller's view of the configuration comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's service: it is the newest there is.
    Platform,
    /// The gateways, while the platform does not answer.
    Gateways,
}

/// A configuration with its origin.
#[derive(Clone, Debug)]
pub struct Current {
    /// The configuration.
    pub view: FleetView,
    /// Its root in the platform's service.
    pub stored: Stored,
    /// Its parts.
    pub parts: Vec<Part>,
    /// Where it comes from.
    pub origin: Origin,
}

impl Current {
    /// Reads the configuration from the platform.
    ///
    /// # Errors
    ///
    /// The platform gave no answer, or what it holds cannot be used.
    pub async fn from_platform(store: &ConfigStore, known: &[Part]) -> Result<Self, StoreError> {
        let stored = store.root().await?;
        let parts = store.parts(&stored.root, known).await?;
        let view = FleetView::new(stored.root.clone(), join(&stored.root, &parts)?);
        Ok(Self {
            view,
            stored,
            parts,
            origin: Origin::Platform,
        })
    }

    /// Reads it from the platform, or from the gateways in an outage.
    ///
    /// # Errors
    ///
    /// Neither has it.
    pub async fn best(store: &ConfigStore, gateways: &Gateways) -> Result<Self, StoreError> {
        let error = match Self::from_platform(store, &[]).await {
            Ok(current) => return Ok(current),
            Err(e) => e,
        };
        let answers = gateways
            .call_all(async |client, cx| client.config(cx).await)
            .await;
        let newest = answers
            .into_iter()
            .filter_map(|a| a.result.ok().flatten())
            .max_by_key(|b| b.root.version);
        let Some(bundle) = newest else {
            return Err(error);
        };
        Ok(Self {
            view: FleetView::new(bundle.root.clone(), join(&bundle.root, &bundle.parts)?),
            stored: Stored {
                object_version: bundle.object_version,
                root: bundle.root,
            },
            parts: bundle.parts,
            origin: Origin::Gateways,
        })
    }
}
