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
    /// Streams with long prompts and time to spare.
    Patient,
    /// Streams whose first token is due soon.
    Urgent,
    /// Streams of long events, whose callers read slowly or not at all.
    Long,
    /// Plain calls on the route that only one version of the configuration has.
    Marker(ConfigVersion),
}

impl RouteName {
    /// Those that callers ask all the time; every configuration has them.
    pub const LASTING: [Self; 4] = [Self::Many, Self::Once, Self::Resume, Self::Draft];

    /// Those of hard load, which every configuration has as well.
    pub(super) const HARD_LOAD: [Self; 3] = [Self::Patient, Self::Urgent, Self::Long];

    /// Whether every configuration has it.
    #[must_use]
    pub fn is_lasting(self) -> bool {
        !matches!(self, Self::Marker(_))
    }

    /// What its paths begin with.
    #[must_use]
    pub fn prefix(self) -> String {
        match self {
            Self::Many => "/many/".to_owned(),
            Self::Once => "/once/".to_owned(),
            Self::Resume => "/resume/".to_owned(),
            Self::Draft => "/draft/".to_owned(),
            Self::Patient => "/patient/".to_owned(),
            Self::Urgent => "/urgent/".to_owned(),
            Self::Long => "/long/".to_owned(),
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
            Self::Draft | Self::Patient | Self::Urgent | Self::Long => RouteKind::Stream {
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

    fn objective(self) -> Duration {
        Duration::from_millis(match self {
            Self::Patient => 4000,
            Self::Urgent => 500,
            _ => 1000,
        })
    }

    fn priority(self) -> u8 {
        match self {
            Self::Patient => 3,
            Self::Urgent => 0,
            other => u8::from(other.kind().is_stream()),
        }
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
            objective: self.objective(),
            priority: self.priority(),
            shares: vec![Share {
                service: service.to_owned(),
                weight: 1.0,
            }],
            max_attempts: if kind.repeatable() { 2 } else { 1 },
            public: false,
        }
    }
}
