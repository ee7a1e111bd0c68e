//! The configurations that are put in the store.

use super::routes::{ENGINES, PLAIN, RouteName};
use std::time::Instant;
use trouttrack_core::ConfigVersion;
use trouttrack_core::fleet::{EngineSpec, FleetConfig, Organisation, ServiceSpec};

/// The only organisation.
pub const ORGANISATION: &str = "alpha";
/// The key that every configuration has.
pub const LASTING_KEY: &str = "key-that-stays";

/// A key, and when it was taken away.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key.
    pub text: String,
    /// When the configuration without it was acknowledged.
    pub removed: Option<Instant>,
}

/// The configurations so far.
#[derive(Debug)]
pub(crate) struct Configs {
    newest: FleetConfig,
    /// When each version was acknowledged.
    pub(crate) acknowledged: Vec<(ConfigVersion, Instant)>,
    /// The keys that come and go, the oldest first.
    pub(crate) passing_keys: Vec<Key>,
}

impl Configs {
    /// The first one.
    #[must_use]
    pub(super) fn first() -> Self {
        let mut configs = Self {
            newest: FleetConfig {
                version: 1,
                services: services(),
                ..FleetConfig::default()
            },
            acknowledged: Vec::new(),
            passing_keys: Vec::new(),
        };
        configs.add_key();
        configs.refresh();
        configs.acknowledged();
        configs
    }

    /// The newest one.
    #[must_use]
    pub(crate) fn newest(&self) -> &FleetConfig {
        &self.newest
    }

    /// Makes another version, with a route that only it has.
    pub(crate) fn next(&mut self) {
        self.newest.version += 1;
        self.refresh();
    }

    /// Makes another version without the newest passing key.
    pub(crate) fn revoke(&mut self) {
        self.add_key();
        self.next();
    }

    /// The newest version was acknowledged by the store.
    pub(super) fn acknowledged(&mut self) {
        let now = Instant::now();
        self.acknowledged.push((self.newest.version, now));
        let removed = self.passing_keys.iter_mut().rev().skip(1);
        for key in removed.filter(|k| k.removed.is_none()) {
            key.removed = Some(now);
        }
    }

    fn add_key(&mut self) {
        let number = self.passing_keys.len() + 1;
        self.passing_keys.push(Key {
            text: format!("key-{number}"),
            removed: None,
        });
    }

    fn refresh(&mut self) {
        let marker = RouteName::Marker(self.newest.version);
        let names = RouteName::LASTING.into_iter().chain(RouteName::HARD_LOAD);
        let names = names.chain([marker]);
        self.newest.routes = names.map(RouteName::route).collect();
        let passing = self.passing_keys.last().map(|k| k.text.clone());
        let keys = [LASTING_KEY.to_owned()].into_iter().chain(passing);
        self.newest.organisations = Some(vec![Organisation {
            name: ORGANISATION.to_owned(),
            keys: keys.collect(),
            priority: None,
        }]);
    }
}

/// Requests a second that a cold upstream bears: few enough to bind here.
pub const COLD_RATE: f64 = 4.0;

fn services() -> Vec<ServiceSpec> {
    let engine = EngineSpec {
        memory_tokens: 34_000,
        bytes_per_token: 131_072.0,
        link_bytes_per_second: 2.4e9,
        moves: true,
        backups: true,
        tokens_per_event: 4,
    };
    [(PLAIN, None), (ENGINES, Some(engine))]
        .into_iter()
        .map(|(name, engine)| ServiceSpec {
            name: name.to_owned(),
            max_connections: Some(100),
            cold_rate: COLD_RATE,
            engine,
        })
        .collect()
}
