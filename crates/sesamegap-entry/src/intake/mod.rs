//! Accepts callers' connections and reads their requests.
//!
//! poem's server supports neither limits that change while it runs nor closing a connection between
//! requests, so this module uses the connection API of hyper, on which poem is built.

mod connection;
mod reply;
mod request;

pub use reply::{Body, full_body, refusal_response};

use crate::core::Core;
use crate::listening;
use std::sync::Arc;
use tokio::net::TcpListener;
use tracing::warn;

/// Accepts connections until the process no longer takes any.
pub async fn serve(core: Arc<Core>, listener: TcpListener) {
    let serve = |stream| {
        tokio::spawn(connection::serve(Arc::clone(&core), stream));
    };
    let on_error = |error| {
        warn!(event = crate::telemetry::events::CALLER_CONNECTION, %error, "cannot accept a connection");
    };
    listening::accept(&core, listener, serve, on_error).await;
}
