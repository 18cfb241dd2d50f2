//! The address at which operators bring about faults and look at what ran.
//!
//! | request | answer |
//! |---|---|
//! | `POST /fault/{name}?target=NAME&seconds=N&at=SEQ` | 204 once the fault is on |
//! | `GET /executions` | how often each idempotency key and each attempt ran |
//! | `GET /engines` | each engine's incarnation, weights, role and orders, and the loads |
//! | `GET /addresses` | where each stand-in listens |
//!
//! Each of these carries the operators' key as bearer token. Beside them the same address serves
//! the platform's log, VM list and weight store, without a key, so that the settings of a small
//! demonstration need one address only.
//!
//! Without `seconds` a fault hits the next occasion only; without `target` it hits every stand-in
//! that it can hit.

use crate::deployment::Controls;
use crate::engine::EngineState;
use crate::faults::{Fault, FaultError, Hit, Span};
use crate::host::Host;
use poem::http::StatusCode;
use poem::http::header::AUTHORIZATION;
use poem::web::{Data, Json, Path, Query};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, handler};
use serde::{Deserialize, Serialize};
use sesamegap_wire::Seq;
use std::sync::Arc;
use std::time::Duration;

/// Longest fault; a longer one is a mistyped number.
const MAX_SECONDS: f64 = 86_400.0;

/// The engines and what they load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Engines {
    /// Each engine.
    pub engines: Vec<EngineState>,
    /// Loads of weights under way.
    pub loads: u32,
    /// The most loads there ever were at once.
    pub peak: u32,
}

#[derive(Debug, Deserialize)]
struct Ask {
    target: Option<String>,
    seconds: Option<f64>,
    at: Option<u64>,
}

impl Ask {
    fn hit(&self, fault: Fault) -> Result<Hit, FaultError> {
        let span = match self.seconds {
            None => Span::Once,
            Some(seconds) if (0.0..=MAX_SECONDS).contains(&seconds) => {
                Span::For(Duration::from_secs_f64(seconds))
            }
            Some(_) => {
                let why = format!("`seconds` must be from 0 to {MAX_SECONDS}");
                return Err(FaultError::new(why));
            }
        };
        let at = self.at.map(Seq);
        Ok(Hit { fault, span, at })
    }
}

/// What the control address serves on a machine.
pub(crate) fn endpoint(controls: &Arc<Controls>, door: &Arc<Host>) -> Route {
    let key = controls.operator;
    let own = Route::new()
        .at("/fault/:name", poem::post(bring_about))
        .at("/executions", poem::get(executions))
        .at("/engines", poem::get(engines))
        .at("/addresses", poem::get(addresses))
        .data(Arc::clone(controls))
        .around(move |inner, request| guard(inner, request, key));
    let route = Route::new().nest_no_strip("/", own);
    let route = controls.log.mount(route, door);
    controls.weights.mount(controls.vms.mount(route))
}

/// Lets only the operators in; comparing hashes takes the same time for any wrong key.
async fn guard<E: Endpoint>(
    inner: Arc<E>,
    request: Request,
    key: blake3::Hash,
) -> poem::Result<Response> {
    let given = request.header(AUTHORIZATION);
    let bearer = given.and_then(|value| value.strip_prefix("Bearer "));
    let known = bearer.is_some_and(|bearer| blake3::hash(bearer.as_bytes()) == key);
    if !known {
        return Ok(StatusCode::UNAUTHORIZED.into());
    }
    Ok(inner.get_response(request).await)
}

#[handler]
fn bring_about(
    Data(controls): Data<&Arc<Controls>>,
    Path(name): Path<String>,
    Query(ask): Query<Ask>,
) -> Response {
    let done = name
        .parse::<Fault>()
        .and_then(|fault| ask.hit(fault))
        .and_then(|hit| controls.fault(hit, ask.target.as_deref()));
    match done {
        Ok(()) => StatusCode::NO_CONTENT.into(),
        Err(error) => refused(&error),
    }
}

fn refused(error: &FaultError) -> Response {
    error
        .to_string()
        .with_status(StatusCode::BAD_REQUEST)
        .into_response()
}

#[handler]
fn executions(Data(controls): Data<&Arc<Controls>>) -> Response {
    Json(controls.executions()).into_response()
}

#[handler]
fn engines(Data(controls): Data<&Arc<Controls>>) -> Json<Engines> {
    Json(controls.engines())
}

#[handler]
fn addresses(Data(controls): Data<&Arc<Controls>>) -> Response {
    Json(controls.addresses().clone()).into_response()
}
