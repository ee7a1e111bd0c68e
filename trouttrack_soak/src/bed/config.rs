//! The configurations that are put in the store.

use std::time::{Duration, Instant};
use trouttrack_core::ConfigVersion;
use trouttrack_core::fleet::{
    EngineSpec, FleetConfig, Organisation, Route, RouteKind, ServiceSpec, Share,
};

/// The host of every route.
pub const HOST: &str = "desk.example";
/// The only organisation.
pub const ORGANISATION: &str = "alpha";
/// The key that every configuration has.
pub const LASTING_KEY: &str = "key-that-stays";
/// The plain service.
pub(super) const PLAIN: &str = "quotes";
/// The service of engines.
pub(crate) const ENGINES: &str = "drafts";
/// How long a request may be held.
const TIMEOUT: Duration = Duration::from_secs(6);

/// A route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteName {
    /// Plain calls that may be repeated.
    Many,
    /// Plain calls that may not.
    Once,
    /// Streams that may be taken up again.
    Resume,
    /// Streams that may not.
    Draft,
    /// Plain calls on the route that only one version of the configuration has.
    Marker(ConfigVersion),
}

impl RouteName {
    /// Those that every configuration has.
    pub const LASTING: [Self; 4] = [Self::Many, Self::Once, Self::Resume, Self::Draft];

    /// What its paths begin with.
    #[must_use]
    pub fn prefix(self) -> String {
        match self {
            Self::Many => "/many/".to_owned(),
            Self::Once => "/once/".to_owned(),
            Self::Resume => "/resume/".to_owned(),
            Self::Draft => "/draft/".to_owned(),
            Self::Marker(version) => format!("/v{version}/"),
        }
    }

    /// What its requests are.
    #[must_use]
    pub fn kind(self) -> RouteKind {
        let longest_pause = Some(Duration::from_millis(200));
        match self {
            Self::Many | Self::Marker(_) => RouteKind::Plain { repeatable: true },
            Self::Once => RouteKind::Plain { repeatable: false },
            Self::Resume => RouteKind::Stream {
                resumable: true,
                longest_pause,
            },
            Self::Draft => RouteKind::Stream {
                resumable: false,
                longest_pause,
            },
        }
    }

    fn route(self) -> Route {
        let kind = self.kind();
        let service = if kind.is_stream() { ENGINES } else { PLAIN };
        Route {
            name: self.prefix().trim_matches('/').to_owned(),
            host: HOST.to_owned(),
            path_prefix: self.prefix(),
            kind,
            timeout: TIMEOUT,
            objective: Duration::from_secs(1),
            priority: u8::from(kind.is_stream()),
            shares: vec![Share {
                service: service.to_owned(),
                weight: 1.0,
            }],
            max_attempts: if kind.repeatable() { 2 } else { 1 },
            public: false,
        }
    }
}

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
pub struct Configs {
    newest: FleetConfig,
    /// When each version was acknowledged.
    pub acknowledged: Vec<(ConfigVersion, Instant)>,
    /// The keys that come and go, the oldest first.
    pub passing_keys: Vec<Key>,
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
    pub fn newest(&self) -> &FleetConfig {
        &self.newest
    }

    /// The key that every configuration has.
    #[must_use]
    pub fn lasting_key(&self) -> &'static str {
        LASTING_KEY
    }

    /// Makes another version, with a route that only it has.
    pub fn next(&mut self) {
        self.newest.version += 1;
        self.refresh();
    }

    /// Makes another version without the newest passing key.
    pub fn revoke(&mut self) {
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
        let names = RouteName::LASTING.into_iter().chain([marker]);
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
            engine,
        })
        .collect()
}
