//! The operators' routes.

mod auth;
mod command;
mod config;
mod error;
mod health;

pub use command::{CommandBody, RowsBody, WhyBody};
pub use error::{AdminError, AdminErrorCode};

use actix_web::web::{ServiceConfig, get, post, put, route};

/// Adds every route.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.route("/v1/command", post().to(command::command))
        .route("/v1/config", get().to(config::read))
        .route("/v1/config", put().to(config::replace))
        .route("/v1/changes/{id}", get().to(config::state))
        .route("/healthz", get().to(health::healthz))
        .route("/readyz", get().to(health::healthz))
        .route("/metrics", get().to(health::metrics))
        .default_service(route().to(health::not_found));
}
