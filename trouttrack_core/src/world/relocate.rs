//! Moving a running request to another upstream.

use super::tables::{RequestKey, World};
use crate::upstream::{OwnRun, Upstream, UpstreamKey};
use crate::{Time, UpstreamId};

/// Added to a target's score when it stands in another failure domain than the
/// source: copies there take twice as long, while others wait for the link.
const FAR: f64 = 1.0;
/// What each running request adds to a target's score: every one slows the
/// tokens of the others.
const PER_RUNNING: f64 = 0.01;

/// An upstream to which a running request could be moved.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Forecast memory over capacity with the request there.
    pub fill: f64,
}

impl World {
    /// The best upstream to move a running request to, by forecast memory and
    /// distance from `home`, the failure domain where it runs.
    #[must_use]
    pub fn target(
        &self,
        now: Time,
        key: RequestKey,
        home: &str,
        avoid: &[UpstreamId],
    ) -> Option<Target> {
        let row = self.requests.get(key)?;
        let source = row.upstream;
        let run = self.run_of(key)?;
        let serving = self.upstreams.serving(&row.submission.service)?;
        let usable = |k: &UpstreamKey| Some(*k) != source;
        serving
            .keys
            .iter()
            .filter(|k| usable(k))
            .filter_map(|k| self.upstreams.get(*k))
            .filter(|u| u.open(now) && self.bears_one_more(now, u))
            .filter(|u| !avoid.contains(&u.spec.id))
            .filter_map(|u| scored(u, run, home, self.settings.moved_fill))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }

    /// What a request holds where it runs, or would hold if it were placed.
    fn run_of(&self, key: RequestKey) -> Option<OwnRun> {
        let row = self.requests.get(key)?;
        let running = row
            .upstream
            .and_then(|k| self.upstreams.get(k))
            .and_then(|u| u.own_run(key));
        Some(running.unwrap_or_else(|| self.forecast(key, &row.submission, 0)))
    }

    /// Tokens of memory that other upstreams of a failure domain have room for.
    #[must_use]
    pub fn room_near(&self, now: Time, service: &str, home: &str) -> f64 {
        let serving = self.upstreams.serving(service);
        let keys = serving.map_or(&[][..], |s| &s.keys);
        let rows = keys.iter().filter_map(|k| self.upstreams.get(*k));
        rows.filter(|u| u.open(now) && u.spec.failure_domain == home)
            .map(|u| (u.spec.capacity_tokens as f64 - u.peak_tokens(None)).max(0.0))
            .sum()
    }

    /// Tokens of memory that a running request holds.
    #[must_use]
    pub fn held_tokens(&self, key: RequestKey) -> f64 {
        self.run_of(key).map_or(0.0, |run| run.tokens)
    }

    /// The request runs at another upstream from now on.
    pub fn relocate(&mut self, now: Time, key: RequestKey, to: &str) {
        let Some(run) = self.run_of(key) else {
            return;
        };
        let Some(target) = self.upstreams.key(to) else {
            return;
        };
        let Some(row) = self.requests.get_mut(key) else {
            return;
        };
        let source = row.upstream.replace(target);
        if let Some(u) = source.and_then(|k| self.upstreams.get_mut(k)) {
            u.remove(key);
        }
        if let Some(u) = self.upstreams.get_mut(target) {
            u.add_loaded(run);
            u.given(now);
        }
    }
}

fn scored(u: &Upstream, run: OwnRun, home: &str, most: f64) -> Option<(f64, Target)> {
    let fill = u.fill_with(Some(run));
    if fill > most {
        return None;
    }
    let far = match u.spec.failure_domain == home {
        true => 0.0,
        false => FAR,
    };
    let score = fill + far + PER_RUNNING * u.estimated_running() as f64;
    let upstream = u.spec.id.clone();
    Some((score, Target { upstream, fill }))
}
