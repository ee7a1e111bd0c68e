//! Starts the task of a stream request and waits for the head of the response.

use super::output::Output;
use super::resume::begin;
use super::run::StreamRun;
use crate::caller::{Admitted, CallerBody, Reply};
use crate::state::{Front, HeldBytes, InFlight};
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Serves a request. Returns the head of the response, and its body if it is a stream. A
/// separate task forwards the stream and keeps `guards` until it ends: they count the request
/// and its body.
pub(crate) async fn serve(
    front: &Rc<Front>,
    admitted: Admitted,
    body: Bytes,
    guards: (InFlight, Rc<HeldBytes>),
) -> (Reply, Option<CallerBody>) {
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
