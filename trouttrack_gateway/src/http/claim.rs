//! `Idempotency-Key`: at most one run for each key of an organisation.

use super::auth::Admitted;
use super::error::{ApiError, ErrorCode};
use crate::app::Shared;
use crate::claims::{ClaimKey, Settled};
use crate::request::Handle;
use actix_web::HttpRequest;
use std::time::SystemTime;
use trouttrack_core::Outcome;
use trouttrack_core::claims::{Claim, key_hash};
use trouttrack_rpc::ClaimedState;
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::{Hop, RequestTrace};

const HEADER: &str = "idempotency-key";
/// The longest key.
const MAX_KEY: usize = 255;
/// The code of a request whose claim could not be confirmed.
const UNCONFIRMED: &str = "claim_unconfirmed";

/// What a request with (or without) a key may do.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Claimed {
    /// It has no key.
    No,
    /// The key is its own.
    Won,
    /// An earlier request has the key, and its stream can be attached to.
    Repeat(Box<Handle>),
}

/// Claims the request's key, if it has one.
pub(super) async fn claim(
    shared: &Shared,
    req: &HttpRequest,
    admitted: &Admitted,
    trace: &RequestTrace,
) -> Result<Claimed, ApiError> {
    let Some(value) = req.headers().get(HEADER) else {
        return Ok(Claimed::No);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY {
        let message = format!("`{HEADER}` must be a text of 1 to {MAX_KEY} characters");
        return Err(ApiError::new(ErrorCode::BadRequest, &admitted.id, message));
    }
    let start = SystemTime::now();
    let settled = shared
        .claimer
        .send(ClaimKey {
            claim: Claim {
                key: key_hash(&admitted.organisation().name, key),
                request: admitted.id.clone(),
                gateway: shared.settings.vm.name.clone(),
            },
            alive: shared.alive(),
        })
        .await
        .unwrap_or_else(|e| Settled::Unconfirmed(e.to_string()));
    trace.hop(Hop::Claim, start, None);
    match settled {
        Settled::Won => Ok(Claimed::Won),
        Settled::Known { claim, state } => known(shared, admitted, &claim, state),
        Settled::Unconfirmed(e) => {
            events::CLAIM_UNCONFIRMED.log(format_args!("request={}: {e}", admitted.id));
            shared.note_refused(&admitted.id, UNCONFIRMED);
            let code = ErrorCode::Ended(Outcome::NotRun, UNCONFIRMED);
            let message = "the key could not be claimed for certain; nothing was run";
            Err(ApiError::new(code, &admitted.id, message))
        }
    }
}

fn known(
    shared: &Shared,
    admitted: &Admitted,
    claim: &Claim,
    state: ClaimedState,
) -> Result<Claimed, ApiError> {
    events::CLAIM_KNOWN.log(format_args!(
        "request={} earlier={} state={state:?}",
        admitted.id, claim.request
    ));
    let refuse = |outcome, what: &str| {
        shared.note_refused(&admitted.id, "key_claimed");
        let message = format!("request {} has this key: {what}", claim.request);
        Err(ApiError::new(
            ErrorCode::KeyClaimed(outcome),
            &admitted.id,
            message,
        ))
    };
    match state {
        ClaimedState::Stream(handle) => match shared.sealer.open(&handle) {
            Ok(handle) => Ok(Claimed::Repeat(Box::new(handle))),
            Err(_) => refuse(Outcome::Unknown, "its stream cannot be attached to"),
        },
        ClaimedState::InProgress => refuse(Outcome::Unknown, "it is in progress"),
        ClaimedState::Ended(outcome) => refuse(outcome, "it ended"),
        ClaimedState::GivenUp | ClaimedState::Unknown => {
            refuse(Outcome::Unknown, "its gateway does not answer for it")
        }
    }
}
