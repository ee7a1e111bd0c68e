//! HTTP endpoint that serves upstream snapshots and the configuration to other VMs, and relays
//! their connections to upstreams.

use super::snapshot::Snapshot;
use crate::page::serve_page_and_tunnels;
use crate::peers::message::StoredConfig;
use crate::relay::RelayService;
use crate::state::Front;
use actix_http::body::{BodySize, MessageBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
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

/// How long an encoded snapshot is reused. Bounds the error of the remaining cold times,
/// which are relative to the time of encoding.
const SNAPSHOT_TTL: Duration = Duration::from_millis(500);
/// Size of a body chunk, which bounds the data buffered per connection.
const CHUNK_BYTES: usize = 16 << 10;

/// Serves requests from other VMs for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the HTTP service cannot be created.
pub(crate) async fn serve(front: Rc<Front>, listener: TcpListener) -> io::Result<()> {
    let relay = Rc::new(RelayService::new(Rc::clone(&front)));
    let server = Rc::new(Server::new(front));
    let tunnel = move |req| Rc::clone(&relay).serve(req);
    serve_page_and_tunnels(listener, move |req| server.answer(req), tunnel).await
}

struct Server {
    front: Rc<Front>,
    /// Number of responses being sent.
    sending: Rc<Cell<usize>>,
    /// The last encoded snapshot, with its creation time and revision.
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

    /// Answers `/upstreams/REVISION` and `/config/VERSION` if this VM has newer data.
    fn answer(&self, req: &Request) -> Response<TransferBody> {
        let mut parts = req.path().trim_start_matches('/').split('/');
        let kind = parts.next();
        let known = parts.next();
        let (Some(kind), Some(known)) = (kind, known) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        if self.sending.get() >= MAX_CONCURRENT_TRANSFERS {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let bytes = match kind {
            "upstreams" => known.parse().map(|known| self.upstreams(known)),
            "config" => known.parse().map(|known| self.config(known)),
            _ => return empty_response(StatusCode::NOT_FOUND),
        };
        match bytes {
            Ok(Some(bytes)) => Response::ok().set_body(TransferBody::new(bytes, &self.sending)),
            Ok(None) => empty_response(StatusCode::NO_CONTENT),
            Err(_) => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn upstreams(&self, known: Revision) -> Option<Bytes> {
        let upstreams = &self.front.upstreams;
        if !upstreams.is_listed() || upstreams.revision() <= known {
            return None;
        }
        let now = self.front.clock.now();
        let mut cached = self.snapshot.borrow_mut();
        if let Some((made_at, revision, bytes)) = &*cached
            && now.saturating_sub(*made_at) < SNAPSHOT_TTL
            && *revision > known
        {
            return Some(bytes.clone());
        }
        let bytes = encoded(Snapshot::of(upstreams).encode())?;
        *cached = Some((now, upstreams.revision(), bytes.clone()));
        Some(bytes)
    }

    fn config(&self, known: ConfigVersion) -> Option<Bytes> {
        let routing = &self.front.routing;
        let spec = routing.spec().filter(|_| routing.version() > known)?;
        let revision = routing.revision();
        let spec = spec.as_ref().into();
        encoded(postcard::to_extend(
            &StoredConfig { revision, spec },
            Vec::new(),
        ))
    }
}

fn encoded(payload: postcard::Result<Vec<u8>>) -> Option<Bytes> {
    payload
        .inspect_err(|e| log::error!("failed to encode a response to a peer: {e}"))
        .ok()
        .map(Bytes::from)
}

fn empty_response(status: StatusCode) -> Response<TransferBody> {
    Response::new(status).set_body(TransferBody::default())
}

/// Response body sent in chunks, counted in `sending` until it is dropped.
#[derive(Default)]
struct TransferBody {
    remaining: Bytes,
    sending: Option<Rc<Cell<usize>>>,
}

impl TransferBody {
    fn new(remaining: Bytes, sending: &Rc<Cell<usize>>) -> Self {
        sending.set(sending.get() + 1);
        Self {
            remaining,
            sending: Some(Rc::clone(sending)),
        }
    }
}

impl MessageBody for TransferBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.remaining.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let length = self.remaining.len().min(CHUNK_BYTES);
        let chunk = self.remaining.split_to(length);
        Poll::Ready((!chunk.is_empty()).then_some(Ok(chunk)))
    }
}

impl Drop for TransferBody {
    fn drop(&mut self) {
        if let Some(sending) = &self.sending {
            sending.set(sending.get() - 1);
        }
    }
}
