//! What a request is submitted as to the scheduler.

use crate::caller::Admitted;
use crate::state::Front;
use trouttrack_core::length::LengthKey;
use trouttrack_core::world::Submission;
use trouttrack_core::{ServiceId, UpstreamId};

/// The part of its objective that a request may wait for an upstream at each further attempt, also when the time for the first is over: what was
/// tried may still be answered late.
const WAIT_AGAIN: f64 = 0.2;
/// A request whose caller guesses no more tokens than this is short: it needs
/// no room to grow, and ends before it could be moved.
pub(crate) const SHORT_TOKENS: u64 = 64;

/// What the scheduler is asked for.
pub(crate) fn submission(
    front: &Front,
    admitted: &Admitted,
    service: &ServiceId,
    avoid: &[UpstreamId],
) -> Submission {
    let head = &admitted.head;
    let organisation = admitted.organisation.clone().unwrap_or_default();
    let patience = admitted
        .route
        .objective
        .mul_f64(front.serving.wait_for_place);
    let again = front.clock.now() + admitted.route.objective.mul_f64(WAIT_AGAIN);
    Submission {
        id: head.id.clone(),
        weight: 1.0,
        service: service.clone(),
        length_key: LengthKey::new(&admitted.route.name, &head.model, &organisation),
        organisation,
        priority: class(admitted),
        prompt_tokens: head.prompt_tokens,
        deadline: (admitted.received_at + patience)
            .max(again)
            .min(admitted.deadline),
        max_running: None,
        avoid: avoid.to_vec(),
        guessed_tokens: head.guessed_tokens,
        known_tokens: None,
    }
}

/// Core's class 0 never waits for memory; only short requests may be in it.
fn class(admitted: &Admitted) -> u8 {
    match admitted.route.kind.is_stream() && !is_short(admitted) {
        true => admitted.rank.max(1),
        false => admitted.rank,
    }
}

/// Whether a request is thought to write few tokens.
pub(crate) fn is_short(admitted: &Admitted) -> bool {
    let head = &admitted.head;
    let most = Some(head.most_tokens).filter(|most| *most > 0);
    let known = [head.guessed_tokens, most].into_iter().flatten().min();
    known.is_none_or(|tokens| tokens <= SHORT_TOKENS)
}
