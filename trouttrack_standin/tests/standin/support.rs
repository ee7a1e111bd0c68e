//! Ports, clients, engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trouttrack_engine::EngineSettings;
use trouttrack_standin::Running;
use trouttrack_standin::engine::{EngineOptions, EngineState, start};

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn http() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish()
}

pub(crate) fn options() -> EngineOptions {
    EngineOptions {
        engine: EngineSettings {
            step_base: Duration::from_millis(1),
            step_per_sequence: Duration::ZERO,
            per_prefill_token: Duration::ZERO,
            ..EngineSettings::default()
        },
        report_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        weight_fetch: Duration::ZERO,
        ..EngineOptions::default()
    }
}

pub(crate) fn engine(options: EngineOptions) -> Running<Arc<EngineState>> {
    start(any_port(), options).unwrap().background()
}
