//! Admission of requests: routing and authorization.

use super::reply::Reply;
use crate::state::Front;
use http::StatusCode;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::fleet::{Admission, Route, RouteTable};
use trouttrack_core::{OrganisationId, Time};
use trouttrack_platform::CallerHead;
use trouttrack_telemetry::{events, record};

/// `Retry-After` of a VM that has no configuration or cannot confirm it: about the duration of a
/// store call.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// The request head.
    pub head: CallerHead,
    /// The matched route.
    pub route: Rc<Route>,
    /// The configuration that admitted it.
    pub table: Rc<RouteTable>,
    /// The organisation that the key belongs to, if the route requires a key.
    pub organisation: Option<OrganisationId>,
    /// The priority rank; 0 is the most urgent.
    pub rank: u8,
    /// When the request head arrived.
    pub received_at: Time,
    /// When the final answer is due.
    pub deadline: Time,
}

impl Admitted {
    /// Whether the key is still valid. The configuration may have changed, or its confirmation
    /// expired, while the request was queued.
    #[must_use]
    pub(crate) fn still_admitted(&self, front: &Front) -> bool {
        if self.organisation.is_none() {
            return true;
        }
        let table = front.routing.table();
        let admission = table.map(|t| t.admit(&self.route, self.head.key.as_deref()));
        front.routing.admits_keys() && matches!(admission, Some(Admission::Keyed(_)))
    }
}

/// Finds a request's route and organisation.
///
/// # Errors
///
/// Returns the answer if the request is not served. A VM that cannot confirm its configuration
/// answers 503 instead of rejecting a route or key that may exist, and one that does not know
/// which requests are quarantined sends none.
pub(super) fn admit(front: &Front, head: CallerHead) -> Result<Admitted, Box<Reply>> {
    let received_at = front.clock.now();
    let Some(table) = front.routing.table() else {
        let reason = "no configuration is known yet";
        return Err(Box::new(unconfirmed(front, &head, reason)));
    };
    let Some(route) = table.find(&head.host, head.path()).cloned() else {
        let reply = refused(front, &head, StatusCode::NOT_FOUND, "no such route");
        return Err(Box::new(reply));
    };
    let admission = table.admit(&route, head.key.as_deref());
    if admission == Admission::Refused {
        let status = StatusCode::UNAUTHORIZED;
        let reply = refused(front, &head, status, "the key is not known");
        return Err(Box::new(reply));
    }
    let organisation = admission.organisation();
    if organisation.is_some() && !front.routing.admits_keys() {
        let reply = unconfirmed(front, &head, "keys cannot be confirmed");
        return Err(Box::new(reply));
    }
    if !front.quarantine.is_known() {
        let reason = "quarantined requests are not known yet";
        return Err(Box::new(unconfirmed(front, &head, reason)));
    }
    let timeout = head.patience.unwrap_or(route.timeout).min(route.timeout);
    Ok(Admitted {
        rank: organisation
            .and_then(|o| o.priority)
            .unwrap_or(route.priority),
        organisation: organisation.map(|o| o.name.clone()),
        deadline: received_at + timeout,
        received_at,
        head,
        route,
        table,
    })
}

fn refused(front: &Front, head: &CallerHead, status: StatusCode, reason: &'static str) -> Reply {
    if !front.routing.is_fresh() {
        return unconfirmed(front, head, reason);
    }
    record!(
        events::REJECTED,
        request = head.id.as_str(),
        status = status.as_u16(),
        reason = reason,
        host = head.host.as_str(),
        path = head.path(),
        config_version = front.routing.version(),
        config_age_ms = front.routing.age_ms(),
    );
    let ended = front.metrics.ended.with_label_values(&["any", "rejected"]);
    ended.inc();
    Reply::rejected(status, &head.id, reason)
}

fn unconfirmed(front: &Front, head: &CallerHead, reason: &'static str) -> Reply {
    record!(
        events::NOT_RUN,
        request = head.id.as_str(),
        reason = reason,
        retry_after_ms = UNCONFIRMED_RETRY_AFTER.as_millis() as u64,
        config_version = front.routing.version(),
        config_age_ms = front.routing.age_ms(),
    );
    front
        .metrics
        .refused
        .with_label_values(&["unconfirmed"])
        .inc();
    Reply::not_run(&head.id, reason, UNCONFIRMED_RETRY_AFTER)
}
