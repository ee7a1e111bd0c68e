//! A platform and a client with short time limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trouttrack_config::settings::PlatformSettings;
use trouttrack_standin::Running;
use trouttrack_standin::platform::{PlatformFault, PlatformFaultKind, PlatformState, Rates, start};
use trouttrack_state::ObjectClient;

pub(crate) type Platform = Running<Arc<PlatformState>>;

pub(crate) fn platform() -> (Platform, ObjectClient) {
    platform_with(Rates::default())
}

pub(crate) fn platform_with(rates: Rates) -> (Platform, ObjectClient) {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = start(addr, rates, Duration::ZERO).unwrap().background();
    let client = client(&running);
    (running, client)
}

pub(crate) fn client(platform: &Platform) -> ObjectClient {
    ObjectClient::new(&PlatformSettings {
        url: platform.url(),
        timeout: Duration::from_millis(150),
        calls_per_second: 10_000.0,
    })
}

pub(crate) fn fault(kind: PlatformFaultKind, times: Option<u32>) -> PlatformFault {
    PlatformFault {
        kind,
        times,
        writes_only: true,
    }
}
