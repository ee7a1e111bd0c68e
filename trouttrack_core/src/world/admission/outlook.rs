//! Refuses requests that cannot be placed in time at the rate at which memory is freed.

use super::window::Total;
use crate::Time;
use crate::world::tables::{NotRunReason, RequestKey, World};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of requests that have to end in the window before the rate of freed memory counts.
const MIN_ENDS: u32 = 8;
/// Requests are refused if their turn comes later than this multiple of their wait, because the
/// rate varies.
const CERTAINTY: f64 = 1.5;
/// Minimum delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum of the same delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl World {
    /// Refuses waiting requests whose turn comes after their deadline, while no upstream has
    /// room for them. The retry delay is one to two times the time until the queue is served,
    /// at random, so that callers do not return together.
    pub(crate) fn refuse_hopeless(&mut self, now: Time) {
        if !self.settings.admission.refuse_hopeless || self.queue.is_empty() {
            return;
        }
        for (key, queue_time) in self.hopeless(now) {
            let spread = self.rng.random_range(1.0..2.0);
            let delay = queue_time
                .mul_f64(spread)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            self.refuse_for(key, NotRunReason::Overloaded, delay);
        }
    }

    fn hopeless(&self, now: Time) -> Vec<(RequestKey, Duration)> {
        let mut by_service: BTreeMap<&str, Vec<RequestKey>> = BTreeMap::new();
        for &(_, key) in &self.deadlines {
            let s = &self.requests[key].submission;
            if s.prompt_tokens > 0 && s.service_level.due != Time::MAX {
                by_service.entry(s.service.as_str()).or_default().push(key);
            }
        }
        let mut hopeless = Vec::new();
        for (service, keys) in by_service {
            let freed = self.admission.service(service).map(|d| d.freed(now));
            let Some(freed) = freed.filter(|f| f.requests >= MIN_ENDS) else {
                continue;
            };
            hopeless.extend(self.past_turn(now, keys, freed));
        }
        hopeless
    }

    /// Returns those of a service's waiting requests whose turn comes after their deadline, each
    /// with the delay until its turn.
    fn past_turn(
        &self,
        now: Time,
        mut keys: Vec<RequestKey>,
        freed: Total,
    ) -> Vec<(RequestKey, Duration)> {
        self.sort_by_turn(&mut keys);
        let mut ahead = 0.0;
        let mut late = Vec::new();
        for key in keys {
            let s = &self.requests[key].submission;
            let need = self.expected_tokens(s);
            let turn = Duration::from_secs_f64(ahead / freed.rate().max(1.0));
            let left = s.deadline.saturating_sub(now);
            if turn > left.mul_f64(CERTAINTY) && !self.has_room(now, key) {
                late.push((key, turn));
            } else {
                ahead += need;
            }
        }
        late
    }

    /// Whether an upstream has room for a request, kept room included.
    fn has_room(&self, now: Time, key: RequestKey) -> bool {
        let s = &self.requests[key].submission;
        let new = self.forecast(key, s, 0);
        let limit = self.settings.placed_fill - self.required_reserve(s.priority, new);
        let Some(serving) = self.upstreams.serving(&s.service) else {
            return false;
        };
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let mut available =
            rows.filter(|u| u.is_available(now) && s.accepts_version(&u.spec.version));
        available.any(|u| u.is_idle() || u.fill_with(Some(new)) <= limit)
    }
}
