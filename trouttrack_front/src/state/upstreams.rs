//! The upstreams that the store lists.

use super::clock::Clock;
use super::deferred::DeferredEntries;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::fleet::{RouteTable, ServiceSpec};
use trouttrack_core::membership::{Entries, Revision};
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::{Incarnation, UpstreamSpec};
use trouttrack_core::{FailureDomain, ServiceId, Time, UpstreamId};
use trouttrack_platform::UpstreamEntry;
use trouttrack_telemetry::{events, record};

/// One incarnation of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream's id.
    pub id: UpstreamId,
    /// When this life of it began, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// The service it runs.
    pub service: ServiceId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    slots: usize,
    /// Until when it is slow after its start.
    warm_up_ends_at: Cell<Time>,
    departure: watch::Sender<Option<Departure>>,
}

impl Upstream {
    fn new(id: &str, entry: UpstreamEntry, now: Time) -> Self {
        Self {
            id: id.to_owned(),
            born: entry.born,
            addr: entry.addr,
            service: entry.service,
            failure_domain: entry.failure_domain,
            slots: entry.slots,
            warm_up_ends_at: Cell::new(now + entry.cold_for),
            departure: watch::Sender::new(None),
        }
    }

    /// This life of it.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(&self.id, self.born)
    }

    /// Requests that it works on at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// How much longer it is slow after its start.
    #[must_use]
    pub fn cold_for(&self, now: Time) -> Duration {
        self.warm_up_ends_at.get().saturating_sub(now)
    }

    /// Whether an entry is one of this life.
    fn is_of(&self, entry: &UpstreamEntry) -> bool {
        self.addr == entry.addr && self.service == entry.service && self.born == entry.born
    }

    /// Whether and when it leaves.
    #[must_use]
    pub fn departure(&self) -> watch::Receiver<Option<Departure>> {
        self.departure.subscribe()
    }

    /// Changes what is known of its leaving.
    pub fn update_departure(&self, f: impl FnOnce(&mut Departure)) {
        self.departure.send_if_modified(|d| match d {
            Some(departure) => {
                f(departure);
                true
            }
            None => false,
        });
    }

    /// Whether it has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.departure.borrow().is_some()
    }
}

/// What an entry changes.
#[derive(Debug, Default)]
pub struct Seen {
    /// Another life of the upstream, which is over: what was believed of it is of no use
    /// for the one that is listed now.
    pub before: Option<Rc<Upstream>>,
    /// The upstream, if it has just announced that it leaves.
    pub leaves: Option<Rc<Upstream>>,
}

/// Everything that the store lists, and what may still come back.
#[derive(Debug)]
pub struct Upstreams {
    clock: Clock,
    by_id: RefCell<HashMap<UpstreamId, Rc<Upstream>>>,
    entries: RefCell<Entries>,
    /// The removed upstreams, and the listed entries whose removal a restore of the store has
    /// undone.
    deferred: RefCell<DeferredEntries>,
    listed: Cell<bool>,
    /// The store's revision up to which the entries are known.
    revision: Cell<Revision>,
    /// The newest revision of the store that is known of.
    store_at: Cell<Revision>,
    /// Whether upstreams here say when they started. Where they do, an entry that does not
    /// is another writer's.
    say_births: Cell<bool>,
    /// The services by which all rows were made last.
    made_for: RefCell<Option<Vec<ServiceSpec>>>,
}

impl Upstreams {
    /// Nothing is listed yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            by_id: RefCell::default(),
            entries: RefCell::default(),
            deferred: RefCell::default(),
            listed: Cell::new(false),
            revision: Cell::default(),
            store_at: Cell::default(),
            say_births: Cell::new(false),
            made_for: RefCell::default(),
        }
    }

    /// An upstream by its incarnation's id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Rc<Upstream>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// The time now, as these tables count it.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Every upstream that is known, and whether its entry has disappeared and may come
    /// back.
    pub fn for_each(&self, mut f: impl FnMut(&Upstream, bool)) {
        let entries = self.entries.borrow();
        for upstream in self.by_id.borrow().values() {
            f(upstream, entries.is_lapsed(&upstream.id));
        }
    }

    /// The store's revision up to which the entries are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision.get()
    }

    /// The entries are known up to a revision.
    pub fn advance(&self, revision: Revision) {
        self.revision.set(self.revision.get().max(revision));
    }

    /// The store was seen at a revision.
    pub fn store_is_at(&self, revision: Revision) {
        self.store_at.set(self.store_at.get().max(revision));
    }

    /// Upstreams here say when they started.
    pub fn set_say_births(&self) {
        self.say_births.set(true);
    }

    /// Whether upstreams here say when they started.
    #[must_use]
    pub fn say_births(&self) -> bool {
        self.say_births.get()
    }

    /// Whether the store has changed since the entries were looked at; the
    /// change may be one of something else.
    #[must_use]
    pub fn may_have_missed(&self) -> bool {
        self.is_listed() && self.store_at.get() > self.revision.get()
    }

    /// Whether everything was listed at least once.
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

    /// Takes in an entry, and says what it changes.
    pub fn seen(&self, id: &str, revision: Revision, entry: UpstreamEntry) -> Seen {
        let known = self.get(id);
        let life = Incarnation::new(id, entry.born);
        if known
            .as_ref()
            .is_some_and(|u| u.incarnation().is_after(&life))
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
            Some(known) if known.is_of(&entry) => {
                self.note_cold(&known, entry.cold_for);
                (known, None)
            }
            before => (self.add(id, revision, entry), before),
        };
        if let Some(before) = &before {
            self.depart(before, self.noticed(), "another life");
        }
        let leaves = leaving && self.depart(&upstream, self.noticed(), "announced");
        Seen {
            before,
            leaves: leaves.then_some(upstream),
        }
    }

    /// Notes for how long a known upstream is cold: it may turn cold at any time, and
    /// warm before its time.
    fn note_cold(&self, upstream: &Upstream, cold_for: Duration) {
        upstream.warm_up_ends_at.set(self.clock.now() + cold_for);
        if !cold_for.is_zero() {
            record!(
                events::UPSTREAM_COLD,
                upstream = upstream.id.as_str(),
                cold_ms = cold_for.as_millis() as u64,
            );
        }
    }

    /// Puts an upstream in the table: it is new, or its address or service has
    /// changed.
    fn add(&self, id: &str, revision: Revision, entry: UpstreamEntry) -> Rc<Upstream> {
        if self.is_listed() {
            log_seen(id, revision, &entry);
        }
        let new = Rc::new(Upstream::new(id, entry, self.clock.now()));
        let mut by_id = self.by_id.borrow_mut();
        by_id.insert(id.to_owned(), Rc::clone(&new));
        new
    }

    /// Notes that an upstream leaves. Returns whether that is news.
    pub fn depart(&self, upstream: &Upstream, departure: Departure, how: &str) -> bool {
        if upstream.is_leaving() {
            return false;
        }
        upstream.departure.send_replace(Some(departure));
        record!(
            events::DEPARTURE,
            upstream = upstream.id.as_str(),
            how = how,
        );
        true
    }

    /// A departure that the store tells of now.
    fn noticed(&self) -> Departure {
        Departure::from_notice(self.clock.now())
    }

    /// An entry disappeared. Returns the upstream if it is gone.
    pub fn removed(&self, id: &str) -> Option<Rc<Upstream>> {
        self.deferred.borrow_mut().remove(id);
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        let was_lapsed = entries.is_lapsed(id);
        let gone = entries.removed(now, id);
        if !was_lapsed && entries.is_lapsed(id) {
            record!(events::ENTRY_LAPSED, upstream = id);
        }
        drop(entries);
        if gone { self.take_out(id) } else { None }
    }

    /// An entry cannot be read, so nobody vouches for the upstream any more: it is gone at
    /// once, also during an outage of the store. Returns it if it was known.
    pub fn disowned(&self, id: &str) -> Option<Rc<Upstream>> {
        self.deferred.borrow_mut().remove(id);
        self.entries.borrow_mut().forget(id);
        self.take_out(id)
    }

    /// Everything was listed as of a revision. Returns the upstreams that are gone.
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
        missing.iter().filter_map(|id| self.removed(id)).collect()
    }

    /// A peer holds an upstream whose entry had disappeared around an outage of the store.
    pub fn lapsed(&self, id: &str) {
        self.entries.borrow_mut().lapsed(id);
    }

    /// Takes out the upstreams whose entries lapsed and can no longer come
    /// back.
    pub fn expired(&self) -> Vec<Rc<Upstream>> {
        let gone = self.entries.borrow_mut().take_expired(self.clock.now());
        gone.iter().filter_map(|id| self.take_out(id)).collect()
    }

    fn take_out(&self, id: &str) -> Option<Rc<Upstream>> {
        let upstream = self.by_id.borrow_mut().remove(id)?;
        record!(events::UPSTREAM_GONE, upstream = id);
        let mut deferred = self.deferred.borrow_mut();
        deferred.record_removal(self.clock.now(), &upstream.incarnation(), self.revision());
        drop(deferred);
        self.depart(&upstream, self.noticed(), "entry disappeared");
        Some(upstream)
    }

    /// A call to the store failed.
    pub fn store_lost(&self) {
        self.entries.borrow_mut().store_lost();
    }

    /// A call to the store was answered.
    pub fn store_recovered(&self) {
        self.entries.borrow_mut().store_recovered(self.clock.now());
    }

    /// All rows were made by these services.
    pub fn set_rows_for(&self, services: &[ServiceSpec]) {
        *self.made_for.borrow_mut() = Some(services.to_vec());
    }

    /// Whether all rows say what they are to say by these services.
    #[must_use]
    pub fn has_rows_for(&self, services: &[ServiceSpec]) -> bool {
        self.made_for.borrow().as_deref() == Some(services)
    }

    /// The rows that decisions are made on, of all upstreams.
    #[must_use]
    pub fn specs(&self, table: &RouteTable) -> Vec<UpstreamSpec> {
        let by_id = self.by_id.borrow();
        let mut specs: Vec<UpstreamSpec> = by_id.values().map(|u| spec(u, table)).collect();
        // The order of candidates must not depend on the map's.
        specs.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        specs
    }

    /// The row that decisions about one of them are made on.
    #[must_use]
    pub fn spec_of(&self, id: &str, table: &RouteTable) -> Option<UpstreamSpec> {
        let by_id = self.by_id.borrow();
        by_id.get(id).map(|u| spec(u, table))
    }

    /// Those that have announced that they leave.
    #[must_use]
    pub fn leaving(&self) -> Vec<UpstreamId> {
        let by_id = self.by_id.borrow();
        let leaving = by_id.values().filter(|u| u.is_leaving());
        leaving.map(|u| u.id.clone()).collect()
    }
}

/// Logs an upstream that is new. Those of a first list are told by their number: ten
/// thousand lines at once would crowd out all others.
fn log_seen(id: &str, revision: Revision, entry: &UpstreamEntry) {
    record!(
        events::UPSTREAM_SEEN,
        upstream = id,
        born = entry.born,
        epoch = revision.epoch,
        revision = revision.number,
        service = entry.service.as_str(),
        failure_domain = entry.failure_domain.as_str(),
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
        failure_domain: upstream.failure_domain.clone(),
        services: vec![upstream.service.clone()],
        capacity_tokens: engine.map_or(0, |e| e.memory_tokens),
        max_running: upstream.slots,
        warm_up_ends_at: upstream.warm_up_ends_at.get(),
        cold_rate: service.map_or(0.0, |s| s.cold_rate),
    }
}
