//! The VMs of this system: finding each other through the store.
//!
//! Each VM writes its own entry at its start and lists the others'. Whoever
//! starts later is heard of by its heartbeats.

use super::backoff::Backoff;
use super::holds;
use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Kind, Object, Reading, StoreError, VmEntry};

/// How long a call may take.
const CALL: Duration = Duration::from_secs(2);
/// How often the VMs are listed again: for those that could not hear each other
/// when one of them started.
const LIST_EVERY: Duration = Duration::from_secs(20);
/// From the own entry's writing to the first listing: VMs start together.
const OTHERS_START: Duration = Duration::from_millis(700);

/// Writes the own entry. It is the same at each start of a VM, and a lost
/// answer is met by writing again.
pub(super) async fn announce(front: Rc<Front>, own: SocketAddr) {
    let entry = VmEntry {
        peers: own,
        failure_domain: front.failure_domain.clone(),
    };
    let mut backoff = Backoff::new();
    while let Err(e) = front.store.put(Kind::Vms, &front.name, &entry, CALL).await {
        log::debug!("{e}");
        backoff.pause().await;
    }
}

/// Lists the VMs for as long as the process runs.
pub(super) async fn list(front: Rc<Front>) {
    let mut backoff = Backoff::new();
    tokio::time::sleep(OTHERS_START).await;
    // The others have just written their entries: an older list lacks them.
    let mut reading = Reading::Current;
    loop {
        match once(&front, reading).await {
            Ok(()) => {
                backoff.succeeded();
                reading = Reading::MayLag;
                tokio::time::sleep(LIST_EVERY).await;
            }
            Err(e) => {
                log::debug!("{e}");
                backoff.pause().await;
            }
        }
    }
}

async fn once(front: &Front, reading: Reading) -> Result<(), StoreError> {
    let mut after: Option<String> = None;
    loop {
        let listing = front.store.list(Kind::Vms, after.as_deref(), reading, CALL);
        let page = listing.await?;
        page.objects.iter().for_each(|o| take(front, o));
        after = page.objects.last().map(|o| o.name.clone());
        if !page.more || after.is_none() {
            front.divide();
            return Ok(());
        }
    }
}

fn take(front: &Front, object: &Object) {
    if holds::take(front, object) {
        return;
    }
    match VmEntry::decode(object.spec.get()) {
        Ok(entry) => {
            let (name, domain) = (&object.name, &entry.failure_domain);
            front.peers.insert(name, entry.peers, domain);
        }
        Err(e) => log::warn!("VM {}: entry cannot be read: {e}", object.name),
    }
}
