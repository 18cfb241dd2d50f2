//! Sends requests on for peers that are partitioned from all upstreams, and tests whether this VM is still partitioned.
//!
//! A gateway only carries one attempt to the upstream that the peer chose. It counts neither the request nor its load:
//! the peer has charged the team and the retry budget, and reports the load as its own. Only if the upstream is brittle
//! does the gateway, then the VM through which all requests for that upstream pass, let a request through or not.

mod relaying;

use crate::clock;
use crate::core::{Client, ConnectionGuard, Core, Phase};
use crate::listening;
use crate::telemetry::events;
use crate::upstream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tracing::{debug, warn};

/// Requests that are sent on at the same time. Each holds the buffers of two connections, about 40 KB.
const MAX_RELAYED: usize = 256;

/// How often a VM whose connections fail looks whether a connection test is due.
const TEST_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Takes requests of peers until the process no longer takes connections.
pub async fn serve(core: Arc<Core>) {
    let addr = core.settings().listen.loads;
    let listener = match TcpListener::bind(addr).await {
        Ok(listener) => listener,
        Err(error) => {
            // Peers use other gateways.
            warn!(event = events::GATEWAY, %addr, %error, "cannot listen for requests of peers");
            return;
        }
    };
    serve_on(core, listener).await;
}

/// Takes requests of peers on a listener.
pub async fn serve_on(core: Arc<Core>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_RELAYED));
    let serve = |stream| {
        tokio::spawn(serve_peer(Arc::clone(&core), stream, Arc::clone(&permits)));
    };
    let on_error = |error| {
        warn!(event = events::GATEWAY, %error, "cannot accept a connection of a peer");
    };
    listening::accept(&core, listener, serve, on_error).await;
}

async fn serve_peer(core: Arc<Core>, stream: TcpStream, permits: Arc<Semaphore>) {
    // Without keepalive probes, a request would go on at its upstream although its VM is gone.
    if let Err(error) = upstream::configure(&stream) {
        debug!(event = events::GATEWAY, %error, "connection of a peer cannot be set up");
        return;
    }
    let from = stream.peer_addr().ok();
    let open = OnceLock::new();
    let service = service_fn(|request| {
        open.get_or_init(|| ConnectionGuard::new(&core, Client::Peer));
        let (core, permits) = (Arc::clone(&core), Arc::clone(&permits));
        async move {
            Ok::<_, std::convert::Infallible>(relaying::relay(core, request, from, permits).await)
        }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!(event = events::GATEWAY, %error, "connection of a peer closed with an error");
    }
}

/// Tests, after a connection failed, whether any upstream accepts one, until one does.
pub async fn test_connections(core: Arc<Core>) {
    while core.phase() < Phase::Exiting {
        core.connection_failed.notified().await;
        while core.fleet.lock().is_reach_in_doubt(clock::now()) && core.phase() < Phase::Exiting {
            sleep(TEST_POLL_INTERVAL).await;
            let claimed = core
                .fleet
                .lock()
                .claim_connection_test(&mut rand::rng(), clock::now());
            if let Some((life, addr)) = claimed {
                tokio::spawn(test_connection(Arc::clone(&core), life, addr));
            }
        }
    }
}

async fn test_connection(core: Arc<Core>, life: u64, addr: std::net::SocketAddr) {
    let began = clock::now();
    let from = core.settings().listen.callers.ip();
    let is_connected = upstream::open(from, addr).await.is_ok();
    core.record_connection(life, began, is_connected);
}
