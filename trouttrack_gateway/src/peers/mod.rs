//! Talking to other gateways.

mod heartbeats;
mod list;
mod service;

pub use heartbeats::{fetch_config, heartbeats};
pub use list::PeerList;
pub use service::serve;
