//! Connecting, listening, deadlines.

use crate::service::{Peer, PeerClient};
use crate::types::{Hello, PROTOCOL};
use futures_util::StreamExt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::client::{Config, RpcError as TarpcError};
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use thiserror::Error;

/// The largest frame: a configuration of 18,000 organisations fits.
const MAX_FRAME: usize = 32 << 20;

/// A peer did not answer as it should.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum RpcError {
    /// No connection.
    #[error("{0}: {1}")]
    Connect(SocketAddr, io::Error),
    /// No connection in time.
    #[error("{0}: no connection in time")]
    Slow(SocketAddr),
    /// The call failed.
    #[error("{0}: {1}")]
    Call(SocketAddr, TarpcError),
    /// The peer speaks another protocol.
    #[error("{addr}: speaks protocol {theirs}, not {PROTOCOL}")]
    Protocol {
        /// Which peer.
        addr: SocketAddr,
        /// What it speaks.
        theirs: u32,
    },
}

/// A connection to a peer, made anew when it breaks.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    name: String,
    timeout: Duration,
    client: Option<PeerClient>,
}

impl Connection {
    /// A connection that is made with the first call.
    #[must_use]
    pub fn new(addr: SocketAddr, name: &str, timeout: Duration) -> Self {
        Self {
            addr,
            name: name.to_owned(),
            timeout,
            client: None,
        }
    }

    /// Where it leads.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes one call, within the connection's time limit.
    ///
    /// # Errors
    ///
    /// No connection, no answer in time, or another protocol. The next call
    /// connects anew.
    pub async fn call<T, F, Fut>(&mut self, f: F) -> Result<T, RpcError>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = Result<T, TarpcError>>,
    {
        let client = match &self.client {
            Some(client) => client.clone(),
            None => self.connect().await?,
        };
        let answer = f(client, self.context()).await;
        answer.map_err(|e| {
            self.client = None;
            RpcError::Call(self.addr, e)
        })
    }

    fn context(&self) -> Context {
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + self.timeout;
        cx
    }

    async fn connect(&mut self) -> Result<PeerClient, RpcError> {
        let mut connecting = tcp::connect(self.addr, Bincode::default);
        connecting.config_mut().max_frame_length(MAX_FRAME);
        let transport = tokio::time::timeout(self.timeout, connecting)
            .await
            .map_err(|_| RpcError::Slow(self.addr))?
            .map_err(|e| RpcError::Connect(self.addr, e))?;
        let client = PeerClient::new(Config::default(), transport).spawn();
        let hello = Hello {
            protocol: PROTOCOL,
            name: self.name.clone(),
        };
        let theirs = client
            .hello(self.context(), hello)
            .await
            .map_err(|e| RpcError::Call(self.addr, e))?;
        if theirs.protocol != PROTOCOL {
            return Err(RpcError::Protocol {
                addr: self.addr,
                theirs: theirs.protocol,
            });
        }
        self.client = Some(client.clone());
        Ok(client)
    }
}

/// Serves peers on `addr` in the background of the current thread (a `LocalSet`, as
/// every `actix` system is). Returns
/// the address in use.
///
/// # Errors
///
/// The port cannot be had.
pub async fn serve<S>(addr: SocketAddr, service: S) -> io::Result<SocketAddr>
where
    S: Peer + Clone + 'static,
{
    let mut incoming = tcp::listen(addr, Bincode::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME);
    let addr = incoming.local_addr();
    tokio::task::spawn_local(async move {
        while let Some(transport) = incoming.next().await {
            // A connection that fails while it is accepted concerns its peer alone.
            let Ok(transport) = transport else {
                continue;
            };
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(service.clone().serve());
            tokio::task::spawn_local(calls.for_each(|call| async move {
                tokio::task::spawn_local(call);
            }));
        }
    });
    Ok(addr)
}
