//! Relays connections for peers.

use super::ask::{REFUSED, UNABLE, UNREACHED};
use super::join::join;
use crate::page::PageStream;
use crate::state::Front;
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::uri::Authority;
use actix_http::{Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use futures_util::SinkExt;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use trouttrack_http::tunnel::SHOWS_END;
use trouttrack_http::{Connect, SendErrorKind};
use trouttrack_telemetry::{events, record};

/// Maximum number of connections that are relayed at a time. Each takes two sockets and buffers of
/// 16 KiB, so all together need a small part of a small VM's memory and descriptors.
const MAX_RELAYED: usize = 400;

/// The status of a connection that is relayed from then on.
const ACCEPTED: u16 = 200;

/// Relays connections for peers whose own paths are lost.
#[derive(Debug)]
pub(crate) struct RelayService {
    front: Rc<Front>,
    relayed: Cell<usize>,
}

impl RelayService {
    pub(crate) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            relayed: Cell::new(0),
        }
    }

    /// Answers a `CONNECT` request, and carries the bytes of the connection until it ends.
    pub(crate) async fn serve(
        self: Rc<Self>,
        (req, mut framed): (Request, Framed<PageStream, Codec>),
    ) {
        let upstream = match self.connect(&req).await {
            Ok(upstream) => upstream,
            Err(status) => {
                let declined = answer(&mut framed, status, BodySize::Sized(0)).await;
                return report_failure(declined);
            }
        };
        let _counted = Counted::new(&self);
        // A planned stop waits for the requests of peers like for those of callers.
        let _in_flight = self.front.lifecycle.enter();
        let accepted = answer(&mut framed, ACCEPTED, BodySize::None).await;
        let parts = framed.into_parts();
        match accepted {
            Ok(()) if parts.read_buf.is_empty() => {
                report_failure(join(parts.io.into_inner(), upstream).await);
            }
            accepted => report_failure(accepted),
        }
    }

    /// Connects to the requested upstream, only directly.
    async fn connect(&self, req: &Request) -> Result<TcpStream, u16> {
        let target = req.uri().authority().map(Authority::as_str);
        let target: Option<SocketAddr> = target.and_then(|target| target.parse().ok());
        let addr = target.ok_or(UNABLE)?;
        let front = &self.front;
        let is_able = !front.paths.are_all_lost() && !front.lifecycle.is_stopping();
        if !is_able || self.relayed.get() >= MAX_RELAYED || front.upstreams.at(addr).is_none() {
            return Err(UNABLE);
        }
        let tried = self.try_directly(addr).await;
        front
            .metrics
            .relayed
            .with_label_values(&[tried.name()])
            .inc();
        let peer = req.peer_addr().map(|addr| addr.to_string());
        let addr = addr.to_string();
        record!(
            events::RELAYED,
            address = addr.as_str(),
            peer = peer.as_deref(),
            result = tried.name(),
            open = self.relayed.get(),
        );
        tried.stream()
    }

    async fn try_directly(&self, addr: SocketAddr) -> Tried {
        match self.front.http.connector().direct().connect(addr).await {
            Ok(connected) => Tried::Connected(connected.stream),
            Err(e) if e.kind != SendErrorKind::NobodyThere => Tried::Unreached,
            Err(_) if self.reaches_another(addr).await => Tried::Refused,
            Err(_) => Tried::RefusedAsOthers,
        }
    }

    /// Whether another upstream accepts a connection of this VM. If none does, this VM may be
    /// partitioned as well, and its refused connection shows nothing.
    async fn reaches_another(&self, addr: SocketAddr) -> bool {
        let Some(other) = self.front.upstreams.other_than(addr) else {
            return true;
        };
        let direct = self.front.http.connector().direct();
        direct.connect(other.addr).await.is_ok()
    }
}

async fn answer(
    framed: &mut Framed<PageStream, Codec>,
    status: u16,
    size: BodySize,
) -> io::Result<()> {
    let status = StatusCode::from_u16(status).map_err(io::Error::other)?;
    let mut head = Response::new(status).drop_body();
    if status.is_success() {
        let name = HeaderName::from_static(SHOWS_END);
        head.headers_mut()
            .insert(name, HeaderValue::from_static("1"));
    }
    framed.send(Message::Item((head, size))).await
}

fn report_failure(answered: io::Result<()>) {
    if let Err(e) = answered {
        log::debug!("answering a peer's request to relay failed: {e}");
    }
}

/// What became of a connection for a peer.
enum Tried {
    Connected(TcpStream),
    /// The upstream's address refused it.
    Refused,
    /// So did, or would not answer, another upstream.
    RefusedAsOthers,
    Unreached,
}

impl Tried {
    fn name(&self) -> &'static str {
        match self {
            Self::Connected(_) => "connected",
            Self::Refused => "refused",
            Self::RefusedAsOthers => "refused-as-others",
            Self::Unreached => "unreached",
        }
    }

    /// The connection, or the status that tells the peer why there is none.
    fn stream(self) -> Result<TcpStream, u16> {
        match self {
            Self::Connected(stream) => Ok(stream),
            Self::Refused => Err(REFUSED),
            Self::RefusedAsOthers => Err(UNABLE),
            Self::Unreached => Err(UNREACHED),
        }
    }
}

/// Counts a relayed connection.
struct Counted<'a>(&'a RelayService);

impl<'a> Counted<'a> {
    fn new(service: &'a RelayService) -> Self {
        service.relayed.set(service.relayed.get() + 1);
        Self(service)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.relayed.set(self.0.relayed.get() - 1);
    }
}
