//! Demand for services: what arrives and ends at this VM, and what peers report of theirs.

use super::admission::Arrived;
use super::tables::{Request, RequestKey, Submission, World};
use crate::membership::ReportedDemand;
use crate::{ServiceId, Time};
use rand::RngExt;
use std::collections::HashMap;
use std::time::Duration;

/// Longest pause before a fully patient request is tried again. Reports of placements reach the
/// peers in less time.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);

impl World {
    /// Records the demand of a peer; replaces what it reported before.
    pub(super) fn record_peer_demand(&mut self, now: Time, peer: &str, demand: &[ReportedDemand]) {
        if !self.settings.admission.keep_room {
            return;
        }
        self.admission.expire(now);
        let mut by_service: HashMap<&ServiceId, Vec<Arrived>> = HashMap::new();
        for row in demand {
            let classes = by_service.entry(&row.service).or_default();
            classes.push(Arrived {
                class: row.class,
                requests: u32::from(row.requests),
                tokens: f64::from(row.tokens),
                objective: Duration::from_millis(u64::from(row.objective_ms)),
            });
        }
        // A report without demand lowers the mean, so it is recorded as well.
        self.admission.record_peer_report(now, peer);
        for (service, by_class) in by_service {
            let service = self.admission.service_mut(service);
            service.record_peer(now, peer, by_class);
        }
    }

    /// Returns the demand at this VM, by service and priority class.
    pub(super) fn demand_to_report(&self, now: Time) -> Vec<ReportedDemand> {
        let mut demand = Vec::new();
        for (service, rows) in self.admission.services() {
            demand.extend(rows.arrivals(now).map(|arrived| ReportedDemand {
                service: service.clone(),
                class: arrived.class,
                requests: arrived.requests.min(u32::from(u16::MAX)) as u16,
                tokens: arrived.tokens as u32,
                objective_ms: u32::try_from(arrived.objective.as_millis()).unwrap_or(u32::MAX),
            }));
        }
        demand.sort_by(|a, b| (&a.service, a.class).cmp(&(&b.service, b.class)));
        demand
    }

    /// Sets the number of VMs in the fleet, including this one.
    pub fn set_fleet_size(&mut self, vms: usize) {
        self.admission.set_vms(vms);
    }

    /// Number of times that a waiting request left room to more urgent ones; counted once in
    /// each scheduling round.
    #[must_use]
    pub fn held_back(&self) -> u64 {
        self.admission.held_back()
    }

    /// How long a placed request waited, and whether it did so to leave room to more urgent
    /// ones.
    #[must_use]
    pub fn wait_of(&self, key: RequestKey) -> Option<(Duration, bool)> {
        let row = self.requests.get(key)?;
        let waited = row.placed_at?.saturating_sub(row.since);
        Some((waited, row.left_room))
    }

    /// Tokens that a request is expected to hold at its end.
    pub(super) fn expected_tokens(&self, s: &Submission) -> f64 {
        let output = self.lengths.estimate_remaining(s.length_key, 0, 0.5);
        s.prompt_tokens as f64 + output
    }

    /// Whether a request counts as demand: it needs memory and has an objective.
    fn counts_demand(&self, s: &Submission) -> bool {
        let is_needed = self.settings.admission.needs_demand();
        is_needed && s.prompt_tokens > 0 && s.service_level.due < Time::MAX
    }

    pub(super) fn record_arrival(&mut self, now: Time, s: &Submission, need: f64) {
        if !self.counts_demand(s) {
            return;
        }
        let objective = s.service_level.time_left(now);
        let service = self.admission.service_mut(&s.service);
        service.record_arrival(now, s.priority, objective, need);
    }

    /// Records the memory that a placed request frees; `tokens` is the output length of a
    /// complete answer.
    pub(super) fn record_freed(&mut self, now: Time, row: &Request, tokens: Option<u64>) {
        let s = &row.submission;
        let (Some(placed_at), Some(output)) = (row.placed_at, tokens) else {
            return;
        };
        if !self.counts_demand(s) {
            return;
        }
        let held = now.saturating_sub(placed_at);
        let service = self.admission.service_mut(&s.service);
        let tokens = s.prompt_tokens.saturating_add(output);
        service.record_end(now, s.priority, held, tokens as f64);
    }

    /// Postpones a request for which no upstream has room beyond what it leaves to more urgent
    /// ones. It is tried again after a random pause.
    pub(super) fn note_held_back(&mut self, now: Time, key: RequestKey) {
        let row = &self.requests[key];
        let room = self.kept_room(now, row.since, &row.submission);
        if room.fraction > 0.0 {
            let pause = MAX_RETRY_PAUSE.mul_f64(room.patience * self.rng.random_range(0.0..1.0));
            self.held_back.insert(key);
            self.admission.record_held_back();
            let row = &mut self.requests[key];
            row.left_room = true;
            row.not_before = now + pause;
        }
    }
}
