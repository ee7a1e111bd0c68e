//! Observations that VMs exchange besides their use of upstreams: service rates, reachability,
//! and demand for services.

use super::departure_words::ReportedDeparture;
use crate::ServiceId;
use crate::upstream::{Incarnation, ReportedRate};
use serde::{Deserialize, Serialize};

/// How long an observation of reachability is included in load updates, in milliseconds.
const REACHABILITY_REPEAT_MS: u32 = 100;

/// A VM's observations of upstreams, and the demand that arrives at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conditions {
    /// Observed service rates.
    pub rates: Vec<ReportedRate>,
    /// Upstreams that refused a connection.
    pub unreachable: Vec<ReportedUnreachable>,
    /// Demand for services.
    pub demand: Vec<ReportedDemand>,
    /// Upstreams that have answered a request after refusing a connection.
    pub reachable: Vec<ReportedReachable>,
    /// Whether the VM is partitioned from all upstreams. Encoded by itself after the other
    /// conditions, which VMs of earlier versions decode.
    #[serde(skip)]
    pub paths_lost: bool,
    /// Whether the VM does not yet know which requests are quarantined. Only heartbeats carry it,
    /// after everything else, and VMs of earlier versions never tell it.
    #[serde(skip)]
    pub quarantine_unknown: bool,
    /// Upstreams that leave. Encoded after `paths_lost`, for the same reason.
    #[serde(skip)]
    pub departures: Vec<ReportedDeparture>,
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
        self.rates.is_empty()
            && self.unreachable.is_empty()
            && self.demand.is_empty()
            && self.reachable.is_empty()
            && !self.paths_lost
            && !self.quarantine_unknown
            && self.departures.is_empty()
    }

    /// Removes the observations of reachability that earlier load updates have carried.
    /// Heartbeats continue to carry them.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::{Conditions, ReportedUnreachable};
    /// use trouttrack_core::upstream::Incarnation;
    /// let refused = |id, age_ms| ReportedUnreachable {
    ///     upstream: Incarnation::new(id, 7),
    ///     age_ms,
    /// };
    /// let mut conditions = Conditions::default();
    /// conditions.unreachable = vec![refused("new", 3), refused("old", 900)];
    /// conditions.retain_new_reachability();
    /// assert_eq!(conditions.unreachable, [refused("new", 3)]);
    /// ```
    pub fn retain_new_reachability(&mut self) {
        self.unreachable
            .retain(|r| r.age_ms < REACHABILITY_REPEAT_MS);
        self.reachable.retain(|r| r.age_ms < REACHABILITY_REPEAT_MS);
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

/// An upstream that answered a request submitted after its address refused a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedReachable {
    /// The upstream.
    pub upstream: Incarnation,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// Maximum number of [`ReportedUnreachable`] in a datagram, and also of [`ReportedReachable`].
/// Each takes about 25 bytes.
pub const MAX_UNREACHABLE_PER_DATAGRAM: usize = 24;

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
    pub objective_ms: u32,
}
