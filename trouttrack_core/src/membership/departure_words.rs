//! What VMs tell each other about upstreams that leave.
//!
//! Normally all VMs learn from the store's entries that an upstream leaves. While the store is away
//! or turns VMs away, some know more: the upstream has told them, or they were served all the
//! while and can tell that a removed entry has not merely lapsed.

use crate::upstream::Incarnation;
use crate::{Time, UpstreamId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// How long a word is told. Heartbeats to random VMs reach all of a failure domain meanwhile, and
/// an entry that has lapsed does not wait for longer.
const TOLD_FOR: Duration = Duration::from_secs(4);

/// Maximum number of words in a datagram; the latest go first. Each takes about 26 bytes.
pub const MAX_WORDS_PER_DATAGRAM: usize = 24;

/// How it is known that an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DepartureWord {
    /// The upstream has said so itself.
    Announced,
    /// Its entry was removed, at a time at which no entry can have lapsed.
    Removed,
}

/// A word about an upstream, as told to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedDeparture {
    /// The upstream.
    pub upstream: Incarnation,
    /// How it is known.
    pub word: DepartureWord,
    /// Time since it became known to the first VM, in milliseconds.
    pub age_ms: u32,
}

/// Words about upstreams, this VM's own and those of peers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::{DepartureWord, DepartureWords};
/// use trouttrack_core::upstream::Incarnation;
/// let second = Duration::from_secs(1);
/// let upstream = Incarnation::new("u1", 7);
/// let mut own = DepartureWords::default();
/// own.insert(10 * second, &upstream, DepartureWord::Removed);
/// let told = own.to_report(11 * second);
/// assert_eq!(told[0].age_ms, 1000);
/// assert_eq!(own.take_news(11 * second), told);
/// assert!(!own.has_news());
///
/// let mut peer = DepartureWords::default();
/// assert!(peer.receive(20 * second, &told[0]));
/// assert!(!peer.receive(20 * second, &told[0]), "already known");
/// assert!(peer.is_removed(21 * second, &upstream));
/// assert!(!peer.is_removed(60 * second, &upstream));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DepartureWords {
    known_since: HashMap<(Incarnation, DepartureWord), Time>,
    /// Upstreams whose removal this VM knows to be final, as it was told by the VM that read it.
    settled: HashMap<UpstreamId, (Incarnation, Time)>,
    /// This VM's own words that have not been sent.
    news: Vec<(Incarnation, DepartureWord)>,
}

impl DepartureWords {
    /// Records a word of this VM.
    pub fn insert(&mut self, now: Time, upstream: &Incarnation, word: DepartureWord) {
        self.expire(now);
        let key = (upstream.clone(), word);
        if !self.known_since.contains_key(&key) {
            self.known_since.insert(key.clone(), now);
            self.news.push(key);
        }
    }

    /// Records that an upstream was removed for good. This is told only if a peer asks.
    pub fn settle(&mut self, now: Time, upstream: &Incarnation) {
        self.expire(now);
        let settled = (upstream.clone(), now);
        self.settled.insert(upstream.id.clone(), settled);
    }

    /// Answers a peer that cannot tell what the removal of an upstream's entry means.
    pub fn answer(&mut self, now: Time, id: &str) {
        self.expire(now);
        if let Some((upstream, _)) = self.settled.remove(id) {
            self.insert(now, &upstream, DepartureWord::Removed);
        }
    }

    /// Whether there are own words that have not been taken.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Removes and returns the own words that have not been taken, up to
    /// [`MAX_WORDS_PER_DATAGRAM`].
    pub fn take_news(&mut self, now: Time) -> Vec<ReportedDeparture> {
        if self.news.is_empty() {
            return Vec::new();
        }
        let news = std::mem::take(&mut self.news);
        let mut told = self.to_report(now);
        told.retain(|t| {
            news.iter()
                .any(|(life, word)| *life == t.upstream && *word == t.word)
        });
        told
    }

    /// Records a peer's word, which is told on until it is too old. Returns whether it is news.
    pub fn receive(&mut self, now: Time, told: &ReportedDeparture) -> bool {
        self.expire(now);
        let age = Duration::from_millis(told.age_ms.into());
        let key = (told.upstream.clone(), told.word);
        if age >= TOLD_FOR || self.known_since.contains_key(&key) {
            return false;
        }
        self.known_since.insert(key, now.saturating_sub(age));
        true
    }

    /// Whether a VM could tell that the removal of this upstream's entry is final.
    #[must_use]
    pub fn is_removed(&self, now: Time, upstream: &Incarnation) -> bool {
        let key = (upstream.clone(), DepartureWord::Removed);
        let since = self.known_since.get(&key);
        since.is_some_and(|since| now < *since + TOLD_FOR)
    }

    /// The words that peers are told, the latest first.
    #[must_use]
    pub fn to_report(&self, now: Time) -> Vec<ReportedDeparture> {
        let current = self.known_since.iter().map(|((upstream, word), since)| {
            let age = now.saturating_sub(*since);
            (upstream, *word, age)
        });
        let mut current: Vec<_> = current.filter(|(.., age)| *age < TOLD_FOR).collect();
        current.sort_unstable_by_key(|(upstream, _, age)| (*age, upstream.id.as_str()));
        let latest = current.into_iter().take(MAX_WORDS_PER_DATAGRAM);
        let report = |(upstream, word, age): (&Incarnation, _, Duration)| ReportedDeparture {
            upstream: upstream.clone(),
            word,
            age_ms: age.as_millis() as u32,
        };
        latest.map(report).collect()
    }

    fn expire(&mut self, now: Time) {
        self.settled.retain(|_, (_, since)| now < *since + TOLD_FOR);
        self.known_since.retain(|_, since| now < *since + TOLD_FOR);
    }
}
