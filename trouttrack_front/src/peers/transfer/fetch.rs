//! Client that fetches the upstreams or the configuration from another VM.

use super::snapshot::Snapshot;
use crate::peers::message::StoredConfig;
use crate::state::Front;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::ConfigVersion;
use trouttrack_core::membership::Revision;
use trouttrack_http::Reuse;

/// Timeout of a fetch: several times what a megabyte takes on the slowest links, 10 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Limit on the size of a response body: ten times the size for 20,000 upstreams.
const MAX_BODY_BYTES: usize = 10 << 20;

/// Fetches the upstreams known to a peer. Returns `None` if the peer has nothing newer than
/// `known`, is busy with other transfers, or the request fails.
pub(crate) async fn fetch_upstreams(
    front: &Front,
    peer: SocketAddr,
    known: Revision,
) -> Option<Snapshot> {
    let path = format!("/upstreams/{known}");
    fetch(front, peer, &path, Snapshot::decode).await
}

/// Fetches the configuration in force at a peer. Returns `None` if the peer has nothing newer
/// than `known`, is busy with other transfers, or the request fails.
pub(crate) async fn fetch_config(
    front: &Front,
    peer: SocketAddr,
    known: ConfigVersion,
) -> Option<StoredConfig> {
    let path = format!("/config/{known}");
    fetch(front, peer, &path, |bytes| postcard::from_bytes(bytes)).await
}

async fn fetch<T>(
    front: &Front,
    peer: SocketAddr,
    path: &str,
    decode: impl Fn(&[u8]) -> postcard::Result<T>,
) -> Option<T> {
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, get(front, peer, path)).await;
    let bytes = fetched.ok().flatten()?;
    decode(&bytes)
        .inspect_err(|e| log::debug!("fetching {path} from peer {peer} failed: {e}"))
        .ok()
}

async fn get(front: &Front, peer: SocketAddr, path: &str) -> Option<Bytes> {
    let req = Request::builder()
        .uri(path)
        .header(header::HOST, peer.to_string())
        .header(header::CONNECTION, "close")
        .body(Bytes::new())
        .ok()?;
    let response = front.to_peers.send(peer, req, Reuse::Never).await;
    let mut response = response
        .inspect_err(|e| log::debug!("fetching {path} from peer {peer} failed: {e}"))
        .ok()?;
    if response.head.status != StatusCode::OK {
        return None;
    }
    let body = response.body.whole(MAX_BODY_BYTES).await;
    body.inspect_err(|e| log::debug!("fetching {path} from peer {peer} failed: {e}"))
        .ok()
        .flatten()
}
