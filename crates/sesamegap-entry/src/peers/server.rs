//! What peers may ask of this process.

use super::message::{Hello, Welcome, learn, named};
use crate::clock;
use crate::core::Core;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, Route, handler, post};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::ToSmolStr;
use std::sync::Arc;

/// Bytes of a message taken; a document with thousands of routes is under a megabyte.
const LONGEST: usize = 4 << 20;

/// The endpoints for peers.
pub fn endpoints(core: Arc<Core>) -> impl IntoEndpoint {
    Route::new().at("/peers/hello", post(hello)).data(core)
}

#[handler]
async fn hello(core: Data<&Arc<Core>>, body: Body) -> poem::Result<Vec<u8>> {
    let hello: Hello = read(body).await?;
    let now = clock::now();
    let source = hello.me.who.vm.to_smolstr();
    let (me, news) = {
        let mut members = core.peers.lock();
        members.apply_update(&hello.me, now);
        members.apply_updates(&hello.news, now);
        (members.me().clone(), members.select_updates())
    };
    learn(&core, None, &hello.weights, &source);
    let catalogue = core.catalogue();
    let newer = catalogue.filter(|catalogue| catalogue.revision() > hello.revision);
    let welcome = Welcome {
        me,
        news,
        revision: core.revision(),
        document: newer.map(|catalogue| catalogue.document().as_ref().clone()),
        weights: named(&core),
    };
    write(&welcome)
}

async fn read<T: DeserializeOwned>(body: Body) -> poem::Result<T> {
    let bytes = body.into_bytes_limit(LONGEST).await?;
    rmp_serde::from_slice(&bytes)
        .map_err(|error| poem::Error::from_string(error.to_string(), StatusCode::BAD_REQUEST))
}

fn write<T: Serialize>(message: &T) -> poem::Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| {
        poem::Error::from_string(error.to_string(), StatusCode::INTERNAL_SERVER_ERROR)
    })
}
