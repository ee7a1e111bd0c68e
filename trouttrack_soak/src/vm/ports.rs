//! The addresses of a front.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process;

/// The second number of the first VM's loopback address.
const FIRST_HOST: u8 = 100;
/// The same of the address from which it connects to upstreams.
const FIRST_SOURCE: u8 = 1;
/// VMs that get addresses of their own.
const HOSTS: usize = 99;

/// The ports of a front.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ports {
    /// Callers.
    pub(crate) callers: SocketAddr,
    /// Readiness.
    pub(crate) ready: SocketAddr,
    /// Metrics.
    pub(crate) metrics: SocketAddr,
    /// Datagrams and connections of other VMs.
    pub(super) peers: SocketAddr,
    /// The local address of connections to upstreams, which nobody listens at: a connection that
    /// has just ended may still hold its port.
    pub(super) source: Ipv4Addr,
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
        let host = host(FIRST_HOST, number);
        // All are held until all are found, so that they differ.
        let tcp = || TcpListener::bind((host, 0));
        let (callers, ready, metrics, peers) = (tcp()?, tcp()?, tcp()?, tcp()?);
        // Peers need the port for datagrams as well.
        let datagrams = UdpSocket::bind(peers.local_addr()?)?;
        Ok(Self {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            metrics: metrics.local_addr()?,
            peers: datagrams.local_addr()?,
            source: self::host(FIRST_SOURCE, number),
        })
    }
}

/// A loopback address of a VM of this process: the VM's number and the
/// process's id are in it.
fn host(first: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, first + (number % HOSTS) as u8, high, low.max(1))
}
