//! Who an operator is and what the key allows.

use super::error::{AdminError, AdminErrorCode};
use crate::app::Shared;
use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;
use trouttrack_config::settings::{OperatorKey, Role};
use trouttrack_telemetry::events;

/// Finds the operator of a request, who needs at least `role`.
pub(super) fn operator<'a>(
    shared: &'a Shared,
    req: &HttpRequest,
    role: Role,
) -> Result<&'a OperatorKey, AdminError> {
    let given = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .unwrap_or_default()
        .trim();
    let same = |k: &&OperatorKey| bool::from(k.key.as_bytes().ct_eq(given.as_bytes()));
    let Some(operator) = shared.settings.admin.keys.iter().find(same) else {
        events::OPERATOR_REFUSED.log(format_args!("path={} reason=key", req.path()));
        let message = "the key is missing or not known";
        return Err(AdminError::new(AdminErrorCode::Unauthorised, message));
    };
    if operator.role < role {
        events::OPERATOR_REFUSED.log(format_args!(
            "operator={} path={} reason=role",
            operator.name,
            req.path()
        ));
        let message = "this needs the role operator";
        return Err(AdminError::new(AdminErrorCode::Forbidden, message));
    }
    Ok(operator)
}
