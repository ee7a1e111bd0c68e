//! Sending requests.

use crate::answer::Answer;
use crate::connect::{Connect, DeadConnections, Direct, Path};
use crate::error::{SendError, SendErrorKind};
use crate::limit::{self, AnswerBudget, Limited};
use crate::pool::{Channel, Pool};
use crate::stream::{RequestStream, WeakControl};
use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a connection may take to come up, unless the builder is told; a
/// program that has to go elsewhere sooner tells it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept to one peer, unless the builder is told.
const IDLE_PER_PEER: usize = 8;

/// Bytes that a connection reads ahead, unless the builder is told. A head has to fit in.
const READ_BUFFER: usize = 64 << 10;
/// The smallest read buffer that `hyper` accepts.
const MIN_READ_BUFFER: usize = 8 << 10;

/// How long a connection that only asked whether the peer is there is kept: its peer has
/// said nothing of that.
const PROBED_FOR: Duration = Duration::from_secs(1);

/// How often it is looked at whether such a connection is still there.
const PRESENCE_STEP: Duration = Duration::from_millis(10);

/// Which connection may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// One that has been idle for less than this, or a new one.
    IdleLessThan(Duration),
    /// Any that the peer still keeps, or a new one.
    Any,
    /// Only a new one.
    Never,
}

impl Reuse {
    fn within(self) -> Duration {
        match self {
            Self::IdleLessThan(age) => age,
            Self::Any => Duration::MAX,
            Self::Never => Duration::ZERO,
        }
    }
}

/// Builds a [`Client`].
#[derive(Clone, Copy, Debug)]
pub struct ClientBuilder {
    connect_timeout: Duration,
    idle_per_peer: usize,
    read_buffer: usize,
    source: Option<IpAddr>,
}

impl ClientBuilder {
    /// The local address of all connections. By default the system chooses it.
    #[must_use]
    pub fn source(mut self, ip: Option<IpAddr>) -> Self {
        self.source = ip;
        self
    }

    /// How long a connection may take to come up.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// The most idle connections that are kept to one peer.
    #[must_use]
    pub fn idle_per_peer(mut self, most: usize) -> Self {
        self.idle_per_peer = most;
        self
    }

    /// The most bytes that a connection reads ahead of what is taken from a body, at least
    /// 8 KiB. This also bounds the head of an answer.
    #[must_use]
    pub fn read_buffer(mut self, bytes: usize) -> Self {
        self.read_buffer = bytes.max(MIN_READ_BUFFER);
        self
    }

    /// The client.
    #[must_use]
    pub fn build(self) -> Client {
        let direct = Direct::new(self.connect_timeout).source(self.source);
        self.build_with(direct)
    }

    /// The client, with connections opened by `connector`.
    #[must_use]
    pub fn build_with<C: Connect>(self, connector: C) -> Client<C> {
        Client {
            shared: Rc::new(Shared {
                connector,
                pool: Rc::new(RefCell::new(Pool::new(self.idle_per_peer))),
                read_buffer: self.read_buffer,
                opened: Cell::new(0),
                open: RefCell::default(),
            }),
        }
    }
}

#[derive(Debug)]
struct Shared<C> {
    connector: C,
    pool: Rc<RefCell<Pool>>,
    read_buffer: usize,
    opened: Cell<u64>,
    /// Connections that may still be open.
    open: RefCell<HashMap<SocketAddr, Vec<WeakControl>>>,
}

impl<C> Shared<C> {
    fn remember(&self, peer: SocketAddr, control: WeakControl) {
        let mut open = self.open.borrow_mut();
        let open = open.entry(peer).or_default();
        open.retain(|c| !c.is_closed());
        open.push(control);
    }
}

/// Sends requests and keeps connections. Clones share the connections.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_http::Client;
/// let client = Client::builder().connect_timeout(Duration::from_millis(200)).build();
/// assert_eq!(client.idle(), 0);
/// ```
#[derive(Debug)]
pub struct Client<C = Direct> {
    shared: Rc<Shared<C>>,
}

impl<C> Clone for Client<C> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

impl Client {
    /// A builder with a connect timeout of one second and eight idle
    /// connections a peer.
    #[must_use]
    pub fn builder() -> ClientBuilder {
        ClientBuilder {
            connect_timeout: CONNECT_TIMEOUT,
            idle_per_peer: IDLE_PER_PEER,
            read_buffer: READ_BUFFER,
            source: None,
        }
    }
}

impl<C: Connect> Client<C> {
    /// Sends a request and waits for the head of its answer. Dropping the
    /// future, or the answer's body before its end, closes the connection: what
    /// the peer has not received of an unanswered request by then is lost
    /// ([`RequestStream`]).
    ///
    /// # Errors
    ///
    /// No answer came; [`SendError::was_not_sent`] tells whether the peer can
    /// have received the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Bytes>,
        reuse: Reuse,
    ) -> Result<Answer, SendError> {
        self.send_if(peer, req, reuse, || true).await
    }

    /// The same, but for a request that may be withdrawn until its connection is there:
    /// `still` is asked right before the request is written.
    ///
    /// # Errors
    ///
    /// No answer came, or the request was withdrawn ([`SendErrorKind::Withdrawn`]).
    pub async fn send_if(
        &self,
        peer: SocketAddr,
        req: Request<Bytes>,
        reuse: Reuse,
        still: impl Fn() -> bool,
    ) -> Result<Answer, SendError> {
        let mut req = req.map(Full::new);
        let pool = &self.shared.pool;
        let pooled = pool.borrow_mut().take(peer, reuse.within());
        if let Some(channel) = pooled {
            match exchange(peer, channel, req, &still).await {
                Ok((parts, body, channel)) => {
                    return Ok(Answer::new(pool, peer, parts, body, channel));
                }
                Err(Unanswered::Unsent(same)) => req = *same,
                Err(Unanswered::Failed(e)) => return Err(e),
            }
        }
        let channel = self.connect(peer).await?;
        match exchange(peer, channel, req, &still).await {
            Ok((parts, body, channel)) => Ok(Answer::new(pool, peer, parts, body, channel)),
            Err(Unanswered::Unsent(_)) => Err(SendError::new(
                SendErrorKind::NotConnected,
                peer,
                "the new connection was closed",
            )),
            Err(Unanswered::Failed(e)) => Err(e),
        }
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Channel, SendError> {
        let connected = self.shared.connector.connect(peer).await?;
        match connected.dead {
            DeadConnections::None => {}
            DeadConnections::SamePeer => self.shared.pool.borrow_mut().forget_direct(Some(peer)),
            DeadConnections::All => self.shared.pool.borrow_mut().forget_direct(None),
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.shared.read_buffer);
        let not = |detail: &dyn Display| SendError::new(SendErrorKind::NotConnected, peer, detail);
        let stream = RequestStream::new(connected.stream).map_err(|e| not(&e))?;
        let control = stream.control();
        self.shared.remember(peer, control.downgrade());
        let budget = AnswerBudget::new(self.shared.read_buffer);
        let limited = Limited::new(stream, budget.clone());
        let handshake = builder.handshake(TokioIo::new(limited)).await;
        let (sender, connection) = handshake.map_err(|e| not(&e))?;
        self.shared.opened.set(self.shared.opened.get() + 1);
        // Its errors reach the request that waits on the connection, if any.
        tokio::task::spawn_local(async move { drop(connection.await) });
        let (relayed_until, shows_end) = match connected.path {
            Path::Direct => (None, true),
            Path::Relayed { reuse, shows_end } => (Some(Instant::now() + reuse), shows_end),
        };
        Ok(Channel {
            sender,
            budget,
            control,
            relayed_until,
            shows_end,
        })
    }

    /// Whether anybody listens at a peer's address.
    ///
    /// # Errors
    ///
    /// No connection came up; [`SendErrorKind::NobodyThere`] is the peer's VM saying that
    /// the process is gone.
    pub async fn probe(&self, peer: SocketAddr) -> Result<Presence, SendError> {
        Ok(Presence {
            pool: Rc::clone(&self.shared.pool),
            peer,
            channel: self.connect(peer).await?,
        })
    }
}

impl<C> Client<C> {
    /// What opens the connections.
    #[must_use]
    pub fn connector(&self) -> &C {
        &self.shared.connector
    }

    /// Closes the idle connections that no request may use any more.
    pub fn sweep(&self) {
        self.shared.pool.borrow_mut().sweep();
        self.shared.open.borrow_mut().retain(|_, open| {
            open.retain(|c| !c.is_closed());
            !open.is_empty()
        });
    }

    /// Closes every idle connection to a peer.
    pub fn forget(&self, peer: SocketAddr) {
        self.shared.pool.borrow_mut().forget(peer);
    }

    /// Resets connections to a peer once bytes of an unanswered request have been unacknowledged
    /// for so long; the request counts as lost. Requests that the peer has received are not
    /// affected.
    pub fn limit_unacknowledged(&self, peer: SocketAddr, limit: Duration) {
        if let Some(open) = self.shared.open.borrow().get(&peer) {
            open.iter().for_each(|c| c.limit_unacknowledged(limit));
        }
    }

    /// Changes the most idle connections that are kept to one peer.
    pub fn set_idle_per_peer(&self, most: usize) {
        self.shared.pool.borrow_mut().set_per_peer(most);
    }

    /// How many connections are idle.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.shared.pool.borrow().len()
    }

    /// How many connections have been opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.shared.opened.get()
    }
}

/// A connection that only asked whether a peer is there.
#[derive(Debug)]
pub struct Presence {
    pool: Rc<RefCell<Pool>>,
    peer: SocketAddr,
    channel: Channel,
}

impl Presence {
    /// Whether the peer keeps the connection for so long: a process that is ending may
    /// still have taken it up. One that lasts is kept for the next request.
    pub async fn lasts(mut self, time: Duration) -> bool {
        let until = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < until {
            tokio::time::sleep(PRESENCE_STEP).await;
            let sender = &mut self.channel.sender;
            if sender.is_closed() || sender.ready().await.is_err() {
                return false;
            }
        }
        let mut pool = self.pool.borrow_mut();
        pool.put(self.peer, self.channel, PROBED_FOR);
        true
    }
}

enum Unanswered {
    /// The connection was closed before anything was written.
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(SendError),
}

fn failed(peer: SocketAddr, e: &hyper::Error) -> SendError {
    let kind = match e.is_parse() {
        _ if limit::is_exceeded(e) => SendErrorKind::Oversized,
        true => SendErrorKind::Garbled,
        false => SendErrorKind::Lost,
    };
    SendError::new(kind, peer, e)
}

async fn exchange(
    peer: SocketAddr,
    mut channel: Channel,
    req: Request<Full<Bytes>>,
    still: &impl Fn() -> bool,
) -> Result<(Parts, Incoming, Channel), Unanswered> {
    let sender = &mut channel.sender;
    if sender.ready().await.is_err() {
        return Err(Unanswered::Unsent(Box::new(req)));
    }
    if !still() {
        let withdrawn = SendError::new(SendErrorKind::Withdrawn, peer, "withdrawn");
        return Err(Unanswered::Failed(withdrawn));
    }
    channel.budget.renew();
    match sender.try_send_request(req).await {
        Ok(res) => {
            let (parts, body) = res.into_parts();
            Ok((parts, body, channel))
        }
        Err(mut e) => match e.take_message() {
            Some(req) => Err(Unanswered::Unsent(Box::new(req))),
            None => Err(Unanswered::Failed(failed(peer, &e.into_error()))),
        },
    }
}
