//! What VMs tell each other about upstreams and waiting requests besides their use of
//! upstreams.

use crate::ServiceId;
use crate::upstream::{Incarnation, ReportedRate};
use serde::{Deserialize, Serialize};

/// A VM's observations of upstreams, and the requests that wait there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conditions {
    /// Observed service rates.
    pub rates: Vec<ReportedRate>,
    /// Upstreams that refused a connection.
    pub unreachable: Vec<ReportedUnreachable>,
    /// Waiting requests.
    pub demand: Vec<ReportedDemand>,
}

impl Conditions {
    /// Whether there is nothing to report.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::Conditions;
    /// assert!(Conditions::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty() && self.unreachable.is_empty() && self.demand.is_empty()
    }
}

/// An upstream whose address refused a connection: no process listens there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedUnreachable {
    /// The upstream.
    pub upstream: Incarnation,
    /// Time since the connection was refused, in milliseconds.
    pub age_ms: u32,
}

/// Requests of one service and priority class that wait at a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedDemand {
    /// The service.
    pub service: ServiceId,
    /// Priority class; 0 is the most urgent.
    pub class: u8,
    /// Number of waiting requests.
    pub requests: u16,
    /// Memory that they need at the start, in tokens.
    pub tokens: u32,
    /// Time until the first of them has to be placed to meet its objective, in milliseconds.
    pub slack_ms: u32,
}
