//! HTTP/1.1 client whose connections and failures are ours to judge.
//!
//! `hyper` speaks the protocol. This crate decides which connection carries a
//! request and tells, for each failure, whether the request was sent at all:
//! that is what retries depend on. It also takes answers that end with their
//! connection, which `awc` reads as empty.
//!
//! - [`client`] sends requests.
//! - [`connect`] opens connections.
//! - [`answer`] takes answers, and keeps their connections for later requests.
//! - [`error`] says what became of a request that got no answer.
//! - `limit` bounds the bytes that an answer takes besides its body.
//! - [`stream`] decides how the connection of a request that is given up is closed.
//! - [`tunnel`] opens connections through a peer that relays them.
//! - [`socket`] sets the options that make a dead peer noticed.
//!
//! A client belongs to one thread and runs inside a `tokio` local task set.

pub mod answer;
pub mod client;
pub mod connect;
pub mod error;
pub mod socket;
pub mod stream;
pub mod tunnel;

mod limit;
mod pool;

pub use answer::{Answer, AnswerBody, charge};
pub use client::{Client, ClientBuilder, Presence, Reuse};
pub use connect::{Connect, Connection, DeadConnections, Direct, Path};
pub use error::{BodyError, SendError, SendErrorKind};
pub use limit::OVERHEAD_LIMIT;
pub use stream::RequestStream;
pub use tunnel::{Tunnel, TunnelError};
