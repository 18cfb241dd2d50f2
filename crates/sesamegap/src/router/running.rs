//! A router that serves, until it stops.

use super::core::Core;
use super::deciding::DeciderThread;
use super::peers::gossip;
use super::phase::Phase;
use crate::events;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Rounds of probes within which every locator has heard that a router is leaving.
const LOCATOR_ROUNDS: u32 = 2;

/// A router that serves.
#[derive(Debug)]
pub struct Running {
    pub(super) core: Arc<Core>,
    pub(super) addr: SocketAddr,
    pub(super) decider: DeciderThread,
    pub(super) followers: CancellationToken,
    pub(super) close: CancellationToken,
    pub(super) server: JoinHandle<()>,
    pub(super) gossip: JoinHandle<()>,
}

impl Running {
    /// Where the router listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The shared parts, for tests and for programs that run routers as threads.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Stops as planned: leaving, refusing, the last request done.
    ///
    /// No request in flight is cut unless it takes longer than the configured stop.
    pub async fn stop(mut self) {
        let timing = self.core.config.timing.clone();
        tracing::info!(event = events::ROUTER_LEAVING.number, "router is leaving");
        self.core.phases.enter(Phase::Leaving);
        gossip::round(&self.core).await;
        // Callers keep this address for its time to live and must be served meanwhile. A locator
        // may name it once more until its next round of probes has ended.
        tokio::time::sleep(timing.address + timing.gossip * LOCATOR_ROUNDS).await;
        tracing::info!(
            event = events::ROUTER_REFUSING.number,
            "router refuses new requests"
        );
        self.core.phases.enter(Phase::Refusing);
        self.core.once.close(timing.log).await;
        self.core.flights.close();
        if timeout(timing.stop, self.core.flights.wait())
            .await
            .is_err()
        {
            tracing::warn!(
                event = events::ROUTER_CUT.number,
                "requests still in flight"
            );
        }
        self.close.cancel();
        drop((&mut self.server).await);
        self.end();
    }

    /// Stops at once, as a crash would.
    pub async fn kill(mut self) {
        self.server.abort();
        drop((&mut self.server).await);
        self.end();
    }

    fn end(self) {
        self.core.cut.cancel();
        self.gossip.abort();
        self.followers.cancel();
        self.core.decider.stop();
        self.decider.join();
        tracing::info!(event = events::ROUTER_STOPPED.number, "router stopped");
    }
}
