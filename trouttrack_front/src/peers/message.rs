//! Datagrams.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use trouttrack_core::UpstreamId;
use trouttrack_core::membership::Digest;

/// What a VM sends.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// The sender's state.
    Heartbeat(Heartbeat),
    /// Changes in the store.
    News(News),
    /// The receiver has a newer configuration, and is asked for it.
    ConfigWanted,
    /// The configuration that the sender has in force.
    Config(ToldConfig),
}

/// A sender's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    /// Its name, address, use of upstreams.
    pub(super) digest: Digest,
    /// The last heartbeat that it has heard from the receiver.
    pub(super) echo: Option<Echo>,
    /// The store's revision of the configuration in force there.
    pub(super) config_revision: u64,
    /// How long ago that configuration was confirmed, in milliseconds.
    pub(super) confirmed_ms: Option<u64>,
    /// The store's revision up to which it knows the upstreams' entries.
    pub(super) upstreams_revision: u64,
    /// How long ago the store last answered it, in milliseconds.
    pub(super) store_ms: Option<u64>,
}

/// Names a heartbeat.
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
    pub from: u64,
    /// Everything up to this revision is known with the changes.
    pub to: u64,
    /// The changes, in order.
    pub changes: Vec<EntryChange>,
}

/// A change of one entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryChange {
    /// The upstream.
    pub id: UpstreamId,
    /// The store's revision of the change.
    pub revision: u64,
    /// What the entry says; `None` if it is gone.
    pub spec: Option<Box<RawValue>>,
}

/// A configuration as the store has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ToldConfig {
    /// The store's revision.
    pub(super) revision: u64,
    /// What it says.
    pub(super) spec: Box<RawValue>,
}
