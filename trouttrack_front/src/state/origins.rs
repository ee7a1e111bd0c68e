//! Which software version began which stream, as far as this VM knows.

use super::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use trouttrack_core::versions::{
    OriginAnswer, StreamOrigin, StreamTable, VersionCensus, origin_id, stream_key,
};
use trouttrack_core::{OriginId, ServiceId, StreamKey, Time};

/// Time for which a caller may still return after its own deadline, by another clock.
const RETURN_MARGIN: Duration = Duration::from_secs(5);
/// Answers to a question that are kept until they are read.
const MAX_ANSWERS: usize = 16;

/// The versions of streams and services, and the streams still to be told to other VMs.
#[derive(Debug)]
pub struct Origins {
    clock: Clock,
    streams: RefCell<StreamTable>,
    census: RefCell<VersionCensus>,
    /// Services that had upstreams of several versions when their streams were told last.
    mixed: RefCell<BTreeSet<ServiceId>>,
    /// The longest time for which a stream lasts.
    longest: Cell<Duration>,
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
            clock,
            streams: RefCell::default(),
            census: RefCell::default(),
            mixed: RefCell::default(),
            longest: Cell::default(),
            pending: RefCell::default(),
            pending_changed: Notify::new(),
            questions: RefCell::default(),
            last_question: Cell::new(rand::random()),
        }
    }

    /// Counts an upstream of a service.
    pub(super) fn add(&self, service: &str, version: &str) {
        let mut census = self.census.borrow_mut();
        census.add(service, origin_id(service, version));
    }

    /// Takes an upstream of a service out of the count.
    pub(super) fn remove(&self, service: &str, version: &str) {
        let mut census = self.census.borrow_mut();
        census.remove(self.clock.now(), service, origin_id(service, version));
    }

    /// Tells the streams of services whose upstreams have come to be of several versions, and
    /// drops old streams.
    pub(crate) fn refresh(&self) {
        let now = self.clock.now();
        self.streams.borrow_mut().expire(now);
        let census = self.census.borrow();
        let mixed = census.mixed(now, self.longest.get());
        let before = self.mixed.replace(mixed.clone());
        let services = mixed.difference(&before);
        let origins: BTreeSet<OriginId> = services
            .flat_map(|service| census.served(now, service, self.longest.get()))
            .collect();
        if !origins.is_empty() {
            let streams = self.streams.borrow();
            self.tell(streams.own(now, |origin| origins.contains(&origin)));
        }
    }

    /// Records that this VM forwards events of a stream that a version of a service began, and
    /// whose caller returns until `deadline` at the latest. Streams of its route last for
    /// `timeout` at most.
    pub(crate) fn record(
        &self,
        first_attempt: &str,
        (service, version): (&str, &str),
        deadline: Time,
        timeout: Duration,
    ) {
        let now = self.clock.now();
        self.longest.set(self.longest.get().max(timeout));
        let (stream, origin) = (stream_key(first_attempt), origin_id(service, version));
        let mut streams = self.streams.borrow_mut();
        let is_new = streams.record_own(stream, origin, deadline + RETURN_MARGIN);
        if is_new && self.census.borrow().is_mixed(now, service, timeout) {
            self.tell(vec![stream]);
        }
    }

    /// Records streams that another VM told of.
    pub(crate) fn record_told(&self, told: &[StreamOrigin]) {
        let now = self.clock.now();
        let mut streams = self.streams.borrow_mut();
        told.iter().for_each(|told| streams.record_told(now, told));
    }

    /// What this VM knows of a stream that one of these services began within a time.
    #[must_use]
    pub(crate) fn answer(
        &self,
        stream: StreamKey,
        services: &[ServiceId],
        within: Duration,
    ) -> OriginAnswer {
        let now = self.clock.now();
        let census = self.census.borrow();
        let served = services.iter().flat_map(|s| census.served(now, s, within));
        OriginAnswer {
            origin: self.streams.borrow().origin(now, stream),
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

    fn tell(&self, streams: Vec<StreamKey>) {
        if !streams.is_empty() {
            self.pending.borrow_mut().extend(streams);
            self.pending_changed.notify_one();
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
