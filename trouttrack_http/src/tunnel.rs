//! Connections through a peer that relays them, by the method `CONNECT`.

use crate::connect::Connect;
use crate::error::SendError;
use crate::limit::{FixedBudget, Limited, OVERHEAD_LIMIT};
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;

/// Header of an accepted `CONNECT` with which a peer says that the connection shows its target's
/// end: it closes in order only if the target does, and is reset otherwise, also if the peer ends.
pub const SHOWS_END: &str = "relay-shows-end";

/// A connection that a peer relays.
#[derive(Debug)]
pub struct Tunnel {
    /// The connection to the peer.
    pub stream: TcpStream,
    /// Whether it closes in order only if its target does.
    pub shows_end: bool,
}

/// Why a peer relays no connection.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum TunnelError {
    /// The peer could not be connected to.
    #[error(transparent)]
    NotConnected(#[from] SendError),
    /// The peer answered with this status instead.
    #[error("the peer answered {0}")]
    Declined(u16),
    /// The connection to the peer failed, or what it answered is not HTTP.
    #[error("the connection to the peer failed: {0}")]
    Failed(#[from] hyper::Error),
    /// The target cannot be written as a request, or the peer sent more than the head of an
    /// answer.
    #[error("not a tunnel")]
    NotATunnel,
}

/// Connects to a peer that relays the connection to `target`.
///
/// # Errors
///
/// The peer cannot be reached or does not relay. Nothing was sent to the target.
pub async fn open<C: Connect>(
    connector: &C,
    peer: SocketAddr,
    target: SocketAddr,
) -> Result<Tunnel, TunnelError> {
    let connected = connector.connect(peer).await?;
    let limited = Limited::new(connected.stream, FixedBudget(OVERHEAD_LIMIT));
    let handshake = http1::handshake(TokioIo::new(limited)).await;
    let (mut sender, connection) = handshake?;
    tokio::task::spawn_local(async move { drop(connection.with_upgrades().await) });
    let req = Request::builder()
        .method(Method::CONNECT)
        .uri(target.to_string())
        .header(header::HOST, target.to_string())
        .body(Empty::<Bytes>::new());
    let req = req.map_err(|_| TunnelError::NotATunnel)?;
    let answer = sender.send_request(req).await?;
    if !answer.status().is_success() {
        return Err(TunnelError::Declined(answer.status().as_u16()));
    }
    let shows_end = answer.headers().contains_key(SHOWS_END);
    let upgraded = hyper::upgrade::on(answer).await?;
    let parts = upgraded.downcast::<TokioIo<Limited<TcpStream, FixedBudget>>>();
    let parts = parts.map_err(|_| TunnelError::NotATunnel)?;
    match parts.read_buf.is_empty() {
        true => Ok(Tunnel {
            stream: parts.io.into_inner().into_inner(),
            shows_end,
        }),
        false => Err(TunnelError::NotATunnel),
    }
}
