//! Bytes that this VM buffers for peers that read slowly.

use super::clock::Clock;
use prometheus::IntCounterVec;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use trouttrack_core::buffers::{self, Bound, BufferKey, BufferLimits, EndedReader, Reservation};
use trouttrack_core::{OrganisationId, RequestId};
use trouttrack_telemetry::{events, record};

/// Pause between two attempts to add bytes while the organisation or the VM is at its bound.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The reader of a buffer was ended to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderEnded;

/// All buffers of the VM. Clones share them.
#[derive(Clone, Debug)]
pub struct Buffers(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    table: RefCell<buffers::Buffers>,
    open: RefCell<HashMap<BufferKey, Weak<HeldBytes>>>,
    /// Ended readers, by the bound that was reached.
    ended: IntCounterVec,
}

impl Buffers {
    /// Creates an empty table. `ended` counts ended readers by bound.
    #[must_use]
    pub fn new(clock: Clock, limits: BufferLimits, ended: IntCounterVec) -> Self {
        Self(Rc::new(Shared {
            clock,
            table: RefCell::new(buffers::Buffers::new(limits)),
            open: RefCell::default(),
            ended,
        }))
    }

    /// Opens a buffer of at most `max_bytes` bytes for a request of an organisation.
    #[must_use]
    pub fn open(&self, request: &str, organisation: &str, max_bytes: usize) -> Rc<HeldBytes> {
        let key = self.0.table.borrow_mut().open(organisation, max_bytes);
        let held = Rc::new(HeldBytes {
            shared: Rc::clone(&self.0),
            key,
            request: request.to_owned(),
            released: Notify::new(),
            unwritten: Cell::new(0),
            connection: RefCell::default(),
        });
        let mut open = self.0.open.borrow_mut();
        open.insert(key, Rc::downgrade(&held));
        held
    }

    /// The bounds.
    #[must_use]
    pub fn limits(&self) -> BufferLimits {
        self.0.table.borrow().limits()
    }

    /// Bytes in all buffers.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.table.borrow().total()
    }

    /// The `count` organisations that hold the most bytes, the largest first.
    #[must_use]
    pub fn largest(&self, count: usize) -> Vec<(OrganisationId, usize)> {
        self.0.table.borrow().largest(count)
    }
}

impl Shared {
    /// Logs the end of a reader and wakes its connection, which then fails.
    fn end(&self, reader: &EndedReader) {
        let held = self.open.borrow().get(&reader.key).and_then(Weak::upgrade);
        let Some(held) = held else {
            return;
        };
        let table = self.table.borrow();
        let limits = table.limits();
        let limit = match reader.bound {
            Bound::Organisation => limits.organisation,
            Bound::Vm => limits.vm,
        };
        record!(
            events::SLOW_READER_ENDED,
            request = held.request.as_str(),
            organisation = reader.organisation.as_str(),
            bound = reader.bound.as_str(),
            bytes = reader.bytes,
            stalled_ms = reader.stalled_for.as_millis() as u64,
            organisation_bytes = table.held_by(&reader.organisation),
            buffered_bytes = table.total(),
            limit_bytes = limit,
        );
        drop(table);
        self.ended.with_label_values(&[reader.bound.as_str()]).inc();
        held.released.notify_one();
        if let Some(waker) = held.connection.take() {
            waker.wake();
        }
    }
}

/// Bytes held for one peer of a request. They are released when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    shared: Rc<Shared>,
    key: BufferKey,
    request: RequestId,
    released: Notify,
    /// Bytes that the connection has taken and not yet written.
    unwritten: Cell<usize>,
    /// The connection's task, while the reader is stalled.
    connection: RefCell<Option<Waker>>,
}

impl HeldBytes {
    /// Adds bytes, and waits until all bounds allow it.
    ///
    /// # Errors
    ///
    /// The reader was ended.
    pub async fn reserve(&self, bytes: usize) -> Result<(), ReaderEnded> {
        loop {
            let reservation = self.try_reserve(bytes);
            if reservation.granted {
                return Ok(());
            }
            if self.is_ended() {
                return Err(ReaderEnded);
            }
            match reservation.at_own_bound {
                true => self.released.notified().await,
                false => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Adds bytes if all bounds allow it, and ends readers that are over a bound.
    fn try_reserve(&self, bytes: usize) -> Reservation {
        let now = self.shared.clock.now();
        let mut table = self.shared.table.borrow_mut();
        let reservation = table.reserve(now, self.key, bytes);
        drop(table);
        reservation.ended.iter().for_each(|r| self.shared.end(r));
        reservation
    }

    /// Records that the connection has taken bytes in order to write them.
    pub fn taken(&self, bytes: usize) {
        self.unwritten.set(self.unwritten.get() + bytes);
    }

    /// Records that the connection has written all but `left` of the bytes that it has taken.
    pub fn written(&self, left: usize) {
        let now = self.shared.clock.now();
        let mut table = self.shared.table.borrow_mut();
        table.set_stalled(now, self.key, false);
        let written = self.unwritten.get().saturating_sub(left);
        if written > 0 {
            self.unwritten.set(self.unwritten.get() - written);
            table.release(self.key, written);
            self.released.notify_one();
        }
    }

    /// Releases the bytes that the connection has not taken and will not take.
    pub fn abandon(&self) {
        let mut table = self.shared.table.borrow_mut();
        let untaken = table.bytes(self.key).saturating_sub(self.unwritten.get());
        table.release(self.key, untaken);
    }

    /// Records that the connection cannot write. `waker` is woken if the reader is ended.
    pub fn stalled(&self, waker: &Waker) {
        let now = self.shared.clock.now();
        let mut table = self.shared.table.borrow_mut();
        table.set_stalled(now, self.key, true);
        *self.connection.borrow_mut() = Some(waker.clone());
    }

    /// Whether the reader was ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.shared.table.borrow().is_ended(self.key)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shared.open.borrow_mut().remove(&self.key);
        self.shared.table.borrow_mut().close(self.key);
    }
}
