//! The engine's face: completions over SSE, streams, load, cache events, orders.

mod faults;
mod frames;
mod http;
mod orders;
mod settings;
mod state;

pub use faults::{Fault, FaultKind, On};
pub use orders::{Order, OrderKind, OrderLog};
pub use settings::EngineOptions;
pub use state::{EngineState, LedgerEntry, LoadReport};

use crate::server::{Running, StandInError, bind};
use std::net::SocketAddr;
use std::sync::Arc;

/// Starts an engine; its steps run on the current runtime.
///
/// # Errors
///
/// The port cannot be had.
pub fn start(
    addr: SocketAddr,
    options: EngineOptions,
) -> Result<Running<Arc<EngineState>>, StandInError> {
    let workers = options.workers;
    let state = Arc::new(EngineState::new(options));
    actix_rt::spawn(state::run_steps(Arc::clone(&state)));
    let data = actix_web::web::Data::from(Arc::clone(&state));
    bind(addr, workers, state, move |cfg| {
        http::routes(cfg, data.clone());
    })
}
