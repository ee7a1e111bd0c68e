//! Tables, decisions and the request state machine of trouttrack.
//!
//! This crate does no input or output, reads no clock and starts no thread.
//! Time is a [`Time`] passed in by the caller and randomness is a seeded
//! generator, so every decision can be replayed.
//!
//! - [`request`] is the state machine of one request and its retry rule.
//! - [`world`] holds the tables and the systems that run over them each tick.
//! - [`routing`] chooses an upstream; the baselines live beside the default.
//! - [`fleet`] finds a request's route and organisation.
//! - [`freshness`] says whether a configuration is known to be current.
//! - [`rescue`] times the move of generations away from a leaving engine.
//! - [`claims`] makes callers' keys run at most once across VMs.
//! - [`lease`] says when a holder may act.
//! - [`length`] learns how many tokens remain.
//! - [`quarantine`] remembers the requests under which upstreams ended.
//! - [`membership`] merges what peers tell each other.

pub mod claims;
pub mod fleet;
pub mod freshness;
pub mod ids;
pub mod lease;
pub mod length;
pub mod membership;
pub mod outcome;
pub mod prefix;
pub mod quarantine;
pub mod request;
pub mod rescue;
pub mod routing;
pub mod upstream;
pub mod world;

mod debug_asserts;

pub use ids::{
    ConfigVersion, FailureDomain, Fingerprint, Generation, OrganisationId, RequestId, ServiceId,
    StoreEpoch, StreamId, Time, TokenIndex, UpstreamId,
};
pub use outcome::Outcome;
