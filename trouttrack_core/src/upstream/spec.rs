//! Configuration and load reports of an upstream.

use crate::{FailureDomain, SoftwareVersion, Time, UpstreamId};

/// Configuration of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Unique id.
    pub id: UpstreamId,
    /// Start time of this incarnation in Unix milliseconds; 0 if unknown.
    pub born: u64,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Services that it can run.
    pub services: Vec<String>,
    /// Token memory of an engine; 0 for a plain service.
    pub capacity_tokens: u64,
    /// Maximum number of concurrent requests.
    pub max_running: usize,
    /// End of the warm-up period after its start, during which it is slow.
    pub warm_up_ends_at: Time,
    /// Requests per second that it sustains until `warm_up_ends_at`; 0 if not bounded.
    pub cold_rate: f64,
}

/// A load report from the upstream itself. Reports arrive with a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Time that the report describes, on this process's clock.
    pub at: Time,
    /// Running requests.
    pub running: usize,
    /// Requests queued at the upstream.
    pub waiting: usize,
    /// Tokens of memory in use.
    pub used_tokens: u64,
}
