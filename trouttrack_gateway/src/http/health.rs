//! For balancers and for Prometheus.

use super::error::{ApiError, ErrorCode};
use crate::app::Shared;
use actix_web::HttpResponse;
use actix_web::web::Data;

/// The process answers.
pub(super) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Whether the balancer should send requests.
pub(super) async fn readyz(shared: Data<Shared>) -> HttpResponse {
    if shared.ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    let why = match shared.draining() {
        true => "stopping\n",
        false => "no configuration\n",
    };
    HttpResponse::ServiceUnavailable().body(why)
}

pub(super) async fn metrics(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.text())
}

pub(super) async fn not_found() -> HttpResponse {
    ApiError::new(ErrorCode::NotFound, "", "there is nothing at this path").response()
}
