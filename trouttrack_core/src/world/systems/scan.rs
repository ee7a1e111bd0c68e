//! Finds the upstreams that a request may be placed on.

use crate::Time;
use crate::routing::{Candidate, PredictedRequest};
use crate::upstream::{OwnRun, ServiceUpstreams, Upstream, UpstreamKey, prefill_seconds};
use crate::world::tables::{Submission, World};
use rand::RngExt;
use rand::seq::SliceRandom;

/// Number of brittle upstreams among which the best one is chosen. All VMs see the same one of them
/// as the best, and several would place a request there before they hear of each other's.
const BRITTLE_CHOICES: usize = 2;
/// Share of the memory that requests leave free, while a service has several software versions, on
/// upstreams of one that few have: what its streams have begun can go on only there.
const SCARCE_VERSION_RESERVE: f64 = 0.25;
/// Up to this number of upstreams all are scanned; of more, a sample.
const MAX_FULL_SCAN: usize = 16;

impl World {
    /// Upstreams that can accept a request now. If there are many, a sample is scanned from
    /// a random start, this VM's failure domain first.
    pub(super) fn candidates(
        &mut self,
        now: Time,
        new: OwnRun,
        skip_avoided: bool,
    ) -> Vec<Candidate> {
        let start: usize = self.rng.random_range(0..usize::MAX);
        let row = &self.requests[new.key];
        let submission = &row.submission;
        let Some(serving) = self.upstreams.serving(&submission.service) else {
            return Vec::new();
        };
        let reserve = match submission.version {
            // The work that it has done would be lost, and few upstreams may continue it.
            Some(_) => 0.0,
            None => {
                self.required_reserve(submission.priority, new)
                    + self.kept_room(now, row.since, submission).fraction
            }
        };
        let scan = Scan {
            world: self,
            serving,
            submission,
            new,
            now,
            skip_avoided,
            reserve,
            request: self.predicted_request(now, submission, new),
            has_waited: row.since < now,
            alternatives: (serving.local as f64 / LOCAL_SCAN.max_fitting).max(1.0),
        };
        let (local, remote) = serving.keys.split_at(serving.local);
        // A sample may miss the upstreams of a version.
        let is_full = submission.version.is_some() || serving.keys.len() <= MAX_FULL_SCAN;
        let mut found: Vec<Candidate> = match is_full {
            true => scan.all(local).chain(scan.all(remote)).collect(),
            false => {
                let mut found = scan.sample(local, start, LOCAL_SCAN);
                found.extend(scan.sample(remote, start, REMOTE_SCAN));
                found
            }
        };
        let is_brittle = |c: &Candidate| {
            let row = self.upstreams.get(c.upstream);
            row.is_some_and(Upstream::is_brittle)
        };
        if found.len() > BRITTLE_CHOICES && found.iter().any(is_brittle) {
            found.shuffle(&mut self.rng);
            found.truncate(BRITTLE_CHOICES);
        }
        found
    }

    /// A request as its latency is predicted.
    fn predicted_request(&self, now: Time, s: &Submission, new: OwnRun) -> PredictedRequest {
        PredictedRequest {
            prompt_tokens: s.prompt_tokens as f64,
            output_tokens: new.remaining,
            time_left: s.service_level.time_left(now),
            longest_pause: s.service_level.longest_pause,
            time_to_expiry: s.service_level.expires.saturating_sub(now),
        }
    }
}

/// A scan of upstreams for one request.
struct Scan<'a> {
    world: &'a World,
    /// The upstreams of its service.
    serving: &'a ServiceUpstreams,
    submission: &'a Submission,
    new: OwnRun,
    now: Time,
    skip_avoided: bool,
    /// Share of the memory that stays free for growth and for more urgent requests.
    reserve: f64,
    request: PredictedRequest,
    /// Whether the request has found no place before.
    has_waited: bool,
    /// Number of local upstreams for each that a sample has, at least 1.
    alternatives: f64,
}

/// Limits of a sampled scan.
#[derive(Clone, Copy)]
struct ScanLimits {
    /// Maximum number of upstreams scanned.
    max_scanned: usize,
    /// Number of typical fitting upstreams after which the scan ends; others count by their
    /// share.
    max_fitting: f64,
}

/// Limits in this VM's failure domain.
const LOCAL_SCAN: ScanLimits = ScanLimits {
    max_scanned: 40,
    max_fitting: 6.0,
};
/// Limits in other failure domains, of which a few good candidates are enough.
const REMOTE_SCAN: ScanLimits = ScanLimits {
    max_scanned: 16,
    max_fitting: 3.0,
};

impl Scan<'_> {
    /// The upstream at an index of a list, if it accepts work.
    fn candidate(&self, keys: &[UpstreamKey], index: usize) -> Option<Candidate> {
        let key = keys[index];
        let u = self.world.upstreams.get(key)?;
        if !self.submission.accepts_version(&u.spec.version) {
            return None;
        }
        let avoided = self.skip_avoided && self.submission.avoid.contains(&u.spec.id);
        if avoided
            || !u.is_available(self.now)
            || !self.world.admits_one_more(self.now, u, self.has_waited)
        {
            return None;
        }
        // Urgent requests would wait at the upstream, and a brittle one rejects them then.
        let urgent = self.submission.priority == 0 && !u.is_brittle();
        let load = u.predicted_load(self.now, self.submission.prompt_tokens);
        let running = u.estimated_running();
        let fill = u.fill_with(Some(self.new));
        // Urgent requests are small and do not wait for memory: the engine preempts
        // less urgent ones. An idle engine accepts even a request that is forecast to
        // exceed its memory.
        let claimed = (self.world.claims).excludes(key, self.submission.priority, self.new.key);
        let is_begun = self.submission.version.is_some();
        let scarce = match !is_begun && self.serving.is_scarce(&u.spec.version) {
            true => SCARCE_VERSION_RESERVE,
            false => 0.0,
        };
        let limit = self.world.settings.placed_fill - self.reserve - scarce;
        let fits = urgent || !claimed && (fill <= limit || u.is_idle());
        Some(Candidate {
            upstream: key,
            running,
            max_running: u.spec.max_running,
            fill,
            fits,
            local: u.spec.failure_domain == self.world.settings.failure_domain,
            alternatives: self.alternatives,
            backlog: prefill_seconds(load.prompts_ahead),
            cold: u.coldness(self.now),
            uncertain: self.world.is_uncertain(self.now, u),
            prediction: self.request.predict(&load, &u.service_rate(self.now)),
        })
    }

    fn all(&self, keys: &[UpstreamKey]) -> impl Iterator<Item = Candidate> {
        (0..keys.len()).filter_map(|index| self.candidate(keys, index))
    }

    /// Scans part of a list, starting at the random position `draw`.
    fn sample(&self, keys: &[UpstreamKey], draw: usize, scan_limits: ScanLimits) -> Vec<Candidate> {
        let mut found = Vec::with_capacity(scan_limits.max_fitting as usize);
        let mut seen = 0.0;
        if keys.is_empty() {
            return found;
        }
        for step in 0..keys.len().min(scan_limits.max_scanned) {
            let i = (draw % keys.len() + step) % keys.len();
            if let Some(candidate) = self.candidate(keys, i)
                && candidate.fits
            {
                seen += candidate.prediction.sample_share();
                found.push(candidate);
                if seen >= scan_limits.max_fitting {
                    break;
                }
            }
        }
        found
    }
}
