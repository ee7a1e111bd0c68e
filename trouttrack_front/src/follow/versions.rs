//! Records in the store which software versions have upstreams.
//!
//! VMs have no persistent state of their own, so after all have ended at once none knows which
//! versions have begun streams. A record for each service and version does, with a few calls for
//! each release. It is removed when none of the version's streams can be left.

use super::backoff::Backoff;
use super::bootstrap::wait_for_vm_list;
use super::vms::pause_after_restore;
use crate::state::Front;
use rand::RngExt;
use std::collections::HashSet;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::quarantine::record_holders;
use trouttrack_core::{Fingerprint, OriginId, ServiceId, Time};
use trouttrack_platform::{Kind, Object, Reading, StoreError, VersionRecord};
use trouttrack_telemetry::{events, record};

/// Timeout for a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading the records while a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of VMs that write a record, so that one of them may fail.
const WRITER_COUNT: usize = 2;
/// Pause after which the other VMs look for a record, in milliseconds. It is random, so that not
/// all of them call the store at once.
const OTHERS_PAUSE_MS: Range<u64> = 50..250;
/// Interval at which versions are checked for those of which no stream can be left.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Writes records, and removes them, for as long as the process runs. A restore of the store may
/// lose records, so all are written again after it.
pub(super) async fn sync(front: Rc<Front>) {
    let versions = &front.origins.versions;
    if let Err(e) = list(&front, Reading::MayLag, CALL_TIMEOUT).await {
        log::debug!("cannot list the recorded versions: {e}");
    }
    // Who writes a record depends on which VMs there are.
    wait_for_vm_list(&front).await;
    let mut epoch = None;
    loop {
        for version in versions.take_missing() {
            actix_rt::spawn(write(Rc::clone(&front), version));
        }
        for version in versions.expire() {
            if is_writer(&front, &version) {
                actix_rt::spawn(remove(Rc::clone(&front), version));
            }
        }
        tokio::select! {
            biased;
            restored_epoch = front.store_contact.restored_after(epoch) => {
                epoch = restored_epoch;
                pause_after_restore(&front).await;
                versions.distrust_records();
            }
            () = versions.changed() => {}
            () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
        }
    }
}

/// Whether this VM is one of those that write a record.
fn is_writer(front: &Front, version: &VersionRecord) -> bool {
    let vms = front.peers.live_names().into_iter();
    let vms = vms.chain([front.name.clone()]);
    let first = record_holders(Fingerprint::from(version.origin()), vms, String::as_str);
    first
        .iter()
        .take(WRITER_COUNT)
        .any(|name| *name == front.name)
}

/// Writes a record, unless another VM has, and retries until the store has it.
async fn write(front: Rc<Front>, version: VersionRecord) {
    let mut backoff = Backoff::new();
    let origin = version.origin();
    let mut is_writer = is_writer(&front, &version);
    loop {
        let written = match is_writer {
            true => put(&front, &version).await,
            false => look_up(&front).await,
        };
        if front.origins.versions.is_recorded(origin) {
            return;
        }
        match written {
            Ok(()) => is_writer = true,
            Err(e) => {
                log::debug!("cannot record version {}: {e}", version.version);
                backoff.pause().await;
            }
        }
    }
}

async fn put(front: &Front, version: &VersionRecord) -> Result<(), StoreError> {
    let (store, name) = (&front.store, version.name());
    store
        .put(Kind::Versions, &name, version, CALL_TIMEOUT)
        .await?;
    record!(
        events::VERSION_RECORDED,
        service = version.service.as_str(),
        version = version.version.as_str(),
    );
    front.origins.versions.add_recorded(version.clone());
    Ok(())
}

async fn look_up(front: &Front) -> Result<(), StoreError> {
    let pause = rand::rng().random_range(OTHERS_PAUSE_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
    list(front, Reading::MayLag, CALL_TIMEOUT).await.map(drop)
}

/// Removes a record, unless the version has upstreams again.
async fn remove(front: Rc<Front>, version: VersionRecord) {
    let (mut backoff, name) = (Backoff::new(), version.name());
    while !front.origins.versions.has(version.origin()) {
        let removed = front.store.remove(Kind::Versions, &name, CALL_TIMEOUT);
        match removed.await {
            // It may have got upstreams during the call.
            Ok(()) => return front.origins.versions.record_removed(version.origin()),
            Err(e) => log::debug!("cannot remove the record of a version: {e}"),
        }
        backoff.pause().await;
    }
}

/// Reads all records. Returns their versions.
async fn list(
    front: &Front,
    reading: Reading,
    timeout: Duration,
) -> Result<Vec<VersionRecord>, StoreError> {
    let mut records = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let listing = front
            .store
            .list(Kind::Versions, after.as_deref(), reading, timeout);
        let page = listing.await?;
        records.extend(page.objects.iter().filter_map(decode));
        after = page.objects.last().map(|o| o.name.clone());
        if !page.more || after.is_none() {
            break;
        }
    }
    for record in &records {
        front.origins.versions.add_recorded(record.clone());
    }
    Ok(records)
}

fn decode(object: &Object) -> Option<VersionRecord> {
    match VersionRecord::decode(object.spec.get()) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!("version {}: record cannot be read: {e}", object.name);
            None
        }
    }
}

/// The result of the latest read, for the callers that were waiting when it began.
#[derive(Debug, Default)]
pub(crate) struct LatestRead {
    began: Option<Time>,
    records: Option<Vec<VersionRecord>>,
}

/// The versions of these services that the store has recorded by now; `None` if it does not answer.
/// Callers that wait at the same time share a call.
pub(crate) async fn recorded_versions(
    front: &Front,
    services: &[ServiceId],
) -> Option<HashSet<OriginId>> {
    let asked_at = front.clock.now();
    let mut latest = front.version_read.lock().await;
    if latest.began.is_none_or(|began| began < asked_at) {
        let began = front.clock.now();
        let reading = list(front, Reading::Current, READ_TIMEOUT);
        let read = tokio::time::timeout(READ_TIMEOUT, reading).await;
        *latest = LatestRead {
            began: Some(began),
            records: read.ok().and_then(Result::ok),
        };
    }
    let records = latest.records.as_ref()?.iter();
    let of_services = records.filter(|record| services.contains(&record.service));
    Some(of_services.map(VersionRecord::origin).collect())
}
