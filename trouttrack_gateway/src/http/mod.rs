//! The callers' routes.

mod auth;
mod body;
mod claim;
mod completions;
mod error;
mod health;
mod plain;
mod respond;
mod resume;

pub use error::{ApiError, ErrorCode};

use actix_web::web::{ServiceConfig, get, post, resource, route};

/// Adds every route.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.service(resource("/v1/completions").route(post().to(completions::completion)))
        .service(resource("/v1/chat/completions").route(post().to(completions::chat)))
        .service(resource("/v1/requests/{handle}").route(get().to(resume::resume)))
        .service(resource("/v1/models").route(get().to(completions::models)))
        .service(resource("/svc/{service}").route(route().to(plain::call)))
        .service(resource("/svc/{service}/{path:.*}").route(route().to(plain::call)))
        .service(resource("/healthz").route(get().to(health::healthz)))
        .service(resource("/readyz").route(get().to(health::readyz)))
        .service(resource("/metrics").route(get().to(health::metrics)))
        .default_service(route().to(health::not_found));
}
