//! Reports connections that break or go silent while a request is in flight.

use crate::clock;
use crate::core::Core;
use crate::fleet::Flight;
use crate::job::Job;
use crate::quarantine::{ProcessState, TrialPermit, UpstreamLoss};
use crate::telemetry::events;
use sesamegap_policy::quarantine::Crash;
use sesamegap_wire::UpstreamId;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use tracing::info;

/// Time for which an upstream must have answered a request for its crash to be less likely due to this one. Upstreams
/// mostly crash when they begin an answer.
pub const ANSWERED_FOR: Duration = Duration::from_millis(250);

/// A request whose response stopped before its end.
#[derive(Debug)]
pub struct BrokenAnswer {
    request: SmolStr,
    /// Names of the shared parts of its prompt.
    parts: Option<String>,
    loss: UpstreamLoss,
    addr: SocketAddr,
    sent: Instant,
    /// Held until the loss is reported, so that no other trial begins before.
    permit: Option<TrialPermit>,
    /// Requests running at the upstream when this one was sent.
    concurrent: u32,
    /// Time from sending the request to the failure.
    elapsed: Duration,
    /// When the first part of the response arrived.
    begun: Option<Instant>,
}

/// Reports that a request's connection broke.
///
/// A retryable request waits for the result of the probe; any other fails at once.
pub async fn report_broken_connection(
    core: &Arc<Core>,
    job: &Job,
    flight: &mut Flight,
    sent: Instant,
    begun: Option<Instant>,
) {
    let mut report = BrokenReport::default();
    report.run(core, job, flight, sent, begun).await;
}

/// The report that a request's connection broke, which is made once.
#[derive(Debug, Default)]
pub struct BrokenReport(Option<JoinHandle<()>>);

impl BrokenReport {
    /// As [`report_broken_connection`]. A further call after one that was dropped waits for the same probe.
    pub async fn run(
        &mut self,
        core: &Arc<Core>,
        job: &Job,
        flight: &mut Flight,
        sent: Instant,
        begun: Option<Instant>,
    ) {
        let probe = self.0.get_or_insert_with(|| {
            flight.record_broken(clock::now());
            BrokenAnswer::new(job, flight, sent, begun).probe_and_report(core)
        });
        // A finished task must not be polled again.
        if job.route.kind.is_repeatable() && !probe.is_finished() {
            // A panic of the probe task has nothing to report, and a request that is over needs no result.
            _ = timeout_at(job.deadline, probe).await;
        }
    }
}

/// Reports that a request is no longer waited for at a silent upstream, since another one goes on with it. Whether the
/// silent one ended follows from the fleet list.
pub fn report_given_up(core: &Core, job: &Job, upstream: UpstreamId, life: u64) {
    core.quarantine.record_unconfirmed_loss(UpstreamLoss {
        subjects: Arc::clone(job.subjects()),
        upstream,
        crash: Crash {
            life,
            trial: false,
            begun: false,
        },
        at: None,
    });
}

impl BrokenAnswer {
    /// Captures the request's current state; takes its trial permit.
    pub fn new(job: &Job, flight: &mut Flight, sent: Instant, begun: Option<Instant>) -> Self {
        let permit = flight.permit.take();
        Self {
            request: job.head.id.clone(),
            parts: job.part_names(),
            loss: UpstreamLoss {
                subjects: Arc::clone(job.subjects()),
                upstream: flight.id.clone(),
                crash: Crash {
                    life: flight.life(),
                    trial: permit.is_some(),
                    begun: begun.is_some_and(|at| at.elapsed() >= ANSWERED_FOR),
                },
                at: None,
            },
            sent,
            addr: flight.addr,
            permit,
            concurrent: flight.running,
            elapsed: sent.elapsed(),
            begun,
        }
    }

    /// Records that the response was complete after all.
    pub fn record_completion(&self, core: &Core) {
        let quarantine = &core.quarantine;
        quarantine.record_completion(&self.loss.subjects, self.sent);
    }

    /// Reports that the upstream went silent. Whether its process ended follows from the fleet list, so that an
    /// upstream which is only slow is not blamed for a crash.
    pub fn report_silence(self, core: &Core) {
        core.quarantine.record_unconfirmed_loss(self.loss);
    }

    /// Spawns a task that probes whether the upstream's process is gone, and reports the result.
    pub fn probe_and_report(self, core: &Arc<Core>) -> JoinHandle<()> {
        let core = Arc::clone(core);
        tokio::spawn(async move { self.run_probe(&core).await })
    }

    async fn run_probe(mut self, core: &Core) {
        self.loss.at = Some(clock::now());
        let loss = &self.loss;
        let life = loss.crash.life;
        let from = core.settings().listen.callers.ip();
        let reaches_others = core.reaches_others(self.addr);
        let probes = &core.quarantine.probes;
        let process = probes.probe(life, from, self.addr, reaches_others).await;
        info!(
            event = events::UPSTREAM_CONNECTION,
            request = %self.request,
            fingerprint = %loss.subjects.request(),
            parts = self.parts,
            upstream = %loss.upstream,
            life,
            trial = loss.crash.trial,
            beside = self.concurrent,
            ran_ms = clock::millis(self.elapsed),
            begun = self.begun.is_some(),
            process = ?process,
            "connection broke"
        );
        match process {
            ProcessState::Gone => core.quarantine.record_crash(loss),
            // It may have restarted at once or be partitioned; the fleet list decides.
            ProcessState::Running | ProcessState::Unreachable => {
                core.quarantine.record_unconfirmed_loss(loss.clone());
            }
        }
        drop(self.permit);
    }
}
