//! Shows a controller's state to operators.

use super::Shown;
use poem::http::StatusCode;
use poem::http::header::AUTHORIZATION;
use poem::web::{Data, Json};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler};
use sesamegap_settings::matches;
use smol_str::SmolStr;
use std::sync::Arc;

#[derive(Debug, Clone)]
struct Operator(SmolStr);

/// The controller's routes; the dump takes the operators' key.
pub fn routes(shown: Arc<Shown>, operator: SmolStr) -> impl Endpoint {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/dump", get(dump))
        .data(shown)
        .data(Operator(operator))
}

#[handler]
fn healthz() -> &'static str {
    "ok"
}

#[handler]
fn dump(
    request: &Request,
    Data(shown): Data<&Arc<Shown>>,
    Data(operator): Data<&Operator>,
) -> Response {
    let given = request.header(AUTHORIZATION);
    let key = given.and_then(|value| value.strip_prefix("Bearer "));
    if key.is_some_and(|key| matches(key, &operator.0)) {
        return Json(shown.get()).into_response();
    }
    StatusCode::UNAUTHORIZED.into()
}
