//! Sending datagrams to peers.

use super::message::{Datagram, encode_with};
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use trouttrack_core::membership::Conditions;

/// Sends a datagram to a peer. A failure to send is treated like a datagram lost in transit.
pub(super) fn post(socket: &UdpSocket, datagram: &Datagram, to: SocketAddr) {
    post_to_all(socket, datagram, [to]);
}

/// Sends a datagram to several peers, encoding it once.
pub(super) fn post_to_all(
    socket: &UdpSocket,
    datagram: &Datagram,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    post_with(socket, datagram, &Conditions::default(), to);
}

/// Sends a datagram and this VM's conditions to several peers.
pub(super) fn post_with(
    socket: &UdpSocket,
    datagram: &Datagram,
    conditions: &Conditions,
    to: impl IntoIterator<Item = SocketAddr>,
) {
    let Some(bytes) = encode_with(datagram, conditions) else {
        return;
    };
    for addr in to {
        if let Err(e) = socket.try_send_to(&bytes, addr) {
            log::debug!("sending a datagram to peer {addr} failed: {e}");
        }
    }
}
