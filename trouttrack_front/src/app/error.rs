//! Startup errors.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that prevents a front from starting or from waiting for its shutdown signal.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AppError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// A signal handler could not be installed, or a socket address could not be read.
    #[error("cannot install signal handlers or read the address of a socket: {0}")]
    Signals(#[from] io::Error),
}
