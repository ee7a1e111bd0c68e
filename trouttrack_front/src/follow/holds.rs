//! Persists held requests and parts in the store. VMs have no persistent state of their own, so without
//! this, requests that crashed upstreams before all VMs lost power would crash as many
//! afterwards.
//!
//! The first two of the VMs that track a request write its hold, and remove it when the hold
//! ends. Holds are stored next to the VM entries, so that reading them needs no extra call.

use super::backoff::Backoff;
use super::confirm::MAX_CONCURRENT_CALLS;
use super::upstreams::update_readiness;
use super::vms::pause_after_restore;
use crate::peers::watches_store;
use crate::state::Front;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_core::quarantine::{Subject, record_holders};
use trouttrack_platform::{Change, HoldEntry, Kind, Object, StoreError, Watched};

/// Timeout for a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of VMs that write a hold, so that one of them may fail.
const WRITER_COUNT: usize = 2;
/// Wait of a watch that only reads the changes since a list.
const IMMEDIATE_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// Writes changes to held requests to the store for as long as the process runs. A restore of the store may
/// lose written entries and bring removed ones back, so after it all remembered requests are
/// written or removed again.
pub(super) async fn sync(front: Rc<Front>) {
    let mut epoch = None;
    loop {
        let subjects = tokio::select! {
            biased;
            restored_epoch = front.store_contact.restored_after(epoch) => {
                epoch = restored_epoch;
                pause_after_restore(&front).await;
                front.quarantine.held_or_released()
            }
            changed = front.quarantine.changed() => changed,
        };
        for subject in subjects {
            if is_writer(&front, subject) {
                actix_rt::spawn(write(Rc::clone(&front), subject));
            }
        }
    }
}

/// Whether this VM is one of those that write the hold on a subject.
fn is_writer(front: &Front, subject: Subject) -> bool {
    let vms = front.peers.live_names().into_iter();
    let vms = vms.chain([front.name.clone()]);
    let first = record_holders(subject.key(), vms, String::as_str);
    first
        .iter()
        .take(WRITER_COUNT)
        .any(|name| *name == front.name)
}

/// Writes or removes a hold, and retries until the store accepts the call.
async fn write(front: Rc<Front>, subject: Subject) {
    let mut backoff = Backoff::new();
    while let Err(e) = write_once(&front, subject).await {
        log::debug!("cannot update a hold in the store: {e}");
        backoff.pause().await;
    }
}

async fn write_once(front: &Front, subject: Subject) -> Result<(), StoreError> {
    let name = HoldEntry::name(subject);
    if front.quarantine.hold_on(subject).is_none() {
        return front.store.remove(Kind::Vms, &name, CALL_TIMEOUT).await;
    }
    let entry = HoldEntry::new(
        front.quarantine.counted_crashes(subject),
        &front.quarantine.needed_with(subject),
    );
    let put = front.store.put(Kind::Vms, &name, &entry, CALL_TIMEOUT);
    put.await.map(|_created| ())
}

/// The holds of a list that may lag.
#[derive(Debug, Default)]
pub(super) struct ListedHolds {
    objects: Vec<Object>,
    /// The revision of the oldest page.
    oldest: Option<Revision>,
}

impl ListedHolds {
    /// Records that a page has been read.
    pub(super) fn add_page(&mut self, revision: Revision) {
        let oldest = self.oldest.get_or_insert(revision);
        *oldest = revision.min(*oldest);
    }

    /// Adds the object if it is a hold rather than a VM entry. Returns whether it is a hold.
    pub(super) fn add(&mut self, object: &Object) -> bool {
        let is_hold = HoldEntry::subject(&object.name).is_some();
        if is_hold {
            self.objects.push(object.clone());
        }
        is_hold
    }

    /// Applies the changes made since the list.
    fn update(&mut self, changes: Vec<Change>) {
        for change in changes {
            self.objects.retain(|o| o.name != change.object.name);
            if !change.deleted {
                self.add(&change.object);
            }
        }
    }

    /// Restores all holds.
    fn apply(&self, front: &Front) {
        self.objects.iter().for_each(|o| apply(front, o));
    }
}

/// Restores the holds of a list. At the start, first reads what the list lacks because it lags: a
/// request that ended upstreams just before all VMs were killed would end as many again. In a large
/// fleet those that watch the store read it first; the others wait for a random time, in which most
/// learn the holds from peers. Returns whether they are known; if not, another list is needed.
pub(super) async fn learn(front: &Front, mut listed: ListedHolds) -> bool {
    let mut backoff = Backoff::new();
    let is_large = front.peers.listed() > MAX_CONCURRENT_CALLS;
    if is_large && !watches_store(front) {
        // A VM may never agree with its peers, as what they hold changes.
        pause_after_restore(front).await;
    }
    while !front.quarantine.is_known() {
        let since = listed.oldest.unwrap_or_default();
        let watch = front.store.watch(Kind::Vms, since, IMMEDIATE_WATCH_TIMEOUT);
        match watch.await {
            Ok(Watched::Changes { changes, .. }) => {
                listed.update(changes);
                front.quarantine.set_known();
                if is_large {
                    front.peers.announce();
                }
            }
            Ok(Watched::HistoryGone) => return false,
            Err(e) => {
                log::debug!("cannot read the newest holds: {e}");
                backoff.pause().await;
            }
        }
    }
    listed.apply(front);
    update_readiness(front);
    true
}

fn apply(front: &Front, object: &Object) {
    let Some(subject) = HoldEntry::subject(&object.name) else {
        return;
    };
    match HoldEntry::decode(object.spec.get()) {
        Ok(entry) => front
            .quarantine
            .restore(subject, &entry.ended, &entry.needed()),
        Err(e) => log::warn!("hold {}: entry cannot be read: {e}", object.name),
    }
}
