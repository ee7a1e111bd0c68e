//! Failures of the store.

use crate::bed::{Bed, Member};
use crate::plan::StoreFailure;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::sleep;
use trouttrack_platform_standin::StoreFault;

/// After the store's return, entries that lapsed are back within this.
const ENTRIES_RETURN: Duration = Duration::from_millis(1500);

/// How long the store is unavailable before it is restored, in milliseconds.
const RESTORE_OUTAGE_MS: Range<u64> = 200..1500;

/// Makes the store fail for a while.
pub(super) async fn fail(bed: &Bed, failure: StoreFailure, lasts: Duration, rng: &mut SmallRng) {
    let failing = bed.begin_store_fault(fault(failure));
    let lapsed = match failure {
        StoreFailure::Lapse => bed.upstreams.now(),
        _ => Vec::new(),
    };
    for member in &lapsed {
        bed.store.remove_upstream(&member.upstream.id);
    }
    sleep(lasts).await;
    bed.end_store_fault(failing);
    return_entries(bed, &lapsed, rng).await;
}

/// Makes the store fail for one VM for a while.
pub(super) async fn turn_away(bed: &Bed, vm: usize, failure: StoreFailure, lasts: Duration) {
    let failing = bed.begin_store_fault_for(vm, fault(failure));
    sleep(lasts).await;
    bed.end_store_fault_for(vm, failing);
}

/// Restores the store from the last backup, if any, after a short outage. Operators and upstreams
/// rewrite the lost data within [`ENTRIES_RETURN`] of the restore.
pub(super) async fn restore(bed: &Bed, rng: &mut SmallRng) {
    let Some(backup) = bed.store_backup.borrow().clone() else {
        return;
    };
    let away = bed.begin_store_fault(StoreFault::Silent);
    sleep(Duration::from_millis(rng.random_range(RESTORE_OUTAGE_MS))).await;
    bed.store.restore(&backup);
    bed.end_store_fault(away);
    sleep(ENTRIES_RETURN.mul_f64(rng.random())).await;
    bed.rewrite_current_state();
}

fn fault(failure: StoreFailure) -> StoreFault {
    match failure {
        StoreFailure::Refuse => StoreFault::Refuse,
        StoreFailure::Silent | StoreFailure::Lapse => StoreFault::Silent,
        StoreFailure::Reset => StoreFault::Reset,
        StoreFailure::DeafWatches => StoreFault::DeafWatches,
    }
}

/// Upstreams whose entries lapsed write them again, one after the other. One
/// that has left meanwhile does not.
async fn return_entries(bed: &Bed, lapsed: &[Member], rng: &mut SmallRng) {
    for member in lapsed {
        // All pauses together take half of the time at most.
        let part = 1.0 / (2.0 * bed.upstreams.now().len() as f64);
        let pause = ENTRIES_RETURN.mul_f64(rng.random_range(0.0..part));
        sleep(pause).await;
        let id = &member.upstream.id;
        if bed.upstreams.has(id) && bed.upstreams.left_at(id).is_none() {
            bed.store.put_upstream(&member.upstream, false);
        }
    }
}
