//! What VMs tell each other of requests under which upstreams ended.

use crate::Fingerprint;
use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};

/// An upstream that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// The upstream.
    pub upstream: Incarnation,
    /// How long ago, in milliseconds.
    pub ago_ms: u64,
}

/// A request under which upstreams ended, as told to other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstreams that ended under it.
    pub ends: Vec<UpstreamEnd>,
    /// How long ago a run of it last came to its end, in milliseconds.
    pub ran_well_ago_ms: Option<u64>,
}
