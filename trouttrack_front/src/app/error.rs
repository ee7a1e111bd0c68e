//! Why a front could not start.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A front could not start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AppError {
    /// A port cannot be had.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// Signals cannot be waited for.
    #[error("signals: {0}")]
    Signals(#[from] io::Error),
}
