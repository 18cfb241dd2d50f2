//! Accepts callers' connections and reads their requests.
//!
//! poem's server supports neither limits that change while it runs nor closing a connection between
//! requests, so this module uses the connection API of hyper, on which poem is built.

mod connection;
mod reply;
mod request;

pub use reply::{Body, full_body, refusal_response};

use crate::core::{Core, Phase, wait_for_phase};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};
use tracing::warn;

/// Delay after a failed accept, which mostly means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a stopping process still accepts connections from the listen queue.
///
/// Closing the listener would reset these connections and the requests already sent on them. The
/// limit is for all of them together: otherwise new callers would keep the port open, and requests
/// accepted late would be cut when the process is killed.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends.
pub async fn serve(core: Arc<Core>, listener: TcpListener) {
    let mut phases = core.subscribe_phase();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(connection::serve(Arc::clone(&core), stream));
                }
                Err(error) => {
                    warn!(event = crate::telemetry::events::CALLER_CONNECTION, %error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = wait_for_phase(&mut phases, Phase::Ended) => break,
        }
    }
    let deadline = Instant::now() + FINAL_ACCEPT_TIME;
    while let Ok(Ok((stream, _))) = timeout_at(deadline, listener.accept()).await {
        tokio::spawn(connection::serve(Arc::clone(&core), stream));
    }
}
