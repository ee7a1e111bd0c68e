//! Whom a VM of the model tells of its use of engines, and when.

use super::pattern::Layout;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use std::time::Duration;
use trouttrack_core::membership::{LOCAL_FANOUT, REMOTE_FANOUT, heartbeat_interval};

/// Pause after a placement before it is told, as in the program.
pub(super) const SOON: Duration = Duration::from_millis(3);

/// Whom a change of the own use is told to at once. Heartbeats go to some peers besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// To nobody: others learn it by heartbeats.
    Heartbeats,
    /// To as many peers as a heartbeat, drawn anew.
    SomePeers,
    /// To all VMs of the failure domain.
    WholeDomain,
    /// To those, and to all VMs where the engines stand that are used.
    WhereUsed,
}

/// The pause between a VM's heartbeats.
pub(super) fn pause(layout: &Layout) -> Duration {
    heartbeat_interval(layout.all_vms())
}

/// The VMs of the same failure domain, without the VM itself.
pub(super) fn near(layout: &Layout, vm: usize) -> Vec<usize> {
    let first = vm / layout.vms * layout.vms;
    (first..first + layout.vms).filter(|v| *v != vm).collect()
}

/// The VMs of the same failure domain and of those given, without the VM itself.
fn where_used(layout: &Layout, vm: usize, used: &[usize]) -> Vec<usize> {
    let home = vm / layout.vms;
    let concerned = |v: &usize| {
        let domain = v / layout.vms;
        *v != vm && (domain == home || used.contains(&domain))
    };
    (0..layout.all_vms()).filter(concerned).collect()
}

/// The receivers of a heartbeat.
pub(super) fn heartbeat(layout: &Layout, vm: usize, rng: &mut SmallRng) -> Vec<usize> {
    let mut near = near(layout, vm);
    near.shuffle(rng);
    near.truncate(LOCAL_FANOUT);
    let domain = vm / layout.vms;
    let elsewhere = |v: &usize| v / layout.vms != domain;
    let mut far: Vec<usize> = (0..layout.all_vms()).filter(elsewhere).collect();
    far.shuffle(rng);
    near.extend(far.into_iter().take(REMOTE_FANOUT));
    near
}

impl Telling {
    /// The receivers of a change of the own use; `used` are the failure domains of the
    /// engines that are used.
    pub(super) fn receivers(
        self,
        layout: &Layout,
        vm: usize,
        used: &[usize],
        rng: &mut SmallRng,
    ) -> Vec<usize> {
        match self {
            Self::Heartbeats => Vec::new(),
            Self::SomePeers => heartbeat(layout, vm, rng),
            Self::WholeDomain => near(layout, vm),
            Self::WhereUsed => where_used(layout, vm, used),
        }
    }
}
