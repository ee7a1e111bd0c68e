//! The systems: expire, place, refuse. Each runs over the tables once a tick.

use super::tables::{Decision, NotRunReason, RequestKey, Submission, World};
use crate::Time;
use crate::routing::{Candidate, CandidateNote, Explanation};
use crate::upstream::{OwnRun, UpstreamKey};
use rand::RngExt;
use std::collections::HashMap;
use std::time::Duration;

/// Waiting requests of a class that are tried each round, so that one that
/// fits nowhere does not hold up the ones behind it.
const HEADS: usize = 8;
/// Up to this many upstreams each is looked at.
const EXACT: usize = 16;
/// Candidates kept in an explanation.
const EXPLAINED_CANDIDATES: usize = 8;
/// The longest time that a turn is computed for; no request waits that long.
const LONGEST_TURN: Duration = Duration::from_secs(3600);
/// The shortest time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl World {
    /// Runs every system once and returns what they decided.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.expire(now);
        let mut decisions = std::mem::take(&mut self.refused);
        self.place(now, &mut decisions);
        self.give_up(now);
        self.give_up_beyond_rates(now);
        decisions.append(&mut self.refused);
        decisions
    }

    /// Refuses at once what waits for a service of which no upstream will be given
    /// work before the request's deadline. Its caller learns it 90 ms sooner where the
    /// objective is 150 ms, and when the first upstream is tried again.
    fn give_up(&mut self, now: Time) {
        let mut openings: HashMap<&str, Option<Opening>> = HashMap::new();
        let mut hopeless = Vec::new();
        for &(deadline, key) in &self.deadlines {
            let service = self.requests[key].submission.service.as_str();
            let opening = openings
                .entry(service)
                .or_insert_with(|| self.opening(now, service));
            if opening.is_none_or(|opening| opening.at > deadline) {
                hopeless.push((key, *opening));
            }
        }
        for (key, opening) in hopeless {
            let wait = opening.map_or(RETRY_AFTER, |o| o.at.saturating_sub(now));
            let reason = match opening {
                Some(Opening { rests: true, .. }) => NotRunReason::Resting,
                _ => NotRunReason::Unreachable,
            };
            self.refuse_for(key, reason, wait);
        }
    }

    /// Refuses at once what waits for a service all of whose upstreams bound their rates, and
    /// would not be reached in time even if this VM used all that its fleet may use there.
    fn give_up_beyond_rates(&mut self, now: Time) {
        let mut supplies: HashMap<&str, Option<f64>> = HashMap::new();
        let mut waiting: HashMap<&str, Vec<RequestKey>> = HashMap::new();
        for &(_, key) in &self.deadlines {
            let service = self.requests[key].submission.service.as_str();
            let supply = supplies
                .entry(service)
                .or_insert_with(|| self.bounded_supply(now, service));
            if supply.is_some() {
                waiting.entry(service).or_default().push(key);
            }
        }
        let late: Vec<(RequestKey, Duration)> = waiting
            .into_iter()
            .filter_map(|(service, keys)| Some(self.late_turns(now, keys, supplies[service]?)))
            .flatten()
            .collect();
        for (key, turn) in late {
            self.refuse_for(key, NotRunReason::RateLimited, turn.max(RETRY_AFTER));
        }
    }

    /// Those of some waiting requests whose turn comes after their deadline at so many
    /// requests a second, and when it would come.
    fn late_turns(
        &self,
        now: Time,
        mut keys: Vec<RequestKey>,
        rate: f64,
    ) -> Vec<(RequestKey, Duration)> {
        keys.sort_by_key(|key| {
            let request = &self.requests[*key];
            (request.submission.priority, request.since)
        });
        let mut late = Vec::new();
        // The first one's turn may come at any time.
        let mut before = 0;
        for key in keys {
            let turn = (f64::from(before) / rate).min(LONGEST_TURN.as_secs_f64());
            let turn = Duration::from_secs_f64(turn);
            match now + turn > self.requests[key].submission.deadline {
                true => late.push((key, turn)),
                false => before += 1,
            }
        }
        late
    }

    /// The requests a second that a service's upstreams take from the VMs that share their
    /// rates with this one; `None` if one takes as many as come, or it is not known.
    fn bounded_supply(&self, now: Time, service: &str) -> Option<f64> {
        let serving = self.upstreams.serving(service)?;
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let wanted = rows.filter(|u| u.wants_work(now));
        let rates: Option<Vec<f64>> = wanted.map(|u| self.shared_rate(now, u)).collect();
        let supply: f64 = rates?.iter().sum();
        (supply > 0.0).then_some(supply)
    }

    /// When an upstream of a service may be given work at the earliest.
    fn opening(&self, now: Time, service: &str) -> Option<Opening> {
        let serving = self.upstreams.serving(service)?;
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let openings = rows.filter_map(|u| {
            Some(Opening {
                at: u.opens_at(now)?,
                rests: !u.wants_work(now),
            })
        });
        openings.min_by_key(|opening| opening.at)
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
        self.refuse_for(key, reason, self.retry_after());
    }

    fn refuse_for(&mut self, key: RequestKey, reason: NotRunReason, retry_after: Duration) {
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
            retry_after,
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
        let new = self.forecast(key, submission, 0);
        let mut candidates = self.candidates(now, new, true);
        if candidates.is_empty() {
            // Better the same upstream again than none.
            candidates = self.candidates(now, new, false);
        }
        let chosen = self.settings.policy.choose(&candidates, &mut self.rng)?;
        self.explain(now, key, &candidates, chosen);
        Some(self.hand_over(now, candidates[chosen].upstream, new))
    }

    /// What a request holds after it has written `so_far`, and what it is
    /// forecast still to write.
    pub(crate) fn forecast(&self, key: RequestKey, s: &Submission, so_far: u64) -> OwnRun {
        let remaining = match s.known_tokens {
            Some(tokens) => tokens.saturating_sub(so_far) as f64,
            None => {
                let quantile = self.settings.growth_quantile;
                let learned = self.lengths.remaining(s.length_key, so_far, quantile);
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

    /// The share of an engine's memory that a request must leave free: the
    /// longer it is forecast to grow, the more of the reserve. What is urgent
    /// leaves none.
    fn must_leave(&self, priority: u8, new: OwnRun) -> f64 {
        let growth = new.remaining / self.settings.look_ahead.max(1) as f64;
        match priority {
            0 => 0.0,
            _ => self.settings.urgent_reserve * growth.min(1.0),
        }
    }

    /// The upstreams that may take a request now. Of many, some are looked at
    /// from a random place on, the own failure domain's first.
    fn candidates(&mut self, now: Time, new: OwnRun, avoiding: bool) -> Vec<Candidate> {
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
            avoiding,
            leave: self.must_leave(submission.priority, new),
            alternatives: (serving.local as f64 / LOCAL.enough as f64).max(1.0),
        };
        let (local, remote) = serving.keys.split_at(serving.local);
        if serving.keys.len() <= EXACT {
            return scan.all(local).chain(scan.all(remote)).collect();
        }
        let mut found = scan.some(local, draw, LOCAL);
        found.extend(scan.some(remote, draw, REMOTE));
        found
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

    fn hand_over(&mut self, now: Time, upstream: UpstreamKey, new: OwnRun) -> Decision {
        let key = new.key;
        let row = &mut self.requests[key];
        row.upstream = Some(upstream);
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
        u.add(new);
        u.given(now);
        Decision::Place {
            request: key,
            upstream: u.spec.id.clone(),
        }
    }
}

/// When an upstream may be given work again.
#[derive(Clone, Copy, Debug)]
struct Opening {
    at: Time,
    /// Whether it has asked for rest until then.
    rests: bool,
}

/// One look at upstreams for one request.
struct Scan<'a> {
    world: &'a World,
    submission: &'a Submission,
    new: OwnRun,
    now: Time,
    avoiding: bool,
    leave: f64,
    alternatives: f64,
}

/// How far a look goes.
#[derive(Clone, Copy)]
struct Bounds {
    /// Upstreams looked at.
    looks: usize,
    /// Upstreams that fit, after which it ends.
    enough: usize,
}

const LOCAL: Bounds = Bounds {
    looks: 40,
    enough: 6,
};
const REMOTE: Bounds = Bounds {
    looks: 16,
    enough: 3,
};

impl Scan<'_> {
    /// The upstream at a place of a list, if it may be given work.
    fn candidate(&self, keys: &[UpstreamKey], place: usize) -> Option<Candidate> {
        let key = keys[place];
        let u = self.world.upstreams.get(key)?;
        let avoided = self.avoiding && self.submission.avoid.contains(&u.spec.id);
        if avoided || !u.open(self.now) || !self.world.bears_one_more(self.now, u) {
            return None;
        }
        let urgent = self.submission.priority == 0;
        let fill = u.fill_with(Some(self.new));
        // What is urgent is small and never made to wait for memory: the engine
        // makes room at the cost of the least urgent. An idle engine takes even
        // a request forecast to outgrow it.
        let fits = urgent
            || fill <= self.world.settings.placed_fill - self.leave
            || u.estimated_running() == 0;
        Some(Candidate {
            upstream: key,
            running: u.estimated_running(),
            max_running: u.spec.max_running,
            fill,
            fits,
            local: u.spec.failure_domain == self.world.settings.failure_domain,
            alternatives: self.alternatives,
            backlog: u.loading_seconds(self.now),
            cold: u.coldness(self.now),
        })
    }

    fn all(&self, keys: &[UpstreamKey]) -> impl Iterator<Item = Candidate> {
        (0..keys.len()).filter_map(|place| self.candidate(keys, place))
    }

    /// Looks at some of a list, from a drawn place on.
    fn some(&self, keys: &[UpstreamKey], draw: usize, bounds: Bounds) -> Vec<Candidate> {
        let mut found = Vec::with_capacity(bounds.enough);
        if keys.is_empty() {
            return found;
        }
        for step in 0..keys.len().min(bounds.looks) {
            let i = (draw % keys.len() + step) % keys.len();
            if let Some(candidate) = self.candidate(keys, i)
                && candidate.fits
            {
                found.push(candidate);
                if found.len() == bounds.enough {
                    break;
                }
            }
        }
        found
    }
}
