//! The HTTP server for callers, and the VM's readiness and metrics endpoints.

use super::connection::CallerStream;
use super::handler::handle;
use crate::page::{ACCEPT_PAUSE, listen, serve_page};
use crate::state::Front;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use trouttrack_core::fleet::CallerLimits;

/// Extra time for which idle connections are kept beyond the callers' idle timeout, so that none
/// is closed while a request is being sent on it.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// How long a closing connection waits for the caller to disconnect.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The HTTP server for callers.
#[derive(Debug)]
pub(crate) struct Server {
    listener: TcpListener,
    front: Rc<Front>,
}

impl Server {
    /// Binds the port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) fn bind(front: Rc<Front>, addr: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            listener: listen(addr)?,
            front,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the address.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let limits = self.limits();
            let front = Rc::clone(&self.front);
            let handler = move |req: Request| {
                let front = Rc::clone(&front);
                async move { Ok::<_, Infallible>(handle(front, req).await) }
            };
            let service = HttpService::build()
                .keep_alive(KeepAlive::Timeout(limits.idle_timeout + IDLE_MARGIN))
                .client_request_timeout(limits.head_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                // A caller cancels its request by closing the connection.
                .h1_allow_half_closed(false)
                .on_connect_ext(|io: &CallerStream, ext| {
                    ext.insert(io.response());
                    ext.insert(io.limit());
                })
                .h1(fn_service(handler))
                .new_service(())
                .await;
            let Ok(service) = service else {
                log::error!("cannot create the HTTP service for callers");
                return;
            };
            self.accept(&service, limits).await;
        }
    }

    /// Accepts connections until the limits change.
    async fn accept<S>(&self, service: &S, limits: CallerLimits)
    where
        S: Service<(CallerStream, Option<SocketAddr>)>,
        S::Future: 'static,
    {
        while self.limits() == limits {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    if let Err(e) = trouttrack_http::socket::set_options(&stream) {
                        log::debug!("cannot set socket options for {peer}: {e}");
                    }
                    let has_peers = self.front.peers.any_serves(self.front.clock.now());
                    let accepted = self.front.intake.accept(&self.front.metrics, has_peers);
                    // The caller's next connection reaches another VM.
                    let Some(accepted) = accepted else { continue };
                    // Connection errors are ignored, because the handlers record the outcome
                    // of each request.
                    let connection = service.call((CallerStream::new(stream), Some(peer)));
                    actix_rt::spawn(async move {
                        drop(connection.await);
                        drop(accepted);
                    });
                }
                Err(e) => {
                    log::warn!("cannot accept a caller connection: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn limits(&self) -> CallerLimits {
        let table = self.front.routing.table();
        table.map_or_else(CallerLimits::default, |t| t.config().limits)
    }
}

/// Serves the load balancer's readiness check and the metrics.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub(crate) async fn serve_readiness_and_metrics(
    front: Rc<Front>,
    ready: SocketAddr,
    metrics: SocketAddr,
) -> io::Result<()> {
    let ready_front = Rc::clone(&front);
    let readiness = serve_page(listen(ready)?, move |_| {
        match ready_front.lifecycle.is_ready() {
            true => Response::ok().set_body(b"ready".to_vec()),
            false => Response::new(actix_http::StatusCode::SERVICE_UNAVAILABLE)
                .set_body(b"not ready".to_vec()),
        }
    });
    let metrics = serve_page(listen(metrics)?, move |_| {
        Response::ok().set_body(front.metrics_text())
    });
    tokio::try_join!(readiness, metrics).map(|_| ())
}
