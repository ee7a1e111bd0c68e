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
use trouttrack_core::fleet::RouteKind;
use trouttrack_core::quarantine::record_holders;
use trouttrack_core::{Fingerprint, OriginId, Time};
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
/// Interval at which a version whose record is being removed is checked for new upstreams.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
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
        for version in versions.take_missing(|service| begins_streams(&front, service)) {
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

/// Whether a service begins streams that callers may resume. No other version needs a record.
fn begins_streams(front: &Front, service: &str) -> bool {
    let table = front.routing.table();
    table.is_some_and(|table| {
        let routes = table.config().routes.iter();
        let resumable = routes.filter(|r| {
            matches!(
                r.kind,
                RouteKind::Stream {
                    resumable: true,
                    ..
                }
            )
        });
        let mut shares = resumable.flat_map(|r| &r.shares);
        shares.any(|share| share.service == service)
    })
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

/// How the record of a version comes to be known.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Another VM writes it.
    LookUp(Reading),
    Write,
}

/// Writes a record, unless another VM has, and retries until the store has it.
async fn write(front: Rc<Front>, version: VersionRecord) {
    let mut backoff = Backoff::new();
    let mut step = match is_writer(&front, &version) {
        true => Step::Write,
        false => Step::LookUp(Reading::MayLag),
    };
    loop {
        let done = match step {
            Step::Write => put(&front, version.clone()).await,
            Step::LookUp(reading) => look_up(&front, reading).await,
        };
        if front.origins.versions.is_recorded(version.origin()) {
            return;
        }
        match (done, step) {
            (Ok(()), Step::LookUp(Reading::MayLag)) => step = Step::LookUp(Reading::Current),
            (Ok(()), _) => step = Step::Write,
            (Err(e), _) => {
                log::debug!("cannot record version {}: {e}", version.version);
                backoff.pause().await;
            }
        }
    }
}

async fn put(front: &Front, record: VersionRecord) -> Result<(), StoreError> {
    let (store, name) = (&front.store, record.name());
    store
        .put(Kind::Versions, &name, &record, CALL_TIMEOUT)
        .await?;
    record!(
        events::VERSION_RECORDED,
        service = record.service.as_str(),
        version = record.version.as_str(),
    );
    front.origins.versions.add_recorded(record);
    Ok(())
}

async fn look_up(front: &Front, reading: Reading) -> Result<(), StoreError> {
    let pause = rand::rng().random_range(OTHERS_PAUSE_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
    list(front, reading, CALL_TIMEOUT).await.map(drop)
}

/// Removes a record. If the version gets upstreams again meanwhile, writes another one in its place:
/// the store may carry out the removal of the one that it had, even later.
async fn remove(front: Rc<Front>, version: VersionRecord) {
    let mut backoff = Backoff::new();
    let is_back = async {
        while !front.origins.versions.has(version.origin()) {
            tokio::time::sleep(RETURN_CHECK_INTERVAL).await;
        }
    };
    let removed = async {
        while let Err(e) = remove_once(&front, &version).await {
            log::debug!("cannot remove the record of a version: {e}");
            backoff.pause().await;
        }
    };
    tokio::select! {
        biased;
        () = is_back => {}
        () = removed => return,
    }
    let again = VersionRecord {
        token: rand::random(),
        ..version
    };
    while let Err(e) = put(&front, again.clone()).await {
        log::debug!("cannot record a version again: {e}");
        backoff.pause().await;
    }
}

/// Removes a record, unless it has been written again since it was read.
async fn remove_once(front: &Front, version: &VersionRecord) -> Result<(), StoreError> {
    let name = version.name();
    let objects = list_objects(front, Reading::Current, CALL_TIMEOUT).await?;
    match objects.iter().find(|object| object.name == name) {
        Some(object) => {
            let store = &front.store;
            let removed = store.remove_unchanged(Kind::Versions, object, CALL_TIMEOUT);
            removed.await.map(drop)
        }
        None => Ok(()),
    }
}

/// The records that were read.
#[derive(Debug)]
struct Records {
    records: Vec<VersionRecord>,
    /// Whether all could be read. Another one may name any version.
    is_complete: bool,
}

/// Reads all records.
async fn list(front: &Front, reading: Reading, timeout: Duration) -> Result<Records, StoreError> {
    let mut read = Records {
        records: Vec::new(),
        is_complete: true,
    };
    for object in list_objects(front, reading, timeout).await? {
        match VersionRecord::decode(object.spec.get()) {
            Ok(record) => {
                front.origins.versions.add_recorded(record.clone());
                read.records.push(record);
            }
            Err(e) => {
                log::warn!("version {}: record cannot be read: {e}", object.name);
                read.is_complete = false;
            }
        }
    }
    Ok(read)
}

async fn list_objects(
    front: &Front,
    reading: Reading,
    timeout: Duration,
) -> Result<Vec<Object>, StoreError> {
    let mut objects = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let store = &front.store;
        let page = store.list(Kind::Versions, after.as_deref(), reading, timeout);
        let page = page.await?;
        objects.extend(page.objects);
        after = page.next_after;
        if !page.more || after.is_none() {
            return Ok(objects);
        }
    }
}

/// The result of the latest read, for the callers that were waiting when it began.
#[derive(Debug, Default)]
pub(crate) struct LatestRead {
    began: Option<Time>,
    records: Option<Vec<VersionRecord>>,
}

/// The versions that the store has recorded by now; `None` if it does not answer, or has a record
/// that cannot be read. They are those of all services, because routes are moved between services.
/// Callers that wait at the same time share a call.
pub(crate) async fn recorded_versions(front: &Front) -> Option<HashSet<OriginId>> {
    if front.store_is_silent() {
        return None;
    }
    let asked_at = front.clock.now();
    let mut latest = front.version_read.lock().await;
    if latest.began.is_none_or(|began| began < asked_at) {
        let began = front.clock.now();
        let reading = list(front, Reading::Current, READ_TIMEOUT);
        let read = tokio::time::timeout(READ_TIMEOUT, reading).await;
        let complete = read.ok().and_then(Result::ok).filter(|r| r.is_complete);
        *latest = LatestRead {
            began: Some(began),
            records: complete.map(|read| read.records),
        };
    }
    let records = latest.records.as_ref()?.iter();
    Some(records.map(VersionRecord::origin).collect())
}
