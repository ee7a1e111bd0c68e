//! Builds the scheduler submission of a request.

use crate::caller::Admitted;
use crate::state::Front;
use trouttrack_core::length::LengthKey;
use trouttrack_core::world::{ServiceLevel, Submission};
use trouttrack_core::{ServiceId, SoftwareVersion, Time, UpstreamId};

/// Fraction of the objective that a retry may wait for an upstream, even if the wait limit of
/// the first attempt has expired: a late response is still useful.
const RETRY_WAIT_FRACTION: f64 = 0.2;
/// Largest expected token count of a short request. Such a request needs no room to grow and
/// ends before it could be moved.
pub(crate) const SHORT_REQUEST_MAX_TOKENS: u64 = 64;

pub(crate) fn build_submission(
    front: &Front,
    admitted: &Admitted,
    service: &ServiceId,
    version: Option<&SoftwareVersion>,
    avoid: &[UpstreamId],
) -> Submission {
    let head = &admitted.head;
    let organisation = admitted.organisation.clone().unwrap_or_default();
    Submission {
        id: head.id.clone(),
        weight: 1.0,
        service: service.clone(),
        length_key: LengthKey::new(&admitted.route.name, &head.model, &organisation),
        organisation,
        priority: priority_class(admitted),
        prompt_tokens: head.prompt_tokens,
        deadline: placement_deadline(front, admitted),
        service_level: service_level(admitted),
        max_running: None,
        avoid: avoid.to_vec(),
        guessed_tokens: head.guessed_tokens,
        version: version.cloned(),
        known_tokens: None,
    }
}

/// Time until which a request that is submitted now may wait for an upstream.
pub(super) fn placement_deadline(front: &Front, admitted: &Admitted) -> Time {
    let objective = admitted.route.objective;
    let queue_wait = objective.mul_f64(front.serving.wait_for_place);
    let retry_wait = objective.mul_f64(RETRY_WAIT_FRACTION);
    (admitted.received_at + queue_wait)
        .max(front.clock.now() + retry_wait)
        .min(admitted.deadline)
}

fn service_level(admitted: &Admitted) -> ServiceLevel {
    ServiceLevel {
        due: admitted.received_at + admitted.route.objective,
        longest_pause: admitted.route.kind.longest_pause(),
        expires: admitted.deadline,
    }
}

/// Maps the rank to a priority class. Class 0 never waits for memory, so long streams are
/// not admitted to it.
fn priority_class(admitted: &Admitted) -> u8 {
    match admitted.route.kind.is_stream() && !is_short(admitted) {
        true => admitted.rank.max(1),
        false => admitted.rank,
    }
}

/// Whether a request is expected to generate few tokens. Without a guess or a limit it counts
/// as short.
pub(crate) fn is_short(admitted: &Admitted) -> bool {
    let head = &admitted.head;
    let limit = Some(head.most_tokens).filter(|limit| *limit > 0);
    let known = [head.guessed_tokens, limit].into_iter().flatten().min();
    known.is_none_or(|tokens| tokens <= SHORT_REQUEST_MAX_TOKENS)
}
