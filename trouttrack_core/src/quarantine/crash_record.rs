//! Records that VMs exchange about requests whose upstreams crashed.

use crate::Fingerprint;
use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};

/// Crash of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// Incarnation that crashed.
    pub upstream: Incarnation,
    /// Age of the crash in milliseconds.
    pub ago_ms: u64,
}

/// Record of a request whose upstreams crashed, as sent to other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes of upstreams while they ran it.
    pub ends: Vec<UpstreamCrash>,
    /// Age of the latest completed run in milliseconds.
    pub ran_well_ago_ms: Option<u64>,
}
