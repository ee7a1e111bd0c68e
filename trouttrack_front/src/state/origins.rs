//! Which software version began which stream, as far as this VM knows.

use super::clock::Clock;
use super::versions::Versions;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use trouttrack_core::versions::{OriginAnswer, StreamOrigin, StreamTable, stream_key};
use trouttrack_core::{OriginId, ServiceId, StreamKey, Time};

/// Time for which a caller may still return after its own deadline, by another clock.
const RETURN_MARGIN: Duration = Duration::from_secs(5);
/// Answers to a question that are kept until they are read.
const MAX_ANSWERS: usize = 16;

/// The versions of streams and services, and the streams still to be told to other VMs.
#[derive(Debug)]
pub struct Origins {
    clock: Clock,
    /// The versions that have upstreams.
    pub(crate) versions: Versions,
    streams: RefCell<StreamTable>,
    pending: RefCell<Vec<StreamKey>>,
    pending_changed: Notify,
    /// Questions that wait for answers, by number.
    questions: RefCell<HashMap<u64, mpsc::Sender<(SocketAddr, OriginAnswer)>>>,
    last_question: Cell<u64>,
}

impl Origins {
    /// Creates empty tables.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            versions: Versions::new(clock.clone()),
            clock,
            streams: RefCell::default(),
            pending: RefCell::default(),
            pending_changed: Notify::new(),
            questions: RefCell::default(),
            last_question: Cell::new(rand::random()),
        }
    }

    /// Drops the streams whose callers cannot return any more.
    pub(crate) fn expire(&self) {
        self.streams.borrow_mut().expire(self.clock.now());
    }

    /// Records that this VM forwards events of a stream that a version of a service began, and
    /// whose caller returns until `deadline` at the latest. Other VMs are told if it is new.
    pub(crate) fn record(&self, first_attempt: &str, origin: OriginId, deadline: Time) {
        let stream = stream_key(first_attempt);
        let mut streams = self.streams.borrow_mut();
        if streams.record_own(stream, origin, deadline + RETURN_MARGIN) {
            self.pending.borrow_mut().push(stream);
            self.pending_changed.notify_one();
        }
    }

    /// Tells all streams that this VM knows to other VMs, because it stops: those that were told
    /// of them before may have stopped since.
    pub(crate) fn hand_over(&self) {
        let streams = self.streams.borrow().streams(self.clock.now());
        self.pending.borrow_mut().extend(streams);
        self.pending_changed.notify_one();
    }

    /// Whether this VM knows which version began the stream of this attempt.
    #[must_use]
    pub fn knows(&self, first_attempt: &str) -> bool {
        let stream = stream_key(first_attempt);
        let origin = self.streams.borrow().origin(self.clock.now(), stream);
        origin.is_some()
    }

    /// Records streams that another VM told of.
    pub(crate) fn record_told(&self, told: &[StreamOrigin]) {
        let now = self.clock.now();
        let mut streams = self.streams.borrow_mut();
        told.iter().for_each(|told| streams.record_told(now, told));
    }

    /// What this VM knows of a stream that one of these services began.
    #[must_use]
    pub(crate) fn answer(&self, stream: StreamKey, services: &[ServiceId]) -> OriginAnswer {
        let served = services.iter().flat_map(|s| self.versions.served(s));
        OriginAnswer {
            origin: self.streams.borrow().origin(self.clock.now(), stream),
            served: served.collect(),
        }
    }

    /// Opens a question; its answers are received until the receiver is dropped.
    pub(crate) fn open_question(&self) -> (u64, mpsc::Receiver<(SocketAddr, OriginAnswer)>) {
        let number = self.last_question.get().wrapping_add(1);
        self.last_question.set(number);
        let (tx, rx) = mpsc::channel(MAX_ANSWERS);
        let mut questions = self.questions.borrow_mut();
        questions.retain(|_, tx| !tx.is_closed());
        questions.insert(number, tx);
        (number, rx)
    }

    /// Passes an answer to its question, if that is still open.
    pub(crate) fn receive_answer(&self, number: u64, from: SocketAddr, answer: OriginAnswer) {
        if let Some(tx) = self.questions.borrow().get(&number) {
            // Answers beyond those kept change nothing.
            drop(tx.try_send((from, answer)));
        }
    }

    /// Waits until streams have to be told to other VMs.
    pub(crate) async fn changes_pending(&self) {
        self.pending_changed.notified().await;
    }

    /// The streams that have to be told.
    pub(crate) fn take_pending(&self) -> Vec<StreamOrigin> {
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        self.streams.borrow().told(self.clock.now(), &pending)
    }
}
