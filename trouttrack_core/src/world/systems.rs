//! Scheduling passes: expire, place, refuse. Each runs once per tick.

use super::tables::{Decision, NotRunReason, RequestKey, Submission, World};
use crate::Time;
use crate::routing::{Candidate, CandidateNote, Explanation};
use crate::upstream::{OwnRun, UpstreamKey};
use rand::RngExt;
use std::collections::HashMap;
use std::time::Duration;

/// Number of waiting requests of a class that are tried in each round, which limits
/// head-of-line blocking by a request that fits nowhere.
const HEADS_PER_CLASS: usize = 8;
/// Up to this number of upstreams all are scanned; of more, a sample.
const MAX_FULL_SCAN: usize = 16;
/// Maximum number of candidates kept in an explanation.
const EXPLAINED_CANDIDATES: usize = 8;
/// Upper bound of a computed turn delay; no request waits that long.
const MAX_TURN_DELAY: Duration = Duration::from_secs(3600);
/// Minimum delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl World {
    /// Runs every pass once and returns their decisions.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.expire(now);
        let mut decisions = std::mem::take(&mut self.refused);
        self.place(now, &mut decisions);
        self.refuse_unreachable(now);
        self.refuse_rate_limited(now);
        decisions.append(&mut self.refused);
        decisions
    }

    /// Refuses requests for which no upstream will accept work before their deadline,
    /// without waiting for the deadline. With an objective of 150 ms the caller gets the
    /// refusal 90 ms sooner, together with the time at which the first upstream is tried
    /// again.
    fn refuse_unreachable(&mut self, now: Time) {
        let mut openings: HashMap<&str, Option<Opening>> = HashMap::new();
        let mut unreachable = Vec::new();
        for &(deadline, key) in &self.deadlines {
            let service = self.requests[key].submission.service.as_str();
            let opening = openings
                .entry(service)
                .or_insert_with(|| self.opening(now, service));
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
    fn refuse_rate_limited(&mut self, now: Time) {
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
        keys.sort_by_key(|key| {
            let request = &self.requests[*key];
            (request.submission.priority, request.since)
        });
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

    /// Earliest time at which an upstream of a service accepts work.
    fn opening(&self, now: Time, service: &str) -> Option<Opening> {
        let serving = self.upstreams.serving(service)?;
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let openings = rows.filter_map(|u| {
            Some(Opening {
                at: u.available_at(now)?,
                paused: !u.accepts_requests(now),
            })
        });
        openings.min_by_key(|opening| opening.at)
    }

    /// Refuses requests that have not been placed by their deadline.
    fn expire(&mut self, now: Time) {
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

    fn refuse_for(&mut self, key: RequestKey, reason: NotRunReason, retry_after: Duration) {
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

    /// Places waiting requests in the queue's service order until no head fits.
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
        let heads = self.queue.heads(class, now, HEADS_PER_CLASS);
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
        let chosen = self.settings.policy.choose(&candidates, &mut self.rng)?;
        self.record_explanation(now, key, &candidates, chosen);
        Some(self.hand_over(now, candidates[chosen].upstream, new))
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
            tokens: (s.prompt_tokens + so_far) as f64,
            remaining,
            loaded: so_far > 0,
        }
    }

    /// Share of an engine's memory that a request must leave free. It grows with the
    /// forecast remaining length up to the whole reserve, and is 0 for urgent requests.
    fn required_reserve(&self, priority: u8, new: OwnRun) -> f64 {
        let growth = new.remaining / self.settings.look_ahead.max(1) as f64;
        match priority {
            0 => 0.0,
            _ => self.settings.urgent_reserve * growth.min(1.0),
        }
    }

    /// Upstreams that can accept a request now. If there are many, a sample is scanned from
    /// a random start, this VM's failure domain first.
    fn candidates(&mut self, now: Time, new: OwnRun, skip_avoided: bool) -> Vec<Candidate> {
        let draw: usize = self.rng.random_range(0..usize::MAX);
        let submission = &self.requests[new.key].submission;
        let Some(serving) = self.upstreams.serving(&submission.service) else {
            return Vec::new();
        };
        let scan = Scan {
            world: self,
            submission,
            new,
            now,
            skip_avoided,
            reserve: self.required_reserve(submission.priority, new),
            alternatives: (serving.local as f64 / LOCAL_SCAN.max_fitting as f64).max(1.0),
        };
        let (local, remote) = serving.keys.split_at(serving.local);
        if serving.keys.len() <= MAX_FULL_SCAN {
            return scan.all(local).chain(scan.all(remote)).collect();
        }
        let mut found = scan.sample(local, draw, LOCAL_SCAN);
        found.extend(scan.sample(remote, draw, REMOTE_SCAN));
        found
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

/// The next time at which an upstream accepts work.
#[derive(Clone, Copy, Debug)]
struct Opening {
    at: Time,
    /// Whether the upstream has asked for a pause until then.
    paused: bool,
}

/// A scan of upstreams for one request.
struct Scan<'a> {
    world: &'a World,
    submission: &'a Submission,
    new: OwnRun,
    now: Time,
    skip_avoided: bool,
    reserve: f64,
    alternatives: f64,
}

/// Limits of a sampled scan.
#[derive(Clone, Copy)]
struct ScanLimits {
    /// Maximum number of upstreams scanned.
    max_scanned: usize,
    /// Number of fitting upstreams after which the scan ends.
    max_fitting: usize,
}

const LOCAL_SCAN: ScanLimits = ScanLimits {
    max_scanned: 40,
    max_fitting: 6,
};
const REMOTE_SCAN: ScanLimits = ScanLimits {
    max_scanned: 16,
    max_fitting: 3,
};

impl Scan<'_> {
    /// The upstream at an index of a list, if it accepts work.
    fn candidate(&self, keys: &[UpstreamKey], index: usize) -> Option<Candidate> {
        let key = keys[index];
        let u = self.world.upstreams.get(key)?;
        let avoided = self.skip_avoided && self.submission.avoid.contains(&u.spec.id);
        if avoided || !u.is_available(self.now) || !self.world.admits_one_more(self.now, u) {
            return None;
        }
        let urgent = self.submission.priority == 0;
        let fill = u.fill_with(Some(self.new));
        // Urgent requests are small and do not wait for memory: the engine preempts
        // less urgent ones. An idle engine accepts even a request that is forecast to
        // exceed its memory.
        let fits = urgent
            || fill <= self.world.settings.placed_fill - self.reserve
            || u.estimated_running() == 0;
        Some(Candidate {
            upstream: key,
            running: u.estimated_running(),
            max_running: u.spec.max_running,
            fill,
            fits,
            local: u.spec.failure_domain == self.world.settings.failure_domain,
            alternatives: self.alternatives,
            backlog: u.prefill_seconds(self.now),
            cold: u.coldness(self.now),
        })
    }

    fn all(&self, keys: &[UpstreamKey]) -> impl Iterator<Item = Candidate> {
        (0..keys.len()).filter_map(|index| self.candidate(keys, index))
    }

    /// Scans part of a list, starting at the random position `draw`.
    fn sample(&self, keys: &[UpstreamKey], draw: usize, scan_limits: ScanLimits) -> Vec<Candidate> {
        let mut found = Vec::with_capacity(scan_limits.max_fitting);
        if keys.is_empty() {
            return found;
        }
        for step in 0..keys.len().min(scan_limits.max_scanned) {
            let i = (draw % keys.len() + step) % keys.len();
            if let Some(candidate) = self.candidate(keys, i)
                && candidate.fits
            {
                found.push(candidate);
                if found.len() == scan_limits.max_fitting {
                    break;
                }
            }
        }
        found
    }
}
