//! The VMs of this system: finding each other through the store.

use super::backoff::Backoff;
use super::kind::Follower;
use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Change, Kind, Object, VmEntry};

/// How long writing the own entry may take.
const WRITE: Duration = Duration::from_secs(2);

/// Keeps the peers' addresses.
#[derive(Debug)]
pub(super) struct VmFollower {
    front: Rc<Front>,
}

impl VmFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self { front }
    }

    fn take(&self, object: &Object) {
        match VmEntry::decode(object.spec.get()) {
            Ok(entry) => self.front.peers.insert(&object.name, entry.peers),
            Err(e) => log::warn!("VM {}: entry cannot be read: {e}", object.name),
        }
    }
}

impl Follower for VmFollower {
    const KIND: Kind = Kind::Vms;

    fn listed(&self, objects: &[Object], _revision: u64) {
        objects.iter().for_each(|o| self.take(o));
        self.front.budgets.set_vms(self.front.peers.listed());
    }

    fn changed(&self, changes: &[Change], _revision: u64) {
        for change in changes {
            match change.deleted {
                false => self.take(&change.object),
                true => self.front.peers.remove(&change.object.name),
            }
        }
        self.front.budgets.set_vms(self.front.peers.listed());
    }
}

/// Writes the own entry. It is the same at each start of a VM, and a lost
/// answer is met by writing again.
pub(super) async fn announce(front: Rc<Front>, own: SocketAddr) {
    let entry = VmEntry { peers: own };
    let mut backoff = Backoff::new();
    while let Err(e) = front.store.put(Kind::Vms, &front.name, &entry, WRITE).await {
        log::debug!("{e}");
        backoff.pause().await;
    }
}
