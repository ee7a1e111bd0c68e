//! The upstreams' entries.

use super::bootstrap::{take_from_peers, try_take_from_peers};
use super::evacuations::expire_lost_evacuations;
use super::follower::Follower;
use crate::peers::{EntryChange, EntryState, News, Snapshot, ToldUpstream, ask_for_news};
use crate::rescue;
use crate::state::{Front, Upstream};
use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::UpstreamNotice;
use trouttrack_platform::{Change, EntryError, Kind, Object, UpstreamEntry};
use trouttrack_telemetry::{events, record};

/// How often lapsed entries are looked through.
const EXPIRE_EVERY: Duration = Duration::from_millis(500);

/// Keeps the table of upstreams.
#[derive(Debug)]
pub(super) struct UpstreamFollower {
    front: Rc<Front>,
    /// Whether everything must be listed again.
    forgotten: Cell<bool>,
}

impl UpstreamFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            forgotten: Cell::new(true),
        }
    }

    /// Tells the other VMs what the store said.
    fn tell(&self, from: Revision, to: Revision, changes: Vec<EntryChange>) {
        let news = News { from, to, changes };
        self.front.history.borrow_mut().learned(news.clone());
        // With a full queue the others will ask the store.
        if let Err(e) = self.front.news.try_send(news) {
            log::debug!("news are not told: {e}");
        }
    }
}

impl Follower for UpstreamFollower {
    const KIND: Kind = Kind::Upstreams;

    fn revision(&self) -> Option<Revision> {
        let known = !self.forgotten.get();
        known.then(|| self.front.upstreams.revision())
    }

    fn is_behind(&self) -> bool {
        let upstreams = &self.front.upstreams;
        self.front.peers.newest_upstreams() > upstreams.revision() || upstreams.may_have_missed()
    }

    fn ask_peers(&self) {
        ask_for_news(&self.front);
    }

    fn is_far_behind(&self) -> bool {
        self.front.peers.is_far_behind()
    }

    async fn take_from_peers(&self) -> bool {
        let taken = take_from_peers(&self.front, self.front.upstreams.revision()).await;
        if taken {
            self.forgotten.set(false);
        }
        self.front.peers.set_far_behind(false);
        taken
    }

    async fn take_from_peers_after_failure(&self) {
        let peers = &self.front.peers;
        let known = self.front.upstreams.revision();
        let lacks_history = self.forgotten.get() || peers.is_far_behind();
        if lacks_history
            && peers.newest_upstreams() > known
            && try_take_from_peers(&self.front, known).await
        {
            self.forgotten.set(false);
            peers.set_far_behind(false);
        }
    }

    fn listed(&self, objects: &[Object], revision: Revision) {
        let read = objects.iter().map(|o| UpstreamEntry::decode(o.spec.get()));
        let read: Vec<Read> = read.collect();
        // Any of them shows what the others are to say.
        read.iter().for_each(|r| note_birth(&self.front, r));
        for (object, read) in objects.iter().zip(read) {
            let change = EntryChange {
                id: object.name.clone(),
                revision: object.revision,
                entry: state(&self.front, object, read),
            };
            take_in(&self.front, &change);
        }
        let ids = objects.iter().map(|o| o.name.as_str()).collect();
        take_whole(&self.front, &ids, revision, "store");
        self.forgotten.set(false);
    }

    fn changed(&self, changes: Vec<Change>, revision: Revision) {
        let from = self.front.upstreams.revision();
        let changes = changes.into_iter().map(|c| entry_change(&self.front, c));
        let changes: Vec<EntryChange> = changes.collect();
        apply(&self.front, &changes);
        self.front.upstreams.advance(revision);
        if revision > from {
            self.tell(from, revision, changes);
        }
    }

    fn history_gone(&self) {
        self.forgotten.set(true);
    }
}

/// Takes in the upstreams as a peer knows them. Where news have told more meanwhile, what
/// the peer knew is of no use.
pub(super) fn take_snapshot(front: &Rc<Front>, snapshot: &Snapshot, peer: SocketAddr) {
    let upstreams = &front.upstreams;
    if upstreams.is_listed() && snapshot.revision() <= upstreams.revision() {
        return;
    }
    if snapshot.say_births() {
        front.upstreams.set_say_births();
    }
    let told: Vec<ToldUpstream> = snapshot.entries().collect();
    for one in &told {
        see(front, &one.id, snapshot.revision(), one.entry.clone());
        if one.lapsed {
            front.upstreams.lapsed(&one.id);
        }
    }
    let ids = told.iter().map(|one| one.id.as_str()).collect();
    take_whole(front, &ids, snapshot.revision(), &peer.to_string());
}

/// All entries up to a revision were taken in, and these are there. Other VMs hear at once
/// that this one has them.
fn take_whole(front: &Rc<Front>, ids: &HashSet<&str>, revision: Revision, told_by: &str) {
    for gone in front.upstreams.listed(ids, revision) {
        depart(front, &gone);
    }
    front.upstreams.advance(revision);
    record!(
        events::UPSTREAMS_LISTED,
        upstreams = ids.len(),
        epoch = revision.epoch,
        revision = revision.number,
        told_by = told_by,
    );
    configure(front);
    front.peers.announce();
}

/// A change as it is told.
fn entry_change(front: &Front, change: Change) -> EntryChange {
    let entry = match change.deleted {
        true => EntryState::Gone,
        false => decoded(front, &change.object),
    };
    EntryChange {
        id: change.object.name,
        revision: change.object.revision,
        entry,
    }
}

/// An entry that was read, or what is amiss with it.
type Read = Result<UpstreamEntry, EntryError>;

/// What an entry says.
fn decoded(front: &Front, object: &Object) -> EntryState {
    let read = UpstreamEntry::decode(object.spec.get());
    note_birth(front, &read);
    state(front, object, read)
}

/// Notes that upstreams here say when they started.
fn note_birth(front: &Front, read: &Read) {
    if read.as_ref().is_ok_and(|entry| entry.born > 0) {
        front.upstreams.set_say_births();
    }
}

/// What became of an entry that is there.
fn state(front: &Front, object: &Object, read: Read) -> EntryState {
    let entry = read.and_then(|entry| match front.upstreams.say_births() {
        true => entry.with_birth(),
        false => Ok(entry),
    });
    entry.map_or_else(
        |e| {
            unreadable(front, object, e);
            EntryState::Unreadable
        },
        EntryState::Listed,
    )
}

fn unreadable(front: &Front, object: &Object, e: EntryError) {
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

/// What became of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// They were known.
    Known,
    /// They were taken in.
    New,
    /// Something is missing between them and what is known here.
    Missing,
}

/// Takes in what another VM learned from the store, if nothing is missing
/// between that and what is known here.
pub(crate) fn take_news(front: &Rc<Front>, news: &News) -> Taken {
    let known = front.upstreams.revision();
    if !front.upstreams.is_listed() || news.to <= known {
        return Taken::Known;
    }
    if news.from > known {
        front.peers.set_behind();
        return Taken::Missing;
    }
    let new: Vec<EntryChange> = news
        .changes
        .iter()
        .filter(|c| c.revision > known)
        .cloned()
        .collect();
    apply(front, &new);
    front.upstreams.advance(news.to);
    front.history.borrow_mut().learned(News {
        from: known,
        to: news.to,
        changes: new,
    });
    Taken::New
}

/// Takes in changes, in order, and places what waits for them.
fn apply(front: &Rc<Front>, changes: &[EntryChange]) {
    for change in changes {
        take_in(front, change);
        if matches!(change.entry, EntryState::Listed(_)) {
            put_row(front, &change.id);
        }
    }
    if !changes.is_empty() {
        front.scheduler.upstreams_changed();
    }
}

/// Takes in what became of one entry, but for its row of the decision tables.
fn take_in(front: &Rc<Front>, change: &EntryChange) {
    let gone = match &change.entry {
        EntryState::Listed(entry) => {
            see(front, &change.id, change.revision, entry.clone());
            None
        }
        EntryState::Gone => front.upstreams.removed(&change.id),
        EntryState::Unreadable => front.upstreams.disowned(&change.id),
    };
    if let Some(gone) = gone {
        remove(front, &gone);
    }
}

/// Gives the decision tables the row of one upstream.
fn put_row(front: &Front, id: &str) {
    let Some(table) = front.routing.table() else {
        // All rows are given with the configuration.
        return;
    };
    if let Some(spec) = front.upstreams.spec_of(id, &table) {
        front.scheduler.put_upstream(spec);
    }
    if front.upstreams.get(id).is_some_and(|u| u.is_leaving()) {
        front.scheduler.set_leaving(id);
    }
}

/// Takes in an entry that is there. With a new life everything that was believed of the
/// one before goes: its load and circuit, its connections, what it holds.
fn see(front: &Rc<Front>, id: &str, revision: Revision, entry: UpstreamEntry) {
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
        depart(front, &leaving);
    }
    if let Some(upstream) = front.upstreams.get(id)
        && front
            .scheduler
            .availability_of(&upstream.incarnation())
            .is_leaving()
    {
        // It is listed anew in the life in which it has said so.
        said_leaving(front, &upstream, Departure::from_notice(front.clock.now()));
    }
}

/// An upstream leaves: no new work, and its generations are moved.
fn depart(front: &Rc<Front>, upstream: &Rc<Upstream>) {
    front.scheduler.set_leaving(&upstream.id);
    front.http.forget(upstream.addr);
    // Reports are paid for, and are of use only for own generations.
    if front.scheduler.uses(&upstream.id) {
        actix_rt::spawn(rescue::observe(Rc::clone(front), Rc::clone(upstream)));
    }
}

/// An upstream has said itself that it leaves.
pub(super) fn said_leaving(front: &Rc<Front>, upstream: &Rc<Upstream>, departure: Departure) {
    if front
        .upstreams
        .depart(upstream, departure, "said so itself")
    {
        depart(front, upstream);
    }
}

/// An upstream is gone: it leaves, and has no row any more.
fn remove(front: &Rc<Front>, upstream: &Rc<Upstream>) {
    depart(front, upstream);
    front.scheduler.remove_upstream(&upstream.id);
}

/// The configuration has changed. Rows that it says nothing new about stay: to make ten
/// thousand anew takes a VM with an eighth of a core a fifth of a second, in which it passes
/// no event of a stream on. Of 1,419 long generations of 985 VMs 448 were late for that.
pub(super) fn config_changed(front: &Front) {
    let Some(table) = front.routing.table() else {
        return;
    };
    if !front.upstreams.has_rows_for(&table.config().services) {
        configure(front);
        return;
    }
    front.divide();
    set_ready(front);
}

/// Gives the decision tables their rows, and says whether requests can be
/// served.
fn configure(front: &Front) {
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
    set_ready(front);
}

fn set_ready(front: &Front) {
    if front.upstreams.is_listed() {
        front.lifecycle.set_ready();
    }
}

/// Takes out upstreams whose entries lapsed during an outage of the store and
/// did not come back.
pub(super) async fn expire(front: Rc<Front>) {
    loop {
        tokio::time::sleep(EXPIRE_EVERY).await;
        let gone = front.upstreams.expired();
        for upstream in &gone {
            remove(&front, upstream);
        }
        for (id, revision, entry) in front.upstreams.take_deferred() {
            see(&front, &id, revision, entry);
            put_row(&front, &id);
        }
        expire_lost_evacuations(&front);
        front.http.sweep();
        front.scheduler.expire_notices();
    }
}
