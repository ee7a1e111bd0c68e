//! What is too large for a datagram, over HTTP from VM to VM.
//!
//! A VM that starts needs every upstream's entry. At 985 VMs before 10,002 upstreams the
//! store would have to send 3 MB to each, 3 GB over a link of 1 Gbit/s; the same as a
//! [`Snapshot`] is some 0.4 MB, and each VM that has it passes it on. The port is that of
//! the peers' datagrams.

mod fetch;
mod serve;
mod snapshot;

pub(crate) use fetch::{fetch_config, fetch_upstreams};
pub(crate) use serve::serve;
pub use snapshot::{Snapshot, Told};
