//! The actor that claims: it finds the shard's process and asks it.

use super::ledger::{ClaimLedger, Progressed};
use super::shard_task::{self, Asked};
use actix::{Actor, Context, Handler, Message, MessageResult, ResponseFuture};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use trouttrack_core::RequestId;
use trouttrack_core::claims::{Claim, owner, shard_of};
use trouttrack_rpc::{ClaimAnswer, ClaimedState, Connection, RpcError};
use trouttrack_state::ObjectClient;

/// How long the shard's process may take; it waits for the platform.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// Claims that may wait in one shard.
const WAITING: usize = 10_000;

/// A live gateway and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Alive {
    /// Its name.
    pub name: String,
    /// Where peers reach it.
    pub addr: SocketAddr,
}

/// Claims a key for a request of this gateway.
#[derive(Debug, Message)]
#[rtype(result = "Settled")]
pub struct ClaimKey {
    /// The claim.
    pub claim: Claim,
    /// The other gateways that live.
    pub alive: Vec<Alive>,
}

/// What the request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It may be handed over.
    Won,
    /// An earlier request has the key.
    Known {
        /// The earlier claim.
        claim: Claim,
        /// What its gateway says of it.
        state: ClaimedState,
    },
    /// It cannot be confirmed; the request must not be handed over.
    Unconfirmed(String),
}

/// Claims a key here, for a peer's request.
#[derive(Debug, Message)]
#[rtype(result = "ClaimAnswer")]
pub struct ClaimHere(pub Claim);

/// Takes a claim over here, for a peer's request.
#[derive(Debug, Message)]
#[rtype(result = "ClaimAnswer")]
pub struct TakeOverHere {
    /// The claim that was given up.
    pub given_up: Claim,
    /// The claim that takes its place.
    pub claim: Claim,
}

/// Notes how far a claimed request of this gateway has come.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Note {
    /// The request.
    pub request: RequestId,
    /// How far.
    pub progressed: Progressed,
}

/// Asks what is known of a request of this gateway.
#[derive(Debug, Message)]
#[rtype(result = "ClaimedState")]
pub struct StateOf(pub RequestId);

/// Claims keys.
#[derive(Debug)]
pub struct Claimer {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    client: ObjectClient,
    shards: RefCell<HashMap<u32, mpsc::Sender<Asked>>>,
    ledger: RefCell<ClaimLedger>,
}

impl Claimer {
    /// A claimer of the gateway of this name.
    #[must_use]
    pub fn new(name: &str, client: ObjectClient) -> Self {
        Self {
            inner: Rc::new(Inner {
                name: name.to_owned(),
                client,
                shards: RefCell::default(),
                ledger: RefCell::default(),
            }),
        }
    }
}

impl Actor for Claimer {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.set_mailbox_capacity(1 << 16);
    }
}

fn unconfirmed(e: impl ToString) -> ClaimAnswer {
    ClaimAnswer::Unconfirmed(e.to_string())
}

impl Inner {
    /// Claims in this process.
    async fn here(&self, claim: Claim, given_up: Option<Claim>) -> ClaimAnswer {
        let shard = shard_of(&claim.key);
        let tx = self
            .shards
            .borrow_mut()
            .entry(shard)
            .or_insert_with(|| {
                let (tx, rx) = mpsc::channel(WAITING);
                actix_rt::spawn(shard_task::run(shard, self.client.clone(), rx));
                tx
            })
            .clone();
        let (reply, answer) = oneshot::channel();
        let asked = Asked {
            claim,
            given_up,
            reply,
        };
        if tx.try_send(asked).is_err() {
            return unconfirmed("too many claims wait");
        }
        answer.await.unwrap_or_else(unconfirmed)
    }

    fn owner<'a>(&'a self, claim: &Claim, alive: &'a [Alive]) -> Option<&'a Alive> {
        let names = alive.iter().map(|a| a.name.as_str());
        let all = names.chain(std::iter::once(self.name.as_str()));
        let owner = owner(shard_of(&claim.key), all)?;
        alive.iter().find(|a| a.name == owner)
    }

    /// Asks the shard's process, or acts for it if it does not answer: the
    /// platform's conditional update decides either way.
    async fn claim(&self, claim: &Claim, alive: &[Alive]) -> ClaimAnswer {
        if let Some(peer) = self.owner(claim, alive) {
            let mine = claim.clone();
            let answer = ask(&self.name, peer.addr, async move |p, cx| {
                p.claim(cx, mine).await
            });
            if let Ok(answer @ (ClaimAnswer::Won | ClaimAnswer::Known(_))) = answer.await {
                return answer;
            }
        }
        self.here(claim.clone(), None).await
    }

    /// What the gateway that has a claim says of its request.
    async fn state_of(&self, claim: &Claim, alive: &[Alive]) -> ClaimedState {
        if claim.gateway == self.name {
            return self.ledger.borrow().state(&claim.request);
        }
        let Some(peer) = alive.iter().find(|a| a.name == claim.gateway) else {
            return ClaimedState::Unknown;
        };
        let theirs = claim.clone();
        ask(&self.name, peer.addr, async move |p, cx| {
            p.claimed(cx, theirs).await
        })
        .await
        .unwrap_or(ClaimedState::Unknown)
    }

    async fn settle(&self, claim: Claim, alive: Vec<Alive>) -> Settled {
        let settled = match self.claim(&claim, &alive).await {
            ClaimAnswer::Won => Settled::Won,
            ClaimAnswer::Unconfirmed(e) => Settled::Unconfirmed(e),
            ClaimAnswer::Known(known) => self.known(&claim, known, &alive).await,
        };
        let progressed = match &settled {
            Settled::Won => Some(Progressed::Claimed),
            // The claim may stand; a repeat may take it over.
            Settled::Unconfirmed(_) => Some(Progressed::GivenUp),
            Settled::Known { .. } => None,
        };
        if let Some(progressed) = progressed {
            self.ledger.borrow_mut().note(&claim.request, progressed);
        }
        settled
    }

    /// The key is an earlier request's: take it over if that was given up.
    async fn known(&self, claim: &Claim, known: Claim, alive: &[Alive]) -> Settled {
        let state = self.state_of(&known, alive).await;
        if state != ClaimedState::GivenUp {
            return Settled::Known {
                claim: known,
                state,
            };
        }
        match self.here(claim.clone(), Some(known)).await {
            ClaimAnswer::Won => Settled::Won,
            ClaimAnswer::Unconfirmed(e) => Settled::Unconfirmed(e),
            ClaimAnswer::Known(other) => Settled::Known {
                state: self.state_of(&other, alive).await,
                claim: other,
            },
        }
    }
}

async fn ask<T, F, Fut>(name: &str, addr: SocketAddr, f: F) -> Result<T, RpcError>
where
    F: FnOnce(trouttrack_rpc::PeerClient, tarpc::context::Context) -> Fut,
    Fut: Future<Output = Result<T, tarpc::client::RpcError>>,
{
    Connection::new(addr, name, TIMEOUT).call(f).await
}

impl Handler<ClaimKey> for Claimer {
    type Result = ResponseFuture<Settled>;

    fn handle(&mut self, msg: ClaimKey, _: &mut Context<Self>) -> Self::Result {
        let inner = Rc::clone(&self.inner);
        Box::pin(async move { inner.settle(msg.claim, msg.alive).await })
    }
}

impl Handler<ClaimHere> for Claimer {
    type Result = ResponseFuture<ClaimAnswer>;

    fn handle(&mut self, msg: ClaimHere, _: &mut Context<Self>) -> Self::Result {
        let inner = Rc::clone(&self.inner);
        Box::pin(async move { inner.here(msg.0, None).await })
    }
}

impl Handler<TakeOverHere> for Claimer {
    type Result = ResponseFuture<ClaimAnswer>;

    fn handle(&mut self, msg: TakeOverHere, _: &mut Context<Self>) -> Self::Result {
        let inner = Rc::clone(&self.inner);
        Box::pin(async move { inner.here(msg.claim, Some(msg.given_up)).await })
    }
}

impl Handler<Note> for Claimer {
    type Result = ();

    fn handle(&mut self, msg: Note, _: &mut Context<Self>) {
        let mut ledger = self.inner.ledger.borrow_mut();
        ledger.note(&msg.request, msg.progressed);
    }
}

impl Handler<StateOf> for Claimer {
    type Result = MessageResult<StateOf>;

    fn handle(&mut self, msg: StateOf, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.inner.ledger.borrow().state(&msg.0))
    }
}
