//! What is sent.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use trouttrack_config::fleet::{Part, Root};
use trouttrack_core::claims::Claim;
use trouttrack_core::{ConfigVersion, OrganisationId, Outcome, RequestId, ServiceId, UpstreamId};

/// Grows whenever a message changes its form.
pub const PROTOCOL: u32 = 1;

/// The first message of a connection, both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol that the sender speaks.
    pub protocol: u32,
    /// The sender's name.
    pub name: String,
}

/// A whole configuration, as it stands in the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Version of the root object in the platform's service.
    pub object_version: u64,
    /// The root.
    pub root: Root,
    /// Every part that it names.
    pub parts: Vec<Part>,
}

/// How a gateway is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub failure_domain: String,
    /// The configuration in force there.
    pub config_version: ConfigVersion,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether the platform answers it.
    pub platform_answers: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that wait to be placed.
    pub queued: u32,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// It waits to be placed.
    Queued,
    /// An upstream has it.
    Running,
}

/// A request in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestInfo {
    /// The id that the caller was given.
    pub id: RequestId,
    /// The gateway that serves it.
    pub gateway: String,
    /// Whose it is.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// Its class; 0 is the most urgent.
    pub priority: u8,
    /// Where it stands.
    pub state: RequestState,
    /// The upstream that has it.
    pub upstream: Option<UpstreamId>,
    /// How long it has been here.
    pub age: Duration,
}

/// A gateway's view of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// The upstream.
    pub name: UpstreamId,
    /// The gateway whose view it is.
    pub gateway: String,
    /// Hand-overs of that gateway that have not ended.
    pub own_running: u32,
    /// Requests estimated to run there.
    pub running: u32,
    /// Forecast memory over capacity.
    pub fill: f64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// `closed`, `open` or `half-open`.
    pub circuit: String,
    /// Age of the last load report.
    pub report_age: Option<Duration>,
}

/// What became of a claim that a peer was asked to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The key is the request's.
    Won,
    /// The key was claimed before.
    Known(Claim),
    /// It cannot be confirmed; the claim may or may not stand.
    Unconfirmed(String),
}

/// What the gateway that won a claim knows of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimedState {
    /// Its stream can be attached to by this handle.
    Stream(String),
    /// It waits, or runs at an upstream that cannot be attached to.
    InProgress,
    /// It ended with this outcome; its answer is not kept.
    Ended(Outcome),
    /// It was given up before it was handed over, and will not be.
    GivenUp,
    /// Nothing is known of it.
    Unknown,
}
