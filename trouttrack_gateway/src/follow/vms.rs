//! Reads the platform's VM list, which lags: a hint for peers and leavers.

use crate::app::Shared;
use crate::peers::PeerList;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use trouttrack_core::membership::MarkSource;
use trouttrack_state::ConfigStore;
use trouttrack_state::client::VmState;

/// Pause between two looks in a small fleet. It grows with the list: many
/// gateways look, and the first that sees news tells the others.
const INTERVAL: Duration = Duration::from_secs(2);
/// The pause grows by one more interval for this many VMs.
const VMS_PER_INTERVAL: usize = 64;

/// Looks at the list for as long as the process lives.
pub async fn vms(shared: Arc<Shared>, store: ConfigStore, peers: PeerList) {
    let mut leaving_before: Vec<String> = Vec::new();
    let mut listed = 0;
    loop {
        if let Ok(list) = store.client().vms().await {
            let view = shared.view();
            listed = list.len();
            let mut leaving = Vec::new();
            let mut addrs: Vec<SocketAddr> = Vec::new();
            for vm in list {
                let upstream = view.upstream(&vm.name).is_some();
                match (upstream, vm.state) {
                    (true, VmState::Leaving) => leaving.push(vm.name),
                    (true, VmState::Live) => {}
                    (false, _) => addrs.extend(vm.addr.parse::<SocketAddr>().ok()),
                }
            }
            for name in &leaving {
                shared.observe_leaving(name, true, MarkSource::VmList);
            }
            // The list only takes back what it said itself.
            for name in leaving_before.iter().filter(|n| !leaving.contains(n)) {
                shared.observe_leaving(name, false, MarkSource::VmList);
            }
            leaving_before = leaving;
            peers.set_listed(addrs);
        }
        let times = 1 + listed / VMS_PER_INTERVAL;
        tokio::time::sleep(INTERVAL * times as u32).await;
    }
}
