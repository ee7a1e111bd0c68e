//! Why a gateway cannot start.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use trouttrack_telemetry::tls::TlsError;
use trouttrack_telemetry::trace::TracingError;

/// A gateway cannot start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AppError {
    /// A port cannot be had.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The TLS files cannot be used.
    #[error("[tls] {0}")]
    Tls(#[from] TlsError),
    /// Spans cannot be exported.
    #[error("[trace] {0}")]
    Tracing(#[from] TracingError),
    /// The server failed.
    #[error("the server failed: {0}")]
    Server(io::Error),
}
