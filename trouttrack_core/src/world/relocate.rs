//! Choice of the upstream to which a running request is moved.

use super::tables::{RequestKey, World};
use crate::routing::UNCERTAINTY_PENALTY;
use crate::upstream::{OwnRun, Upstream, UpstreamKey};
use crate::{Time, UpstreamId};

/// Score penalty of a target outside the source's failure domain: a copy between
/// domains takes twice as long and delays other copies on the link.
const CROSS_DOMAIN_PENALTY: f64 = 1.0;
/// Score penalty per request running on a target: each one lowers the token rate of
/// the others.
const RUNNING_PENALTY: f64 = 0.01;

/// An upstream to which a running request could be moved.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Forecast memory use divided by capacity, with the request included.
    pub fill: f64,
}

impl World {
    /// Returns the best upstream to move a running request to, by forecast memory use,
    /// number of running requests and failure domain. `home` is the failure domain where
    /// the request runs, and `version` that of the software that runs it: another version
    /// cannot continue it.
    #[must_use]
    pub fn move_target(
        &self,
        now: Time,
        key: RequestKey,
        home: &str,
        version: &str,
        avoid: &[UpstreamId],
    ) -> Option<Target> {
        let row = self.requests.get(key)?;
        let source = row.upstream;
        let run = self.run_or_forecast(key)?;
        let serving = self.upstreams.serving(&row.submission.service)?;
        let usable = |k: &UpstreamKey| Some(*k) != source;
        serving
            .keys
            .iter()
            .filter(|k| usable(k))
            .filter_map(|k| self.upstreams.get(*k))
            .filter(|u| u.is_available(now) && self.admits_one_more(now, u, false))
            .filter(|u| u.spec.version == version && !avoid.contains(&u.spec.id))
            .filter_map(|u| {
                let (score, target) = score_target(u, run, home, self.settings.moved_fill)?;
                let uncertain = f64::from(self.is_uncertain(now, u));
                Some((score + uncertain * UNCERTAINTY_PENALTY, target))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }

    /// Memory use of a request on its upstream, or its forecast if it has not been placed.
    fn run_or_forecast(&self, key: RequestKey) -> Option<OwnRun> {
        let row = self.requests.get(key)?;
        let running = row
            .upstream
            .and_then(|k| self.upstreams.get(k))
            .and_then(|u| u.own_run(key));
        Some(running.unwrap_or_else(|| self.forecast(key, &row.submission, 0)))
    }

    /// Free memory, in tokens, over all upstreams of a failure domain that accept work.
    #[must_use]
    pub fn free_tokens_in_domain(&self, now: Time, service: &str, home: &str) -> f64 {
        let serving = self.upstreams.serving(service);
        let keys = serving.map_or(&[][..], |s| &s.keys);
        let rows = keys.iter().filter_map(|k| self.upstreams.get(*k));
        rows.filter(|u| u.is_available(now) && u.spec.failure_domain == home)
            .map(|u| (u.spec.capacity_tokens as f64 - u.peak_tokens(None)).max(0.0))
            .sum()
    }

    /// Memory held by a request, in tokens.
    #[must_use]
    pub fn held_tokens(&self, key: RequestKey) -> f64 {
        self.run_or_forecast(key).map_or(0.0, |run| run.tokens)
    }

    /// Records that a request has been moved to the upstream `to`.
    pub fn relocate(&mut self, now: Time, key: RequestKey, to: &str) {
        let Some(run) = self.run_or_forecast(key) else {
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
            u.record_handover(now);
        }
    }
}

fn score_target(u: &Upstream, run: OwnRun, home: &str, max_fill: f64) -> Option<(f64, Target)> {
    let fill = u.fill_with(Some(run));
    if fill > max_fill {
        return None;
    }
    let domain_penalty = match u.spec.failure_domain == home {
        true => 0.0,
        false => CROSS_DOMAIN_PENALTY,
    };
    let score = fill + domain_penalty + RUNNING_PENALTY * u.estimated_running() as f64;
    let upstream = u.spec.id.clone();
    Some((score, Target { upstream, fill }))
}
