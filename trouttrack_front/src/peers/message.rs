//! Datagrams, and their form on the wire.
//!
//! They are encoded by `postcard`: a VM at 300 tells 48 others of each generation that
//! it hands over, and a datagram of JSON spells out every field. The first
//! byte names the form, so that VMs of two versions of this program leave out what they
//! cannot read.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use trouttrack_core::membership::{Digest, Evacuations, Revision, UpstreamUse};
use trouttrack_core::quarantine::CrashRecord;
use trouttrack_core::upstream::ReportedLimit;
use trouttrack_core::{ConfigVersion, UpstreamId};
use trouttrack_platform::UpstreamEntry;

/// The form of the datagrams, which changes with any of the types below.
const FORM: u8 = 6;

/// What a VM sends.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// The sender's state.
    Heartbeat(Box<Heartbeat>),
    /// The sender's use of upstreams, which has just changed.
    Load(Load),
    /// Changes in the store, and who else is to hear of them from the receiver.
    News(News, Vec<SocketAddr>),
    /// The receiver knows of changes after this revision, and is asked for them.
    NewsWanted(Revision),
    /// The sender knows more than the receiver and does not remember what changed: all
    /// upstreams may be fetched.
    NewsForgotten,
    /// The receiver has a newer configuration, and is asked for it.
    ConfigWanted,
    /// The configuration that the sender has in force.
    Config(ToldConfig),
    /// The sender has a configuration of this version in force that is too large for a
    /// datagram; it may be fetched.
    ConfigReady(ConfigVersion),
    /// Requests under which upstreams ended.
    Suspects(Vec<CrashRecord>),
    /// The receiver is asked how long ago its configuration was confirmed. Numbered with
    /// the sender's heartbeats.
    ConfirmationWanted(Echo),
    /// The answer.
    Confirmation(Confirmation),
}

/// A sender's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    /// Its name, address, use of upstreams.
    pub(super) digest: Digest,
    /// The last datagram that it has heard from the receiver.
    pub(super) echo: Option<Echo>,
    /// Whether it watches the store for its failure domain.
    pub(super) watches: bool,
    /// How long ago the configuration in force there was confirmed, in milliseconds.
    pub(super) confirmed_ms: Option<u64>,
    /// The store's revision up to which it knows the upstreams' entries.
    pub(super) upstreams_revision: Revision,
    /// The failure domains that are evacuated, as far as it knows.
    pub(super) evacuations: Evacuations,
    /// How long ago the store last answered it, in milliseconds.
    pub(super) store_ms: Option<u64>,
    /// The use that all VMs of its failure domain make of the upstreams there, told to
    /// other failure domains of a large fleet.
    pub(super) domain_uses: Vec<UpstreamUse>,
    /// A sum over the requests that are held there.
    pub(super) suspects: u64,
    /// The limits that upstreams have named, as far as it knows.
    pub(super) limits: Vec<ReportedLimit>,
}

/// How long ago a VM's configuration was confirmed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Confirmation {
    /// The question.
    pub(super) echo: Echo,
    /// The version of the configuration in force there.
    pub(super) config_version: ConfigVersion,
    /// How long ago that configuration was confirmed, in milliseconds.
    pub(super) age_ms: u64,
}

/// A sender's use of upstreams: what of its state changes most often.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Load {
    /// Its name.
    pub(super) name: String,
    /// This datagram; heartbeats and these are numbered together.
    pub(super) number: Echo,
    /// Its use of upstreams.
    pub(super) uses: Vec<UpstreamUse>,
    /// The limits that upstreams have named lately, as far as it knows.
    pub(super) limits: Vec<ReportedLimit>,
}

/// Names a numbered datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Echo {
    /// The life of the process that sent it.
    pub(super) incarnation: u64,
    /// Its number.
    pub(super) sequence: u64,
}

/// Changes of upstreams' entries between two revisions of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News {
    /// Everything up to this revision is known already.
    pub from: Revision,
    /// Everything up to this revision is known with the changes.
    pub to: Revision,
    /// The changes, in order.
    pub changes: Vec<EntryChange>,
}

impl News {
    /// The same in parts of at most so many changes, each of which may be taken in by
    /// itself. A part is larger where changes did not come in the order of their revisions.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::Revision;
    /// use trouttrack_front::peers::{EntryChange, EntryState, News};
    /// let at = |number| Revision::new(0, number);
    /// let gone = |n| EntryChange { id: "e1".into(), revision: at(n), entry: EntryState::Gone };
    /// let changes = vec![gone(11), gone(12), gone(14)];
    /// let parts = News { from: at(10), to: at(20), changes }.in_parts(2);
    /// let ends = parts.iter().map(|n| (n.from.number, n.to.number, n.changes.len()));
    /// let ends: Vec<_> = ends.collect();
    /// assert_eq!(ends, [(10, 12, 2), (12, 20, 1)]);
    /// ```
    #[must_use]
    pub fn in_parts(self, most: usize) -> Vec<Self> {
        let mut parts: Vec<Self> = Vec::new();
        let (mut from, to) = (self.from, self.to);
        let oldest_after = oldest_after(&self.changes);
        let mut part = Vec::new();
        for (change, oldest) in self.changes.into_iter().zip(oldest_after) {
            part.push(change);
            let newest = part.iter().map(|c| c.revision).max();
            if let (Some(newest), Some(oldest)) = (newest, oldest)
                && part.len() >= most
                && newest < oldest
                && newest > from
            {
                let changes = std::mem::take(&mut part);
                parts.push(Self {
                    from,
                    to: newest,
                    changes,
                });
                from = newest;
            }
        }
        parts.push(Self {
            from,
            to,
            changes: part,
        });
        parts
    }
}

/// For each change the oldest revision among those after it; `None` after the last.
fn oldest_after(changes: &[EntryChange]) -> Vec<Option<Revision>> {
    let mut oldest = None;
    let backwards = changes.iter().rev().map(|change| {
        let after = oldest;
        oldest = Some(oldest.map_or(change.revision, |o: Revision| o.min(change.revision)));
        after
    });
    let mut found: Vec<Option<Revision>> = backwards.collect();
    found.reverse();
    found
}

/// A change of one entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryChange {
    /// The upstream.
    pub id: UpstreamId,
    /// The store's revision of the change.
    pub revision: Revision,
    /// What became of the entry.
    pub entry: EntryState,
}

/// What became of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// It says this.
    Listed(UpstreamEntry),
    /// It is gone.
    Gone,
    /// It cannot be read, so nobody vouches for the upstream.
    Unreadable,
}

/// A configuration as the store has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ToldConfig {
    /// The store's revision.
    pub(super) revision: Revision,
    /// What it says.
    pub(super) spec: Box<str>,
}

/// A datagram as it is sent.
pub(super) fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    postcard::to_extend(datagram, vec![FORM])
        .inspect_err(|e| log::error!("a datagram cannot be encoded: {e}"))
        .ok()
}

/// A datagram that came; `None` if it cannot be read.
pub(super) fn decode(bytes: &[u8]) -> Option<Datagram> {
    let (form, rest) = bytes.split_first()?;
    if *form != FORM {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
