//! Passes a caller's request to the router that ran it, and answers such requests.
//!
//! The holder's response goes through as it comes. A relayed request is never relayed again.

use super::chat;
use super::intake::{Asked, REQUEST_ID};
use super::reply::Form;
use super::services::{self, Outline};
use super::{ApiError, Shared, admit};
use crate::router::once::Place;
use crate::router::peers::message::{Relay, Resume};
use crate::router::streams::Shape;
use async_stream::stream;
use bytes::Bytes;
use futures_util::StreamExt;
use poem::http::{StatusCode, header};
use poem::{Body, Response};
use sesamegap_policy::agreement::ProcessId;
use sesamegap_wire::{RequestId, TeamId};
use std::io;
use std::time::Duration;
use tokio::time::timeout;

/// Silence on a relayed stream after which its holder is taken as lost; it beats every 5 s.
const SILENCE: Duration = Duration::from_secs(15);

/// A request on its way to the router that holds its key.
#[derive(Debug)]
pub struct Relayed {
    holder: ProcessId,
    message: Relay,
}

impl Relayed {
    /// Wraps a request for its holder.
    pub fn new(asked: &Asked, holder: ProcessId, path: &str, body: &Bytes) -> Self {
        let message = Relay {
            incarnation: holder.incarnation,
            team: asked.team.clone(),
            class: asked.class.clone(),
            repeatable: asked.repeatable,
            key: asked.key.clone().unwrap_or_default(),
            target: path.to_owned(),
            body: body.to_vec(),
        };
        Self { holder, message }
    }
}

/// Passes a request on to its holder.
pub async fn forward(core: &Shared, relayed: &Relayed) -> Result<Response, ApiError> {
    let sent = core
        .peer_client
        .relay(core, &relayed.holder.vm, &relayed.message);
    sent.await.map(through).map_err(|_| gone())
}

/// Runs a request that another router passed on, or finds its answer.
pub async fn run_relayed(core: &Shared, relay: Relay) -> Result<Response, ApiError> {
    if relay.incarnation != core.incarnation {
        return Err(gone());
    }
    let asked = Asked {
        team: relay.team,
        class: relay.class,
        repeatable: relay.repeatable,
        key: Some(relay.key.clone()),
    };
    let body = Bytes::from(relay.body);
    let digest = blake3::hash(&body);
    let admit = match relay.target.as_str() {
        "/v1/chat/completions" => chat::prepare(core, asked, &body, Shape::Chat)?,
        "/v1/completions" => chat::prepare(core, asked, &body, Shape::Text)?,
        line => {
            let outline = Outline::parse(line)
                .ok_or_else(|| ApiError::bad("bad_relay", "the relayed call is garbled"))?;
            services::prepare(core, asked, &outline, body)?
        }
    };
    let Some(team) = admit.keyed_team() else {
        return Err(ApiError::bad(
            "bad_relay",
            "the relayed request may run twice",
        ));
    };
    match core.once.place(core, &team, &relay.key).await? {
        Place::Here => admit::here(core, admit, &relay.key, digest).await,
        Place::There(_) => Err(gone()),
    }
}

/// Resumes a request at the router that ran it.
pub async fn resume(
    core: &Shared,
    id: &RequestId,
    team: &TeamId,
    from: u64,
    form: Form,
) -> Result<Response, ApiError> {
    let message = Resume {
        request: id.clone(),
        team: team.clone(),
        from,
        events: form == Form::Events,
    };
    let sent = core.peer_client.resume(core, &message).await;
    sent.map(through).map_err(|_| gone())
}

/// Cancels a request at the router that ran it.
pub async fn cancel(core: &Shared, id: &RequestId, team: &TeamId) -> Result<Response, ApiError> {
    let message = Resume {
        request: id.clone(),
        team: team.clone(),
        from: 0,
        events: false,
    };
    let sent = core.peer_client.cancel(core, &message).await;
    sent.map(through).map_err(|_| gone())
}

/// The router that took the request cannot be asked: nobody can tell what became of it.
fn gone() -> ApiError {
    ApiError::unknown(
        StatusCode::GONE,
        "holder_gone",
        "the router that took this request is gone; whether it ran cannot be known",
    )
}

/// Hands a peer's response on; one that breaks off ends with an explicit error.
fn through(response: reqwest::Response) -> Response {
    let mut head = Response::builder().status(response.status());
    for name in [
        header::CONTENT_TYPE.as_str(),
        REQUEST_ID,
        header::RETRY_AFTER.as_str(),
    ] {
        if let Some(value) = response.headers().get(name) {
            head = head.header(name, value);
        }
    }
    let content = response.headers().get(header::CONTENT_TYPE);
    let events = content.is_some_and(|content| content == "text/event-stream");
    let mut bytes = response.bytes_stream();
    let body = stream! {
        loop {
            let part = match timeout(SILENCE, bytes.next()).await {
                Ok(Some(part)) => part.map_err(io::Error::other),
                Ok(None) => return,
                Err(_) if !events => continue,
                Err(_) => Err(io::ErrorKind::TimedOut.into()),
            };
            match part {
                Ok(part) => yield Ok(part),
                Err(_) if events => {
                    yield Ok(Bytes::from(format!("\n\ndata: {}\n\n", gone().body())));
                    return;
                }
                Err(error) => {
                    yield Err(error);
                    return;
                }
            }
        }
    };
    head.body(Body::from_bytes_stream(body))
}
