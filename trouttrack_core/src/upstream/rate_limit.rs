//! Request rate limits that overloaded upstreams announce.

use super::incarnation::Incarnation;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Assumed maximum transit time of a peer's report of a limit. Reported times are moved back by
/// it, so that a report that returns to its sender is never newer than the sender's own
/// statement.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(50);
/// Offset added to all statement times, so that statements that peers received up to this long
/// before this process started can be represented.
const TIME_OFFSET: Duration = Duration::from_secs(24 * 3600);

/// The request rate that an upstream accepts from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// No limit.
    #[default]
    Unlimited,
    /// Maximum number of requests per second.
    PerSecond(f64),
}

impl RateLimit {
    /// Returns the limit in requests per second, if there is one.
    #[must_use]
    pub fn per_second(self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::PerSecond(rate) => Some(rate),
        }
    }

    /// Returns whether there is a limit.
    #[must_use]
    pub fn is_limited(self) -> bool {
        self.per_second().is_some()
    }
}

/// A limit announced by an upstream, with the interval in which the upstream announced it.
///
/// Responses may arrive out of order, and VMs forward limits to each other. A limit therefore
/// ends only with a response that is certainly newer than the last one that named the limit:
/// a response to a request that was sent after that one had been received.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{RateLimit, RateStatement};
/// let at = Duration::from_millis;
/// let limited = RateStatement::new(RateLimit::PerSecond(2.5), at(100), at(160));
/// let overtaken = RateStatement::new(RateLimit::Unlimited, at(120), at(170));
/// assert!(!overtaken.replaces(&limited));
/// let newer = RateStatement::new(RateLimit::Unlimited, at(161), at(170));
/// assert!(newer.replaces(&limited));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateStatement {
    /// The limit.
    pub limit: RateLimit,
    /// When the request was sent whose response carried the limit, offset by `TIME_OFFSET`.
    asked_at: Time,
    /// When that response was received, offset by `TIME_OFFSET`.
    heard_at: Time,
}

impl RateStatement {
    /// Creates the statement carried by a response that was received at `heard_at`, to a
    /// request that was sent at `asked_at`.
    #[must_use]
    pub fn new(limit: RateLimit, asked_at: Time, heard_at: Time) -> Self {
        Self {
            limit,
            asked_at: TIME_OFFSET + asked_at,
            heard_at: TIME_OFFSET + heard_at,
        }
    }

    /// Returns whether this statement supersedes `other` of the same upstream. If their order
    /// is uncertain, the one with a limit takes precedence.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        match (self.limit.is_limited(), other.limit.is_limited()) {
            (true, false) => self.heard_at >= other.asked_at,
            (false, true) => self.asked_at > other.heard_at,
            _ => self.heard_at > other.heard_at,
        }
    }
}

/// An upstream's limit as one VM reports it to another; times are sent as ages.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{Incarnation, RateLimit, RateStatement, ReportedLimit};
/// let (life, now) = (Incarnation::new("u1", 7), Duration::from_secs(9));
/// let heard = RateStatement::new(RateLimit::PerSecond(2.5), now, now);
/// let report = ReportedLimit::new(&life, &heard, now);
/// // A VM that started later takes it for older than one that hears the upstream itself.
/// let second = Duration::from_secs(1);
/// let own = RateStatement::new(RateLimit::Unlimited, second, second);
/// assert_eq!(report.statement(second).limit, heard.limit);
/// assert!(own.replaces(&report.statement(second)));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// The incarnation of the upstream.
    pub life: Incarnation,
    /// Requests per second that it accepts from all VMs together, if limited.
    pub per_second: Option<f64>,
    /// Time since the request was sent whose response carried the limit, in milliseconds.
    pub asked_ms: u64,
    /// Time since that response was received, in milliseconds.
    pub heard_ms: u64,
}

impl ReportedLimit {
    /// Creates the report of a statement at `now`.
    #[must_use]
    pub fn new(incarnation: &Incarnation, statement: &RateStatement, now: Time) -> Self {
        let age = |at: Time| (TIME_OFFSET + now).saturating_sub(at).as_millis() as u64;
        Self {
            life: incarnation.clone(),
            per_second: statement.limit.per_second(),
            asked_ms: age(statement.asked_at),
            heard_ms: age(statement.heard_at),
        }
    }

    /// Converts a report received at `now` to a statement on this VM's clock.
    #[must_use]
    pub fn statement(&self, now: Time) -> RateStatement {
        let at = |ms| (TIME_OFFSET + now).saturating_sub(Time::from_millis(ms) + MAX_TRANSIT_TIME);
        RateStatement {
            limit: self
                .per_second
                .filter(|rate| rate.is_finite())
                .map_or(RateLimit::Unlimited, RateLimit::PerSecond),
            asked_at: at(self.asked_ms),
            heard_at: at(self.heard_ms),
        }
    }
}
