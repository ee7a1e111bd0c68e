//! Notices from upstreams about their own availability, whatever the transport.
//!
//! A notice applies to the incarnation that sent it. It stays in force when the upstream is
//! listed again, when the configuration changes, and when a later notice does not mention it.

use super::incarnation::Incarnation;
use super::rate_limit::{RateLimit, RateStatement, ReportedLimit};
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Upper bound for requested pauses. Upstreams usually ask for several seconds; one that asks
/// for hours by mistake would stay unused, and one that still needs a pause asks again.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// How long the notices of an incarnation that is no longer listed are kept, counted from its
/// last notice: as long as the longest pause, and much longer than the seconds after which an
/// upstream is listed again.
const RETENTION: Duration = MAX_PAUSE;

/// How long the end of a limit is reported to other VMs.
const LIMIT_END_REPORT_TIME: Duration = Duration::from_secs(10);

/// The availability that one incarnation of an upstream has announced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Availability {
    /// Whether it is shutting down and accepts no new requests.
    is_leaving: bool,
    /// End of the pause that it has requested from this VM.
    paused_until: Time,
    /// Request rate that it accepts from all VMs together.
    rate_limit: RateLimit,
}

impl Availability {
    /// Returns whether it has announced its shutdown.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the request rate that it accepts from all VMs together.
    #[must_use]
    pub fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Returns whether it accepts new requests at `now`.
    #[must_use]
    pub fn accepts_requests(&self, now: Time) -> bool {
        !self.is_leaving && now >= self.paused_until
    }

    /// Returns the earliest time at which it accepts new requests; `None` if it is shutting
    /// down.
    #[must_use]
    pub fn accepts_requests_at(&self, now: Time) -> Option<Time> {
        (!self.is_leaving).then(|| self.paused_until.max(now))
    }
}

/// A notice from an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamNotice {
    /// It is shutting down.
    Leaving,
    /// It requests a pause of this length from this VM.
    Pause(Duration),
    /// It accepts this request rate from all VMs together.
    RateLimit(RateStatement),
}

/// The notices received from upstreams, by incarnation.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{Incarnation, UpstreamNotice, UpstreamNotices};
/// let (now, second) = (Duration::from_secs(10), Duration::from_secs(1));
/// let (incarnation, next) = (Incarnation::new("u1", 7), Incarnation::new("u1", 9));
/// let mut notices = UpstreamNotices::default();
/// assert!(notices.receive(now, &incarnation, UpstreamNotice::Pause(second)));
/// assert!(!notices.availability(&incarnation).accepts_requests(now));
/// assert!(notices.availability(&incarnation).accepts_requests(now + second));
/// notices.receive(now, &incarnation, UpstreamNotice::Leaving);
/// assert_eq!(notices.availability(&incarnation).accepts_requests_at(now), None);
/// assert!(notices.availability(&next).accepts_requests(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    by_incarnation: HashMap<Incarnation, Received>,
}

/// The notices received from one incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    availability: Availability,
    /// Its last statement of a rate limit.
    rate: RateStatement,
    /// When that statement changed the limit.
    rate_changed_at: Time,
    /// When its last notice was received.
    at: Time,
}

impl Received {
    fn update_rate(&mut self, now: Time, statement: RateStatement) {
        if !statement.replaces(&self.rate) {
            return;
        }
        self.rate = statement;
        if self.availability.rate_limit != statement.limit {
            self.availability.rate_limit = statement.limit;
            self.rate_changed_at = now;
        }
    }

    /// Returns whether its limit, or the end of it, is to be reported to other VMs.
    fn reports_limit(&self, now: Time) -> bool {
        let ended = self.rate_changed_at > Time::ZERO
            && now.saturating_sub(self.rate_changed_at) < LIMIT_END_REPORT_TIME;
        self.availability.rate_limit.is_limited() || ended
    }
}

/// Returns whether a notice equals the state assumed without any notice.
fn is_default(notice: &UpstreamNotice) -> bool {
    matches!(notice, UpstreamNotice::RateLimit(statement) if !statement.limit.is_limited())
}

impl UpstreamNotices {
    /// Applies a notice. Returns whether it changed the state: a shorter pause does not end a
    /// longer one, and a response does not end a limit that was announced after its request was
    /// sent.
    pub fn receive(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        notice: UpstreamNotice,
    ) -> bool {
        if is_default(&notice) && !self.by_incarnation.contains_key(incarnation) {
            return false;
        }
        let received = self.by_incarnation.entry(incarnation.clone()).or_default();
        let before = received.availability;
        match notice {
            UpstreamNotice::Leaving => received.availability.is_leaving = true,
            UpstreamNotice::Pause(pause) => {
                let until = now + pause.min(MAX_PAUSE);
                received.availability.paused_until = received.availability.paused_until.max(until);
            }
            UpstreamNotice::RateLimit(statement) => received.update_rate(now, statement),
        }
        received.at = now;
        received.availability != before
    }

    /// Returns the announced availability of an incarnation.
    #[must_use]
    pub fn availability(&self, incarnation: &Incarnation) -> Availability {
        self.by_incarnation
            .get(incarnation)
            .copied()
            .unwrap_or_default()
            .availability
    }

    /// Returns the limits, and ends of limits, to be reported to other VMs, most recently
    /// received first. Includes only those that changed at or after `changed_after`.
    #[must_use]
    pub fn limits(&self, now: Time, changed_after: Time) -> Vec<ReportedLimit> {
        let reported = self.by_incarnation.iter().filter(|(_, received)| {
            received.reports_limit(now) && received.rate_changed_at >= changed_after
        });
        let mut reported: Vec<ReportedLimit> = reported
            .map(|(incarnation, received)| ReportedLimit::new(incarnation, &received.rate, now))
            .collect();
        reported.sort_by_key(|limit| limit.heard_ms);
        reported
    }

    /// Removes old notices of incarnations that are no longer listed.
    pub fn forget(&mut self, now: Time, listed: impl Fn(&Incarnation) -> bool) {
        self.by_incarnation.retain(|incarnation, received| {
            listed(incarnation) || now.saturating_sub(received.at) < RETENTION
        });
    }

    /// Returns the number of incarnations with notices.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_incarnation.len()
    }

    /// Returns whether there are no notices.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_incarnation.is_empty()
    }
}
