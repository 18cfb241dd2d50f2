//! Takes callers' connections and requests.
//!
//! poem's server offers neither bounds that change while it runs nor a close between requests, so
//! this is on hyper's connection interface, the library beneath it.

mod connection;
mod reply;
mod request;

pub use reply::{Body, Refusal, full, refuse};

use crate::core::{Core, Phase};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use tracing::warn;

/// Pause after a failed accept, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a process that ends still takes the connections that wait at its port; closing it
/// would reset them, with the requests that their callers have sent. It is the time of all of them:
/// callers that keep coming would hold the port open, and what is taken late is cut by the kill.
const LAST_ACCEPT: Duration = Duration::from_millis(20);

/// Waits until the process has reached a phase.
async fn reached(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    if phases.wait_for(|now| *now >= phase).await.is_err() {
        // The sender lives as long as the process; without it there is nothing to wait for.
        std::future::pending::<()>().await;
    }
}

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
                    warn!(event = crate::telemetry::events::BOUND, %error, "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = reached(&mut phases, Phase::Ended) => break,
        }
    }
    let last = Instant::now() + LAST_ACCEPT;
    while let Ok(Ok((stream, _))) = timeout_at(last, listener.accept()).await {
        tokio::spawn(connection::serve(Arc::clone(&core), stream));
    }
}
