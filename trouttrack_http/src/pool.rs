//! Idle connections, by peer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    /// How long the peer said that it keeps the connection.
    kept_for: Duration,
}

/// Idle connections; the one used last is used first.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<Idle>>,
    per_peer: usize,
}

impl Pool {
    pub(crate) fn new(per_peer: usize) -> Self {
        Self {
            idle: HashMap::new(),
            per_peer,
        }
    }

    /// Takes a connection that has been idle for less than `within`.
    pub(crate) fn take(&mut self, peer: SocketAddr, within: Duration) -> Option<Sender> {
        let idle = self.idle.get_mut(&peer)?;
        while let Some(last) = idle.pop() {
            let age = last.since.elapsed();
            if age >= within {
                // The others have been idle for longer still.
                idle.push(last);
                return None;
            }
            if age < last.kept_for && !last.sender.is_closed() {
                return Some(last.sender);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put(&mut self, peer: SocketAddr, sender: Sender, kept_for: Duration) {
        if sender.is_closed() || kept_for.is_zero() {
            return;
        }
        let idle = self.idle.entry(peer).or_default();
        if idle.len() < self.per_peer {
            idle.push(Idle {
                sender,
                since: Instant::now(),
                kept_for,
            });
        }
    }

    /// Closes the connections that no request may use any more.
    pub(crate) fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|c| c.since.elapsed() < c.kept_for && !c.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes every idle connection to a peer.
    pub(crate) fn forget(&mut self, peer: SocketAddr) {
        self.idle.remove(&peer);
    }

    /// Changes the most that are kept to one peer; what is beyond is closed.
    pub(crate) fn set_per_peer(&mut self, most: usize) {
        self.per_peer = most;
        for idle in self.idle.values_mut() {
            // The last ones are the freshest.
            let surplus = idle.len().saturating_sub(most);
            idle.drain(..surplus);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}
