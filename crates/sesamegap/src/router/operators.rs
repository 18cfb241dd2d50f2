//! The operators' side: settings, dump, metrics, health.

use super::callers::{ApiError, Shared, bearer};
use super::core::Core;
use super::inforce::is_secret;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Request, Response, Route, get, handler};
use serde_json::{Value, json};

/// The routes that operators use.
pub fn routes(route: Route) -> Route {
    route
        .at("/dump", get(dump))
        .at("/metrics", get(metrics))
        .at("/healthz", get(health))
}

/// Lets only the operators' key pass.
fn check(core: &Core, request: &Request) -> Result<(), ApiError> {
    let key = bearer(request.headers());
    if key.is_some_and(|key| is_secret(key, &core.config.operator)) {
        return Ok(());
    }
    Err(ApiError::not_run(
        StatusCode::UNAUTHORIZED,
        "wrong_key",
        "the Authorization header does not carry the operators' key",
    ))
}

/// `GET /dump`
#[handler]
async fn dump(request: &Request, core: Data<&Shared>) -> Result<Json<Value>, ApiError> {
    check(&core, request)?;
    let decider = core.decider.dump().await;
    let (answers, bytes) = core.kept.size();
    let (keys, claims) = core.once.size();
    Ok(Json(json!({
        "vm": core.config.vm,
        "domain": core.config.domain,
        "incarnation": core.incarnation,
        "phase": core.phases.now().to_string(),
        "flights": core.flights.len(),
        "ring": core.decider.waiting(),
        "kept": { "answers": answers, "bytes": bytes },
        "keys": { "run": keys, "claims": claims },
        "decider": decider,
    })))
}

/// `GET /metrics`
#[handler]
async fn metrics(core: Data<&Shared>) -> Result<Response, ApiError> {
    let text = core.telemetry.text().map_err(|error| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        ApiError::not_run(status, "internal", error.to_string())
    })?;
    Ok(Response::builder()
        .content_type("text/plain; version=0.0.4")
        .body(text))
}

/// `GET /healthz`
#[handler]
async fn health(core: Data<&Shared>) -> Json<Value> {
    Json(json!({ "phase": core.phases.now().to_string() }))
}
