//! Persists held requests and parts in the store. VMs have no persistent state of their own, so without
//! this, requests that crashed upstreams before all VMs lost power would crash as many
//! afterwards.
//!
//! The first two of the VMs that track a request write its hold, and remove it when the hold
//! ends. Holds are stored next to the VM entries, so that reading them needs no extra call.

use super::backoff::Backoff;
use super::vms::pause_after_restore;
use crate::state::Front;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::quarantine::{Subject, record_holders};
use trouttrack_platform::{HoldEntry, Kind, Object, StoreError};

/// Timeout for a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of VMs that write a hold, so that one of them may fail.
const WRITER_COUNT: usize = 2;

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

/// Restores a hold if the object is a hold rather than a VM entry. Returns whether it is
/// a hold.
pub(super) fn apply_if_hold(front: &Front, object: &Object) -> bool {
    let Some(subject) = HoldEntry::subject(&object.name) else {
        return false;
    };
    match HoldEntry::decode(object.spec.get()) {
        Ok(entry) => front
            .quarantine
            .restore(subject, &entry.ended, &entry.needed()),
        Err(e) => log::warn!("hold {}: entry cannot be read: {e}", object.name),
    }
    true
}
