//! The way of a request through the tables, from its submission to its end.

use super::{NotRunReason, Request, RequestKey, Submission, World};
use crate::Time;
use crate::routing::Prediction;
use crate::world::queue::Arrival;
use rand::RngExt;

impl World {
    /// Adds a request to the queue; the next tick decides on it.
    pub fn submit(&mut self, now: Time, mut submission: Submission) -> RequestKey {
        let need = self.expected_tokens(&submission);
        let cost = need / submission.weight.max(1e-3);
        self.record_arrival(now, &submission, need);
        submission.deadline = self.wait_until(now, &submission);
        let due = match self.settings.admission.order_by_due {
            true => submission.service_level.due,
            false => Time::MAX,
        };
        let (class, deadline) = (submission.priority, submission.deadline);
        let organisation = submission.organisation.clone();
        let has_upstream = self.upstreams.serving(&submission.service).is_some();
        let key = self.requests.insert(Request {
            submission,
            since: now,
            placed_at: None,
            upstream: None,
            prediction: Prediction::UNKNOWN,
            queue_position: None,
            not_before: Time::ZERO,
            left_room: false,
        });
        if !has_upstream {
            self.refuse(key, NotRunReason::NoUpstream);
        } else if self.queue.len() >= self.settings.max_queued {
            self.refuse(key, NotRunReason::QueueFull);
        } else {
            let arrival = Arrival {
                class,
                organisation: &organisation,
                cost_per_weight: cost,
                due,
                queued_at: now,
            };
            let position = self.queue.push(key, arrival);
            self.requests[key].queue_position = Some(position);
            if self.requests[key].submission.version.is_some() {
                self.continuing.push(key);
            }
            self.deadlines.insert((deadline, key));
        }
        key
    }

    /// Updates the forecast of a running request that has produced `tokens` so far.
    /// Returns whether these are its first tokens, which means that its prompt is loaded.
    pub fn progress(&mut self, key: RequestKey, tokens: u64) -> bool {
        let Some(row) = self.requests.get(key) else {
            return false;
        };
        let Some(upstream) = row.upstream else {
            return false;
        };
        let run = self.forecast(key, &row.submission, tokens);
        let upstream = self.upstreams.get_mut(upstream);
        upstream.is_some_and(|u| u.progress(run))
    }

    /// Records that the attempt at the request's upstream has ended. `fault` marks a
    /// failure that counts against the upstream; `tokens` is the output length of a
    /// complete answer. Returns whether an engine has freed memory or a brittle upstream a place,
    /// in which case other VMs are to be notified.
    pub fn record_end(
        &mut self,
        now: Time,
        key: RequestKey,
        fault: bool,
        tokens: Option<u64>,
    ) -> bool {
        if tokens.is_some() {
            self.record_response(now, key);
        }
        let Some(row) = self.requests.remove(key) else {
            return false;
        };
        self.remove_from_queue(key, &row);
        let Some(upstream) = row.upstream else {
            return false;
        };
        self.limits.remove(&row.submission.organisation);
        self.record_freed(now, &row, tokens);
        if let Some(tokens) = tokens {
            self.lengths.record(row.submission.length_key, tokens);
        }
        let mut is_brittle = false;
        if let Some(u) = self.upstreams.get_mut(upstream) {
            is_brittle = u.is_brittle();
            u.note_loading(now);
            u.remove(key);
            // If neither is known, as when the caller disconnects, earlier failures still count.
            if fault {
                u.circuit.record_failure(now);
            } else if tokens.is_some() {
                u.circuit.record_success();
                u.losses.record_answer(now);
                u.refusals.record_run();
            }
        }
        row.submission.prompt_tokens > 0 || is_brittle
    }

    /// Records that the request's upstream could not be reached: no connection, or no
    /// answer in time.
    pub fn record_unreachable(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.circuit.record_unreachable(now);
        }
    }

    /// Records that the request's upstream refused it. A refusal does not count as a
    /// success: the upstream gets no work for a moment, or else it would look idle.
    pub fn record_refusal(&mut self, now: Time, key: RequestKey) {
        self.record_response(now, key);
        let hears_all = self.hears_all();
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.refusals.record_refusal(now);
            u.losses.record_loss(now);
            if let Some(borne) = u.brittle {
                let draw = self.rng.random_range(0.0..1.0);
                let vms = if hears_all { 1 } else { self.admission.vms() };
                u.rejections.record_own(now, borne, vms, draw);
            }
        }
    }

    /// Records that the attempt's connection closed before any answer.
    pub fn record_loss(&mut self, now: Time, key: RequestKey) {
        let upstream = self.requests.get(key).and_then(|row| row.upstream);
        if let Some(u) = upstream.and_then(|k| self.upstreams.get_mut(k)) {
            u.losses.record_loss(now);
        }
    }

    fn remove_from_queue(&mut self, key: RequestKey, row: &Request) {
        if let Some(position) = row.queue_position {
            self.queue.remove(position);
            self.deadlines.remove(&(row.submission.deadline, key));
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// All waiting and running requests.
    pub fn requests(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.requests.iter()
    }
}
