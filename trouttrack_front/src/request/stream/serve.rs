//! Taking a stream in: its run goes on by itself, the head is waited for.

use super::output::Output;
use super::run::StreamRun;
use crate::caller::{Admitted, CallerBody, Reply};
use crate::request::end::End;
use crate::request::submission::is_short;
use crate::state::{Front, InFlight};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// What a token is taken to need while a VM that stops decides whether a
/// stream still ends in time: an engine's step under load.
const PER_TOKEN: Duration = Duration::from_millis(10);

/// Serves a request. Returns the answer's head, and its body if it is a
/// stream; the stream goes on by itself.
pub(crate) async fn serve(
    front: &Rc<Front>,
    admitted: Admitted,
    body: Bytes,
    in_flight: InFlight,
) -> (Reply, Option<CallerBody>) {
    if !takes(front, &admitted) {
        return (End::stopping().reply(front, &admitted, 0), None);
    }
    let Some(service) = admitted.route.sample_service(&mut rand::rng()).cloned() else {
        let end = End::not_run("the route has no service");
        return (end.reply(front, &admitted, 0), None);
    };
    let id = admitted.head.id.clone();
    let (pieces, stream) = CallerBody::stream();
    let (head_tx, head) = oneshot::channel();
    let output = Output::new(head_tx, pieces);
    let run = StreamRun::new(Rc::clone(front), admitted, service, body, output);
    actix_rt::spawn(run.run(in_flight));
    match head.await {
        Ok(reply) if reply.body.is_none() => (reply, Some(stream)),
        Ok(reply) => (reply, None),
        Err(_) => (Reply::uncertain(&id, "the stream ended", false), None),
    }
}

/// A VM that stops takes a long stream only if it ends in time and no other VM
/// could take it. Later in the stop guesses are not trusted: what is cut off then
/// was taken in vain.
fn takes(front: &Front, admitted: &Admitted) -> bool {
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
    let length = PER_TOKEN * u32::try_from(tokens).unwrap_or(u32::MAX);
    let elsewhere = !is_short(admitted) && front.peers.any_serves(now);
    !elsewhere && lifecycle.takes_request_of(now, length)
}
