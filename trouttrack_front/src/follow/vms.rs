//! The VMs of this system: finding each other through the store.
//!
//! Each VM writes its own entry at its start and lists the others'. Whoever
//! starts later is heard of by its heartbeats.

use super::backoff::Backoff;
use super::holds;
use crate::state::Front;
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Kind, Object, Reading, StoreError, VmEntry};

/// How long a call may take.
const CALL: Duration = Duration::from_secs(2);
/// How often the VMs are listed again: for those that could not hear each other
/// when one of them started.
const LIST_EVERY: Duration = Duration::from_secs(20);
/// In a larger fleet the pause grows with the list, by one more of the above for each so
/// many VMs: else the store would send with the square of the fleet, 40 MB a second to
/// 2,000 VMs.
const VMS_PER_PAUSE: usize = 256;
/// The longest pause before writing to a restored store, for each VM of the fleet.
const WRITE_PAUSE_PER_VM: Duration = Duration::from_millis(5);
/// By how much a list that may lag is older than the store, at most, while nothing is
/// wrong with it.
const LAG: Duration = Duration::from_millis(1500);
/// When the VMs are listed the second time if the first list had others, in parts of the
/// pause: not by all VMs at once.
const SECOND_LIST: Range<f64> = 0.25..0.5;
/// From the own entry's writing to the first listing: VMs start together.
const OTHERS_START: Duration = Duration::from_millis(700);

/// Writes the own entry, and writes it again after each restore of the store, which may have lost
/// it. The entry is the same at each start of a VM, so a write whose answer was lost is retried.
pub(super) async fn announce(front: Rc<Front>, own: SocketAddr) {
    let entry = VmEntry {
        peers: own,
        failure_domain: front.failure_domain.clone(),
    };
    loop {
        // Read before the write: a restore during the call may lose the written entry.
        let epoch = front.store.epoch();
        let mut backoff = Backoff::new();
        while let Err(e) = front.store.put(Kind::Vms, &front.name, &entry, CALL).await {
            log::debug!("{e}");
            backoff.pause().await;
        }
        front.store_contact.restored_after(epoch).await;
        pause_after_restore(&front).await;
    }
}

/// Waits for a random time that grows with the fleet: all VMs notice a restore at once, and the
/// store's write rate is limited.
pub(super) async fn pause_after_restore(front: &Front) {
    let longest = WRITE_PAUSE_PER_VM * u32::try_from(front.peers.listed()).unwrap_or(u32::MAX);
    let part = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(longest.mul_f64(part)).await;
}

/// Lists the VMs for as long as the process runs. At once, for a VM that starts again finds
/// the others' entries there, and again when VMs that started together have written theirs.
pub(super) async fn list(front: Rc<Front>) {
    let mut backoff = Backoff::new();
    match once(&front, Reading::MayLag).await {
        Ok(()) if front.peers.listed() > 1 => {
            front.peers.set_listed(front.clock.now());
            // Whoever is missing tells its failure domain when it starts.
            let part = rand::rng().random_range(SECOND_LIST);
            tokio::time::sleep(pause(front.peers.listed()).mul_f64(part)).await;
        }
        Ok(()) => {}
        Err(e) => log::debug!("{e}"),
    }
    tokio::time::sleep(OTHERS_START).await;
    // The others have just written their entries: an older list lacks them.
    let mut reading = Reading::Current;
    loop {
        match once(&front, reading).await {
            Ok(()) => {
                backoff.succeeded();
                front.peers.set_listed(front.clock.now());
                reading = Reading::MayLag;
                tokio::time::sleep(pause(front.peers.listed())).await;
            }
            Err(e) => {
                log::debug!("{e}");
                backoff.pause().await;
            }
        }
    }
}

/// The pause until the next list of so many VMs.
fn pause(vms: usize) -> Duration {
    LIST_EVERY.mul_f64((vms as f64 / VMS_PER_PAUSE as f64).max(1.0))
}

async fn once(front: &Front, reading: Reading) -> Result<(), StoreError> {
    let mut after: Option<String> = None;
    let mut reading = reading;
    loop {
        let listing = front.store.list(Kind::Vms, after.as_deref(), reading, CALL);
        let page = listing.await?;
        page.objects.iter().for_each(|o| take(front, o));
        after = page.objects.last().map(|o| o.name.clone());
        if !page.more || after.is_none() {
            front.divide();
            return Ok(());
        }
        if reading == Reading::Current {
            // A long list is not asked of the store at full price by each of many VMs.
            tokio::time::sleep(LAG).await;
            reading = Reading::MayLag;
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
