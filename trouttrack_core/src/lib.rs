//! Tables, decisions and the request state machine of trouttrack.
//!
//! This crate performs no I/O, reads no clock and starts no threads. The caller
//! passes in the time as a [`Time`] and randomness as a seeded generator, so
//! every decision can be replayed.
//!
//! - [`request`] is the state machine of one request and its retry rule.
//! - [`world`] contains the tables and the systems that run over them each tick.
//! - [`routing`] contains the default policy that selects an upstream, and the
//!   baseline policies.
//! - [`fleet`] looks up a request's route and organisation.
//! - [`freshness`] tracks whether a configuration is known to be current.
//! - [`rescue`] schedules the migration of generations off a departing engine.
//! - [`buffers`] bounds the bytes that are buffered for slow readers.
//! - [`intake`] decides which connections of callers are accepted.
//! - [`claims`] ensures that requests with the same idempotency key run at most
//!   once across VMs.
//! - [`lease`] determines when a lease holder may act.
//! - [`length`] estimates how many tokens of an answer remain.
//! - [`quarantine`] tracks requests, and the parts of prompts that they share, that were running
//!   when upstreams failed.
//! - [`membership`] merges the state that peers exchange.
//! - [`versions`] finds out which software version began a stream.

pub mod buffers;
pub mod claims;
pub mod fleet;
pub mod freshness;
pub mod ids;
pub mod intake;
pub mod lease;
pub mod length;
pub mod membership;
pub mod outcome;
pub mod paths;
pub mod prefix;
pub mod quarantine;
pub mod request;
pub mod rescue;
pub mod routing;
pub mod upstream;
pub mod versions;
pub mod world;

mod debug_asserts;

pub use ids::{
    ConfigVersion, FailureDomain, Fingerprint, Generation, OrganisationId, OriginId, PartId,
    RequestId, ServiceId, SoftwareVersion, StoreEpoch, StreamId, StreamKey, Time, TokenIndex,
    UpstreamId,
};
pub use outcome::Outcome;
