//! Asking another VM for the upstreams or the configuration.

use super::snapshot::Snapshot;
use crate::peers::message::ToldConfig;
use crate::state::Front;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::ConfigVersion;
use trouttrack_core::membership::Revision;
use trouttrack_http::Reuse;

/// How long an answer may take: several times that of a megabyte over the slowest links,
/// 10 Mbit/s.
const WITHIN: Duration = Duration::from_secs(4);
/// The largest answer taken: ten times that of 20,000 upstreams.
const MOST_BYTES: usize = 10 << 20;

/// The upstreams as another VM knows them, if that is newer than a revision and the VM is
/// not busy with others.
pub(crate) async fn fetch_upstreams(
    front: &Front,
    peer: SocketAddr,
    known: Revision,
) -> Option<Snapshot> {
    fetch(front, peer, &format!("/upstreams/{known}")).await
}

/// The configuration that another VM has in force, on the same terms.
pub(crate) async fn fetch_config(
    front: &Front,
    peer: SocketAddr,
    known: ConfigVersion,
) -> Option<ToldConfig> {
    fetch(front, peer, &format!("/config/{known}")).await
}

async fn fetch<T: DeserializeOwned>(front: &Front, peer: SocketAddr, path: &str) -> Option<T> {
    let fetched = tokio::time::timeout(WITHIN, get(front, peer, path)).await;
    let bytes = fetched.ok().flatten()?;
    postcard::from_bytes(&bytes)
        .inspect_err(|e| log::debug!("{peer}{path}: {e}"))
        .ok()
}

async fn get(front: &Front, peer: SocketAddr, path: &str) -> Option<Bytes> {
    let req = Request::builder()
        .uri(path)
        .header(header::HOST, peer.to_string())
        .header(header::CONNECTION, "close")
        .body(Bytes::new())
        .ok()?;
    let answer = front.to_peers.send(peer, req, Reuse::Never).await;
    let mut answer = answer.inspect_err(|e| log::debug!("{path}: {e}")).ok()?;
    if answer.head.status != StatusCode::OK {
        return None;
    }
    let body = answer.body.whole(MOST_BYTES).await;
    body.inspect_err(|e| log::debug!("{peer}{path}: {e}"))
        .ok()
        .flatten()
}
