//! Connections to upstreams through peers, for a VM whose own paths are lost.
//!
//! A VM that is partitioned from upstreams is still reached by its callers and peers. It remains in
//! charge of its requests (admission, placement, attempts, retry budget, deadlines) and only its
//! connections take another way: a peer that reaches the upstream joins them with connections of
//! its own, byte by byte, and decides nothing. Relayed connections are never relayed further.
//!
//! - [`Routed`] tries a connection directly and through peers.
//! - `ask` asks peers to relay.
//! - `serve` relays for peers, `join` carries the bytes.

mod ask;
mod join;
mod paths;
mod routed;
mod serve;

pub use ask::PeerRelay;
pub use paths::Paths;
pub use routed::{Relay, RelayError, Routed};
pub(crate) use serve::RelayService;

/// The client for upstreams.
pub type UpstreamClient = trouttrack_http::Client<Routed<trouttrack_http::Direct, PeerRelay>>;
