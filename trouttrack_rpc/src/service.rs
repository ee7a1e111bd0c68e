//! The service that every gateway offers.

// The code that `tarpc::service` writes has no documentation of its own.
#![allow(missing_docs)]

use crate::types::{
    ClaimAnswer, ClaimedState, ConfigBundle, GatewayStatus, Hello, RequestInfo, UpstreamInfo,
};
use trouttrack_core::ConfigVersion;
use trouttrack_core::claims::Claim;
use trouttrack_core::membership::Digest;
use trouttrack_core::routing::Explanation;

#[tarpc::service]
pub trait Peer {
    /// Opens a connection: says who calls, answers who is called.
    async fn hello(hello: Hello) -> Hello;
    /// A heartbeat; answers with the receiver's own digest.
    async fn heartbeat(digest: Digest) -> Digest;
    /// The configuration in force, if any.
    async fn config() -> Option<ConfigBundle>;
    /// Offers a configuration; answers with the version in force after it.
    async fn offer(bundle: ConfigBundle) -> ConfigVersion;
    /// Whether a configuration could be put in force; says why not.
    async fn check(bundle: ConfigBundle) -> Option<String>;
    /// Claims a key for a request of the caller's.
    async fn claim(claim: Claim) -> ClaimAnswer;
    /// Takes a claim over whose request was given up.
    async fn take_over(given_up: Claim, claim: Claim) -> ClaimAnswer;
    /// What is known of a request that won a claim here.
    async fn claimed(claim: Claim) -> ClaimedState;
    /// How the gateway is.
    async fn status() -> GatewayStatus;
    /// Requests in progress, at most `most`.
    async fn requests(most: u32) -> Vec<RequestInfo>;
    /// The gateway's view of its upstreams.
    async fn upstreams() -> Vec<UpstreamInfo>;
    /// The decisions about a request.
    async fn why(request: String) -> Vec<Explanation>;
}
