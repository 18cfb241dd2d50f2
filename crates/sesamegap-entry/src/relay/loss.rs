//! Connections that break, or fall silent, under a request.

use super::Job;
use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::quarantine::{Process, TrialPermit, UpstreamLoss};
use crate::telemetry::events;
use sesamegap_policy::quarantine::Crash;
use sesamegap_wire::Fingerprint;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::info;

/// A request whose answer stopped before its end.
#[derive(Debug)]
pub struct BrokenAnswer {
    request: SmolStr,
    loss: UpstreamLoss,
    addr: SocketAddr,
    /// Held until the loss is reported, so that no other trial begins in between.
    permit: Option<TrialPermit>,
    /// Requests running there when it was sent.
    beside: u32,
    /// Time since the request was sent.
    ran: Duration,
    /// Whether any of its answer had come.
    begun: bool,
}

/// Notes that the connection of a request broke.
///
/// A request that may be sent again waits for what the upstream's probe finds, any other is answered at once.
pub async fn broke(core: &Arc<Core>, job: &Job, flight: &mut Flight, sent: Instant, begun: bool) {
    let reported = BrokenAnswer::new(job, flight, sent, begun).report(core);
    if job.route.kind.repeats() {
        // The task ends by itself; one that panicked has nothing to tell.
        drop(reported.await);
    }
}

impl BrokenAnswer {
    /// A request at an upstream, as it is now.
    pub fn new(job: &Job, flight: &mut Flight, sent: Instant, begun: bool) -> Self {
        let permit = flight.permit.take();
        Self {
            request: job.head.id.clone(),
            loss: UpstreamLoss {
                request: job.fingerprint(),
                upstream: flight.id.clone(),
                crash: Crash {
                    life: flight.life(),
                    trial: permit.is_some(),
                },
            },
            addr: flight.addr,
            permit,
            beside: flight.running,
            ran: sent.elapsed(),
            begun,
        }
    }

    /// The fingerprint of the request.
    pub fn request(&self) -> Fingerprint {
        self.loss.request
    }

    /// Notes that the upstream fell silent: whether it ended the list will tell, at no cost to one that is slow.
    pub fn silent(self, core: &Core) {
        core.quarantine.unconfirmed(self.loss);
    }

    /// Finds out in a task of its own whether the upstream's process ended, and reports it.
    pub fn report(self, core: &Arc<Core>) -> JoinHandle<()> {
        let core = Arc::clone(core);
        tokio::spawn(async move { self.probe(&core).await })
    }

    async fn probe(self, core: &Core) {
        let loss = &self.loss;
        let life = loss.crash.life;
        let process = core.quarantine.probes.probe(life, self.addr).await;
        info!(
            event = events::BROKEN,
            request = %self.request,
            fingerprint = %loss.request,
            upstream = %loss.upstream,
            life,
            trial = loss.crash.trial,
            beside = self.beside,
            ran_ms = clock::millis(self.ran),
            begun = self.begun,
            process = ?process,
            "connection broke"
        );
        match process {
            Process::Gone => core.quarantine.crashed(loss),
            // It may have started again at once, or be cut off: the list tells.
            Process::Running | Process::Unreachable => core.quarantine.unconfirmed(loss.clone()),
        }
        drop(self.permit);
    }
}
