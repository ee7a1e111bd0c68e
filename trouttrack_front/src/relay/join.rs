//! Carries the bytes of a relayed connection.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use trouttrack_http::RequestStream;
use trouttrack_http::socket::set_reset_on_close;

/// Bytes that are read at once, and kept while the other side takes none.
const BUFFER: usize = 8 << 10;

/// Carries bytes both ways until the upstream or the peer closes.
///
/// The peer closes to cancel its request, so the connection to the upstream is then closed at once,
/// and reset while the upstream has not answered.
/// What the upstream has sent before it closes is delivered first. The connection to the peer closes
/// in order only if the upstream's does: an answer without a length or chunks ends with it.
///
/// # Errors
///
/// The system refuses an option of a connection.
pub(super) async fn join(mut peer: TcpStream, upstream: TcpStream) -> io::Result<()> {
    // A reset discards what waits to be sent.
    peer.set_nodelay(true)?;
    set_reset_on_close(&peer, true)?;
    let (mut from_peer, mut to_peer) = peer.split();
    let upstream = RequestStream::new(upstream)?;
    let (mut from_upstream, mut to_upstream) = tokio::io::split(upstream);
    let requests = async {
        if carry_requests(&mut from_peer, &mut to_upstream).await == Carried::Untaken {
            // An upstream may answer without reading the whole request.
            std::future::pending::<()>().await;
        }
    };
    let ends_in_order = tokio::select! {
        () = requests => false,
        carried = carry(&mut from_upstream, &mut to_peer) => carried == Carried::Ended,
    };
    if ends_in_order {
        set_reset_on_close(&peer, false)?;
        // The peer may be gone.
        drop(peer.shutdown().await);
    }
    Ok(())
}

/// Why no more bytes are carried one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Carried {
    /// The reading end has closed in order.
    Ended,
    /// The reading end was reset.
    Broken,
    /// The writing end takes no more.
    Untaken,
}

/// Carries requests. While the upstream takes no bytes, a peer that gives up is noticed by its reset.
async fn carry_requests(from: &mut ReadHalf<'_>, to: &mut (impl AsyncWrite + Unpin)) -> Carried {
    let mut buf = vec![0; BUFFER];
    loop {
        let read = match from.read(&mut buf).await {
            Ok(0) => return Carried::Ended,
            Ok(read) => read,
            Err(_) => return Carried::Broken,
        };
        let written = tokio::select! {
            biased;
            written = to.write_all(&buf[..read]) => written,
            _ = from.ready(Interest::ERROR) => return Carried::Broken,
        };
        if written.is_err() {
            return Carried::Untaken;
        }
    }
}

async fn carry(from: &mut (impl AsyncRead + Unpin), to: &mut (impl AsyncWrite + Unpin)) -> Carried {
    let mut buf = vec![0; BUFFER];
    loop {
        let read = match from.read(&mut buf).await {
            Ok(0) => return Carried::Ended,
            Ok(read) => read,
            Err(_) => return Carried::Broken,
        };
        if to.write_all(&buf[..read]).await.is_err() {
            return Carried::Untaken;
        }
    }
}
