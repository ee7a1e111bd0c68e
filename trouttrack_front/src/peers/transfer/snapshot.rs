//! Snapshot of all upstreams known to one VM.

use crate::state::{Upstream, Upstreams};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_core::{FailureDomain, ServiceId, SoftwareVersion, Time, UpstreamId};
use trouttrack_platform::UpstreamEntry;

/// The entries of all upstreams up to a store revision.
///
/// Service and failure domain names are interned: with 10,002 entries, each takes about 45
/// bytes instead of 300 in the store's encoding.
///
/// # Examples
///
/// ```
/// use trouttrack_front::peers::Snapshot;
/// use trouttrack_front::state::{Clock, Upstreams};
/// let known = Upstreams::new(Clock::start());
/// let snapshot = Snapshot::of(&known);
/// assert_eq!(snapshot.revision(), Default::default());
/// assert_eq!(snapshot.entries().count(), 0);
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    revision: Revision,
    /// Whether upstreams report their start time.
    publishes_start_times: bool,
    services: Vec<ServiceId>,
    failure_domains: Vec<FailureDomain>,
    rows: Vec<Row>,
    /// Encoded after the rest, so that VMs of earlier versions can read a snapshot without it.
    #[serde(skip)]
    versions: Versions,
}

/// The software versions of a snapshot's upstreams.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Versions {
    names: Vec<SoftwareVersion>,
    /// For each row, the index of its version.
    of_rows: Vec<u32>,
}

impl Versions {
    fn of_row(&self, row: usize) -> Option<&SoftwareVersion> {
        self.names.get(*self.of_rows.get(row)? as usize)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Row {
    id: UpstreamId,
    addr: SocketAddr,
    service: u32,
    failure_domain: u32,
    slots: usize,
    cold_ms: u64,
    born: u64,
    leaving: bool,
    lapsed: bool,
}

/// One upstream of a [`Snapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotEntry {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The decoded store entry.
    pub entry: UpstreamEntry,
    /// Whether the entry disappeared around a store outage and may reappear.
    pub lapsed: bool,
}

impl Snapshot {
    /// Captures the current state of `known`.
    #[must_use]
    pub fn of(known: &Upstreams) -> Self {
        let mut snapshot = Self {
            revision: known.revision(),
            publishes_start_times: known.publishes_start_times(),
            ..Self::default()
        };
        let (mut services, mut failure_domains) =
            (NameInterner::default(), NameInterner::default());
        let mut versions = NameInterner::default();
        let now = known.now();
        known.for_each(|upstream, lapsed| {
            let service = services.intern(&upstream.service);
            let failure_domain = failure_domains.intern(&upstream.failure_domain);
            let row = encode_row(upstream, lapsed, now, service, failure_domain);
            snapshot.rows.push(row);
            let version = versions.intern(upstream.version());
            snapshot.versions.of_rows.push(version);
        });
        snapshot.services = services.in_order;
        snapshot.failure_domains = failure_domains.in_order;
        snapshot.versions.names = versions.in_order;
        snapshot
    }

    /// Encodes the snapshot.
    ///
    /// # Errors
    ///
    /// It cannot be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, Vec::new())?;
        postcard::to_extend(&self.versions, bytes)
    }

    /// Decodes a snapshot. One of an earlier version of this program has no software versions.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (snapshot, rest) = postcard::take_from_bytes(bytes)?;
        Ok(Self {
            versions: postcard::from_bytes(rest).unwrap_or_default(),
            ..snapshot
        })
    }

    /// The store revision up to which the entries are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether upstreams report their start time.
    #[must_use]
    pub fn publishes_start_times(&self) -> bool {
        self.publishes_start_times
    }

    /// Iterates over the upstreams, skipping rows with a value or an index of a service or failure
    /// domain that is out of range.
    pub fn entries(&self) -> impl Iterator<Item = SnapshotEntry> {
        let rows = self.rows.iter().enumerate();
        rows.filter_map(|(index, row)| self.resolve(index, row))
    }

    fn resolve(&self, index: usize, row: &Row) -> Option<SnapshotEntry> {
        let service = self.services.get(row.service as usize)?;
        let failure_domain = self.failure_domains.get(row.failure_domain as usize)?;
        let entry = UpstreamEntry {
            service: service.clone(),
            addr: row.addr,
            failure_domain: failure_domain.clone(),
            slots: row.slots,
            cold_for: Duration::from_millis(row.cold_ms),
            leaving: row.leaving,
            born: row.born,
            version: self.versions.of_row(index).cloned().unwrap_or_default(),
        };
        entry.check().ok()?;
        Some(SnapshotEntry {
            id: row.id.clone(),
            entry,
            lapsed: row.lapsed,
        })
    }
}

fn encode_row(
    upstream: &Upstream,
    lapsed: bool,
    now: Time,
    service: u32,
    failure_domain: u32,
) -> Row {
    Row {
        id: upstream.id.clone(),
        addr: upstream.addr,
        service,
        failure_domain,
        slots: upstream.slots(),
        cold_ms: upstream.cold_for(now).as_millis() as u64,
        born: upstream.born,
        leaving: upstream.is_leaving(),
        lapsed,
    }
}

/// Interns names, assigning indices in order of first use.
#[derive(Debug, Default)]
struct NameInterner {
    indices: HashMap<String, u32>,
    in_order: Vec<String>,
}

impl NameInterner {
    fn intern(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.in_order.len() as u32;
        self.indices.insert(name.to_owned(), index);
        self.in_order.push(name.to_owned());
        index
    }
}
