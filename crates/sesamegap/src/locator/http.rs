//! Answers callers over HTTP.

use super::choice::choose;
use super::state::Seen;
use poem::http::{StatusCode, header};
use poem::web::{Data, Json, Query};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler};
use serde::{Deserialize, Serialize};
use sesamegap_wire::DomainId;
use std::sync::Arc;
use std::time::Duration;

/// Answer of `GET /v1/address`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Addresses {
    /// Routers to use, in this order, as `http://IP:PORT`.
    pub addresses: Vec<String>,
    /// For how many milliseconds the answer may be kept.
    pub ttl_ms: u64,
}

/// What a caller may say of itself.
#[derive(Debug, Deserialize)]
struct Asked {
    domain: Option<DomainId>,
}

#[derive(Debug, Clone, Copy)]
struct Life(Duration);

/// The locator's routes, with answers that may be kept for `life`.
pub fn routes(seen: Arc<Seen>, life: Duration) -> impl Endpoint {
    Route::new()
        .at("/v1/address", get(address))
        .at("/healthz", get(healthz))
        .at("/dump", get(dump))
        .data(seen)
        .data(Life(life))
}

#[handler]
fn address(
    Query(asked): Query<Asked>,
    Data(seen): Data<&Arc<Seen>>,
    Data(life): Data<&Life>,
) -> Response {
    let home = asked.domain.as_ref().unwrap_or_else(|| seen.home());
    let chosen = choose(&seen.candidates(), home, &mut rand::rng());
    let life = life.0;
    if chosen.is_empty() {
        return nobody(life);
    }
    let body = Addresses {
        addresses: chosen.iter().map(|addr| format!("http://{addr}")).collect(),
        ttl_ms: u64::try_from(life.as_millis()).unwrap_or(u64::MAX),
    };
    Json(body)
        .with_header(header::CACHE_CONTROL, format!("max-age={}", life.as_secs()))
        .into_response()
}

/// No router is known to serve: the caller may ask another locator at once, or this one later.
fn nobody(life: Duration) -> Response {
    let body = serde_json::json!({
        "code": "no_router",
        "message": "no router is known to serve; ask another locator",
        "ran": "no",
    });
    Json(body)
        .with_status(StatusCode::SERVICE_UNAVAILABLE)
        .with_header(header::RETRY_AFTER, life.as_secs().max(1).to_string())
        .into_response()
}

#[handler]
fn healthz() -> &'static str {
    "ok"
}

#[handler]
fn dump(Data(seen): Data<&Arc<Seen>>) -> Json<serde_json::Value> {
    Json(seen.dump())
}
