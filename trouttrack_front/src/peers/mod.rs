//! What the VMs tell each other, over UDP.
//!
//! Each call to the platform's store is paid for, so what one VM learns there
//! it tells the others:
//!
//! - A heartbeat says which upstreams its sender uses and how much, which
//!   configuration it has and how long ago that was confirmed. It is whole each
//!   time, so a lost datagram costs nothing but age.
//! - The use of upstreams is also told by itself as it changes, to all VMs of the
//!   failure domain; others hear the sum over a failure domain ([`heartbeat`]).
//! - News carry changes of upstreams' entries, from the few VMs that watch the
//!   store to all others, as they happen. Whoever misses some notices by the
//!   revision in the next heartbeat and asks a VM that knows it, or at last the store.
//!
//! - A configuration is asked of a VM that has it ([`config`]), and so is a confirmation
//!   that it is current ([`confirm`]).
//! - A VM that starts takes all upstreams from one that knows them ([`transfer`]).
//!
//! `tarpc` does not fit here: it would keep a connection for each pair of VMs
//! and wait for answers that nobody needs.

mod catch_up;
mod config;
mod confirm;
mod heartbeat;
mod history;
mod listen;
mod message;
mod news;
mod post;
mod roles;
mod suspects;
mod table;
mod transfer;

pub(crate) use catch_up::ask_for_news;
pub(crate) use config::ask_for_config;
pub(crate) use confirm::keep_confirmed;
pub(crate) use heartbeat::send;
pub use history::NewsHistory;
pub(crate) use listen::listen;
pub use message::{EntryChange, EntryState, News};
pub(crate) use news::tell;
pub use roles::watches_store;
pub use table::{Heard, PeerTable};
pub use transfer::{Snapshot, Told as ToldUpstream};
pub(crate) use transfer::{fetch_upstreams, serve};
