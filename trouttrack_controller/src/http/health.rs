//! For balancers and for Prometheus.

use super::error::{AdminError, AdminErrorCode};
use crate::app::Shared;
use actix_web::HttpResponse;
use actix_web::web::Data;

pub(super) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

pub(super) async fn metrics(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.text())
}

pub(super) async fn not_found() -> HttpResponse {
    AdminError::new(AdminErrorCode::NotFound, "there is nothing at this path").response()
}
