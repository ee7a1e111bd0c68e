//! Starting a stand-in inside the calling process.

use actix_web::dev::{Server, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use thiserror::Error;

/// A stand-in cannot be started.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StandInError {
    /// Its port cannot be had.
    #[error("{0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// Its command line is wrong.
    #[error("{0}")]
    Usage(String),
}

/// A stand-in that serves on a port.
pub struct Running<S> {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its state, for tests to look at.
    pub state: S,
    handle: ServerHandle,
    server: Option<Server>,
}

impl<S> fmt::Debug for Running<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl<S> Running<S> {
    /// Its base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Ends it at once; connections are cut off.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }

    /// Serves until it is stopped.
    ///
    /// # Errors
    ///
    /// The server failed.
    pub async fn serve(mut self) -> io::Result<()> {
        match self.server.take() {
            Some(server) => server.await,
            None => Ok(()),
        }
    }

    /// Serves in the background of the current runtime.
    #[must_use]
    pub fn background(mut self) -> Self {
        if let Some(server) = self.server.take() {
            actix_rt::spawn(server);
        }
        self
    }
}

/// Binds a server whose routes are added by `routes`.
pub(crate) fn bind<S>(
    addr: SocketAddr,
    workers: usize,
    state: S,
    routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> Result<Running<S>, StandInError> {
    let listener = TcpListener::bind(addr).map_err(|e| StandInError::Bind(addr, e))?;
    let addr = listener
        .local_addr()
        .map_err(|e| StandInError::Bind(addr, e))?;
    let server = HttpServer::new(move || App::new().configure(routes.clone()))
        .workers(workers)
        .shutdown_timeout(1)
        .disable_signals()
        .listen(listener)
        .map_err(|e| StandInError::Bind(addr, e))?
        .run();
    Ok(Running {
        addr,
        state,
        handle: server.handle(),
        server: Some(server),
    })
}
