//! Transfer between VMs, over HTTP, of data that is too large for a datagram.
//!
//! A VM that starts needs the entry of every upstream. At 985 VMs in front of 10,002 upstreams
//! the store would have to send 3 MB to each, 3 GB in all over a link of 1 Gbit/s. As a
//! [`Snapshot`] the entries take some 0.4 MB, and each VM that has it serves it to others. The
//! port number is the one used for the peers' datagrams.

mod fetch;
mod serve;
mod snapshot;

pub(crate) use fetch::{fetch_config, fetch_upstreams};
pub(crate) use serve::serve;
pub use snapshot::{Snapshot, SnapshotEntry};
