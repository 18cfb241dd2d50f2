//! Answers other routers.

use super::client::SECRET;
use super::gossip;
use super::message::{Hello, ProbeFor, Probed, Relay, Resume, WantSettings};
use crate::events;
use crate::router::callers::{ApiError, Form, Shared, find_answer, resume_response, run_relayed};
use crate::router::core::Core;
use poem::http::{HeaderValue, StatusCode};
use poem::web::Data;
use poem::{Body, Request, Response, Route, handler, post};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamegap_policy::Observation;
use sesamegap_wire::codec;
use std::sync::Arc;

/// The routes that peers use.
pub fn routes(route: Route) -> Route {
    route
        .at("/peer/hello", post(on_hello))
        .at("/peer/probe", post(on_probe))
        .at("/peer/probe-for", post(on_probe_for))
        .at("/peer/warmth", post(on_warmth))
        .at("/peer/demand", post(on_demand))
        .at("/peer/settings", post(on_settings))
        .at("/peer/relay", post(on_relay))
        .at("/peer/resume", post(on_resume))
        .at("/peer/cancel", post(on_cancel))
}

#[handler]
async fn on_hello(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let hello: Hello = read(core, request, body).await?;
    core.peers.heard(&hello);
    let own = gossip::own(core).await;
    core.decider
        .observe(Observation::Peer(hello.vm, hello.digest));
    answer(&own)
}

#[handler]
async fn on_probe(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let probe: Probed = read(core, request, body).await?;
    answer(&core.members.answer(&probe))
}

#[handler]
async fn on_probe_for(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let ask: ProbeFor = read(core, request, body).await?;
    match core.peer_client.probe(ask.target, &ask.probe).await {
        Ok(probed) => answer(&probed),
        Err(error) => {
            let status = StatusCode::GATEWAY_TIMEOUT;
            Err(ApiError::not_run(status, "no_answer", error.to_string()))
        }
    }
}

#[handler]
async fn on_warmth(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let (): () = read(core, request, body).await?;
    let warmth = core.decider.warmth().await;
    answer(&warmth.unwrap_or_default())
}

#[handler]
async fn on_demand(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let (): () = read(core, request, body).await?;
    answer(&core.demand.now())
}

#[handler]
async fn on_settings(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let want: WantSettings = read(core, request, body).await?;
    answer(&core.tree.share(want))
}

#[handler]
async fn on_relay(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let relay: Relay = read(core, request, body).await?;
    run_relayed(core, relay).await
}

#[handler]
async fn on_resume(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let resume: Resume = read(core, request, body).await?;
    let found = owned(core, &resume)?;
    let form = if resume.events {
        Form::Events
    } else {
        Form::Whole
    };
    Ok(resume_response(&found, resume.from, form).await)
}

#[handler]
async fn on_cancel(
    request: &Request,
    body: Body,
    Data(core): Data<&Shared>,
) -> Result<Response, ApiError> {
    let resume: Resume = read(core, request, body).await?;
    owned(core, &resume)?.cancel();
    Ok(StatusCode::NO_CONTENT.into())
}

fn owned(core: &Core, resume: &Resume) -> Result<Arc<crate::router::streams::Answer>, ApiError> {
    if !core.owns(&resume.request) {
        let message = "the life of the router that took this request is over";
        return Err(ApiError::unknown(StatusCode::GONE, "holder_gone", message));
    }
    find_answer(core, &resume.request, &resume.team)
}

/// Checks the secret, by hashes that compare in constant time, before anything of the body is read.
async fn read<T: DeserializeOwned>(
    core: &Core,
    request: &Request,
    body: Body,
) -> Result<T, ApiError> {
    let secret = request.headers().get(SECRET);
    let secret = secret.map(HeaderValue::as_bytes).unwrap_or_default();
    if blake3::hash(secret) != blake3::hash(core.config.secret.as_bytes()) {
        tracing::warn!(event = events::PEER_REFUSED.number, "wrong secret");
        let message = "the message carries no valid secret";
        return Err(ApiError::not_run(
            StatusCode::UNAUTHORIZED,
            "wrong_secret",
            message,
        ));
    }
    let read = body.into_bytes_limit(codec::MAX_MESSAGE_BYTES);
    let bytes = tokio::time::timeout(core.config.bounds.receive, read).await;
    let bytes = bytes.ok().and_then(Result::ok);
    let message = bytes.and_then(|bytes| codec::decode(&bytes).ok());
    message.ok_or_else(|| ApiError::bad("bad_message", "the body is no such message"))
}

fn answer(message: &impl Serialize) -> Result<Response, ApiError> {
    let bytes = codec::encode(message).map_err(|error| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        ApiError::not_run(status, "internal", error.to_string())
    })?;
    Ok(Response::builder()
        .content_type("application/msgpack")
        .body(bytes))
}
