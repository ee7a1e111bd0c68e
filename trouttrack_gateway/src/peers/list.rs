//! Where the peers are.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// The peers named in the settings and those of the VM list.
#[derive(Clone, Debug)]
pub struct PeerList {
    own: SocketAddr,
    named: Rc<[SocketAddr]>,
    listed: Rc<RefCell<Vec<SocketAddr>>>,
}

impl PeerList {
    /// A list that leaves out the own address.
    #[must_use]
    pub fn new(named: &[SocketAddr], own: SocketAddr) -> Self {
        Self {
            own,
            named: named.into(),
            listed: Rc::default(),
        }
    }

    /// Takes the addresses of the VM list.
    pub fn set_listed(&self, addrs: Vec<SocketAddr>) {
        *self.listed.borrow_mut() = addrs;
    }

    /// Every peer, once.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        let listed = self.listed.borrow();
        let all: BTreeSet<SocketAddr> = self
            .named
            .iter()
            .chain(listed.iter())
            .copied()
            .filter(|a| *a != self.own)
            .collect();
        all.into_iter().collect()
    }
}
