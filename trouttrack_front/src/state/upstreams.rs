//! The upstreams listed in the store.

use super::clock::Clock;
use super::deferred::DeferredEntries;
use super::origins::Origins;
use super::upstream::Upstream;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::fleet::{RouteTable, ServiceSpec};
use trouttrack_core::membership::{DepartureWords, Entries, KnownRevisions, Removal, Revision};
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::{Incarnation, UpstreamSpec};
use trouttrack_core::{ServiceId, SoftwareVersion, Time, UpstreamId};
use trouttrack_platform::UpstreamEntry;
use trouttrack_telemetry::{events, record};

/// The effect of an entry on the table.
#[derive(Debug, Default)]
pub struct Seen {
    /// The incarnation that this entry replaces, if any. State collected about it does not
    /// apply to the new one.
    pub before: Option<Rc<Upstream>>,
    /// The upstream, if this entry is the first to announce its departure.
    pub leaves: Option<Rc<Upstream>>,
}

/// All upstreams listed in the store, and those whose entries lapsed and may come back.
#[derive(Debug)]
pub struct Upstreams {
    clock: Clock,
    /// Counts the upstreams of each version.
    origins: Option<Rc<Origins>>,
    by_id: RefCell<HashMap<UpstreamId, Rc<Upstream>>>,
    /// The upstream that was listed last with an address.
    by_addr: RefCell<HashMap<SocketAddr, UpstreamId>>,
    pub(super) entries: RefCell<Entries>,
    /// Removed upstreams, and listed entries whose removal was undone by a restore of the store.
    pub(super) deferred: RefCell<DeferredEntries>,
    /// What VMs tell each other about upstreams that leave.
    pub(super) departure_words: RefCell<DepartureWords>,
    listed: Cell<bool>,
    /// Store revisions up to which the entries are known.
    known: RefCell<KnownRevisions>,
    /// Highest store revision seen so far.
    store_at: Cell<Revision>,
    /// Whether upstreams of this fleet write their start time. If so, an entry without one
    /// was written by something else.
    publishes_start_times: Cell<bool>,
    /// The services used when all rows were last rebuilt.
    rows_made_for: RefCell<Option<Vec<ServiceSpec>>>,
}

impl Upstreams {
    /// Creates an empty table.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            origins: None,
            by_id: RefCell::default(),
            by_addr: RefCell::default(),
            entries: RefCell::default(),
            deferred: RefCell::default(),
            departure_words: RefCell::default(),
            listed: Cell::new(false),
            known: RefCell::default(),
            store_at: Cell::default(),
            publishes_start_times: Cell::new(false),
            rows_made_for: RefCell::default(),
        }
    }

    /// The same table, whose upstreams are counted by version.
    #[must_use]
    pub fn counted_in(mut self, origins: Rc<Origins>) -> Self {
        self.origins = Some(origins);
        self
    }

    /// Returns the upstream with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Rc<Upstream>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// Whether this is the incarnation that is listed now.
    #[must_use]
    pub fn is_current(&self, upstream: &Rc<Upstream>) -> bool {
        let by_id = self.by_id.borrow();
        let listed = by_id.get(&upstream.id);
        listed.is_some_and(|listed| Rc::ptr_eq(listed, upstream))
    }

    /// Returns the upstream that accepts requests at an address.
    #[must_use]
    pub fn at(&self, addr: SocketAddr) -> Option<Rc<Upstream>> {
        let by_addr = self.by_addr.borrow();
        self.get(by_addr.get(&addr)?)
    }

    /// Returns a random upstream at another address that is not known to leave.
    #[must_use]
    pub(crate) fn other_than(&self, addr: SocketAddr) -> Option<Rc<Upstream>> {
        let by_id = self.by_id.borrow();
        let others = by_id.values().filter(|u| u.addr != addr && !u.is_leaving());
        others.choose(&mut rand::rng()).cloned()
    }

    /// The current time on this table's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Calls `f` for every known upstream, with `true` if its entry has lapsed, that is, has
    /// disappeared but may come back.
    pub fn for_each(&self, mut f: impl FnMut(&Upstream, bool)) {
        let entries = self.entries.borrow();
        for upstream in self.by_id.borrow().values() {
            f(upstream, entries.is_lapsed(&upstream.id));
        }
    }

    /// Store revision up to which the entries are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.known.borrow().all()
    }

    /// Records that the entries are known up to a revision.
    pub fn advance(&self, revision: Revision) {
        self.known.borrow_mut().advance(revision);
    }

    /// As [`KnownRevisions::accept`].
    pub fn accept(&self, id: &str, revision: Revision) -> bool {
        self.known.borrow_mut().accept(id, revision)
    }

    /// As [`KnownRevisions::accept_listed`].
    pub fn accept_listed(&self, id: &str, revision: Revision) -> bool {
        self.known.borrow_mut().accept_listed(id, revision)
    }

    /// Records that the store has reached a revision.
    pub fn store_is_at(&self, revision: Revision) {
        self.store_at.set(self.store_at.get().max(revision));
    }

    /// Records that upstreams of this fleet write their start time.
    pub fn set_publishes_start_times(&self) {
        self.publishes_start_times.set(true);
    }

    /// Whether upstreams of this fleet write their start time.
    #[must_use]
    pub fn publishes_start_times(&self) -> bool {
        self.publishes_start_times.get()
    }

    /// Whether the store has changed since the entries were last read. The change may
    /// concern other keys.
    #[must_use]
    pub fn may_have_missed(&self) -> bool {
        self.is_listed() && self.store_at.get() > self.revision()
    }

    /// Whether a full list has been received.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed.get()
    }

    /// Defers a listed entry if a restore of the store has undone its removal. Returns whether
    /// it was deferred. [`Self::take_deferred`] returns it if it is still listed after
    /// [`RESTORE_GRACE`].
    ///
    /// [`RESTORE_GRACE`]: trouttrack_core::membership::RESTORE_GRACE
    pub fn defer_if_undone(&self, id: &str, revision: Revision, entry: &UpstreamEntry) -> bool {
        let mut deferred = self.deferred.borrow_mut();
        if self.get(id).is_some() {
            deferred.remove(id);
            return false;
        }
        deferred.defer(self.clock.now(), id, revision, entry)
    }

    /// Removes and returns the deferred entries that are still listed after the grace period.
    pub fn take_deferred(&self) -> Vec<(UpstreamId, Revision, UpstreamEntry)> {
        self.deferred.borrow_mut().take_due(self.clock.now())
    }

    /// Applies an entry and returns its effect. An entry of an earlier incarnation is ignored.
    pub fn seen(&self, id: &str, revision: Revision, entry: UpstreamEntry) -> Seen {
        let known = self.get(id);
        let incarnation = Incarnation::new(id, entry.born);
        if known
            .as_ref()
            .is_some_and(|u| u.incarnation().is_after(&incarnation))
        {
            record!(
                events::EARLIER_LIFE,
                upstream = id,
                born = entry.born,
                epoch = revision.epoch,
                revision = revision.number,
            );
            return Seen::default();
        }
        self.entries.borrow_mut().listed(id);
        let leaving = entry.leaving;
        let (upstream, before) = match known {
            Some(known) if known.is_same_incarnation(&entry) => {
                self.update_cold_for(&known, entry.cold_for);
                self.learn_version(&known, &entry.version);
                (known, None)
            }
            before => (self.add(id, revision, entry), before),
        };
        if let Some(before) = &before {
            self.depart(before, self.departure_now(), "new incarnation");
        }
        let leaves = leaving && self.depart(&upstream, self.departure_now(), "announced");
        Seen {
            before,
            leaves: leaves.then_some(upstream),
        }
    }

    /// Updates the remaining warm-up time of a known upstream. An upstream may turn cold at any
    /// time, and may be warm earlier than it announced.
    fn update_cold_for(&self, upstream: &Upstream, cold_for: Duration) {
        upstream.warm_up_until(self.clock.now() + cold_for);
        if !cold_for.is_zero() {
            record!(
                events::UPSTREAM_COLD,
                upstream = upstream.id.as_str(),
                cold_ms = cold_for.as_millis() as u64,
            );
        }
    }

    /// Inserts an upstream that is new, or whose address, service or start time has changed.
    fn add(&self, id: &str, revision: Revision, entry: UpstreamEntry) -> Rc<Upstream> {
        if self.is_listed() {
            log_new_upstream(id, revision, &entry);
        }
        let new = Rc::new(Upstream::new(id, entry, self.clock.now()));
        let mut by_addr = self.by_addr.borrow_mut();
        let before = self
            .by_id
            .borrow_mut()
            .insert(id.to_owned(), Rc::clone(&new));
        if let Some(before) = before {
            remove_addr(&mut by_addr, &before);
            self.uncount(&before);
        }
        self.count(&new);
        by_addr.insert(new.addr, id.to_owned());
        new
    }

    /// Sets the version of a known upstream that only peers told of that do not report it.
    fn learn_version(&self, upstream: &Upstream, version: &str) {
        let before = upstream.version().to_owned();
        if upstream.learn_version(version)
            && let Some(origins) = &self.origins
        {
            origins.versions.remove(&upstream.service, &before);
            self.count(upstream);
        }
    }

    fn count(&self, upstream: &Upstream) {
        if let Some(origins) = &self.origins {
            origins.versions.add(&upstream.service, upstream.version());
        }
    }

    fn uncount(&self, upstream: &Upstream) {
        if let Some(origins) = &self.origins {
            origins
                .versions
                .remove(&upstream.service, upstream.version());
        }
    }

    /// The service and version of an upstream to which `f` applies and whose version is known.
    #[must_use]
    pub fn find_version(
        &self,
        f: impl Fn(&Upstream) -> bool,
    ) -> Option<(ServiceId, SoftwareVersion)> {
        let by_id = self.by_id.borrow();
        let found = by_id.values().find(|u| !u.version().is_empty() && f(u))?;
        Some((found.service.clone(), found.version().to_owned()))
    }

    /// Marks an upstream as leaving. Returns `false` if it already was.
    pub fn depart(&self, upstream: &Upstream, departure: Departure, how: &str) -> bool {
        if upstream.is_leaving() {
            return false;
        }
        upstream.announce_departure(departure);
        record!(
            events::DEPARTURE,
            upstream = upstream.id.as_str(),
            how = how,
        );
        true
    }

    /// A departure noticed at the current time.
    fn departure_now(&self) -> Departure {
        Departure::from_notice(self.clock.now())
    }

    /// Removes an upstream whose entry cannot be parsed. An invalid entry does not confirm that
    /// the upstream is alive, so it is removed at once, even during an outage of the store.
    /// Returns it if it was known.
    pub fn removed_as_unreadable(&self, id: &str) -> Option<Rc<Upstream>> {
        self.deferred.borrow_mut().remove(id);
        self.entries.borrow_mut().forget(id);
        self.remove_known(id)
    }

    /// Applies the ids of a full list as of a revision. Returns the upstreams that were removed.
    pub fn listed(&self, ids: &HashSet<&str>, revision: Revision) -> Vec<Rc<Upstream>> {
        let is_first = self.deferred.borrow_mut().retain_listed(ids, revision);
        if is_first && self.listed.get() {
            self.entries.borrow_mut().store_restored(self.clock.now());
        }
        self.listed.set(true);
        let missing: Vec<UpstreamId> = {
            let entries = self.entries.borrow();
            let missing = entries.ids().filter(|id| !ids.contains(id.as_str()));
            missing.cloned().collect()
        };
        let missing = missing.iter();
        let gone = missing.filter(|id| self.accept_listed(id, revision));
        gone.filter_map(|id| self.removed(id, None)).collect()
    }

    /// Marks an entry as lapsed because a peer reported it so: it disappeared around an outage
    /// of the store.
    pub fn lapsed(&self, id: &str) {
        let now = self.clock.now();
        self.entries.borrow_mut().lapsed(now, id);
    }

    /// Removes and returns the upstreams whose entries lapsed and can no longer come back.
    pub fn expired(&self) -> Vec<Rc<Upstream>> {
        let gone = self.entries.borrow_mut().take_expired(self.clock.now());
        gone.iter().filter_map(|id| self.remove_known(id)).collect()
    }

    pub(super) fn remove_known(&self, id: &str) -> Option<Rc<Upstream>> {
        let upstream = self.by_id.borrow_mut().remove(id)?;
        remove_addr(&mut self.by_addr.borrow_mut(), &upstream);
        self.uncount(&upstream);
        record!(events::UPSTREAM_GONE, upstream = id);
        let mut deferred = self.deferred.borrow_mut();
        deferred.record_removal(self.clock.now(), &upstream.incarnation(), self.revision());
        drop(deferred);
        self.depart(&upstream, self.departure_now(), "entry disappeared");
        Some(upstream)
    }

    /// When [`Self::expired`] has something to return next.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries.borrow().next_expiry()
    }

    /// As [`Entries::read_removal`].
    #[must_use]
    pub fn read_removal(&self) -> Option<Removal> {
        self.entries.borrow().read_removal(self.clock.now())
    }

    /// As [`Entries::store_lost`].
    pub fn store_lost(&self) {
        self.entries.borrow_mut().store_lost();
    }

    /// As [`Entries::store_recovered`].
    pub fn store_recovered(&self) {
        self.entries.borrow_mut().store_recovered(self.clock.now());
    }

    /// As [`Entries::answered`].
    pub fn store_answered(&self, longest: Duration, is_peer_served: bool) {
        let (now, mut entries) = (self.clock.now(), self.entries.borrow_mut());
        entries.answered(now, longest, is_peer_served);
    }

    /// Records that the store answered a peer so long ago.
    pub fn store_answered_peer(&self, age: Duration) {
        let at = self.clock.now().saturating_sub(age);
        self.entries.borrow_mut().served(at);
    }

    /// Records the services for which all rows were rebuilt.
    pub fn set_rows_for(&self, services: &[ServiceSpec]) {
        *self.rows_made_for.borrow_mut() = Some(services.to_vec());
    }

    /// Whether all rows are up to date for these services.
    #[must_use]
    pub fn has_rows_for(&self, services: &[ServiceSpec]) -> bool {
        self.rows_made_for.borrow().as_deref() == Some(services)
    }

    /// The scheduler rows of all upstreams, sorted by id.
    #[must_use]
    pub fn specs(&self, table: &RouteTable) -> Vec<UpstreamSpec> {
        let by_id = self.by_id.borrow();
        let mut specs: Vec<UpstreamSpec> = by_id.values().map(|u| spec(u, table)).collect();
        // The order of candidates must not depend on the map's iteration order.
        specs.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        specs
    }

    /// The scheduler row of one upstream.
    #[must_use]
    pub fn spec_of(&self, id: &str, table: &RouteTable) -> Option<UpstreamSpec> {
        let by_id = self.by_id.borrow();
        by_id.get(id).map(|u| spec(u, table))
    }

    /// Ids of the upstreams that meet a condition.
    #[must_use]
    pub(crate) fn ids_where(&self, condition: impl Fn(&Upstream) -> bool) -> Vec<UpstreamId> {
        let by_id = self.by_id.borrow();
        let met = by_id.values().filter(|u| condition(u));
        met.map(|u| u.id.clone()).collect()
    }

    /// Ids of the upstreams that are leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<UpstreamId> {
        self.ids_where(Upstream::is_leaving)
    }
}

/// Removes the address of an upstream, unless another one has taken it over.
fn remove_addr(by_addr: &mut HashMap<SocketAddr, UpstreamId>, upstream: &Upstream) {
    if by_addr.get(&upstream.addr) == Some(&upstream.id) {
        by_addr.remove(&upstream.addr);
    }
}

/// Logs a new upstream. For the first list only the number of upstreams is logged: ten
/// thousand lines at once would displace all other log lines.
fn log_new_upstream(id: &str, revision: Revision, entry: &UpstreamEntry) {
    record!(
        events::UPSTREAM_SEEN,
        upstream = id,
        born = entry.born,
        epoch = revision.epoch,
        revision = revision.number,
        service = entry.service.as_str(),
        failure_domain = entry.failure_domain.as_str(),
        version = entry.version.as_str(),
        cold_ms = entry.cold_for.as_millis() as u64,
        leaving = entry.leaving,
    );
}

fn spec(upstream: &Upstream, table: &RouteTable) -> UpstreamSpec {
    let service = table.service(&upstream.service);
    let engine = service.and_then(|s| s.engine.as_ref());
    UpstreamSpec {
        id: upstream.id.clone(),
        born: upstream.born,
        version: upstream.version().to_owned(),
        failure_domain: upstream.failure_domain.clone(),
        services: vec![upstream.service.clone()],
        capacity_tokens: engine.map_or(0, |e| e.memory_tokens),
        max_running: upstream.slots(),
        warm_up_ends_at: upstream.warm_up_ends_at(),
        cold_rate: service.map_or(0.0, |s| s.cold_rate),
    }
}
