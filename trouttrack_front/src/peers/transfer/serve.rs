//! Answering VMs that ask for the upstreams or the configuration.

use super::snapshot::Snapshot;
use crate::page::serve_page;
use crate::peers::message::ToldConfig;
use crate::state::Front;
use actix_http::body::{BodySize, MessageBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use trouttrack_core::membership::{MAX_CONCURRENT_TRANSFERS, Revision};
use trouttrack_core::{ConfigVersion, Time};

/// How long an encoded snapshot is used again: for how long upstreams are cold is told as
/// of its making.
const KEPT: Duration = Duration::from_millis(500);
/// Bytes that are given to a connection at once: what waits in it is little.
const PIECE: usize = 16 << 10;

/// Answers other VMs for as long as the process runs.
///
/// # Errors
///
/// The service cannot be made.
pub(crate) async fn serve(front: Rc<Front>, listener: TcpListener) -> io::Result<()> {
    let server = Rc::new(Server::new(front));
    serve_page(listener, move |req| server.answer(req)).await
}

struct Server {
    front: Rc<Front>,
    /// Answers that are on their way.
    sending: Rc<Cell<usize>>,
    /// The last snapshot, and when it was made.
    snapshot: RefCell<Option<(Time, Revision, Bytes)>>,
}

impl Server {
    fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            sending: Rc::default(),
            snapshot: RefCell::default(),
        }
    }

    /// Answers `/upstreams/REVISION` and `/config/VERSION` with what is newer here.
    fn answer(&self, req: &Request) -> Response<Piecewise> {
        let mut parts = req.path().trim_start_matches('/').split('/');
        let kind = parts.next();
        let known = parts.next();
        let (Some(kind), Some(known)) = (kind, known) else {
            return refuse(StatusCode::NOT_FOUND);
        };
        if self.sending.get() >= MAX_CONCURRENT_TRANSFERS {
            return refuse(StatusCode::SERVICE_UNAVAILABLE);
        }
        let bytes = match kind {
            "upstreams" => known.parse().map(|known| self.upstreams(known)),
            "config" => known.parse().map(|known| self.config(known)),
            _ => return refuse(StatusCode::NOT_FOUND),
        };
        match bytes {
            Ok(Some(bytes)) => Response::ok().set_body(Piecewise::new(bytes, &self.sending)),
            Ok(None) => refuse(StatusCode::NO_CONTENT),
            Err(_) => refuse(StatusCode::NOT_FOUND),
        }
    }

    fn upstreams(&self, known: Revision) -> Option<Bytes> {
        let upstreams = &self.front.upstreams;
        if !upstreams.is_listed() || upstreams.revision() <= known {
            return None;
        }
        let now = self.front.clock.now();
        let mut kept = self.snapshot.borrow_mut();
        if let Some((made_at, revision, bytes)) = &*kept
            && now.saturating_sub(*made_at) < KEPT
            && *revision > known
        {
            return Some(bytes.clone());
        }
        let bytes = encode(&Snapshot::of(upstreams))?;
        *kept = Some((now, upstreams.revision(), bytes.clone()));
        Some(bytes)
    }

    fn config(&self, known: ConfigVersion) -> Option<Bytes> {
        let routing = &self.front.routing;
        let spec = routing.spec().filter(|_| routing.version() > known)?;
        let revision = routing.revision();
        let spec = spec.as_ref().into();
        encode(&ToldConfig { revision, spec })
    }
}

fn encode(told: &impl Serialize) -> Option<Bytes> {
    postcard::to_extend(told, Vec::new())
        .inspect_err(|e| log::error!("an answer to a peer cannot be encoded: {e}"))
        .ok()
        .map(Bytes::from)
}

fn refuse(status: StatusCode) -> Response<Piecewise> {
    Response::new(status).set_body(Piecewise::default())
}

/// A body that is given out piece by piece, and counts as being sent until it is.
#[derive(Default)]
struct Piecewise {
    left: Bytes,
    sending: Option<Rc<Cell<usize>>>,
}

impl Piecewise {
    fn new(left: Bytes, sending: &Rc<Cell<usize>>) -> Self {
        sending.set(sending.get() + 1);
        Self {
            left,
            sending: Some(Rc::clone(sending)),
        }
    }
}

impl MessageBody for Piecewise {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.left.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let most = self.left.len().min(PIECE);
        let piece = self.left.split_to(most);
        Poll::Ready((!piece.is_empty()).then_some(Ok(piece)))
    }
}

impl Drop for Piecewise {
    fn drop(&mut self) {
        if let Some(sending) = &self.sending {
            sending.set(sending.get() - 1);
        }
    }
}
