//! Answers, and what becomes of their connections.

use crate::error::BodyError;
use crate::limit::{self, AnswerBudget};
use crate::pool::{Channel, Pool};
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection is kept when the peer does not say. Servers rarely
/// close sooner than this.
const KEPT_BY_DEFAULT: Duration = Duration::from_secs(4);
/// Taken off what the peer says: it counts in whole seconds, and its clock
/// starts a little before ours.
const KEPT_MARGIN: Duration = Duration::from_secs(1);
/// What a piece of a body counts at least. Each costs about as much to handle as so many bytes.
const MIN_PIECE: usize = 64;

/// What a piece of a body counts against the limit of the whole.
///
/// # Examples
///
/// ```
/// assert_eq!(trouttrack_http::charge(&[0; 3]), 64);
/// assert_eq!(trouttrack_http::charge(&[0; 3000]), 3000);
/// ```
#[must_use]
pub fn charge(piece: &[u8]) -> usize {
    piece.len().max(MIN_PIECE)
}

/// The head of an answer, and its body to come.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub body: AnswerBody,
    /// Whether the body tells where it ends, by a length or by chunks. If not, it ends with its
    /// connection, and a connection that was closed early looks the same.
    pub framed: bool,
}

impl Answer {
    /// An answer whose head has come over a channel.
    pub(crate) fn new(
        pool: &Rc<RefCell<Pool>>,
        peer: SocketAddr,
        head: Parts,
        body: Incoming,
        channel: Channel,
    ) -> Self {
        let kept_for = kept_for(&head.headers);
        let framed = is_framed(&head.headers) || body.is_end_stream();
        let end_is_certain = framed || channel.shows_end;
        let budget = channel.budget.clone();
        let returns = Returns {
            pool: Rc::clone(pool),
            peer,
            channel,
            kept_for,
        };
        Self {
            head,
            framed,
            body: AnswerBody {
                body,
                end_is_certain,
                budget,
                returns: Some(returns),
            },
        }
    }
}

/// The body of an answer. Its connection is used again only after its end.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    /// Whether the end of the connection, if it ends the body, is known to be the peer's doing.
    end_is_certain: bool,
    budget: AnswerBudget,
    returns: Option<Returns>,
}

impl AnswerBody {
    /// The next bytes; `None` at the end of the whole body.
    ///
    /// # Errors
    ///
    /// The body broke off before its end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.budget.refill(data.len());
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => {
                    self.returns = None;
                    return Err(match limit::is_exceeded(&e) {
                        true => BodyError::Oversized,
                        false => BodyError::Broken(e),
                    });
                }
                None if !self.end_is_certain => {
                    self.returns = None;
                    return Err(BodyError::UncertainEnd);
                }
                None => {
                    self.give_back();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body, up to `most` bytes; `None` if it is longer. A body in small pieces may
    /// have fewer, see [`charge`].
    ///
    /// # Errors
    ///
    /// The body broke off before its end.
    pub async fn whole(&mut self, most: usize) -> Result<Option<Bytes>, BodyError> {
        let Some(first) = self.next().await? else {
            return Ok(Some(Bytes::new()));
        };
        if first.len() > most {
            return Ok(None);
        }
        let mut rest = Vec::new();
        let mut length = first.len();
        let mut charged = length;
        while let Some(more) = self.next().await? {
            length += more.len();
            charged += charge(&more);
            if charged > most {
                return Ok(None);
            }
            rest.push(more);
        }
        if rest.is_empty() {
            return Ok(Some(first));
        }
        let mut all = Vec::with_capacity(length);
        all.extend_from_slice(&first);
        rest.iter().for_each(|b| all.extend_from_slice(b));
        Ok(Some(all.into()))
    }

    /// Sees to it that the connection is not used again. The answer may be another request's, so
    /// the connection is closed as if there were none.
    pub fn distrust(&mut self) {
        if let Some(r) = self.returns.take() {
            r.channel.control.revoke_answer();
        }
    }

    fn give_back(&mut self) {
        if let Some(r) = self.returns.take() {
            r.pool.borrow_mut().put(r.peer, r.channel, r.kept_for);
        }
    }
}

/// What it takes to put a connection back into the pool.
#[derive(Debug)]
struct Returns {
    pool: Rc<RefCell<Pool>>,
    peer: SocketAddr,
    channel: Channel,
    kept_for: Duration,
}

/// Whether the headers frame a body. Chunks do so only as the last coding, and override a length.
fn is_framed(headers: &HeaderMap) -> bool {
    match headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    {
        Some(codings) => {
            let codings = codings.to_str().unwrap_or_default();
            let last = codings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        }
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// How long the peer keeps the connection after this answer.
fn kept_for(headers: &HeaderMap) -> Duration {
    let says = |name, word: &str| {
        let values = headers.get_all(name).iter();
        values
            .filter_map(|v| v.to_str().ok())
            .any(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
    };
    if says(header::CONNECTION, "close") {
        return Duration::ZERO;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
        .and_then(|v| v.parse().ok())
        .map(Duration::from_secs);
    announced.map_or(KEPT_BY_DEFAULT, |t| t.saturating_sub(KEPT_MARGIN))
}
