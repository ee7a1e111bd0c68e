//! The table of buffers.

use super::{Bound, BufferKey, BufferLimits, Reservation};
use crate::{OrganisationId, Time};
use std::collections::HashMap;

/// A buffer, and the state of its reader.
#[derive(Clone, Debug)]
pub(super) struct Buffer {
    pub(super) organisation: OrganisationId,
    max_bytes: usize,
    pub(super) bytes: usize,
    pub(super) stalled_since: Option<Time>,
    pub(super) ended: bool,
}

/// All buffers of a VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::buffers::{BufferLimits, Buffers};
/// let limits = BufferLimits { request: 10, organisation: 15, vm: 20 };
/// let mut buffers = Buffers::new(limits);
/// let s = Duration::from_secs;
/// let slow = buffers.open("a", limits.request);
/// assert!(buffers.reserve(s(1), slow, 10).granted);
/// buffers.set_stalled(s(1), slow, true);
/// let other = buffers.open("a", limits.request);
/// // Both would hold 20 bytes, and the organisation may hold 15.
/// let reservation = buffers.reserve(s(3), other, 10);
/// assert_eq!(reservation.ended[0].key, slow);
/// buffers.close(slow);
/// assert!(buffers.reserve(s(3), other, 10).granted);
/// ```
#[derive(Clone, Debug)]
pub struct Buffers {
    limits: BufferLimits,
    next: BufferKey,
    pub(super) by_key: HashMap<BufferKey, Buffer>,
    pub(super) by_organisation: HashMap<OrganisationId, usize>,
    total: usize,
}

impl Buffers {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            next: 0,
            by_key: HashMap::new(),
            by_organisation: HashMap::new(),
            total: 0,
        }
    }

    /// Returns the bounds.
    #[must_use]
    pub fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Opens a buffer of at most `max_bytes` bytes. A single larger chunk is accepted while the
    /// buffer is empty.
    pub fn open(&mut self, organisation: &str, max_bytes: usize) -> BufferKey {
        let key = self.next;
        self.next += 1;
        let buffer = Buffer {
            organisation: organisation.to_owned(),
            max_bytes,
            bytes: 0,
            stalled_since: None,
            ended: false,
        };
        self.by_key.insert(key, buffer);
        key
    }

    /// Adds bytes to a buffer if all bounds allow it.
    pub fn reserve(&mut self, now: Time, key: BufferKey, bytes: usize) -> Reservation {
        let mut reservation = Reservation::default();
        let Some(buffer) = self.by_key.get(&key) else {
            return reservation;
        };
        if buffer.ended {
            return reservation;
        }
        reservation.at_own_bound = buffer.bytes > 0 && buffer.bytes + bytes > buffer.max_bytes;
        if reservation.at_own_bound {
            return reservation;
        }
        let organisation = buffer.organisation.clone();
        let held = self.held_by(&organisation) + bytes;
        let over_organisation = held.saturating_sub(self.limits.organisation);
        if over_organisation > 0 {
            let bound = Bound::Organisation;
            self.end_readers(
                now,
                &organisation,
                over_organisation,
                bound,
                &mut reservation,
            );
        }
        let over_vm = (self.total + bytes).saturating_sub(self.limits.vm);
        if over_vm > 0 {
            let largest = self.largest_organisation(&organisation, held);
            self.end_readers(now, &largest, over_vm, Bound::Vm, &mut reservation);
        }
        if over_organisation == 0 && over_vm == 0 {
            reservation.granted = true;
            self.add(key, bytes);
        }
        reservation
    }

    /// Removes bytes that were read from a buffer.
    pub fn release(&mut self, key: BufferKey, bytes: usize) {
        let Some(buffer) = self.by_key.get_mut(&key) else {
            return;
        };
        let bytes = bytes.min(buffer.bytes);
        buffer.bytes -= bytes;
        let organisation = buffer.organisation.clone();
        self.subtract(&organisation, bytes);
    }

    /// Records whether the reader of a buffer accepts no bytes. A stall lasts from the first
    /// such report in a row.
    pub fn set_stalled(&mut self, now: Time, key: BufferKey, stalled: bool) {
        if let Some(buffer) = self.by_key.get_mut(&key) {
            buffer.stalled_since = match stalled {
                true => buffer.stalled_since.or(Some(now)),
                false => None,
            };
        }
    }

    /// Removes a buffer and its bytes.
    pub fn close(&mut self, key: BufferKey) {
        if let Some(buffer) = self.by_key.remove(&key) {
            self.subtract(&buffer.organisation, buffer.bytes);
        }
    }

    /// Returns whether the reader of a buffer was ended.
    #[must_use]
    pub fn is_ended(&self, key: BufferKey) -> bool {
        self.by_key.get(&key).is_some_and(|buffer| buffer.ended)
    }

    /// Returns the bytes in a buffer.
    #[must_use]
    pub fn bytes(&self, key: BufferKey) -> usize {
        self.by_key.get(&key).map_or(0, |buffer| buffer.bytes)
    }

    /// Returns the bytes in all buffers.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes in the buffers of an organisation.
    #[must_use]
    pub fn held_by(&self, organisation: &str) -> usize {
        self.by_organisation
            .get(organisation)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the `count` organisations that hold the most bytes, the largest first.
    #[must_use]
    pub fn largest(&self, count: usize) -> Vec<(OrganisationId, usize)> {
        let held = self.by_organisation.iter();
        let mut largest: Vec<_> = held.map(|(o, bytes)| (o.clone(), *bytes)).collect();
        largest.sort_unstable_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        largest.truncate(count);
        largest
    }

    fn add(&mut self, key: BufferKey, bytes: usize) {
        let Some(buffer) = self.by_key.get_mut(&key) else {
            return;
        };
        buffer.bytes += bytes;
        self.total += bytes;
        match self.by_organisation.get_mut(&buffer.organisation) {
            Some(held) => *held += bytes,
            None => {
                self.by_organisation
                    .insert(buffer.organisation.clone(), bytes);
            }
        }
    }

    fn subtract(&mut self, organisation: &str, bytes: usize) {
        self.total -= bytes;
        if let Some(held) = self.by_organisation.get_mut(organisation) {
            *held -= bytes;
            if *held == 0 {
                self.by_organisation.remove(organisation);
            }
        }
    }
}
