//! Socket options that make a dead peer noticed.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Silence after which a peer is probed. A link that was cut often comes back
/// within some seconds, and a stream on it goes on if its connection is still
/// there; callers of streams wait for about seven seconds.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// Pause between probes.
const PROBE_EVERY: Duration = Duration::from_secs(2);
/// Probes without an answer after which the connection is given up, where no user timeout is set.
const PROBES: u32 = 2;
/// How long written bytes may stay unacknowledged. This also decides when probes give up, whatever
/// their number, so it is as long as the probes take.
const UNACKNOWLEDGED: Duration = PROBE_AFTER.saturating_add(PROBE_EVERY.saturating_mul(PROBES));

/// Sets the options of a connection: no delay, short keep-alive probes and a
/// bound on unacknowledged bytes.
///
/// # Errors
///
/// The system refuses an option.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Sets how long written bytes may stay unacknowledged; `None` stands for the time of
/// [`set_options`].
///
/// # Errors
///
/// The system refuses the option.
pub fn set_unacknowledged(stream: &TcpStream, longest: Option<Duration>) -> io::Result<()> {
    let longest = longest.unwrap_or(UNACKNOWLEDGED);
    SockRef::from(stream).set_tcp_user_timeout(Some(longest))
}

/// Sets whether closing a connection resets it, also when its process is killed. What the peer has
/// not acknowledged by then is lost.
///
/// # Errors
///
/// The system refuses the option.
pub fn set_reset_on_close(stream: &TcpStream, reset: bool) -> io::Result<()> {
    let linger = reset.then_some(Duration::ZERO);
    SockRef::from(stream).set_linger(linger)
}

/// Connects to a peer, from a local address if one is given.
pub(crate) async fn connect(peer: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(peer).await;
    };
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(peer).await
}
