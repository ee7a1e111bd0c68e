//! The platform's object API: versions, conditional updates, watches, a VM list.

mod faults;
mod http;
mod state;

pub use faults::{PlatformFault, PlatformFaultKind};
pub use state::{Calls, PlatformState, Rates, VmEntry, VmState};

use crate::server::{Running, StandInError, bind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Starts an object API; `vm_lag` is how late its VM list is.
///
/// # Errors
///
/// The port cannot be had.
pub fn start(
    addr: SocketAddr,
    rates: Rates,
    vm_lag: Duration,
) -> Result<Running<Arc<PlatformState>>, StandInError> {
    let state = Arc::new(PlatformState::new(rates, vm_lag));
    let data = actix_web::web::Data::from(Arc::clone(&state));
    bind(addr, 1, state, move |cfg| http::routes(cfg, data.clone()))
}
