//! Requests that are held, kept in the store: VMs keep nothing themselves, and what ended
//! upstreams before all VMs lost power would end as many after it.
//!
//! Of the VMs that keep account of a request the first two write it, and remove it when the
//! hold is over. It lies beside the VMs' own entries, so that reading it costs no call.

use super::backoff::Backoff;
use super::vms::pause_after_restore;
use crate::state::Front;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Fingerprint;
use trouttrack_core::quarantine::record_holders;
use trouttrack_platform::{HoldEntry, Kind, Object, StoreError};

/// How long a call may take.
const CALL: Duration = Duration::from_secs(2);
/// VMs that write a request: one of them may be gone.
const WRITERS: usize = 2;

/// Keeps held requests in the store for as long as the process runs. A restore of the store may
/// lose written entries and bring removed ones back, so after it all remembered requests are
/// written or removed again.
pub(super) async fn keep(front: Rc<Front>) {
    let mut epoch = None;
    loop {
        let requests = tokio::select! {
            biased;
            restored_epoch = front.store_contact.restored_after(epoch) => {
                epoch = restored_epoch;
                pause_after_restore(&front).await;
                front.suspects.held_or_released()
            }
            changed = front.suspects.changed() => changed,
        };
        for request in requests {
            if writes(&front, request) {
                actix_rt::spawn(write(Rc::clone(&front), request));
            }
        }
    }
}

/// Whether this VM writes a request.
fn writes(front: &Front, request: Fingerprint) -> bool {
    let vms = front.peers.names_heard().into_iter();
    let vms = vms.chain([front.name.clone()]);
    let first = record_holders(request, vms, String::as_str);
    first.iter().take(WRITERS).any(|name| *name == front.name)
}

/// Writes or removes it, until the store has taken that.
async fn write(front: Rc<Front>, request: Fingerprint) {
    let mut backoff = Backoff::new();
    while let Err(e) = once(&front, request).await {
        log::debug!("{e}");
        backoff.pause().await;
    }
}

async fn once(front: &Front, request: Fingerprint) -> Result<(), StoreError> {
    let name = HoldEntry::name(request);
    if front.suspects.hold(request).is_none() {
        return front.store.remove(Kind::Vms, &name, CALL).await;
    }
    let ended = front.suspects.counted_crashes(request);
    let entry = HoldEntry { ended };
    front.store.put(Kind::Vms, &name, &entry, CALL).await
}

/// Takes in an object that lies beside the VMs' own entries. Returns whether it is a
/// request that is held.
pub(super) fn take(front: &Front, object: &Object) -> bool {
    let Some(request) = HoldEntry::request(&object.name) else {
        return false;
    };
    match HoldEntry::decode(object.spec.get()) {
        Ok(entry) => front.suspects.restore(request, &entry.ended),
        Err(e) => log::warn!("{}: cannot be read: {e}", object.name),
    }
    true
}
