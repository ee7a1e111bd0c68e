//! Idle connections, by peer.

use crate::limit::AnswerBudget;
use crate::stream::Control;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// A connection on which requests are sent.
#[derive(Debug)]
pub(crate) struct Channel {
    pub(crate) sender: Sender,
    /// Bounds the bytes of its current answer.
    pub(crate) budget: AnswerBudget,
    pub(crate) control: Control,
    /// Until when it may be used again, if it is relayed.
    pub(crate) relayed_until: Option<Instant>,
    /// Whether its end in order is the peer's.
    pub(crate) shows_end: bool,
}

impl Channel {
    pub(crate) fn is_relayed(&self) -> bool {
        self.relayed_until.is_some()
    }

    /// Whether another request may be sent on it.
    fn is_usable(&self) -> bool {
        let in_time = self
            .relayed_until
            .is_none_or(|until| Instant::now() < until);
        in_time && !self.sender.is_closed()
    }
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    channel: Channel,
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
    pub(crate) fn take(&mut self, peer: SocketAddr, within: Duration) -> Option<Channel> {
        let idle = self.idle.get_mut(&peer)?;
        while let Some(last) = idle.pop() {
            let age = last.since.elapsed();
            if age >= within {
                // The others have been idle for longer still.
                idle.push(last);
                return None;
            }
            if age < last.kept_for && last.channel.is_usable() {
                return Some(last.channel);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put(&mut self, peer: SocketAddr, channel: Channel, kept_for: Duration) {
        if !channel.is_usable() || kept_for.is_zero() {
            return;
        }
        let idle = self.idle.entry(peer).or_default();
        if idle.len() < self.per_peer {
            idle.push(Idle {
                channel,
                since: Instant::now(),
                kept_for,
            });
        }
    }

    /// Closes the connections that no request may use any more.
    pub(crate) fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|c| c.since.elapsed() < c.kept_for && c.channel.is_usable());
            !idle.is_empty()
        });
    }

    /// Closes every idle connection to a peer.
    pub(crate) fn forget(&mut self, peer: SocketAddr) {
        self.idle.remove(&peer);
    }

    /// Closes the idle connections that reach a peer directly, or all such connections.
    pub(crate) fn forget_direct(&mut self, peer: Option<SocketAddr>) {
        self.idle.retain(|addr, idle| {
            if peer.is_none_or(|peer| peer == *addr) {
                idle.retain(|c| c.channel.is_relayed());
            }
            !idle.is_empty()
        });
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
