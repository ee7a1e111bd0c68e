//! Discovery of the system's VMs through the store.
//!
//! At startup each VM writes its own entry and lists the others. VMs that start later are
//! discovered by their heartbeats.

use super::backoff::Backoff;
use super::holds::{self, ListedHolds};
use crate::state::Front;
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Kind, Object, Reading, StoreError, VmEntry};

/// Timeout for a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the VMs are listed again, for VMs that could not reach each other when one
/// of them started.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Number of VMs above which the list interval grows in proportion to the fleet. With a fixed
/// interval the store's traffic would grow with the square of the fleet, to 40 MB/s for 2,000
/// VMs.
const VMS_PER_LIST_INTERVAL: usize = 256;
/// Maximum delay before writing to a restored store, per VM in the fleet.
const MAX_WRITE_DELAY_PER_VM: Duration = Duration::from_millis(5);
/// Maximum age of a list that may lag, in normal operation.
const MAX_LIST_LAG: Duration = Duration::from_millis(1500);
/// Delay before the second list if the first one contained other VMs, as a fraction of the list
/// interval. It is random, so that not all VMs list at once.
const SECOND_LIST_FRACTION: Range<f64> = 0.25..0.5;
/// Delay before the VMs are listed with all current entries: VMs that start together need time
/// to write theirs.
const STARTUP_DELAY: Duration = Duration::from_millis(700);

/// Writes this VM's entry, and writes it again after each restore of the store, which may have
/// lost it. The entry is the same at each start of a VM, so a write whose answer was lost is retried.
pub(super) async fn announce(front: Rc<Front>, own: SocketAddr) {
    let entry = VmEntry {
        peers: own,
        failure_domain: front.failure_domain.clone(),
    };
    let mut is_start = true;
    loop {
        // Read before the write: a restore during the call may lose the written entry.
        let epoch = front.store.epoch();
        let created = write(&front, &entry).await;
        if std::mem::take(&mut is_start) && created && !may_have_lost_entries(&front) {
            front.budgets.set_first_run();
        }
        front.store_contact.restored_after(epoch).await;
        pause_after_restore(&front).await;
    }
}

/// Writes this VM's entry, and retries until the store accepts the call. Returns whether the first
/// call has created it: a later one may find what a call without an answer has written.
async fn write(front: &Front, entry: &VmEntry) -> bool {
    let mut backoff = Backoff::new();
    loop {
        let put = front.store.put(Kind::Vms, &front.name, entry, CALL_TIMEOUT);
        match put.await {
            Ok(created) => return created,
            Err(e) => log::debug!("cannot write this VM's entry: {e}"),
        }
        backoff.pause().await;
    }
}

/// Whether the store was restored at any time, and may lack what this VM wrote when it ran before.
fn may_have_lost_entries(front: &Front) -> bool {
    front.store.epoch().is_some_and(|epoch| epoch > 0)
}

/// Waits for a random time that grows with the fleet: all VMs notice a restore at once, and the
/// store's write rate is limited.
pub(super) async fn pause_after_restore(front: &Front) {
    let longest = MAX_WRITE_DELAY_PER_VM * u32::try_from(front.peers.listed()).unwrap_or(u32::MAX);
    let part = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(longest.mul_f64(part)).await;
}

/// Lists the VMs periodically. The first list is read at once, because a VM that restarts finds
/// the other VMs' entries in the store; the next one waits until VMs that started at the same time
/// have written theirs.
pub(super) async fn list(front: Rc<Front>) {
    let mut backoff = Backoff::new();
    match list_once(&front, Reading::MayLag).await {
        Ok(holds) => {
            let is_restart = front.peers.listed() > 1;
            if is_restart {
                front.peers.set_listed(front.clock.now());
            }
            let are_holds_known = holds::learn(&front, holds).await;
            if is_restart && are_holds_known {
                // A VM that is missing from this list announces itself to its failure domain
                // when it starts.
                let part = rand::rng().random_range(SECOND_LIST_FRACTION);
                tokio::time::sleep(list_interval(front.peers.listed()).mul_f64(part)).await;
            }
        }
        Err(e) => log::debug!("cannot list the VMs: {e}"),
    }
    tokio::time::sleep(STARTUP_DELAY).await;
    // VMs that started at the same time have just written their entries; a list that lags
    // could lack them.
    let mut reading = Reading::Current;
    loop {
        match list_once(&front, reading).await {
            Ok(holds) => {
                front.peers.set_listed(front.clock.now());
                front.peers.set_all_known();
                front.divide();
                if !holds::learn(&front, holds).await {
                    backoff.pause().await;
                    continue;
                }
                backoff.reset();
                reading = Reading::MayLag;
                tokio::time::sleep(list_interval(front.peers.listed())).await;
            }
            Err(e) => {
                log::debug!("cannot list the VMs: {e}");
                backoff.pause().await;
            }
        }
    }
}

/// The list interval for a fleet of `vms` VMs.
fn list_interval(vms: usize) -> Duration {
    LIST_INTERVAL.mul_f64((vms as f64 / VMS_PER_LIST_INTERVAL as f64).max(1.0))
}

/// Lists the VMs once. Returns the holds, which are listed with them.
async fn list_once(front: &Front, reading: Reading) -> Result<ListedHolds, StoreError> {
    let mut after: Option<String> = None;
    let mut reading = reading;
    let mut holds = ListedHolds::default();
    loop {
        let listing = front
            .store
            .list(Kind::Vms, after.as_deref(), reading, CALL_TIMEOUT);
        let page = listing.await?;
        holds.add_page(page.revision);
        let vms = page.objects.iter().filter(|o| !holds.add(o));
        vms.for_each(|o| apply_object(front, o));
        after = page.objects.last().map(|o| o.name.clone());
        if !page.more || after.is_none() {
            front.divide();
            return Ok(holds);
        }
        if reading == Reading::Current {
            // Current reads are expensive for the store, so the remaining pages of a long list
            // are read with lag.
            tokio::time::sleep(MAX_LIST_LAG).await;
            reading = Reading::MayLag;
        }
    }
}

fn apply_object(front: &Front, object: &Object) {
    match VmEntry::decode(object.spec.get()) {
        Ok(entry) => {
            let (name, domain) = (&object.name, &entry.failure_domain);
            let (peers, addr) = (&front.peers, entry.peers);
            peers.insert_listed(name, addr, domain, object.revision);
        }
        Err(e) => log::warn!("VM {}: entry cannot be read: {e}", object.name),
    }
}
