//! Persists held requests in the store. VMs have no persistent state of their own, so without
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
use trouttrack_core::Fingerprint;
use trouttrack_core::quarantine::record_holders;
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
        let requests = tokio::select! {
            biased;
            restored_epoch = front.store_contact.restored_after(epoch) => {
                epoch = restored_epoch;
                pause_after_restore(&front).await;
                front.quarantine.held_or_released()
            }
            changed = front.quarantine.changed() => changed,
        };
        for request in requests {
            if is_writer(&front, request) {
                actix_rt::spawn(write(Rc::clone(&front), request));
            }
        }
    }
}

/// Whether this VM is one of those that write the request's hold.
fn is_writer(front: &Front, request: Fingerprint) -> bool {
    let vms = front.peers.live_names().into_iter();
    let vms = vms.chain([front.name.clone()]);
    let first = record_holders(request, vms, String::as_str);
    first
        .iter()
        .take(WRITER_COUNT)
        .any(|name| *name == front.name)
}

/// Writes or removes a hold, and retries until the store accepts the call.
async fn write(front: Rc<Front>, request: Fingerprint) {
    let mut backoff = Backoff::new();
    while let Err(e) = write_once(&front, request).await {
        log::debug!("cannot update a hold in the store: {e}");
        backoff.pause().await;
    }
}

async fn write_once(front: &Front, request: Fingerprint) -> Result<(), StoreError> {
    let name = HoldEntry::name(request);
    if front.quarantine.hold(request).is_none() {
        return front.store.remove(Kind::Vms, &name, CALL_TIMEOUT).await;
    }
    let ended = front.quarantine.counted_crashes(request);
    let entry = HoldEntry { ended };
    front
        .store
        .put(Kind::Vms, &name, &entry, CALL_TIMEOUT)
        .await
}

/// Restores a held request if the object is a hold rather than a VM entry. Returns whether it is
/// a hold.
pub(super) fn apply_if_hold(front: &Front, object: &Object) -> bool {
    let Some(request) = HoldEntry::request(&object.name) else {
        return false;
    };
    match HoldEntry::decode(object.spec.get()) {
        Ok(entry) => front.quarantine.restore(request, &entry.ended),
        Err(e) => log::warn!("hold {}: entry cannot be read: {e}", object.name),
    }
    true
}
