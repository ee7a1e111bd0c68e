//! What the VMs tell each other, over UDP.
//!
//! A heartbeat says which upstreams its sender uses and how much. It is whole
//! each time, so a lost datagram costs nothing but age. `tarpc` does not fit
//! here: it would keep a connection for each pair of VMs and wait for answers
//! that nobody needs.

mod heartbeat;
mod table;

pub use heartbeat::{listen, send};
pub use table::PeerTable;
