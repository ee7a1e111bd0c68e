//! Claims: upstreams reserved for a large request that smaller ones would keep overtaking.

use crate::Time;
use crate::upstream::UpstreamKey;
use crate::world::tables::{RequestKey, World};
use std::collections::HashMap;

/// Fraction of its wait after which a request claims an upstream.
const CLAIM_AFTER: f64 = 0.5;

/// Claims of one scheduling round, at most one for each service.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    by_upstream: HashMap<UpstreamKey, Claim>,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    class: u8,
    request: RequestKey,
}

impl Claims {
    pub(crate) fn clear(&mut self) {
        self.by_upstream.clear();
    }

    /// Whether an upstream is left to another request that is no less urgent.
    pub(crate) fn excludes(&self, upstream: UpstreamKey, class: u8, request: RequestKey) -> bool {
        let claim = self.by_upstream.get(&upstream);
        claim.is_some_and(|c| c.request != request && c.class <= class)
    }
}

impl World {
    /// Claims the emptiest upstream for a request that did not fit and has used up
    /// [`CLAIM_AFTER`] of the time for which it may wait. Memory that becomes free there is then
    /// left to it.
    pub(crate) fn claim_upstream(&mut self, now: Time, key: RequestKey) {
        let row = &self.requests[key];
        let s = &row.submission;
        let (waited, wait) = (
            now.saturating_sub(row.since),
            s.deadline.saturating_sub(row.since),
        );
        if !self.settings.admission.claim_for_large
            || s.prompt_tokens == 0
            || waited < wait.mul_f64(CLAIM_AFTER)
        {
            return;
        }
        let Some(serving) = self.upstreams.serving(&s.service) else {
            return;
        };
        let claimed = |k: &UpstreamKey| self.claims.by_upstream.contains_key(k);
        if serving.keys.iter().any(claimed) {
            return;
        }
        let rows = serving
            .keys
            .iter()
            .filter_map(|&k| Some((k, self.upstreams.get(k)?)));
        let fills = rows
            .filter(|(_, u)| u.is_available(now) && s.accepts_version(&u.spec.version))
            .map(|(k, u)| (k, u.fill_with(None)));
        let emptiest = fills.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(k, _)| k);
        let claim = Claim {
            class: s.priority,
            request: key,
        };
        if let Some(upstream) = emptiest {
            self.claims.by_upstream.insert(upstream, claim);
        }
    }
}
