//! The service that peers and the controller call.

use super::heartbeats::{digest, take};
use crate::app::{Shared, Source, load_fleet};
use crate::claims::{ClaimHere, StateOf, TakeOverHere};
use crate::dispatch::{ListRequests, ListUpstreams, Summarise, Why};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tarpc::context::Context;
use trouttrack_core::ConfigVersion;
use trouttrack_core::claims::Claim;
use trouttrack_core::membership::Digest;
use trouttrack_core::routing::Explanation;
use trouttrack_rpc::{
    ClaimAnswer, ClaimedState, ConfigBundle, GatewayStatus, Hello, PROTOCOL, Peer, RequestInfo,
    UpstreamInfo,
};

#[derive(Clone, Debug)]
struct PeerService(Arc<Shared>);

/// Serves peers; returns the address in use.
///
/// # Errors
///
/// The port cannot be had.
pub async fn serve(shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    let service = PeerService(Arc::clone(shared));
    trouttrack_rpc::serve(shared.settings.rpc.listen, service).await
}

impl Peer for PeerService {
    async fn hello(self, _: Context, _: Hello) -> Hello {
        Hello {
            protocol: PROTOCOL,
            name: self.0.settings.vm.name.clone(),
        }
    }

    async fn heartbeat(self, _: Context, theirs: Digest) -> Digest {
        take(&self.0, theirs);
        digest(&self.0).await
    }

    async fn config(self, _: Context) -> Option<ConfigBundle> {
        self.0.bundle().map(|b| (*b).clone())
    }

    async fn offer(self, _: Context, bundle: ConfigBundle) -> ConfigVersion {
        self.0.adopt(bundle, Source::Platform);
        self.0.view().version()
    }

    async fn check(self, _: Context, bundle: ConfigBundle) -> Option<String> {
        load_fleet(&self.0.completed(bundle)).err()
    }

    async fn claim(self, _: Context, claim: Claim) -> ClaimAnswer {
        let answer = self.0.claimer.send(ClaimHere(claim)).await;
        answer.unwrap_or_else(|e| ClaimAnswer::Unconfirmed(e.to_string()))
    }

    async fn take_over(self, _: Context, given_up: Claim, claim: Claim) -> ClaimAnswer {
        let answer = self.0.claimer.send(TakeOverHere { given_up, claim }).await;
        answer.unwrap_or_else(|e| ClaimAnswer::Unconfirmed(e.to_string()))
    }

    async fn claimed(self, _: Context, claim: Claim) -> ClaimedState {
        let state = self.0.claimer.send(StateOf(claim.request)).await;
        state.unwrap_or(ClaimedState::Unknown)
    }

    async fn status(self, _: Context) -> GatewayStatus {
        let shared = &self.0;
        let summary = shared.dispatcher.send(Summarise).await.unwrap_or_default();
        GatewayStatus {
            name: shared.settings.vm.name.clone(),
            failure_domain: shared.settings.vm.failure_domain.clone(),
            config_version: shared.view().version(),
            ready: shared.ready(),
            draining: shared.draining(),
            platform_answers: shared.platform_up(),
            in_flight: shared.in_flight() as u32,
            queued: summary.queued as u32,
        }
    }

    async fn requests(self, _: Context, most: u32) -> Vec<RequestInfo> {
        let ask = ListRequests {
            most: most as usize,
        };
        self.0.dispatcher.send(ask).await.unwrap_or_default()
    }

    async fn upstreams(self, _: Context) -> Vec<UpstreamInfo> {
        let list = self.0.dispatcher.send(ListUpstreams).await;
        list.unwrap_or_default()
    }

    async fn why(self, _: Context, request: String) -> Vec<Explanation> {
        let list = self.0.dispatcher.send(Why(request)).await;
        list.unwrap_or_default()
    }
}
