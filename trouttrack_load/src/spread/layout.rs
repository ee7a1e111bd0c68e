//! The fleet that a play is about.

use std::time::Duration;

/// VMs of the fleets that are compared: a small one, two of the users', the whole fleet,
/// and twice that.
pub const SIZES: [usize; 5] = [7, 66, 295, 985, 2000];

/// Failure domains.
const DOMAINS: usize = 6;
/// Upstreams before each VM.
const UPSTREAMS_A_VM: usize = 10;
/// Bits in a byte, times megabits.
const BYTES_A_MBIT: f64 = 125_000.0;

/// A fleet, and what its links bear.
///
/// # Examples
///
/// ```
/// use trouttrack_load::spread::Layout;
/// let layout = Layout::of(985);
/// assert_eq!((layout.near(), layout.upstreams), (164, 9850));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// VMs.
    pub vms: usize,
    /// Failure domains, of equal size.
    pub domains: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// What a VM's link carries, in bytes a second.
    pub vm_link: f64,
    /// What the store's link carries, in bytes a second.
    pub store_link: f64,
    /// One way between two VMs.
    pub way: Duration,
    /// One call to the store, without what its answer takes on the links.
    pub call: Duration,
    /// The share of datagrams lost.
    pub loss: f64,
}

impl Layout {
    /// A fleet of so many VMs with links as the whole fleet's small VMs have them.
    #[must_use]
    pub fn of(vms: usize) -> Self {
        Self {
            vms,
            domains: DOMAINS,
            upstreams: vms * UPSTREAMS_A_VM,
            vm_link: 20.0 * BYTES_A_MBIT,
            store_link: 1000.0 * BYTES_A_MBIT,
            way: Duration::from_micros(1400),
            call: Duration::from_millis(7),
            loss: 0.01,
        }
    }

    /// VMs of a failure domain.
    #[must_use]
    pub fn near(&self) -> usize {
        self.vms.div_euclid(self.domains).max(1)
    }

    /// The failure domain of a VM.
    pub(super) fn domain_of(&self, vm: usize) -> usize {
        vm % self.domains
    }

    /// The VMs of a failure domain.
    pub(super) fn in_domain(&self, domain: usize) -> impl Iterator<Item = usize> {
        (domain..self.vms).step_by(self.domains)
    }
}
