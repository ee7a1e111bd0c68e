//! Upstreams that refuse connections: logs changes and notifies the other VMs.

use super::scheduler::Scheduler;
use std::time::Duration;
use trouttrack_core::UpstreamId;
use trouttrack_core::upstream::{Incarnation, Upstream};
use trouttrack_core::world::{ClosedUpstreams, ReachabilityChange};
use trouttrack_telemetry::{events, record};

impl Scheduler {
    /// Records that an upstream's address refused a connection of this VM.
    pub fn connection_refused(&self, upstream: &Incarnation) {
        let now = self.clock.now();
        let mut world = self.world.borrow_mut();
        world.record_connection_refused(now, upstream);
        drop(world);
        self.report_reachability();
    }

    /// Logs which upstreams became unreachable or reachable, and notifies the other VMs of what
    /// this VM has observed.
    pub(super) fn report_reachability(&self) {
        let changes = self.world.borrow_mut().take_reachability_changes();
        if changes.iter().any(|change| change.peer.is_none()) {
            self.schedule_load_update();
        }
        changes.iter().for_each(log_change);
    }

    /// Sets whether departures of upstreams cannot be learned, because the store is silent.
    pub(crate) fn set_store_silent(&self, silent: bool) {
        let now = self.clock.now();
        self.world.borrow_mut().set_store_silent(now, silent);
    }

    /// Number of upstreams whose address refused the last connection.
    #[must_use]
    pub fn unreachable(&self) -> usize {
        self.world.borrow().unreachable()
    }

    /// Whether an upstream is known to be unreachable.
    #[must_use]
    pub fn refuses_connections(&self, upstream: &str) -> bool {
        let world = self.world.borrow();
        let row = world.upstreams.get_by_id(upstream);
        row.is_some_and(Upstream::refuses_connections)
    }

    /// Whether an upstream of a service that is not in `tried` may be given a request now.
    #[must_use]
    pub(crate) fn has_untried(
        &self,
        service: &str,
        version: Option<&str>,
        tried: &[UpstreamId],
    ) -> bool {
        let now = self.clock.now();
        let world = self.world.borrow();
        world.has_untried(now, service, version, tried)
    }

    /// Logs why all upstreams of a service get no requests, unless that was logged last.
    pub(crate) fn report_closed(&self, service: &str) {
        let closed = self
            .world
            .borrow()
            .closed_upstreams(self.clock.now(), service);
        let mut reported = self.reported_closed.borrow_mut();
        if reported.insert(service.to_owned(), closed) != Some(closed) {
            log_closed(service, &closed);
        }
    }

    /// Time until an upstream of a service may be given a request again, if that is known.
    #[must_use]
    pub(crate) fn available_in(&self, service: &str) -> Option<Duration> {
        let now = self.clock.now();
        let at = self.world.borrow().available_at(now, service)?;
        Some(at.saturating_sub(now))
    }
}

fn log_closed(service: &str, closed: &ClosedUpstreams) {
    record!(
        events::SERVICE_UNREACHABLE,
        service = service,
        listed = closed.listed,
        failed = closed.failed,
        refused = closed.refused,
        reported = closed.reported,
        used_by_peers = closed.used_by_peers,
    );
}

fn log_change(change: &ReachabilityChange) {
    let upstream = change.upstream.id.as_str();
    let (born, age_ms) = (change.upstream.born, change.age.as_millis() as u64);
    let peer = change.peer.as_deref();
    match change.reachable {
        false => record!(
            events::CONNECTION_REFUSED,
            upstream = upstream,
            born = born,
            peer = peer,
            age_ms = age_ms,
        ),
        true => record!(
            events::REACHABLE_AGAIN,
            upstream = upstream,
            born = born,
            peer = peer,
            age_ms = age_ms,
        ),
    }
}
