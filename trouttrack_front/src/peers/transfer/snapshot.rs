//! All upstreams as one VM knows them.

use crate::state::{Upstream, Upstreams};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_core::{FailureDomain, ServiceId, Time, UpstreamId};
use trouttrack_platform::UpstreamEntry;

/// The entries of all upstreams up to a revision of the store.
///
/// The names that many entries share are spelled out once: 10,002 entries take some 45
/// bytes each in place of 300 in the store's form.
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
    /// Whether upstreams here say when they started.
    say_births: bool,
    services: Vec<ServiceId>,
    failure_domains: Vec<FailureDomain>,
    rows: Vec<Row>,
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
pub struct Told {
    /// Its id.
    pub id: UpstreamId,
    /// What its entry says.
    pub entry: UpstreamEntry,
    /// Whether the entry disappeared around an outage of the store and may come back.
    pub lapsed: bool,
}

impl Snapshot {
    /// What is known here now.
    #[must_use]
    pub fn of(known: &Upstreams) -> Self {
        let mut snapshot = Self {
            revision: known.revision(),
            say_births: known.say_births(),
            ..Self::default()
        };
        let (mut services, mut failure_domains) = (Names::default(), Names::default());
        let now = known.now();
        known.for_each(|upstream, lapsed| {
            let service = services.number(&upstream.service);
            let failure_domain = failure_domains.number(&upstream.failure_domain);
            let row = row(upstream, lapsed, now, service, failure_domain);
            snapshot.rows.push(row);
        });
        snapshot.services = services.in_order;
        snapshot.failure_domains = failure_domains.in_order;
        snapshot
    }

    /// The store's revision up to which the entries are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether upstreams here say when they started.
    #[must_use]
    pub fn say_births(&self) -> bool {
        self.say_births
    }

    /// The upstreams. One that names what the snapshot does not hold is left out.
    pub fn entries(&self) -> impl Iterator<Item = Told> {
        self.rows.iter().filter_map(|row| self.told(row))
    }

    fn told(&self, row: &Row) -> Option<Told> {
        let service = self.services.get(row.service as usize)?;
        let failure_domain = self.failure_domains.get(row.failure_domain as usize)?;
        Some(Told {
            id: row.id.clone(),
            entry: UpstreamEntry {
                service: service.clone(),
                addr: row.addr,
                failure_domain: failure_domain.clone(),
                slots: row.slots,
                cold_for: Duration::from_millis(row.cold_ms),
                leaving: row.leaving,
                born: row.born,
            },
            lapsed: row.lapsed,
        })
    }
}

fn row(upstream: &Upstream, lapsed: bool, now: Time, service: u32, failure_domain: u32) -> Row {
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

/// Names, numbered as they come.
#[derive(Debug, Default)]
struct Names {
    numbers: HashMap<String, u32>,
    in_order: Vec<String>,
}

impl Names {
    fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.in_order.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.in_order.push(name.to_owned());
        number
    }
}
