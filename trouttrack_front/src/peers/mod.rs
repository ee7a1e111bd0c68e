//! State exchange between VMs over UDP.
//!
//! Calls to the platform's store are billed, so a VM shares what it reads there with its
//! peers:
//!
//! - A heartbeat carries the sender's usage of each upstream, its configuration version and
//!   the time since that version was confirmed. Every heartbeat holds the full state, so a
//!   lost datagram only makes the receiver's view older.
//! - Changes in upstream usage are also sent as they occur to all VMs of the failure domain;
//!   other failure domains receive the sum over the domain (`heartbeat`).
//! - [`EntryUpdate`] carries upstream entry changes as they happen, from the few VMs that watch the
//!   store to all others. A VM that misses an update detects this from the revision in the
//!   next heartbeat and asks a VM that has it, or the store as a last resort.
//! - A configuration is requested from a VM that has it (`config`), as is a confirmation
//!   that it is current (`confirm`).
//! - The software versions that began streams are told, and asked for when callers return
//!   (`origins`).
//! - A starting VM fetches all upstreams from a peer that has them (`transfer`).
//!
//! `tarpc` is not used: it would keep a connection for each pair of VMs and wait for
//! responses that are not needed.

mod catch_up;
mod config;
mod confirm;
mod heartbeat;
mod history;
mod listen;
mod message;
mod news;
mod origins;
mod post;
mod quarantine;
mod roles;
mod table;
mod transfer;

pub(crate) use catch_up::request_updates;
pub(crate) use config::request_config;
pub(crate) use confirm::keep_confirmed;
pub(crate) use heartbeat::send;
pub use history::UpdateHistory;
pub(crate) use listen::listen;
pub use message::{EntryChange, EntryState, EntryUpdate};
pub(crate) use news::send_updates;
pub(crate) use origins::{FoundOrigin, find_origin};
pub use roles::watches_store;
pub use table::{PeerState, PeerTable};
pub use transfer::{Snapshot, SnapshotEntry};
pub(crate) use transfer::{fetch_upstreams, serve};
