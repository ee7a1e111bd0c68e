//! The addresses of a front.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;

/// The second number of the first VM's loopback address.
const FIRST_HOST: u8 = 100;
/// VMs that get addresses of their own.
const HOSTS: usize = 100;

/// The ports of a front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ports {
    /// Callers.
    pub(crate) callers: SocketAddr,
    /// Readiness.
    pub(crate) ready: SocketAddr,
    /// Metrics.
    pub(crate) metrics: SocketAddr,
    /// Datagrams of other VMs.
    pub(super) peers: SocketAddr,
}

impl Ports {
    /// Ports that are free now, for the VM of this number. Between two lives
    /// nobody holds them, so they are on an address that no other VM, process
    /// or outgoing connection uses.
    ///
    /// # Errors
    ///
    /// There are none.
    pub(crate) fn free(number: usize) -> io::Result<Self> {
        let host = host(number);
        // All are held until all are found, so that they differ.
        let tcp = || TcpListener::bind((host, 0));
        let (callers, ready, metrics) = (tcp()?, tcp()?, tcp()?);
        let peers = UdpSocket::bind((host, 0))?;
        Ok(Self {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            metrics: metrics.local_addr()?,
            peers: peers.local_addr()?,
        })
    }
}

/// The loopback address of a VM of this process: the VM's number and the
/// process's id are in it.
fn host(number: usize) -> Ipv4Addr {
    let [.., high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, FIRST_HOST + (number % HOSTS) as u8, high, low.max(1))
}
