//! Accepts a stream request, starts its task and waits for the head of the response.

use super::output::Output;
use super::resume::begin;
use super::run::StreamRun;
use crate::caller::{Admitted, CallerBody, Reply};
use crate::request::end::End;
use crate::request::submission::is_short;
use crate::state::{Front, HeldBytes, InFlight};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time per token with which a stopping VM estimates whether a stream ends in time: one engine
/// step under load.
const ASSUMED_TIME_PER_TOKEN: Duration = Duration::from_millis(10);

/// Serves a request. Returns the head of the response, and its body if it is a stream. A
/// separate task forwards the stream and keeps `guards` until it ends: they count the request
/// and its body.
pub(crate) async fn serve(
    front: &Rc<Front>,
    admitted: Admitted,
    body: Bytes,
    guards: (InFlight, Rc<HeldBytes>),
) -> (Reply, Option<CallerBody>) {
    if !accepts(front, &admitted) {
        return (End::stopping().reply(front, &admitted, 0), None);
    }
    let begin = match begin(front, &admitted).await {
        Ok(begin) => begin,
        Err(end) => return (end.reply(front, &admitted, 0), None),
    };
    let id = admitted.head.id.clone();
    let organisation = admitted.organisation.as_deref().unwrap_or_default();
    let max_bytes = front.buffers.limits().request;
    let held = front.buffers.open(&id, organisation, max_bytes);
    let (chunks, stream) = CallerBody::stream(Rc::clone(&held));
    let (head_tx, head) = oneshot::channel();
    let output = Output::new(head_tx, chunks, held);
    let run = StreamRun::new(Rc::clone(front), admitted, begin, body, output);
    actix_rt::spawn(run.run(guards));
    match head.await {
        Ok(reply) if reply.body.is_none() => (reply, Some(stream)),
        Ok(reply) => (reply, None),
        Err(_) => (Reply::uncertain(&id, "the stream ended", false), None),
    }
}

/// Whether this VM accepts the request. A stopping VM accepts a long stream only if it ends in
/// time and no other VM serves. Late in the stop, the token limit is used instead of the
/// caller's guess, because the work of a stream that is cut off is lost.
fn accepts(front: &Front, admitted: &Admitted) -> bool {
    let lifecycle = &front.lifecycle;
    if !lifecycle.is_stopping() {
        return true;
    }
    let now = front.clock.now();
    let head = &admitted.head;
    let tokens = match head
        .guessed_tokens
        .filter(|_| lifecycle.trusts_guesses(now))
    {
        Some(guess) => guess,
        None => head.most_tokens,
    };
    let length = ASSUMED_TIME_PER_TOKEN * u32::try_from(tokens).unwrap_or(u32::MAX);
    let other_vm_serves = !is_short(admitted) && front.peers.any_serves(now);
    !other_vm_serves && lifecycle.takes_request_of(now, length)
}
