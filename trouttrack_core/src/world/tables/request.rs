//! A request as the scheduler knows it, and the decision about it.

use crate::length::LengthKey;
use crate::routing::Prediction;
use crate::upstream::UpstreamKey;
use crate::world::queue::QueuePosition;
use crate::world::service_level::ServiceLevel;
use crate::{OrganisationId, RequestId, ServiceId, SoftwareVersion, Time};
use slotmap::new_key_type;
use std::time::Duration;

new_key_type! {
    /// Key of a request's row; valid in this process only.
    pub struct RequestKey;
}

/// A request as the gateway submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Request id returned to the caller.
    pub id: RequestId,
    /// Organisation that the request is accounted to.
    pub organisation: OrganisationId,
    /// The organisation's weight in fair queueing.
    pub weight: f64,
    /// Requested service.
    pub service: ServiceId,
    /// Key under which its output length is learned.
    pub length_key: LengthKey,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Prompt length in tokens (zero for plain services).
    pub prompt_tokens: u64,
    /// Time by which it must be placed, or else it is refused.
    pub deadline: Time,
    /// Objectives of its route.
    pub service_level: ServiceLevel,
    /// Maximum number of concurrently running requests of the organisation, if limited.
    pub max_running: Option<usize>,
    /// Upstreams to use only if no other upstream is available.
    pub avoid: Vec<String>,
    /// The only software version that it may be placed on, if it continues a stream. An unknown one,
    /// which is empty, is none.
    pub version: Option<SoftwareVersion>,
    /// Output length in tokens as estimated by the caller.
    pub guessed_tokens: Option<u64>,
    /// Actual output length in tokens; set only by oracle baselines.
    pub known_tokens: Option<u64>,
}

impl Submission {
    /// Whether an upstream's software may run it.
    #[must_use]
    pub(crate) fn accepts_version(&self, version: &str) -> bool {
        let is_only = |only: &str| only == version && !only.is_empty();
        self.version.as_deref().is_none_or(is_only)
    }
}

/// A waiting or running request.
#[derive(Debug)]
pub struct Request {
    /// The submission.
    pub submission: Submission,
    /// Time of submission.
    pub since: Time,
    /// Time at which it was placed.
    pub(crate) placed_at: Option<Time>,
    /// Upstream on which the request runs, once placed.
    pub upstream: Option<UpstreamKey>,
    /// Predicted first token and event gap there, once placed.
    pub prediction: Prediction,
    pub(crate) queue_position: Option<QueuePosition>,
    /// Time before which it is not tried again, so that the VMs do not fill the same upstream
    /// at once.
    pub(crate) not_before: Time,
    /// Whether it waited to leave room to more urgent requests.
    pub(crate) left_room: bool,
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum NotRunReason {
    /// The queue is full.
    QueueFull,
    /// It could not be placed before its deadline.
    Deadline,
    /// No upstream is configured for its service.
    NoUpstream,
    /// Every upstream is leaving, or gets no work before the request's deadline.
    Unreachable,
    /// The upstream that is the first to accept work again has asked for a pause beyond the
    /// request's deadline.
    UpstreamPaused,
    /// At the rate limits of all upstreams the request could not be sent before its deadline.
    RateLimited,
    /// Its turn would come after its deadline at the rate at which upstreams free memory.
    Overloaded,
    /// A retry was needed and the service's retry budget is exhausted.
    RetryBudget,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to an upstream.
    Place {
        /// The request.
        request: RequestKey,
        /// Id of the upstream.
        upstream: String,
    },
    /// Refuse the request without running it.
    Refuse {
        /// The request.
        request: RequestKey,
        /// Reason of the refusal.
        reason: NotRunReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}
