//! Places waiting requests on upstreams.

use crate::Time;
use crate::routing::{Candidate, CandidateNote, Explanation, Prediction};
use crate::upstream::{OwnRun, UpstreamKey};
use crate::world::tables::{Decision, RequestKey, Submission, World};

/// Number of waiting requests of a class that are tried in each round, which limits
/// head-of-line blocking by a request that fits nowhere.
const HEADS_PER_CLASS: usize = 8;
/// Maximum number of candidates kept in an explanation.
const EXPLAINED_CANDIDATES: usize = 8;

impl World {
    /// Places waiting requests in the queue's service order until no head fits. Those that continue
    /// a stream come first: few upstreams may do that, and others' heads would keep them waiting.
    pub(super) fn place(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.held_back.clear();
        self.claims.clear();
        decisions.extend(self.place_continuing(now));
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

    fn place_continuing(&mut self, now: Time) -> Vec<Decision> {
        let requests = &self.requests;
        let is_waiting = |key: &RequestKey| {
            let row = requests.get(*key);
            row.is_some_and(|row| row.queue_position.is_some())
        };
        self.continuing.retain(is_waiting);
        let mut placed = Vec::new();
        for key in self.continuing.clone() {
            if self.requests[key].not_before <= now {
                placed.extend(self.try_place(now, key));
            }
        }
        placed
    }

    fn place_one(&mut self, now: Time, class: u8) -> Option<Decision> {
        let held_back = &self.held_back;
        let requests = &self.requests;
        let tried = |key| !held_back.contains(&key) && requests[key].not_before <= now;
        let heads = self.queue.heads(class, now, HEADS_PER_CLASS, tried);
        heads.into_iter().find_map(|key| self.try_place(now, key))
    }

    fn try_place(&mut self, now: Time, key: RequestKey) -> Option<Decision> {
        let submission = &self.requests[key].submission;
        if let Some(limit) = submission.max_running
            && self.limits.running(&submission.organisation) >= limit
        {
            return None;
        }
        let new = self.forecast(key, submission, 0);
        let mut candidates = self.candidates(now, new, true);
        if candidates.is_empty() {
            // An upstream to avoid is still better than none.
            candidates = self.candidates(now, new, false);
        }
        let Some(chosen) = self.settings.policy.choose(&candidates, &mut self.rng) else {
            self.note_held_back(now, key);
            self.claim_upstream(now, key);
            return None;
        };
        self.record_explanation(now, key, &candidates, chosen);
        self.requests[key].prediction = candidates[chosen].prediction;
        Some(self.hand_over(now, candidates[chosen].upstream, new))
    }

    /// Returns the prediction for a placed request at its upstream.
    #[must_use]
    pub fn prediction(&self, key: RequestKey) -> Prediction {
        let row = self.requests.get(key);
        row.map_or(Prediction::UNKNOWN, |row| row.prediction)
    }

    /// Memory use of a request after `so_far` output tokens, with its forecast remaining
    /// length.
    pub(crate) fn forecast(&self, key: RequestKey, s: &Submission, so_far: u64) -> OwnRun {
        let remaining = match s.known_tokens {
            Some(tokens) => tokens.saturating_sub(so_far) as f64,
            None => {
                let quantile = self.settings.growth_quantile;
                let learned = self
                    .lengths
                    .estimate_remaining(s.length_key, so_far, quantile);
                match s.guessed_tokens.filter(|&guess| guess > so_far) {
                    Some(guess) => f64::midpoint(learned, (guess - so_far) as f64),
                    None => learned,
                }
            }
        };
        OwnRun {
            key,
            tokens: s.prompt_tokens.saturating_add(so_far) as f64,
            remaining,
            loaded: so_far > 0,
        }
    }

    /// Share of an engine's memory that a request must leave free. It grows with the
    /// forecast remaining length up to the whole reserve, and is 0 for urgent requests.
    pub(crate) fn required_reserve(&self, priority: u8, new: OwnRun) -> f64 {
        let growth = new.remaining / self.settings.look_ahead.max(1) as f64;
        match priority {
            0 => 0.0,
            _ => self.settings.urgent_reserve * growth.min(1.0),
        }
    }

    fn record_explanation(
        &mut self,
        now: Time,
        key: RequestKey,
        candidates: &[Candidate],
        chosen: usize,
    ) {
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
                first_token_ms: c.prediction.first_token.as_millis() as u64,
                event_gap_ms: c.prediction.event_gap.map(|gap| gap.as_millis() as u64),
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
        self.explanations.record(&id, explanation);
    }

    fn hand_over(&mut self, now: Time, upstream: UpstreamKey, new: OwnRun) -> Decision {
        let key = new.key;
        let row = &mut self.requests[key];
        row.upstream = Some(upstream);
        row.placed_at = Some(now);
        let position = row.queue_position.take();
        let deadline = row.submission.deadline;
        let organisation = row.submission.organisation.clone();
        if let Some(position) = position {
            self.queue.dequeue(position);
            self.deadlines.remove(&(deadline, key));
        }
        self.limits.add(&organisation);
        let u = self
            .upstreams
            .get_mut(upstream)
            .expect("candidates come from the table");
        u.add(new);
        u.record_handover(now);
        Decision::Place {
            request: key,
            upstream: u.spec.id.clone(),
        }
    }
}
