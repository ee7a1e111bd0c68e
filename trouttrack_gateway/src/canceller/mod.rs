//! The actor that cancels streams whose callers went away.

use crate::dispatch::Ticket;
use crate::request::{Attempt, Clients, Target};
use actix::{Actor, Context, Handler, Message, ResponseFuture};
use std::time::Duration;
use trouttrack_core::StreamId;

/// Cancels a stream after a while.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct CancelStream {
    /// The upstream.
    pub target: Target,
    /// The stream.
    pub stream: StreamId,
    /// How long to wait first.
    pub after: Duration,
    /// Whether a stream that someone reads by then goes on.
    pub only_unread: bool,
    /// Given back after the cancel, so that the load stays known until then.
    pub ticket: Option<Ticket>,
}

/// Cancels streams.
#[derive(Debug)]
pub struct Canceller {
    clients: Clients,
}

impl Canceller {
    /// A canceller with its own clients.
    #[must_use]
    pub fn new(clients: Clients) -> Self {
        Self { clients }
    }
}

impl Actor for Canceller {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.set_mailbox_capacity(1 << 16);
    }
}

impl Handler<CancelStream> for Canceller {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, msg: CancelStream, _: &mut Context<Self>) -> Self::Result {
        let clients = self.clients.clone();
        Box::pin(async move {
            tokio::time::sleep(msg.after).await;
            // An engine that cannot be reached ends the stream by itself.
            let _ = Attempt::cancel(&clients, &msg.target, &msg.stream, msg.only_unread).await;
            drop(msg.ticket);
        })
    }
}
