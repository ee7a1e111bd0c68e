//! What VMs tell each other about upstreams and waiting requests besides their use of
//! upstreams.

use crate::ServiceId;
use crate::upstream::{Incarnation, ReportedRate};
use serde::{Deserialize, Serialize};

/// A VM's observations of upstreams, and the demand there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conditions {
    /// Observed service rates.
    pub rates: Vec<ReportedRate>,
    /// Upstreams that refused a connection.
    pub unreachable: Vec<ReportedUnreachable>,
    /// Demand for services.
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

/// Requests of one service and priority class that arrived at a VM in the last four seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedDemand {
    /// The service.
    pub service: ServiceId,
    /// Priority class; 0 is the most urgent.
    pub class: u8,
    /// Number of requests.
    pub requests: u16,
    /// Memory that they are expected to need, in tokens.
    pub tokens: u32,
    /// Mean time from their arrival until their first token is due, in milliseconds.
    pub slack_ms: u32,
}
