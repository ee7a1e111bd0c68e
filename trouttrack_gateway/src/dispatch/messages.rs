//! What can be said to the dispatcher.

use super::ticket::Placement;
use actix::Message;
use std::time::Duration;
use tokio::sync::oneshot;
use trouttrack_core::membership::{Evacuations, UpstreamUse};
use trouttrack_core::routing::Explanation;
use trouttrack_core::upstream::{LoadReport, UpstreamSpec};
use trouttrack_core::world::{NotRunReason, RequestKey, Submission};
use trouttrack_core::{FailureDomain, RequestId, UpstreamId};
use trouttrack_rpc::{RequestInfo, UpstreamInfo};

/// A request is not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRunReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Puts a request in the queue.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Submit {
    /// The request.
    pub submission: Submission,
    /// Whether it has been placed before.
    pub again: bool,
    /// Gets the placement, or the refusal.
    pub reply: oneshot::Sender<Result<Placement, Refusal>>,
}

/// An attempt is over.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Ended {
    /// The row.
    pub key: RequestKey,
    /// Whether it failed in a way that speaks against the upstream.
    pub fault: bool,
    /// Whether the upstream turned it away.
    pub refused: bool,
    /// The whole length, when the answer ended by itself.
    pub tokens: Option<u64>,
}

/// A new configuration's upstreams.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Configure {
    /// The upstreams.
    pub specs: Vec<UpstreamSpec>,
    /// The failure domains whose upstreams get no new work.
    pub evacuations: Evacuations,
}

/// An upstream's load report.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Reported {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The report; its `at` is its age here.
    pub report: LoadReport,
    /// How old it is.
    pub age: Duration,
    /// The incarnation that the upstream says it is.
    pub boot: String,
}

/// An upstream is leaving, or stays after all.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetLeaving {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it leaves.
    pub leaving: bool,
}

/// Runs the systems.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Tick;

/// Asks for the requests in progress.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<RequestInfo>")]
pub struct ListRequests {
    /// The most to list.
    pub most: usize,
}

/// Asks for the view of the upstreams.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<UpstreamInfo>")]
pub struct ListUpstreams;

/// Asks for the decisions about a request.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Vec<Explanation>")]
pub struct Why(pub RequestId);

/// Asks for the own use of upstreams, for the heartbeat.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Vec<UpstreamUse>")]
pub struct Uses;

/// What a peer's heartbeat says of its use of upstreams.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct PeerUses {
    /// The peer.
    pub peer: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its use.
    pub uses: Vec<UpstreamUse>,
}

/// A running request has come this far.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Progress {
    /// The row.
    pub key: RequestKey,
    /// Tokens that it has written.
    pub tokens: u64,
}

/// Asks for the counts.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Summary")]
pub struct Summarise;

/// The counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, actix::MessageResponse)]
pub struct Summary {
    /// Requests that wait.
    pub queued: usize,
    /// Requests that an upstream has.
    pub running: usize,
}

/// The number of requests in progress.
pub type InFlight = usize;
