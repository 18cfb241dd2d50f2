//! Connections that break under a request.

use super::Job;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::telemetry::events;
use sesamegap_wire::{Fingerprint, UpstreamId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// A connection that broke after a request was sent over it.
#[derive(Debug)]
struct Loss {
    request: SmolStr,
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    addr: SocketAddr,
    life: u64,
    /// Requests that this VM and its peers had there.
    beside: u32,
    /// Time since the request was sent.
    ran: Duration,
    /// Whether any of its answer had come.
    begun: bool,
}

/// Notes that the connection of a request broke.
///
/// A request that may be sent again waits for what the upstream's probe finds, any other is answered at once.
pub async fn broke(core: &Arc<Core>, job: &Job, flight: &Flight, sent: Instant, begun: bool) {
    let loss = Loss {
        request: job.head.id.clone(),
        fingerprint: job.fingerprint(),
        upstream: flight.id.clone(),
        addr: flight.addr,
        life: flight.life(),
        beside: flight.running,
        ran: sent.elapsed(),
        begun,
    };
    let core = Arc::clone(core);
    let found = tokio::spawn(async move { loss.probe(&core).await });
    if job.route.kind.repeats() {
        // The task ends by itself; one that panicked has nothing to tell.
        drop(found.await);
    }
}

impl Loss {
    async fn probe(&self, core: &Core) {
        let process = core.probes.probe(self.life, self.addr).await;
        info!(
            event = events::BROKEN,
            request = %self.request,
            fingerprint = %self.fingerprint,
            upstream = %self.upstream,
            life = self.life,
            beside = self.beside,
            ran_ms = clock::ms(self.ran),
            begun = self.begun,
            process = ?process,
            "connection broke"
        );
    }
}
