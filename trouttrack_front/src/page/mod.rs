//! Listening, and serving small pages to others than callers.
//!
//! Connections are served on the one thread of the process by `actix-http`,
//! the layer below `actix-web`: `actix-web`'s server starts threads of its
//! own, and each costs memory and wake-ups on a VM with part of one core.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpService, Request, Response};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Connections that wait to be accepted: with a full queue a peer's first
/// packet is dropped and sent again only seconds later.
const BACKLOG: u32 = 1024;
/// Pause after a connection could not be accepted, as when descriptors run
/// out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a port.
///
/// # Errors
///
/// The port cannot be had.
pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Serves a page for as long as the process runs.
///
/// # Errors
///
/// The service cannot be made.
pub(crate) async fn serve_page<F, B>(listener: TcpListener, page: F) -> io::Result<()>
where
    F: Fn(&Request) -> Response<B> + Clone + 'static,
    B: MessageBody + 'static,
{
    let handler = fn_service(move |req: Request| {
        let res = page(&req).map_body(|_, body| BoxBody::new(body));
        async move { Ok::<_, Infallible>(res) }
    });
    let service = HttpService::build()
        .h1(handler.into_factory())
        .tcp()
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the service cannot be made"))?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = service.call(stream);
                actix_rt::spawn(async move { drop(connection.await) });
            }
            Err(e) => {
                log::warn!("cannot accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
