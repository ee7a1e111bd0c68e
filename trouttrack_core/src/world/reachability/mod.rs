//! Upstreams that refuse connections: observations of this VM, and the reports of peers.
//!
//! Only reports from the same failure domain count: a network partition refuses connections as
//! well, and what cannot be reached from one failure domain may be reachable from another.

mod reports;

use super::tables::{RequestKey, World};
use crate::upstream::{Incarnation, Upstream};
use crate::{Time, UpstreamId};
use std::time::Duration;

/// Time within which the output of a busy engine reaches this VM or is reported by a peer.
const RESPONSE_REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of changes kept until they are taken.
const MAX_CHANGES: usize = 256;

/// An upstream that became unreachable or reachable to this VM's knowledge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachabilityChange {
    /// The upstream.
    pub upstream: Incarnation,
    /// Whether it is reachable from now on.
    pub reachable: bool,
    /// The peer that reported it; `None` if this VM observed it.
    pub peer: Option<String>,
    /// Age of the observation.
    pub age: Duration,
}

impl World {
    /// Records that an upstream's address refused a connection of this VM.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::upstream::{Incarnation, UpstreamSpec};
    /// use trouttrack_core::world::{World, WorldSettings};
    /// # let settings = WorldSettings {
    /// #     failure_domain: "a".into(),
    /// #     ageing: Duration::from_secs(5),
    /// #     max_wait: Duration::from_secs(30),
    /// #     max_queued: 100,
    /// #     urgent_reserve: 0.1,
    /// #     growth_quantile: 0.8,
    /// #     placed_fill: 1.0,
    /// #     moved_fill: 1.0,
    /// #     look_ahead: 512,
    /// #     policy: "trouttrack".parse().unwrap(),
    /// #     admission: trouttrack_core::world::AdmissionSettings::OFF,
    /// #     seed: 1,
    /// # };
    /// let mut world = World::new(settings);
    /// world.put_upstream(UpstreamSpec {
    ///     version: String::new(),
    ///     id: "e1".into(),
    ///     failure_domain: "a".into(),
    ///     services: vec!["lookup".into()],
    ///     capacity_tokens: 1000,
    ///     max_running: 8,
    ///     warm_up_ends_at: Duration::ZERO,
    ///     born: 7,
    ///     cold_rate: 0.0,
    /// });
    /// let now = Duration::from_secs(1);
    /// world.record_connection_refused(now, &Incarnation::new("e1", 7));
    /// assert!(!world.upstreams.get_by_id("e1").unwrap().is_available(now));
    /// ```
    pub fn record_connection_refused(&mut self, now: Time, upstream: &Incarnation) {
        if self.reachability.entry(now, upstream).record_refusal(now) {
            self.reachability_changed(upstream, false, None, Duration::ZERO);
        }
    }

    /// Records that the request's upstream has responded. A request submitted before a
    /// connection was refused does not show that connections are accepted again.
    pub fn record_response(&mut self, now: Time, key: RequestKey) {
        let Some(row) = self.requests.get(key) else {
            return;
        };
        let since = row.since;
        let Some(u) = row.upstream.and_then(|k| self.upstreams.get_mut(k)) else {
            return;
        };
        u.last_response_at = Some(now);
        u.reached_at = u.reached_at.max(Some(since));
        if !u.reachability.is_disproved_by(since) {
            return;
        }
        let incarnation = u.incarnation();
        let row = self.reachability.entry(now, &incarnation);
        match row.record_answer(now) {
            true => self.reachability_changed(&incarnation, true, None, Duration::ZERO),
            false => self.refresh_status(&incarnation.id),
        }
    }

    /// Returns the changes since the last call, to be logged and reported to peers.
    pub fn take_reachability_changes(&mut self) -> Vec<ReachabilityChange> {
        std::mem::take(&mut self.reachability_changes)
    }

    /// Number of upstreams whose address refused the last connection.
    #[must_use]
    pub fn unreachable(&self) -> usize {
        let rows = self.upstreams.iter();
        rows.filter(|(_, u)| u.refuses_connections()).count()
    }

    /// Whether an upstream of a service that is not in `tried` accepts requests and is not
    /// known to be unreachable. With `version`, only upstreams of that software count.
    #[must_use]
    pub fn has_untried(
        &self,
        now: Time,
        service: &str,
        version: Option<&str>,
        tried: &[UpstreamId],
    ) -> bool {
        let may_try = |u: &Upstream| {
            let opens_at = u.available_at(now);
            opens_at.is_some_and(|at| at <= now)
                && version.is_none_or(|version| u.spec.version == version)
                && !tried.contains(&u.spec.id)
        };
        self.serving_rows(service).any(may_try)
    }

    /// Earliest time at which an upstream of a service may be given a request again.
    #[must_use]
    pub fn available_at(&self, now: Time, service: &str) -> Option<Time> {
        let opens_at = self.serving_rows(service).map(|u| u.available_at(now));
        opens_at.flatten().min()
    }

    /// Sets whether departures of upstreams cannot be learned, because the store does not
    /// answer. An engine without a response since then may have left.
    pub fn set_store_silent(&mut self, now: Time, silent: bool) {
        self.store_silent_since = silent.then(|| self.store_silent_since.unwrap_or(now));
    }

    /// Whether an engine may have left without this VM's knowledge. Peers do not report the answers
    /// to plain calls, so nothing is concluded from silence about a plain upstream.
    pub(super) fn is_uncertain(&self, now: Time, u: &Upstream) -> bool {
        let silent_since = self.store_silent_since;
        let since = silent_since.filter(|at| now.saturating_sub(*at) >= RESPONSE_REPORT_PERIOD);
        let is_engine = u.spec.capacity_tokens > 0;
        is_engine && since.is_some_and(|since| u.is_silent_since(since))
    }

    pub(super) fn serving_rows(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        let serving = self.upstreams.serving(service);
        let keys = serving.map_or(&[][..], |s| &s.keys);
        keys.iter().filter_map(|k| self.upstreams.get(*k))
    }

    fn reachability_changed(
        &mut self,
        upstream: &Incarnation,
        reachable: bool,
        peer: Option<&str>,
        age: Duration,
    ) {
        self.refresh_status(&upstream.id);
        if self.reachability_changes.len() < MAX_CHANGES {
            self.reachability_changes.push(ReachabilityChange {
                upstream: upstream.clone(),
                reachable,
                peer: peer.map(str::to_owned),
                age,
            });
        }
    }
}
