//! Follows the upstream entries in the store.

use super::bootstrap::{fetch_from_any_peer, fetch_from_peers, try_fetch_from_peers};
use super::evacuations::expire_lost_evacuations;
use super::follower::Follower;
use crate::peers::{
    EntryChange, EntryState, EntryUpdate, Snapshot, SnapshotEntry, request_updates,
};
use crate::rescue;
use crate::state::{Front, Upstream};
use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::Revision;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::UpstreamNotice;
use trouttrack_platform::{Change, EntryError, Kind, Object, UpstreamEntry};
use trouttrack_telemetry::{events, record};

/// How long a request to a leaving upstream may be on its way before the network has held it up.
const MAX_IN_FLIGHT: Duration = Duration::from_secs(1);
/// Longest interval between two checks for lapsed entries that can no longer come back.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the upstream entries and maintains the upstream table.
#[derive(Debug)]
pub(super) struct UpstreamFollower {
    front: Rc<Front>,
    /// The revision that was known when a full list became needed; `None` if none is.
    list_needed_at: Cell<Option<Revision>>,
}

impl UpstreamFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            list_needed_at: Cell::new(Some(Revision::default())),
        }
    }

    /// Whether what is known is as new as a list of the store as of `revision`. While a list is
    /// needed, that is so only if news arrived since: the known revision itself may be lost to
    /// the store.
    fn is_overtaken(&self, revision: Revision) -> bool {
        let known = self.front.upstreams.revision();
        let has_news = self.list_needed_at.get().is_none_or(|at| known > at);
        has_news && known >= revision
    }

    /// Queues changes read from the store for the other VMs and adds them to the history.
    fn publish(&self, from: Revision, to: Revision, changes: Vec<EntryChange>) {
        let update = EntryUpdate { from, to, changes };
        let now = self.front.clock.now();
        self.front.history.borrow_mut().learned(now, update.clone());
        // If the queue is full, peers notice the gap and read from the store.
        if let Err(e) = self.front.updates.try_send(update) {
            log::debug!("cannot queue upstream changes for peers: {e}");
        }
    }
}

impl Follower for UpstreamFollower {
    const KIND: Kind = Kind::Upstreams;

    fn revision(&self) -> Option<Revision> {
        match self.list_needed_at.get() {
            Some(_) => None,
            None => Some(self.front.upstreams.revision()),
        }
    }

    fn is_behind(&self) -> bool {
        let upstreams = &self.front.upstreams;
        self.front.peers.newest_upstreams() > upstreams.revision() || upstreams.may_have_missed()
    }

    fn ask_peers(&self) {
        request_updates(&self.front);
    }

    fn is_far_behind(&self) -> bool {
        self.front.peers.is_far_behind()
    }

    async fn fetch_from_peers(&self) -> bool {
        let taken = fetch_from_peers(&self.front, self.front.upstreams.revision()).await;
        if taken {
            self.list_needed_at.set(None);
        }
        self.front.peers.set_far_behind(false);
        taken
    }

    async fn fetch_from_peers_at_start(&self) {
        let upstreams = &self.front.upstreams;
        if !upstreams.is_listed() {
            fetch_from_any_peer(&self.front, upstreams.revision()).await;
            self.list_needed_at.set(None);
        }
    }

    async fn fetch_from_peers_after_failure(&self) {
        let peers = &self.front.peers;
        let known = self.front.upstreams.revision();
        let lacks_history = self.list_needed_at.get().is_some() || peers.is_far_behind();
        if lacks_history
            && peers.newest_upstreams() > known
            && try_fetch_from_peers(&self.front, known).await
        {
            self.list_needed_at.set(None);
            peers.set_far_behind(false);
        }
    }

    fn apply_list(&self, objects: &[Object], revision: Revision) {
        if self.is_overtaken(revision) {
            self.list_needed_at.set(None);
            return;
        }
        let read = objects.iter().map(|o| UpstreamEntry::decode(o.spec.get()));
        let read: Vec<DecodedEntry> = read.collect();
        // Decides whether all entries must have a start time, so this runs before the entries are
        // validated.
        let readable = read.iter().flatten();
        let have_start_time = readable.clone().filter(|entry| entry.born > 0);
        record_start_times(&self.front, have_start_time.count(), readable.count());
        for (object, read) in objects.iter().zip(read) {
            if !self
                .front
                .upstreams
                .accept_listed(&object.name, object.revision)
            {
                continue;
            }
            let change = EntryChange {
                id: object.name.clone(),
                revision: object.revision,
                entry: validate(&self.front, object, read),
            };
            apply_change(&self.front, &change);
        }
        let ids = objects.iter().map(|o| o.name.as_str()).collect();
        complete_list(&self.front, &ids, revision, "store");
        self.list_needed_at.set(None);
    }

    fn apply_changes(&self, changes: Vec<Change>, revision: Revision) {
        let from = self.front.upstreams.revision();
        let changes = changes.into_iter().map(|c| entry_change(&self.front, c));
        let news = apply_news(&self.front, changes, revision);
        if revision > from {
            self.publish(from, revision, news);
        }
    }

    fn handle_history_gone(&self) {
        let known = self.front.upstreams.revision();
        self.list_needed_at.set(Some(known));
    }
}

/// Applies a peer's snapshot of the upstreams. A snapshot that is no newer than what is known,
/// for example because changes arrived in the meantime, is ignored.
pub(super) fn apply_snapshot(front: &Rc<Front>, snapshot: &Snapshot, peer: SocketAddr) {
    let upstreams = &front.upstreams;
    if upstreams.is_listed() && snapshot.revision() <= upstreams.revision() {
        return;
    }
    if snapshot.publishes_start_times() {
        front.upstreams.set_publishes_start_times();
    }
    let entries: Vec<SnapshotEntry> = snapshot.entries().collect();
    for listed in &entries {
        if !upstreams.accept_listed(&listed.id, snapshot.revision()) {
            continue;
        }
        apply_entry(front, &listed.id, snapshot.revision(), listed.entry.clone());
        if listed.lapsed {
            front.upstreams.lapsed(&listed.id);
        }
    }
    let ids = entries.iter().map(|listed| listed.id.as_str()).collect();
    complete_list(front, &ids, snapshot.revision(), &peer.to_string());
}

/// Completes a full list: removes upstreams that are not in `ids` and advances to `revision`.
/// Announces at once to the other VMs that this VM has the list.
fn complete_list(front: &Rc<Front>, ids: &HashSet<&str>, revision: Revision, told_by: &str) {
    front.update_store_outage();
    for gone in front.upstreams.listed(ids, revision) {
        start_departure(front, &gone);
    }
    front.upstreams.advance(revision);
    record!(
        events::UPSTREAMS_LISTED,
        upstreams = ids.len(),
        epoch = revision.epoch,
        revision = revision.number,
        told_by = told_by,
    );
    rebuild_rows(front);
    front.peers.announce();
}

/// Converts a store change into the form that is sent to peers.
fn entry_change(front: &Front, change: Change) -> EntryChange {
    let entry = match change.deleted {
        true => EntryState::Gone(front.upstreams.read_removal()),
        false => decode(front, &change.object),
    };
    EntryChange {
        id: change.object.name,
        revision: change.object.revision,
        entry,
    }
}

/// A decoded entry, or the reason that it could not be decoded.
type DecodedEntry = Result<UpstreamEntry, EntryError>;

/// Decodes and validates an entry.
fn decode(front: &Front, object: &Object) -> EntryState {
    let read = UpstreamEntry::decode(object.spec.get());
    let has_start_time = read.as_ref().is_ok_and(|entry| entry.born > 0);
    if has_start_time && !front.upstreams.publishes_start_times() {
        let (mut with_start_time, mut known) = (1, 1);
        front.upstreams.for_each(|upstream, _| {
            if upstream.id != object.name {
                known += 1;
                with_start_time += usize::from(upstream.born > 0);
            }
        });
        record_start_times(front, with_start_time, known);
    }
    validate(front, object, read)
}

/// Records that this deployment's upstreams publish their start times if at least half of the
/// entries have one: a single one may have been written by something else.
fn record_start_times(front: &Front, with_start_time: usize, entries: usize) {
    if with_start_time > 0 && 2 * with_start_time >= entries {
        front.upstreams.set_publishes_start_times();
    }
}

/// Validates an existing entry. Where upstreams publish their start times, an entry without one
/// is unreadable.
fn validate(front: &Front, object: &Object, read: DecodedEntry) -> EntryState {
    let entry = read.and_then(|entry| match front.upstreams.publishes_start_times() {
        true => entry.with_birth(),
        false => Ok(entry),
    });
    entry.map_or_else(
        |e| {
            record_unreadable(front, object, e);
            EntryState::Unreadable
        },
        EntryState::Listed,
    )
}

fn record_unreadable(front: &Front, object: &Object, e: EntryError) {
    record!(
        events::ENTRY_UNREADABLE,
        upstream = object.name.as_str(),
        epoch = object.revision.epoch,
        revision = object.revision.number,
        field = e.field,
        reason = e.kind.as_str(),
    );
    let counted = &front.metrics.unreadable;
    counted.with_label_values(&[e.kind.as_str()]).inc();
}

/// The result of [`apply_update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    /// The changes were already known.
    Known,
    /// The changes were applied.
    New,
    /// Changes between the known revision and these are missing.
    Missing,
}

/// Applies changes that another VM read from the store, unless earlier changes are missing
/// here.
pub(crate) fn apply_update(front: &Rc<Front>, update: &EntryUpdate) -> UpdateResult {
    let known = front.upstreams.revision();
    if !front.upstreams.is_listed() {
        return UpdateResult::Known;
    }
    if update.to <= known {
        answer_unsure(front, update);
        return UpdateResult::Known;
    }
    if update.from > known {
        front.peers.signal_behind();
        return UpdateResult::Missing;
    }
    let news = apply_news(front, update.changes.iter().cloned(), update.to);
    let learned = EntryUpdate {
        from: known,
        to: update.to,
        changes: news,
    };
    let mut history = front.history.borrow_mut();
    history.learned(front.clock.now(), learned);
    UpdateResult::New
}

/// Tells peers what removals mean that the VM which read them cannot tell, where this VM can.
fn answer_unsure(front: &Front, update: &EntryUpdate) {
    let is_unsure = |change: &&EntryChange| change.entry == EntryState::Gone(None);
    for change in update.changes.iter().filter(is_unsure) {
        front.upstreams.answer_unsure(&change.id);
    }
    if front.upstreams.has_departure_news() {
        front.scheduler.schedule_load_update();
    }
}

/// Applies those of the changes up to a revision that are news, and returns them.
fn apply_news(
    front: &Rc<Front>,
    changes: impl Iterator<Item = EntryChange>,
    to: Revision,
) -> Vec<EntryChange> {
    let news = changes.filter(|c| front.upstreams.accept(&c.id, c.revision));
    let news: Vec<EntryChange> = news.collect();
    apply_all(front, &news);
    front.upstreams.advance(to);
    news
}

/// Applies changes in order, then lets the scheduler place waiting requests.
fn apply_all(front: &Rc<Front>, changes: &[EntryChange]) {
    front.update_store_outage();
    for change in changes {
        apply_change(front, change);
        if matches!(change.entry, EntryState::Listed(_)) {
            update_row(front, &change.id);
        }
    }
    if front.upstreams.has_departure_news() {
        front.scheduler.schedule_load_update();
    }
    if !changes.is_empty() {
        front.scheduler.upstreams_changed();
    }
}

/// Applies one change without updating the upstream's row in the decision tables.
fn apply_change(front: &Rc<Front>, change: &EntryChange) {
    let gone = match &change.entry {
        EntryState::Listed(entry) => {
            apply_entry(front, &change.id, change.revision, entry.clone());
            None
        }
        EntryState::Gone(meaning) => front.upstreams.removed(&change.id, *meaning),
        EntryState::Unreadable => front.upstreams.removed_as_unreadable(&change.id),
    };
    if let Some(gone) = gone {
        remove(front, &gone);
    }
}

/// Updates one upstream's row in the decision tables.
fn update_row(front: &Front, id: &str) {
    let Some(table) = front.routing.table() else {
        // All rows are created when the configuration arrives.
        return;
    };
    if let Some(spec) = front.upstreams.spec_of(id, &table) {
        front.scheduler.put_upstream(spec);
    }
    if front.upstreams.get(id).is_some_and(|u| u.is_leaving()) {
        front.scheduler.set_leaving(id);
    }
}

/// Applies an existing entry. A new incarnation discards the state of the previous one: its
/// load, circuit breaker, connections and held work.
fn apply_entry(front: &Rc<Front>, id: &str, revision: Revision, entry: UpstreamEntry) {
    if front.upstreams.defer_if_undone(id, revision, &entry) {
        return;
    }
    let seen = front.upstreams.seen(id, revision, entry);
    if let Some(before) = seen.before {
        remove(front, &before);
    }
    if let Some(leaving) = seen.leaves {
        front
            .scheduler
            .receive_notice(&leaving.incarnation(), UpstreamNotice::Leaving);
        start_departure(front, &leaving);
    }
    if let Some(upstream) = front.upstreams.get(id)
        && front
            .scheduler
            .availability_of(&upstream.incarnation())
            .is_leaving()
    {
        // The entry came back for an incarnation that has already announced its departure.
        handle_leaving(front, &upstream, Departure::from_notice(front.clock.now()));
    }
}

/// Starts an upstream's departure: it gets no new work, and its generations are moved.
fn start_departure(front: &Rc<Front>, upstream: &Rc<Upstream>) {
    front.scheduler.set_leaving(&upstream.id);
    front.http.forget(upstream.addr);
    front
        .http
        .limit_unacknowledged(upstream.addr, MAX_IN_FLIGHT);
    // Reports are billed calls and are only useful if this VM has generations there.
    if front.scheduler.uses(&upstream.id) {
        actix_rt::spawn(rescue::observe(Rc::clone(front), Rc::clone(upstream)));
    }
}

/// Handles an upstream's own announcement that it is leaving.
pub(super) fn handle_leaving(front: &Rc<Front>, upstream: &Rc<Upstream>, departure: Departure) {
    if front
        .upstreams
        .depart(upstream, departure, "said so itself")
    {
        start_departure(front, upstream);
    }
}

/// Removes an upstream: starts its departure and deletes its row.
pub(super) fn remove(front: &Rc<Front>, upstream: &Rc<Upstream>) {
    start_departure(front, upstream);
    front.scheduler.remove_upstream(&upstream.id);
}

/// Applies a changed configuration. Rows are rebuilt only if the services changed: rebuilding
/// 10,000 rows takes a fifth of a second on a VM with an eighth of a core, and no stream event
/// is forwarded during that time.
pub(super) fn config_changed(front: &Front) {
    let Some(table) = front.routing.table() else {
        return;
    };
    if !front.upstreams.has_rows_for(&table.config().services) {
        rebuild_rows(front);
        return;
    }
    front.divide();
    update_readiness(front);
}

/// Rebuilds all rows of the decision tables.
fn rebuild_rows(front: &Front) {
    let Some(table) = front.routing.table() else {
        return;
    };
    front.divide();
    let specs = front.upstreams.specs(&table);
    front.metrics.rows_made.inc_by(specs.len() as u64);
    front.scheduler.configure(specs);
    front.upstreams.set_rows_for(&table.config().services);
    for id in front.upstreams.leaving() {
        front.scheduler.set_leaving(&id);
    }
    update_readiness(front);
}

/// Marks the VM ready once the configuration, the upstreams and the holds are known.
pub(crate) fn update_readiness(front: &Front) {
    let is_known = front.routing.is_known() && front.quarantine.is_known();
    if is_known && front.upstreams.is_listed() {
        front.lifecycle.set_ready();
    }
}

/// Periodically removes upstreams whose entries lapsed during a store outage and were not
/// written again, and runs other periodic cleanup.
pub(super) async fn expire(front: Rc<Front>) {
    loop {
        let now = front.clock.now();
        let next = front.upstreams.next_expiry().unwrap_or(Time::MAX);
        tokio::time::sleep(next.saturating_sub(now).min(EXPIRY_INTERVAL)).await;
        front.update_store_outage();
        let gone = front.upstreams.expired();
        for upstream in &gone {
            remove(&front, upstream);
        }
        for (id, revision, entry) in front.upstreams.take_deferred() {
            apply_entry(&front, &id, revision, entry);
            update_row(&front, &id);
        }
        expire_lost_evacuations(&front);
        front.http.sweep();
        front.scheduler.expire_notices();
    }
}
