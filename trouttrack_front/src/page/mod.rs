//! Listening sockets, and HTTP endpoints that are not for callers.
//!
//! Connections are served on the single thread of the process by `actix-http`, the layer
//! below `actix-web`: the server of `actix-web` starts its own threads, and each costs memory
//! and wake-ups on a VM with a fraction of a core.

mod stream;

pub(crate) use stream::PageStream;

use crate::caller::ReadLimit;
use actix_codec::Framed;
use actix_http::body::{BoxBody, MessageBody};
use actix_http::h1::Codec;
use actix_http::{HttpService, Request, Response};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Length of the accept queue. With a full queue a client's SYN is dropped and retransmitted
/// only seconds later.
const BACKLOG: u32 = 1024;
/// Pause after a failed `accept`, for example when file descriptors run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listening TCP socket.
///
/// # Errors
///
/// The address cannot be bound.
pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Serves HTTP requests with `page` for as long as the process runs.
///
/// # Errors
///
/// The HTTP service cannot be created.
pub(crate) async fn serve_page<F, B>(listener: TcpListener, page: F) -> io::Result<()>
where
    F: Fn(&Request) -> Response<B> + Clone + 'static,
    B: MessageBody + 'static,
{
    serve_page_and_tunnels(listener, page, |_| async {}).await
}

/// Serves HTTP requests with `page`, and `CONNECT` requests with `tunnel`, for as long as the
/// process runs.
///
/// # Errors
///
/// The HTTP service cannot be created.
pub(crate) async fn serve_page_and_tunnels<F, B, T, O>(
    listener: TcpListener,
    page: F,
    tunnel: T,
) -> io::Result<()>
where
    F: Fn(&Request) -> Response<B> + Clone + 'static,
    B: MessageBody + 'static,
    T: Fn((Request, Framed<PageStream, Codec>)) -> O + Clone + 'static,
    O: Future<Output = ()> + 'static,
{
    let handler = fn_service(move |req: Request| {
        if let Some(limit) = req.conn_data::<ReadLimit>() {
            limit.begin(0);
        }
        let res = page(&req).map_body(|_, body| BoxBody::new(body));
        async move { Ok::<_, Infallible>(res) }
    });
    let tunnel = fn_service(move |req| {
        let joined = tunnel(req);
        async move {
            joined.await;
            Ok::<_, Infallible>(())
        }
    });
    let service = HttpService::build()
        .on_connect_ext(|io: &PageStream, ext| {
            ext.insert(io.limit());
        })
        .upgrade(tunnel.into_factory())
        .h1(handler.into_factory())
        .new_service(())
        .await
        .map_err(|()| io::Error::other("cannot create the HTTP service"))?;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let connection = service.call((PageStream::new(stream), Some(peer)));
                actix_rt::spawn(async move { drop(connection.await) });
            }
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
