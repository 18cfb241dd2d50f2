//! Shows a controller's state to operators.

use super::Shown;
use crate::router::callers::is_operator;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler};
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
    if is_operator(request.headers(), &operator.0) {
        return Json(shown.get()).into_response();
    }
    StatusCode::UNAUTHORIZED.into()
}
