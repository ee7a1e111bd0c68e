//! The routes of the configurations, and the services that they lead to.

use std::time::Duration;
use trouttrack_core::ConfigVersion;
use trouttrack_core::fleet::{Route, RouteKind, Share};

/// The host of every route.
pub(crate) const HOST: &str = "desk.example";
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

    /// The target of its requests.
    #[must_use]
    pub fn target(self) -> String {
        format!("{}x", self.prefix())
    }

    /// The route as it stands in configurations.
    pub(super) fn route(self) -> Route {
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
