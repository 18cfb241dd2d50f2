//! The operators' side: settings, dump, metrics, health.

use super::callers::{ApiError, Shared, is_operator, read_body};
use super::core::Core;
use super::phase::Phase;
use super::tree::publish;
use crate::admin::{self, ChangeAnswer, ChangeRequest, EffectiveAnswer, HistoryAnswer, TreeAnswer};
use crate::telemetry::Gauges;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{Body, IntoResponse, Request, Response, Route, get, handler, post};
use serde_json::{Value, json};
use sesamegap_settings::{ChangeId, TreePath};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The routes that operators use.
pub fn routes(route: Route) -> Route {
    route
        .at("/admin/changes", post(change))
        .at("/admin/tree", get(tree))
        .at("/admin/effective/*path", get(effective))
        .at("/admin/history", get(history))
        .at("/dump", get(dump))
        .at("/metrics", get(metrics))
        .at("/healthz", get(health))
}

/// Lets only the operators' key pass.
fn check(core: &Core, request: &Request) -> Result<(), ApiError> {
    if is_operator(request.headers(), &core.config.operator) {
        return Ok(());
    }
    Err(ApiError::not_run(
        StatusCode::UNAUTHORIZED,
        "wrong_key",
        "the Authorization header does not carry the operators' key",
    ))
}

/// `POST /admin/changes`
#[handler]
async fn change(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    check(core, request)?;
    let body = read_body(core, request.headers(), body).await?;
    let asked: ChangeRequest = serde_json::from_slice(&body.bytes)
        .map_err(|error| ApiError::bad("bad_json", format!("the body is no change: {error}")))?;
    let id = asked.id.unwrap_or_else(|| ChangeId(rand::random()));
    let answer = match asked.into_change(id) {
        Ok(change) => publish(core, &change).await,
        Err(findings) => ChangeAnswer::Invalid { id, findings },
    };
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Ok(Json(answer).with_status(status).into_response())
}

/// `GET /admin/tree`
#[handler]
fn tree(request: &Request, Data(core): Data<&Shared>) -> Result<Json<TreeAnswer>, ApiError> {
    check(core, request)?;
    Ok(Json(core.tree.with(|fold| admin::tree(fold))))
}

/// `GET /admin/effective/{path}`
#[handler]
fn effective(
    request: &Request,
    Path(path): Path<String>,
    Data(core): Data<&Shared>,
) -> Result<Json<EffectiveAnswer>, ApiError> {
    check(core, request)?;
    let path: TreePath = path.parse().map_err(|error: sesamegap_wire::ParseError| {
        ApiError::bad("bad_path", error.to_string())
    })?;
    let found = core.tree.with(|fold| admin::effective(fold, &path));
    found.map(Json).ok_or_else(|| {
        let message = format!("nothing stands at `{path}`");
        ApiError::not_run(StatusCode::NOT_FOUND, "not_found", message)
    })
}

/// `GET /admin/history`
#[handler]
fn history(request: &Request, Data(core): Data<&Shared>) -> Result<Json<HistoryAnswer>, ApiError> {
    check(core, request)?;
    Ok(Json(core.tree.with(|fold| admin::history(fold))))
}

/// `GET /dump`
#[handler]
async fn dump(request: &Request, Data(core): Data<&Shared>) -> Result<Json<Value>, ApiError> {
    check(core, request)?;
    let decider = core.decider.dump().await;
    let (answers, bytes) = core.kept.size();
    let (keys, claims) = core.once.size();
    Ok(Json(json!({
        "vm": core.config.vm,
        "domain": core.config.domain,
        "incarnation": core.incarnation,
        "phase": core.phases.now().to_string(),
        "flights": core.flights.len(),
        "ring": core.decider.queue_len(),
        "kept": { "answers": answers, "bytes": bytes },
        "settings": {
            "revision": core.settings().revision,
            "next": core.tree.next(),
            "log_age_ms": core.tree.source().age_ms(),
        },
        "fleet": core.fleet.dump(),
        "peers": peers(core),
        "members": core.members.beliefs(),
        "keys": { "run": keys, "claims": claims },
        "decider": decider,
    })))
}

fn peers(core: &Core) -> Vec<Value> {
    let peers = core.peers.live(&core.fleet.entries()).into_iter();
    let shown = peers.map(|peer| {
        json!({
            "vm": peer.vm,
            "router": peer.router.to_string(),
            "incarnation": peer.incarnation,
            "leaving": peer.leaving,
            "settings": peer.settings,
        })
    });
    shown.collect()
}

/// Reads what is only looked at when metrics are asked for.
fn gauges(core: &Core) {
    let (answers, bytes) = core.kept.size();
    let gauges = Gauges {
        flights: core.flights.len(),
        queued: core.queued.load(Ordering::Relaxed),
        ring: core.decider.queue_len(),
        answers,
        bytes,
        peers: core.peers.live(&core.fleet.entries()).len(),
        settings: core.settings().revision.0,
        offset: core.tree.next().0,
        age: Duration::from_millis(core.tree.source().age_ms()),
    };
    core.telemetry.set(&gauges);
}

/// `GET /metrics`
#[handler]
fn metrics(Data(core): Data<&Shared>) -> Result<Response, ApiError> {
    gauges(core);
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
fn health(Data(core): Data<&Shared>) -> Response {
    let phase = core.phases.now();
    let serves = phase == Phase::Serving && core.tree.is_known();
    // Locators name only routers that answer with success.
    let status = if serves {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let body = json!({ "phase": phase.to_string(), "settings": core.tree.is_known() });
    Json(body).with_status(status).into_response()
}
