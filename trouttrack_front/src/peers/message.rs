//! Datagram types exchanged between VMs, and their wire encoding.
//!
//! Datagrams are encoded with `postcard`: in a fleet of 300 VMs, each VM reports every
//! generation that it dispatches to 48 others, and JSON would spell out every field name.
//! The first byte is the format version, so that VMs running different versions of this
//! program ignore datagrams that they cannot decode.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::membership::{
    Conditions, Digest, Evacuations, Removal, Revision, UpstreamUse,
};
use trouttrack_core::quarantine::{CrashRecord, RecordContext};
use trouttrack_core::upstream::ReportedLimit;
use trouttrack_core::versions::{OriginAnswer, StreamOrigin};
use trouttrack_core::{ConfigVersion, ServiceId, SoftwareVersion, StreamKey, UpstreamId};
use trouttrack_platform::UpstreamEntry;

/// Wire format version. Must change whenever any of the types below changes; what VMs of
/// earlier versions need not know goes into the [`Conditions`].
const FORMAT_VERSION: u8 = 6;

/// A message between two VMs.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// The sender's state.
    Heartbeat(Box<Heartbeat>),
    /// The sender's use of upstreams, sent after a change.
    Load(Load),
    /// Changes in the store, and the addresses to which the receiver must forward them.
    News(EntryUpdate, Vec<SocketAddr>),
    /// Requests the changes after this revision from the receiver.
    NewsWanted(Revision),
    /// The sender has a later revision than the receiver but no longer keeps the changes
    /// in between; the receiver may fetch all upstreams instead.
    NewsForgotten,
    /// Requests the receiver's configuration, which is newer than the sender's.
    ConfigWanted,
    /// The sender's active configuration.
    Config(StoredConfig),
    /// The sender's active configuration has this version and is too large for a
    /// datagram; the receiver may fetch it.
    ConfigReady(ConfigVersion),
    /// Requests and parts of prompts under which upstreams terminated.
    Suspects(Vec<CrashRecord>),
    /// Asks the receiver how long ago its configuration was confirmed. Shares its sequence
    /// numbers with the sender's heartbeats.
    ConfirmationWanted(Echo),
    /// The reply to `ConfirmationWanted`.
    Confirmation(Confirmation),
    /// Versions that began streams. VMs of earlier versions do not know this datagram and those
    /// after it, and ignore them.
    Origins(Vec<StreamOrigin>),
    /// Asks the receiver which version began a stream.
    OriginWanted(OriginQuestion),
    /// The reply to `OriginWanted`, with its number.
    Origin(u64, OriginAnswer),
}

/// A question for the version that began a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OriginQuestion {
    /// Identifies the question.
    pub(super) number: u64,
    /// The stream.
    pub(super) stream: StreamKey,
    /// The services that may have begun it.
    pub(super) services: Vec<ServiceId>,
    /// Time within which it began, in milliseconds; for VMs of earlier versions.
    pub(super) within_ms: u64,
}

/// The sender's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    /// The sender's name, address and use of upstreams.
    pub(super) digest: Digest,
    /// The last numbered datagram that the sender received from the receiver.
    pub(super) echo: Option<Echo>,
    /// Whether the sender watches the store for its failure domain.
    pub(super) watches: bool,
    /// Time since the sender's active configuration was confirmed, in milliseconds.
    pub(super) confirmed_ms: Option<u64>,
    /// Store revision up to which the sender knows the upstreams' entries.
    pub(super) upstreams_revision: Revision,
    /// Evacuated failure domains known to the sender.
    pub(super) evacuations: Evacuations,
    /// Time since the store last answered the sender, in milliseconds.
    pub(super) store_ms: Option<u64>,
    /// Aggregate use of the upstreams in the sender's failure domain by all VMs of that
    /// domain. Sent in large fleets for the benefit of other failure domains.
    pub(super) domain_uses: Vec<UpstreamUse>,
    /// Checksum of what the sender holds in quarantine.
    pub(super) quarantine_checksum: u64,
    /// Limits announced by upstreams that are known to the sender.
    pub(super) limits: Vec<ReportedLimit>,
}

/// How long ago a VM's configuration was confirmed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Confirmation {
    /// The `ConfirmationWanted` datagram that this replies to.
    pub(super) echo: Echo,
    /// Version of the replying VM's active configuration.
    pub(super) config_version: ConfigVersion,
    /// Time since that configuration was confirmed, in milliseconds.
    pub(super) age_ms: u64,
}

/// The sender's use of upstreams, the part of its state that changes most often.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Load {
    /// The sender's name.
    pub(super) name: String,
    /// Identifies this datagram. Shares its sequence numbers with heartbeats.
    pub(super) number: Echo,
    /// The sender's use of upstreams.
    pub(super) uses: Vec<UpstreamUse>,
    /// Limits recently announced by upstreams that are known to the sender.
    pub(super) limits: Vec<ReportedLimit>,
}

/// Identifies a numbered datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Echo {
    /// Incarnation of the process that sent it.
    pub(super) incarnation: u64,
    /// Sequence number within the incarnation.
    pub(super) sequence: u64,
}

/// Changes of upstreams' entries between two revisions of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Revision that the receiver must already have reached.
    pub from: Revision,
    /// Revision that the receiver reaches by applying the changes.
    pub to: Revision,
    /// The changes, in order.
    pub changes: Vec<EntryChange>,
}

impl EntryUpdate {
    /// The software versions of the listed entries, in order.
    fn versions(&self) -> Vec<&SoftwareVersion> {
        let listed = self
            .changes
            .iter()
            .filter_map(|change| match &change.entry {
                EntryState::Listed(entry) => Some(&entry.version),
                EntryState::Gone(_) | EntryState::Unreadable => None,
            });
        listed.collect()
    }

    /// Sets the software versions of the listed entries.
    fn set_versions(&mut self, versions: Vec<SoftwareVersion>) {
        let listed = self.changes.iter_mut().filter_map(|c| match &mut c.entry {
            EntryState::Listed(entry) => Some(entry),
            EntryState::Gone(_) | EntryState::Unreadable => None,
        });
        for (entry, version) in listed.zip(versions) {
            entry.version = version;
        }
    }

    /// Marks entries with values out of range as unreadable.
    fn check_entries(&mut self) {
        for change in &mut self.changes {
            if let EntryState::Listed(entry) = &change.entry
                && entry.check().is_err()
            {
                change.entry = EntryState::Unreadable;
            }
        }
    }

    /// What the removals mean, in order.
    fn removals(&self) -> Vec<Option<Removal>> {
        let gone = self.changes.iter().filter_map(|c| match c.entry {
            EntryState::Gone(meaning) => Some(meaning),
            EntryState::Listed(_) | EntryState::Unreadable => None,
        });
        gone.collect()
    }

    /// Sets what the removals mean.
    fn set_removals(&mut self, removals: Vec<Option<Removal>>) {
        let gone = self.changes.iter_mut().filter_map(|c| match &mut c.entry {
            EntryState::Gone(meaning) => Some(meaning),
            EntryState::Listed(_) | EntryState::Unreadable => None,
        });
        for (meaning, told) in gone.zip(removals) {
            *meaning = told;
        }
    }

    /// Splits the changes into parts of at most `most` changes that can each be applied
    /// independently. A part is larger if its changes are not in revision order.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::Revision;
    /// use trouttrack_front::peers::{EntryChange, EntryState, EntryUpdate};
    /// let at = |number| Revision::new(0, number);
    /// let gone = |n| EntryChange { id: "e1".into(), revision: at(n), entry: EntryState::Gone(None) };
    /// let changes = vec![gone(11), gone(12), gone(14)];
    /// let parts = EntryUpdate { from: at(10), to: at(20), changes }.in_parts(2);
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

/// For each change, the oldest revision among the changes after it; `None` for the last.
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

/// A change to one upstream's entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryChange {
    /// The upstream.
    pub id: UpstreamId,
    /// The store's revision of the change.
    pub revision: Revision,
    /// State of the entry after the change.
    pub entry: EntryState,
}

impl EntryChange {
    /// The same change, some time after it was read from the store.
    pub(super) fn aged(&self, age: Duration) -> Self {
        let mut change = self.clone();
        if let EntryState::Gone(Some(meaning)) = &mut change.entry {
            *meaning = meaning.after(age);
        }
        change
    }
}

/// State of an entry after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// The entry exists with this content.
    Listed(UpstreamEntry),
    /// The entry has been removed, and what that means to the VM that read it from the store, if
    /// it knows. Encoded after the update, because VMs of earlier versions do not know it.
    Gone(#[serde(skip)] Option<Removal>),
    /// The entry cannot be parsed, so the upstream cannot be trusted.
    Unreadable,
}

/// A configuration as stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StoredConfig {
    /// Store revision of the configuration.
    pub(super) revision: Revision,
    /// The configuration text.
    pub(super) spec: Box<str>,
}

/// Encodes a datagram; `None` if encoding fails, which is logged.
pub(super) fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    encode_with(datagram, &Conditions::default())
}

/// Encodes a datagram, followed by the sender's conditions and what VMs of earlier versions do not
/// know of its content, if there is any. They decode the datagram and ignore the bytes after it.
pub(super) fn encode_with(datagram: &Datagram, conditions: &Conditions) -> Option<Vec<u8>> {
    let plain = postcard::to_extend(datagram, vec![FORMAT_VERSION]);
    let (versions, removals) = match datagram {
        Datagram::News(update, _) => (update.versions(), update.removals()),
        _ => Default::default(),
    };
    let contexts: Vec<&RecordContext> = match datagram {
        Datagram::Suspects(records) => records.iter().map(|record| &record.context).collect(),
        _ => Vec::new(),
    };
    let is_news = !versions.is_empty() || !removals.is_empty();
    let is_plain = conditions.is_empty() && !is_news && contexts.is_empty();
    let bytes = match is_plain {
        true => plain,
        false => plain
            .and_then(|bytes| postcard::to_extend(conditions, bytes))
            .and_then(|bytes| postcard::to_extend(&conditions.paths_lost, bytes))
            .and_then(|bytes| match (is_news, contexts.is_empty()) {
                (false, true) => encode_later_conditions(conditions, bytes),
                (true, _) => postcard::to_extend(&versions, bytes)
                    .and_then(|bytes| postcard::to_extend(&removals, bytes)),
                (false, false) => postcard::to_extend(&contexts, bytes),
            }),
    };
    bytes
        .inspect_err(|e| log::error!("failed to encode datagram: {e}"))
        .ok()
}

/// Appends the conditions that were added last, if there are any.
fn encode_later_conditions(conditions: &Conditions, bytes: Vec<u8>) -> postcard::Result<Vec<u8>> {
    if conditions.departures.is_empty() && !conditions.quarantine_unknown {
        return Ok(bytes);
    }
    let bytes = postcard::to_extend(&conditions.departures, bytes)?;
    postcard::to_extend(&conditions.quarantine_unknown, bytes)
}

/// Decodes a datagram and its sender's conditions; `None` if the datagram has another format
/// version or is malformed. What is missing or malformed after it counts as empty.
pub(super) fn decode(bytes: &[u8]) -> Option<(Datagram, Conditions)> {
    let (version, payload) = bytes.split_first()?;
    if *version != FORMAT_VERSION {
        return None;
    }
    let (mut datagram, rest) = postcard::take_from_bytes(payload).ok()?;
    let (conditions, rest) = postcard::take_from_bytes::<Conditions>(rest).unwrap_or_default();
    let (paths_lost, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (mut departures, mut quarantine_unknown) = (Vec::new(), false);
    match &mut datagram {
        Datagram::News(update, _) => {
            let (versions, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
            update.set_versions(versions);
            update.set_removals(postcard::from_bytes(rest).unwrap_or_default());
            update.check_entries();
        }
        Datagram::Suspects(records) => {
            let contexts: Vec<RecordContext> = postcard::from_bytes(rest).unwrap_or_default();
            for (record, context) in records.iter_mut().zip(contexts) {
                record.context = context;
            }
        }
        _ => {
            let (reported, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
            departures = reported;
            quarantine_unknown = postcard::from_bytes(rest).unwrap_or_default();
        }
    }
    let conditions = Conditions {
        paths_lost,
        quarantine_unknown,
        departures,
        ..conditions
    };
    Some((datagram, conditions))
}
