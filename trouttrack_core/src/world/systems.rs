//! The systems: expire, place, refuse. Each runs over the tables once a tick.

use super::tables::{Decision, NotRunReason, RequestKey, Submission, World};
use crate::Time;
use crate::routing::{Candidate, CandidateNote, Explanation};
use crate::upstream::UpstreamKey;
use std::time::Duration;

/// Waiting requests of a class that are tried each round, so that one that
/// fits nowhere does not hold up the ones behind it.
const HEADS: usize = 8;
/// Candidates kept in an explanation.
const EXPLAINED_CANDIDATES: usize = 8;
/// The shortest time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl World {
    /// Runs every system once and returns what they decided.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.expire(now);
        let mut decisions = std::mem::take(&mut self.refused);
        self.place(now, &mut decisions);
        decisions
    }

    /// Refuses what could not be placed by its deadline.
    fn expire(&mut self, now: Time) {
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.refuse(key, NotRunReason::Deadline);
        }
    }

    pub(crate) fn refuse(&mut self, key: RequestKey, reason: NotRunReason) {
        let row = &mut self.requests[key];
        let place = row.place.take();
        let deadline = row.submission.deadline;
        if let Some(place) = place {
            self.queue.remove(place);
            self.deadlines.remove(&(deadline, key));
        }
        self.refused.push(Decision::Refuse {
            request: key,
            reason,
            retry_after: self.retry_after(),
        });
    }

    /// A fuller queue asks callers to stay away for longer.
    fn retry_after(&self) -> Duration {
        let fullness = self.queue.len() as f64 / self.settings.max_queued.max(1) as f64;
        RETRY_AFTER + self.settings.ageing.mul_f64(fullness)
    }

    /// Places waiting requests, most urgent class first, until no head fits.
    fn place(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        loop {
            let placed = self
                .queue
                .order(now)
                .into_iter()
                .find_map(|class| self.place_one(now, class));
            match placed {
                Some(decision) => decisions.push(decision),
                None => return,
            }
        }
    }

    fn place_one(&mut self, now: Time, class: u8) -> Option<Decision> {
        let heads = self.queue.heads(class, now, HEADS);
        heads.into_iter().find_map(|key| self.try_place(now, key))
    }

    fn try_place(&mut self, now: Time, key: RequestKey) -> Option<Decision> {
        let submission = &self.requests[key].submission;
        if let Some(most) = submission.max_running
            && self.limits.running(&submission.organisation) >= most
        {
            return None;
        }
        let forecast = self.forecast(submission, 0);
        let mut candidates = self.candidates(now, key, forecast, true);
        if candidates.is_empty() {
            // Better the same upstream again than none.
            candidates = self.candidates(now, key, forecast, false);
        }
        let chosen = self.settings.policy.choose(&candidates, &mut self.rng)?;
        self.explain(now, key, &candidates, chosen);
        Some(self.hand_over(key, candidates[chosen].upstream, forecast))
    }

    /// Tokens that a request is forecast to hold at the end of the look-ahead,
    /// after it has written `so_far`.
    pub(crate) fn forecast(&self, s: &Submission, so_far: u64) -> f64 {
        let growth = match s.known_tokens {
            Some(tokens) => tokens.saturating_sub(so_far) as f64,
            None => {
                let quantile = self.settings.growth_quantile;
                self.lengths.remaining(s.length_key, so_far, quantile)
            }
        };
        let growth = growth.min(self.settings.look_ahead as f64);
        (s.prompt_tokens + so_far) as f64 + growth
    }

    fn candidates(
        &self,
        now: Time,
        key: RequestKey,
        forecast: f64,
        avoiding: bool,
    ) -> Vec<Candidate> {
        let submission = &self.requests[key].submission;
        let reserve = match submission.priority {
            0 => 0.0,
            _ => self.settings.urgent_reserve,
        };
        self.upstreams
            .serving(&submission.service)
            .iter()
            .filter_map(|&k| {
                let u = self.upstreams.get(k)?;
                let avoided = avoiding && submission.avoid.contains(&u.spec.id);
                if avoided || !u.open(now) {
                    return None;
                }
                let capacity = u.spec.capacity_tokens as f64;
                let fill = match u.spec.capacity_tokens {
                    0 => 0.0,
                    _ => (u.forecast_tokens() + forecast) / capacity,
                };
                // An idle engine takes even a request forecast to outgrow it.
                let fits = fill <= 1.0 - reserve || u.estimated_running() == 0;
                Some(Candidate {
                    upstream: k,
                    running: u.estimated_running(),
                    max_running: u.spec.max_running,
                    fill,
                    fits,
                    local: u.spec.failure_domain == self.settings.failure_domain,
                    cached: 0.0,
                })
            })
            .collect()
    }

    fn explain(&mut self, now: Time, key: RequestKey, candidates: &[Candidate], chosen: usize) {
        let row = &self.requests[key];
        let name = |k: UpstreamKey| {
            let row = self.upstreams.get(k);
            row.map_or_else(String::new, |u| u.spec.id.clone())
        };
        let mut notes: Vec<CandidateNote> = candidates
            .iter()
            .map(|c| CandidateNote {
                upstream: name(c.upstream),
                score: self.settings.policy.score(c),
                running: c.running,
                fill: c.fill,
                fits: c.fits,
            })
            .collect();
        notes.sort_by(|a, b| a.score.total_cmp(&b.score));
        notes.truncate(EXPLAINED_CANDIDATES);
        let explanation = Explanation {
            at: now,
            waited: now.saturating_sub(row.since),
            rule: "lowest score of the sampled candidates that fit".to_owned(),
            chosen: Some(name(candidates[chosen].upstream)),
            candidates: notes,
        };
        let id = row.submission.id.clone();
        self.explanations.keep(&id, explanation);
    }

    fn hand_over(&mut self, key: RequestKey, upstream: UpstreamKey, forecast: f64) -> Decision {
        let row = &mut self.requests[key];
        row.upstream = Some(upstream);
        row.forecast = forecast;
        let place = row.place.take();
        let deadline = row.submission.deadline;
        let organisation = row.submission.organisation.clone();
        if let Some(place) = place {
            self.queue.taken(place);
            self.deadlines.remove(&(deadline, key));
        }
        self.limits.add(&organisation);
        let u = self
            .upstreams
            .get_mut(upstream)
            .expect("candidates come from the table");
        u.add(forecast);
        Decision::Place {
            request: key,
            upstream: u.spec.id.clone(),
        }
    }
}
