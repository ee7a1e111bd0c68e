//! The objects, the calls counted, the VM list.

use super::faults::{PlatformFault, PlatformFaultKind};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Changes kept for watches; an older `since` is answered with a full list.
const HISTORY: usize = 10_000;

/// Calls that the platform takes each second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Writes.
    pub writes: u32,
    /// Reads, watches included.
    pub reads: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            writes: 500,
            reads: 2000,
        }
    }
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Calls refused for the rate.
    pub limited: u64,
}

/// Whether a VM lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It has been told to go.
    Leaving,
}

/// One line of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// Where its processes listen, by IP.
    pub addr: String,
    /// Where it stands.
    pub failure_domain: String,
    /// Whether it lives.
    pub state: VmState,
}

#[derive(Clone, Debug)]
pub(super) struct Object {
    pub(super) version: u64,
    pub(super) body: Bytes,
}

/// One change, as a watch tells it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) key: String,
    pub(super) version: u64,
    pub(super) deleted: bool,
}

/// What a write requires of the object as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Any,
    Absent,
    Version(u64),
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, Object>,
    revision: u64,
    history: VecDeque<Change>,
    faults: Vec<PlatformFault>,
    calls: Calls,
    window: Option<(Instant, Calls)>,
    vms: Vec<(Instant, Vec<VmEntry>)>,
}

/// The state of the object API.
#[derive(Debug)]
pub struct PlatformState {
    inner: Mutex<Inner>,
    pub(super) changed: Notify,
    rates: Rates,
    vm_lag: Duration,
}

impl PlatformState {
    pub(super) fn new(rates: Rates, vm_lag: Duration) -> Self {
        Self {
            inner: Mutex::default(),
            changed: Notify::new(),
            rates,
            vm_lag,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Arms a fault.
    pub fn arm(&self, fault: PlatformFault) {
        self.lock().faults.push(fault);
    }

    /// Ends every fault.
    pub fn disarm(&self) {
        self.lock().faults.clear();
    }

    /// Calls since the start.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// An object's body, without a call being counted.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Bytes> {
        self.lock().objects.get(key).map(|o| o.body.clone())
    }

    /// Sets the VM list; readers see it after the lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms.push((Instant::now(), vms));
    }

    pub(super) fn vms(&self) -> Vec<VmEntry> {
        let inner = self.lock();
        let mut seen = inner.vms.iter().rev();
        seen.find(|(at, _)| at.elapsed() >= self.vm_lag)
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    pub(super) fn strike(&self, write: bool) -> Option<PlatformFaultKind> {
        let mut inner = self.lock();
        let i = inner.faults.iter().position(|f| write || !f.writes_only)?;
        let kind = inner.faults[i].kind;
        if let Some(times) = &mut inner.faults[i].times {
            *times = times.saturating_sub(1);
            if *times == 0 {
                inner.faults.remove(i);
            }
        }
        Some(kind)
    }

    /// Counts a call. Returns whether the rate allows it.
    pub(super) fn count(&self, call: Call) -> bool {
        const WINDOW: Duration = Duration::from_secs(1);
        let mut inner = self.lock();
        let now = Instant::now();
        let mut window = match inner.window {
            Some((since, calls)) if now.duration_since(since) < WINDOW => (since, calls),
            _ => (now, Calls::default()),
        };
        let allowed = window.1.add(call, self.rates);
        inner.window = Some(window);
        if allowed {
            inner.calls.add(
                call,
                Rates {
                    writes: u32::MAX,
                    reads: u32::MAX,
                },
            );
        } else {
            inner.calls.limited += 1;
        }
        allowed
    }

    pub(super) fn get(&self, key: &str) -> Option<Object> {
        self.lock().objects.get(key).cloned()
    }

    pub(super) fn list(&self, prefix: &str) -> (u64, Vec<Change>) {
        let inner = self.lock();
        let objects = inner.objects.range(prefix.to_owned()..);
        let changes = objects
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, o)| Change {
                revision: o.version,
                key: key.clone(),
                version: o.version,
                deleted: false,
            })
            .collect();
        (inner.revision, changes)
    }

    /// Changes below a prefix after a revision; `None` if too old to tell.
    pub(super) fn since(&self, prefix: &str, since: u64) -> Option<(u64, Vec<Change>)> {
        let inner = self.lock();
        let oldest = inner
            .history
            .front()
            .map_or(inner.revision, |c| c.revision - 1);
        if since < oldest {
            return None;
        }
        let changes = inner
            .history
            .iter()
            .filter(|c| c.revision > since && c.key.starts_with(prefix))
            .cloned()
            .collect();
        Some((inner.revision, changes))
    }

    /// Writes (or deletes, without a body) if the condition holds.
    ///
    /// Returns the new version, or the current one (0 if absent) on refusal.
    pub(super) fn write(
        &self,
        key: &str,
        condition: Condition,
        body: Option<Bytes>,
    ) -> Result<u64, u64> {
        let mut inner = self.lock();
        let current = inner.objects.get(key).map_or(0, |o| o.version);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => current == 0,
            Condition::Version(v) => current == v && v != 0,
        };
        if !holds {
            return Err(current);
        }
        inner.revision += 1;
        let version = inner.revision;
        let deleted = body.is_none();
        match body {
            Some(body) => {
                inner
                    .objects
                    .insert(key.to_owned(), Object { version, body });
            }
            None => {
                inner.objects.remove(key);
            }
        }
        if inner.history.len() == HISTORY {
            inner.history.pop_front();
        }
        inner.history.push_back(Change {
            revision: version,
            key: key.to_owned(),
            version,
            deleted,
        });
        drop(inner);
        self.changed.notify_waiters();
        Ok(version)
    }
}

/// The kind of a call, for the count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Read,
    Write,
    Watch,
}

impl Calls {
    fn add(&mut self, call: Call, rates: Rates) -> bool {
        let reads = self.reads + self.watches;
        match call {
            Call::Read | Call::Watch if reads >= u64::from(rates.reads) => return false,
            Call::Write if self.writes >= u64::from(rates.writes) => return false,
            Call::Read => self.reads += 1,
            Call::Write => self.writes += 1,
            Call::Watch => self.watches += 1,
        }
        true
    }
}
