//! Refuses waiting requests that cannot be served in time.

use crate::Time;
use crate::world::tables::{Decision, NotRunReason, RequestKey, Submission, World};
use std::collections::HashMap;
use std::time::Duration;

/// Upper bound of a computed turn delay; no request waits that long.
const MAX_TURN_DELAY: Duration = Duration::from_secs(3600);
/// Minimum delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl World {
    /// Refuses requests for which no upstream will accept work before their deadline,
    /// without waiting for the deadline. The retry delay ends when the first upstream accepts
    /// work again.
    pub(super) fn refuse_unreachable(&mut self, now: Time) {
        let mut openings: HashMap<(&str, Option<&str>), Option<Opening>> = HashMap::new();
        let mut unreachable = Vec::new();
        for &(deadline, key) in &self.deadlines {
            let submission = &self.requests[key].submission;
            let (service, version) = (submission.service.as_str(), submission.version.as_deref());
            let opening = openings
                .entry((service, version))
                .or_insert_with(|| self.opening(now, submission));
            if opening.is_none_or(|opening| opening.at > deadline) {
                unreachable.push((key, *opening));
            }
        }
        for (key, opening) in unreachable {
            let wait = opening.map_or(MIN_RETRY_AFTER, |o| o.at.saturating_sub(now));
            let reason = match opening {
                Some(Opening { paused: true, .. }) => NotRunReason::UpstreamPaused,
                _ => NotRunReason::Unreachable,
            };
            self.refuse_for(key, reason, wait);
        }
    }

    /// Refuses requests to services whose upstreams all have rate limits, if their turn would
    /// come after the deadline even if this VM used the whole fleet's share of these limits.
    pub(super) fn refuse_rate_limited(&mut self, now: Time) {
        let mut totals: HashMap<&str, Option<f64>> = HashMap::new();
        let mut waiting: HashMap<&str, Vec<RequestKey>> = HashMap::new();
        for &(_, key) in &self.deadlines {
            let service = self.requests[key].submission.service.as_str();
            let total = totals
                .entry(service)
                .or_insert_with(|| self.total_rate_limit(now, service));
            if total.is_some() {
                waiting.entry(service).or_default().push(key);
            }
        }
        let late_requests: Vec<(RequestKey, Duration)> = waiting
            .into_iter()
            .filter_map(|(service, keys)| Some(self.past_deadline(now, keys, totals[service]?)))
            .flatten()
            .collect();
        for (key, turn) in late_requests {
            self.refuse_for(key, NotRunReason::RateLimited, turn.max(MIN_RETRY_AFTER));
        }
    }

    /// Returns those of the given waiting requests whose turn comes after their deadline at
    /// `rate` requests per second, each with the delay until its turn.
    fn past_deadline(
        &self,
        now: Time,
        mut keys: Vec<RequestKey>,
        rate: f64,
    ) -> Vec<(RequestKey, Duration)> {
        self.sort_by_turn(&mut keys);
        let mut late_requests = Vec::new();
        // The first request may be sent at any time.
        let mut ahead = 0;
        for key in keys {
            let turn = (f64::from(ahead) / rate).min(MAX_TURN_DELAY.as_secs_f64());
            let turn = Duration::from_secs_f64(turn);
            match now + turn > self.requests[key].submission.deadline {
                true => late_requests.push((key, turn)),
                false => ahead += 1,
            }
        }
        late_requests
    }

    /// Sorts waiting requests by the order in which their turns are expected.
    pub(crate) fn sort_by_turn(&self, keys: &mut [RequestKey]) {
        keys.sort_by_key(|key| {
            let row = &self.requests[*key];
            (row.submission.priority, row.since)
        });
    }

    /// Total requests per second that a service's upstreams accept from the VMs that share
    /// their rate limits with this one. `None` if an upstream has no limit, or if the total is
    /// not known.
    fn total_rate_limit(&self, now: Time, service: &str) -> Option<f64> {
        let serving = self.upstreams.serving(service)?;
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let wanted = rows.filter(|u| u.accepts_requests(now));
        let rates: Option<Vec<f64>> = wanted.map(|u| self.shared_rate(now, u)).collect();
        let total: f64 = rates?.iter().sum();
        (total > 0.0).then_some(total)
    }

    /// Earliest time at which an upstream of a request's service and version accepts work.
    fn opening(&self, now: Time, submission: &Submission) -> Option<Opening> {
        let serving = self.upstreams.serving(&submission.service)?;
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let rows = rows.filter(|u| submission.accepts_version(&u.spec.version));
        let openings = rows.filter_map(|u| {
            Some(Opening {
                at: u.available_at(now)?,
                paused: !u.accepts_requests(now),
            })
        });
        openings.min_by_key(|opening| opening.at)
    }

    /// Refuses requests that have not been placed by their deadline.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.refuse(key, NotRunReason::Deadline);
        }
    }

    pub(crate) fn refuse(&mut self, key: RequestKey, reason: NotRunReason) {
        self.refuse_for(key, reason, self.retry_after());
    }

    pub(crate) fn refuse_for(
        &mut self,
        key: RequestKey,
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let row = &mut self.requests[key];
        let position = row.queue_position.take();
        let deadline = row.submission.deadline;
        if let Some(position) = position {
            self.queue.remove(position);
            self.deadlines.remove(&(deadline, key));
        }
        self.refused.push(Decision::Refuse {
            request: key,
            reason,
            retry_after,
        });
    }

    /// Delay after which refused callers may retry; it grows with the queue length.
    fn retry_after(&self) -> Duration {
        let fullness = self.queue.len() as f64 / self.settings.max_queued.max(1) as f64;
        MIN_RETRY_AFTER + self.settings.ageing.mul_f64(fullness)
    }
}

/// The next time at which an upstream accepts work.
#[derive(Clone, Copy, Debug)]
struct Opening {
    at: Time,
    /// Whether the upstream has asked for a pause until then.
    paused: bool,
}
