//! HTTP endpoints for peers.

use super::message::{Hello, HelloReply, apply_state, named_weights};
use crate::clock;
use crate::core::Core;
use crate::follow::PullRequest;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, Route, handler, post};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::ToSmolStr;
use std::sync::Arc;

/// Largest accepted message, in bytes; a document with thousands of routes is under a megabyte.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Returns the endpoints for peers.
pub fn endpoints(core: Arc<Core>) -> impl IntoEndpoint {
    Route::new()
        .at("/peers/hello", post(hello))
        .at("/peers/table", post(table))
        .data(core)
}

#[handler]
async fn hello(core: Data<&Arc<Core>>, body: Body) -> poem::Result<Vec<u8>> {
    let hello: Hello = decode(body).await?;
    let now = clock::now();
    core.peers.record_heard();
    core.record_revision(hello.revision);
    let source = hello.me.who.vm.to_smolstr();
    let (me, updates, is_back) = {
        let mut members = core.peers.lock();
        let is_back = members.apply_update(&hello.me, now);
        members.apply_updates(&hello.updates, now);
        let updates = members.select_updates_for(&hello.me.who.vm);
        (members.me().clone(), updates, is_back)
    };
    if is_back {
        core.peers.outbox.put_member(hello.me.clone());
    }
    apply_state(&core, None, &hello.weights, &source);
    let catalogue = core.catalogue();
    let newer = catalogue.filter(|catalogue| catalogue.revision() > hello.revision);
    let reply = HelloReply {
        me,
        updates,
        revision: core.revision(),
        document: newer.map(|catalogue| catalogue.document().as_ref().clone()),
        weights: named_weights(&core),
    };
    let mut body = encode(&reply)?;
    // A VM of an earlier release ignores what follows the reply.
    if let Some(document) = &reply.document {
        body.extend(encode(&document.quotas())?);
    }
    Ok(body)
}

#[handler]
async fn table(core: Data<&Arc<Core>>, body: Body) -> poem::Result<Body> {
    let request: PullRequest = decode(body).await?;
    let reply = core.copies.answer(&core, &request).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })?;
    Ok(Body::from(reply))
}

async fn decode<T: DeserializeOwned>(body: Body) -> poem::Result<T> {
    let bytes = body.into_bytes_limit(MAX_MESSAGE_BYTES).await?;
    rmp_serde::from_slice(&bytes)
        .map_err(|error| poem::Error::from_string(error.to_string(), StatusCode::BAD_REQUEST))
}

fn encode<T: Serialize>(message: &T) -> poem::Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })
}
