//! The entities of a fleet's configuration.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use trouttrack_core::request::Delivery;
use trouttrack_core::{FailureDomain, OrganisationId, ServiceId, UpstreamId};

/// A caller's key, as the SHA-256 of its text in hex; the text is not kept.
pub type KeyHash = String;

/// Hashes a key.
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::hash_key;
/// assert_eq!(hash_key("k").len(), 64);
/// ```
#[must_use]
pub fn hash_key(key: &str) -> KeyHash {
    hex(&Sha256::digest(key.as_bytes()))
}

pub(super) fn hex(bytes: &[u8]) -> String {
    use fmt::Write as _;
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

/// How urgent a service's requests are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Someone waits at a counter; a reserve is kept for it.
    Urgent,
    /// Before the ordinary.
    High,
    /// The ordinary.
    #[default]
    Normal,
    /// May wait.
    Low,
}

impl Priority {
    /// Every priority with its name, most urgent first.
    pub const NAMES: [(Self, &'static str); 4] = [
        (Self::Urgent, "urgent"),
        (Self::High, "high"),
        (Self::Normal, "normal"),
        (Self::Low, "low"),
    ];

    /// The class of the queue; 0 is the most urgent.
    #[must_use]
    pub fn class(self) -> u8 {
        self as u8
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(Self::NAMES[self.class() as usize].1)
    }
}

impl FromStr for Priority {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        Self::NAMES
            .iter()
            .find(|(_, name)| *name == s)
            .map(|(p, _)| *p)
            .ok_or_else(|| "must be urgent, high, normal or low".to_owned())
    }
}

/// What runs a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine.
    #[default]
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A service that callers ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name; callers give it as `model`, or in the path.
    pub name: ServiceId,
    /// What runs it.
    pub kind: ServiceKind,
    /// The model that engines are asked for.
    #[serde(default)]
    pub model: String,
    /// How urgent it is.
    #[serde(default)]
    pub priority: Priority,
    /// When tokens are passed on.
    #[serde(default)]
    pub delivery: Delivery,
    /// Whether its requests may be run more than once.
    pub repeatable: bool,
    /// How long a request may wait to be placed.
    #[serde(with = "humantime_serde")]
    pub queue_deadline: Duration,
    /// The most tokens that a caller may ask for.
    pub max_tokens: u64,
}

/// An organisation whose callers use the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Its keys, hashed.
    pub keys: Vec<KeyHash>,
    /// Its weight in the fair share.
    pub weight: f64,
    /// The most of its requests that run at once through one gateway.
    #[serde(default)]
    pub max_running: Option<usize>,
}

/// An engine or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamId,
    /// Its base URL, by IP number.
    pub url: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The services that it runs.
    pub services: Vec<ServiceId>,
    /// Token memory of an engine; 0 for a plain service.
    #[serde(default)]
    pub capacity_tokens: u64,
    /// The most requests that it runs at once.
    pub max_running: usize,
    /// Whether it checks the epoch of an order.
    #[serde(default = "yes")]
    pub checks_fence: bool,
    /// Whether it gets no new work.
    #[serde(default)]
    pub draining: bool,
}

fn yes() -> bool {
    true
}

/// Where a rule sends a share of what it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its share against the other targets.
    pub weight: u32,
}

/// A routing rule; rules are tried in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// The model or service that the caller asks for; any if not given.
    #[serde(default)]
    pub asked: Option<String>,
    /// The caller's organisation; any if not given.
    #[serde(default)]
    pub organisation: Option<OrganisationId>,
    /// Where it sends requests.
    pub to: Vec<Target>,
    /// The priority that it gives them, instead of the service's.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// A failure domain whose upstreams get no new work; what runs there ends there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// The failure domain.
    pub name: FailureDomain,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Services, by name.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Organisations, by name.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Upstreams, by name.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// Routing rules, by name.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Evacuated failure domains, by name.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
}

impl Fleet {
    /// Orders every list by name, so that equal fleets have equal parts.
    pub fn sort(&mut self) {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.organisations.sort_by(|a, b| a.name.cmp(&b.name));
        self.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        self.rules.sort_by(|a, b| a.name.cmp(&b.name));
        self.evacuations.sort_by(|a, b| a.name.cmp(&b.name));
    }
}
