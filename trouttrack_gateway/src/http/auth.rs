//! What every request has to pass before it is served.

use super::error::{ApiError, ErrorCode};
use crate::app::Shared;
use crate::request::SessionParts;
use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use std::sync::Arc;
use std::time::Instant;
use trouttrack_config::fleet::{FleetView, Organisation, Priority, Service};
use trouttrack_core::RequestId;
use uuid::Uuid;

/// A request that may be served.
pub(super) struct Admitted {
    pub(super) id: RequestId,
    pub(super) view: Arc<FleetView>,
    organisation: usize,
}

impl Admitted {
    pub(super) fn organisation(&self) -> &Organisation {
        &self.view.fleet.organisations[self.organisation]
    }

    /// What a request of this caller is about.
    pub(super) fn parts(
        &self,
        service: &Service,
        priority: Priority,
        arrived: Instant,
    ) -> SessionParts {
        let organisation = self.organisation();
        SessionParts {
            id: self.id.clone(),
            organisation: organisation.name.clone(),
            weight: organisation.weight,
            max_running: organisation.max_running,
            service: service.clone(),
            priority,
            ask: None,
            claimed: false,
            arrived,
        }
    }
}

/// Gives the request an id and finds whose it is.
pub(super) fn admit(shared: &Shared, req: &HttpRequest) -> Result<Admitted, ApiError> {
    let id = format!("r-{}", Uuid::new_v4().simple());
    let refuse = |code, message: &str| {
        shared.note_refused(&id, ErrorCode::as_str(code));
        ApiError::new(code, &id, message)
    };
    if shared.refusing() {
        return Err(refuse(ErrorCode::Stopping, "this process is stopping"));
    }
    let view = shared.view();
    if view.version() == 0 {
        return Err(refuse(
            ErrorCode::NotConfigured,
            "no configuration is in force yet",
        ));
    }
    let key = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let organisation = key
        .and_then(|k| view.organisation_of(k.trim()))
        .and_then(|o| {
            let all = &view.fleet.organisations;
            all.binary_search_by(|a| a.name.cmp(&o.name)).ok()
        });
    match organisation {
        Some(organisation) => Ok(Admitted {
            id,
            organisation,
            view,
        }),
        None => Err(refuse(
            ErrorCode::Unauthorised,
            "the key is missing or belongs to no organisation",
        )),
    }
}
