//! The `tarpc` services between trouttrack's processes.
//!
//! Gateways call each other with heartbeats and for configurations; the
//! controller calls gateways to show and explain what they do. Frames are
//! bincode over TCP.
//!
//! Every connection begins with [`Peer::hello`]; processes that do not speak
//! the same [`PROTOCOL`] do not go on.

mod connect;
mod service;
mod types;

pub use connect::{Connection, RpcError, serve};
pub use service::{Peer, PeerClient};
pub use types::{
    ClaimAnswer, ClaimedState, ConfigBundle, GatewayStatus, Hello, PROTOCOL, RequestInfo,
    RequestState, UpstreamInfo,
};
