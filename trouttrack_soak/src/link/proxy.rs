//! A proxy that accepts connections and joins each with one to the server.

use super::condition::{Condition, Way};
use super::pump::pump;
use crate::plan::LinkFault;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use trouttrack_platform_standin::{OpenConnections, Partition, serve_unless_cut};

/// A proxy before one server.
#[derive(Clone, Debug)]
pub struct Link {
    addr: SocketAddr,
    server: SocketAddr,
    condition: Rc<watch::Sender<Condition>>,
    /// The clients that do not reach it.
    partition: Rc<watch::Sender<Partition>>,
    /// Keeps the port from other processes' listeners after its own has closed.
    _reserved: Rc<TcpSocket>,
}

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Opens a listener on a free port, and a second socket that reserves the port without listening.
fn listen() -> io::Result<(TcpSocket, TcpListener)> {
    let reserved = TcpSocket::new_v4()?;
    reserved.set_reuseport(true)?;
    reserved.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(reserved.local_addr()?)?;
    Ok((reserved, socket.listen(BACKLOG)?))
}

impl Link {
    /// Starts a proxy before a server.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub async fn before(server: SocketAddr) -> io::Result<Self> {
        let (reserved, listener) = listen()?;
        let link = Self {
            addr: listener.local_addr()?,
            server,
            condition: Rc::new(watch::Sender::new(Condition::default())),
            partition: Rc::default(),
            _reserved: Rc::new(reserved),
        };
        let serving = link.clone();
        actix_rt::spawn(async move {
            let partition = serving.partition.subscribe();
            tokio::select! {
                () = serving.accept(&listener) => {}
                () = Partition::filter(partition, &listener) => {}
                () = serving.closed() => {}
            }
        });
        Ok(link)
    }

    async fn accept(&self, listener: &TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let (link, partition) = (self.clone(), self.partition.subscribe());
            let serve = |client| link.serve(client);
            actix_rt::spawn(serve_unless_cut(partition, client, serve));
        }
    }

    async fn closed(&self) {
        let mut condition = self.condition.subscribe();
        // The sender is part of the link.
        drop(condition.wait_for(|c| c.closed).await);
    }

    /// Resets all connections, and listens no more.
    pub fn close(&self) {
        self.condition
            .send_modify(|condition| *condition = condition.closing());
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Puts a fault on the link in place of the one that is there; `None`
    /// mends it.
    pub fn set(&self, fault: Option<LinkFault>) {
        self.condition
            .send_modify(|condition| *condition = condition.with(fault));
    }

    /// Partitions it from the clients with this address.
    pub fn partition_from(&self, client: Ipv4Addr, open: OpenConnections) {
        self.partition.send_modify(|p| p.add(client, open));
    }

    /// Ends the latest partition from the clients with this address.
    pub fn rejoin(&self, client: Ipv4Addr) {
        self.partition.send_modify(|p| p.remove(client));
    }

    /// Serves one connection until both ways have ended, or a reset.
    async fn serve(self, client: TcpStream) {
        let condition = self.condition.subscribe();
        let now = *condition.borrow();
        match self.connect(now).await {
            Some(server) => join(client, server, &condition, now.resets).await,
            None => reset(client),
        }
    }

    /// A connection to the server, unless connections are refused.
    async fn connect(&self, now: Condition) -> Option<TcpStream> {
        if now.refuses {
            return None;
        }
        TcpStream::connect(self.server).await.ok()
    }
}

/// Carries bytes both ways until both have ended, until the link has been reset more often than
/// `resets` times, or until a peer has reset its connection: then both connections are reset.
async fn join(
    client: TcpStream,
    server: TcpStream,
    condition: &watch::Receiver<Condition>,
    resets: u64,
) {
    for connection in [&client, &server] {
        // A reset discards what waits to be sent.
        if let Err(e) = connection.set_nodelay(true) {
            eprintln!("link: {e}");
        }
    }
    let broken = watch::Sender::new(false);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let carry = |from, to, way| pump(from, to, way, condition.clone(), resets, &broken);
    let up = carry(from_client, to_server, Way::ToServer);
    let down = carry(from_server, to_client, Way::FromServer);
    let ((from_client, to_server), (from_server, to_client)) = tokio::join!(up, down);
    if condition.borrow().resets > resets || *broken.borrow() {
        let client = from_client.reunite(to_client);
        let server = from_server.reunite(to_server);
        for joined in [client, server] {
            // Halves of one connection always fit.
            joined.map_or_else(drop, reset);
        }
    }
}

/// Closes so that the peer sees a reset.
fn reset(stream: TcpStream) {
    // The peer may have closed first.
    drop(stream.set_zero_linger());
}
