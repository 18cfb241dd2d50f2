//! Quarantine of requests that crash upstreams, shared by all entry VMs.
//!
//! A VM whose connection to an upstream broke probes whether the upstream's process is gone ([`Probes`]) and reports each
//! request that it had there to the coordinator and its replicas. The coordinator grants trials and judges them. Its
//! verdicts are broadcast to all VMs (`exchange`) and written to the store ([`sync()`]), for VMs that were all restarted
//! at once and for VMs that no peer can reach. Before each attempt of a request, [`admit`] decides whether it runs
//! normally, runs as a trial, is deferred or is refused. The policy is in [`sesamegap_policy::quarantine`].

mod admission;
mod exchange;
mod message;
mod outbox;
mod probe;
mod sync;

pub use admission::{Admission, TrialPermit, admit};
pub use exchange::{receive, tick};
pub use message::{Message, Report, TrialRequest, TrialResponse};
pub use probe::{Probes, ProcessState};
pub use sync::sync;

use crate::clock;
use crate::core::Core;
use crate::peers::{MessageNumbers, PeerSocket};
use crate::telemetry::events;
use outbox::Outbox;
use rustc_hash::FxHashMap;
use sesamegap_policy::quarantine::{
    COORDINATOR_RANKING_KEY, Crash, Grant, Record, Registry, Standing,
};
use sesamegap_wire::{Fingerprint, Moment, UpstreamId};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tracing::warn;

/// Time within which an upstream must leave the list for its loss to count as a crash. If it stays listed for longer,
/// it counts as disconnected.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of unconfirmed losses: enough for all requests at a few upstreams.
const MAX_UNCONFIRMED: usize = 512;

/// Loss of an upstream that is not yet known to have crashed.
#[derive(Debug)]
struct UnconfirmedLoss {
    loss: UpstreamLoss,
    expires_at: Moment,
}

/// Loss of an upstream while it ran a request.
#[derive(Debug, Clone)]
pub struct UpstreamLoss {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's instance, and whether the request ran there as a trial.
    pub crash: Crash,
}

/// The quarantine as known to this VM, and its messages to other VMs.
#[derive(Debug, Default)]
pub struct Quarantine {
    registry: Mutex<Registry>,
    outbox: Mutex<Outbox>,
    unconfirmed: Mutex<Vec<UnconfirmedLoss>>,
    pending_responses: Mutex<PendingResponses>,
    /// Socket over which messages are sent.
    pub(crate) socket: PeerSocket,
    /// Wakes the task that synchronizes with the store.
    changed: Notify,
    /// Probes of upstreams after broken connections.
    pub probes: Probes,
}

/// Trial requests that wait for the coordinator's response.
#[derive(Debug, Default)]
struct PendingResponses {
    numbers: MessageNumbers,
    senders: FxHashMap<u64, oneshot::Sender<Grant>>,
}

/// Whether this VM is the coordinator, which grants and judges trials.
fn is_coordinator(core: &Core) -> bool {
    core.peers.first_ranked(1, COORDINATOR_RANKING_KEY) == [None]
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Quarantine {
    /// Locks the registry of crash records.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// Returns how a request is currently treated.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        self.registry().standing(request, clock::unix_ms())
    }

    /// Records that an upstream crashed while it ran a request of this VM, and reports it.
    pub fn record_crash(&self, loss: &UpstreamLoss) {
        let report = Report::Crashed {
            request: loss.request,
            crash: loss.crash,
        };
        self.submit_report(report);
    }

    /// Records a loss for which no probe showed a crash. It counts as a crash once the upstream leaves the list.
    pub fn record_unconfirmed_loss(&self, loss: UpstreamLoss) {
        let mut unconfirmed = lock(&self.unconfirmed);
        if unconfirmed.len() < MAX_UNCONFIRMED {
            unconfirmed.push(UnconfirmedLoss {
                loss,
                expires_at: clock::now() + CONFIRMATION_TIMEOUT,
            });
        }
    }

    /// Records and reports that a request of this VM completed, if there is a record of it.
    pub fn record_completion(&self, request: Fingerprint) {
        let epoch = self.registry().get(request).map(|record| record.epoch);
        if let Some(epoch) = epoch {
            self.submit_report(Report::Completed { request, epoch });
        }
    }

    /// Applies a report of this VM and queues it for the coordinator and its replicas.
    fn submit_report(&self, report: Report) {
        self.apply_report(&report, "own");
        lock(&self.outbox).queue_report(report);
    }

    /// Applies a report from this VM or another.
    fn apply_report(&self, report: &Report, source: &str) {
        let now = clock::now();
        match report {
            Report::Crashed { request, crash } => self.update(*request, source, |registry| {
                registry.record_crash(*request, *crash, now, clock::unix_ms());
            }),
            Report::Completed { request, epoch } => self.update(*request, source, |registry| {
                registry.record_completion(*request, *epoch, now);
            }),
            Report::Released { request } => self.registry().end_trial(*request),
        }
    }

    /// Merges a record from another VM or the store.
    fn merge(&self, record: &Record, source: &str) {
        self.update(record.fingerprint, source, |registry| {
            registry.merge(record, clock::now(), clock::unix_ms());
        });
    }

    /// Clears a request on behalf of an operator; returns whether it had any crashes.
    pub fn lift(&self, request: Fingerprint) -> bool {
        let mut lifted = false;
        self.update(request, "operator", |registry| {
            lifted = registry.lift(request, clock::now());
        });
        if lifted {
            let record = self.registry().get(request).cloned();
            lock(&self.outbox).queue_broadcast(record);
            self.changed.notify_one();
        }
        lifted
    }

    /// Updates the registry and logs the request's standing if it changed.
    fn update(&self, request: Fingerprint, source: &str, act: impl FnOnce(&mut Registry)) {
        let unix_ms = clock::unix_ms();
        let (was, is, record) = {
            let mut registry = self.registry();
            let was = registry.standing(request, unix_ms);
            act(&mut registry);
            log_cleared(&mut registry);
            let is = registry.standing(request, unix_ms);
            let changed = registry.get(request).filter(|_| was != is);
            (was, is, changed.cloned())
        };
        if was != is {
            log(request, is, record.as_ref(), source);
        }
    }
}

/// Logs suspects that were cleared because condemned requests explain their crashes.
fn log_cleared(registry: &mut Registry) {
    for request in registry.take_cleared() {
        log(request, Standing::Clear, registry.get(request), "explained");
    }
}

/// Logs the new standing of a request.
fn log(request: Fingerprint, standing: Standing, record: Option<&Record>, source: &str) {
    let lives = record.map(|record| record.crashes.iter().map(|crash| crash.life));
    let ended: Vec<u64> = lives.into_iter().flatten().collect();
    let trials = record.map_or(0, Record::failed_trials);
    let epoch = record.map_or(0, |record| record.epoch);
    warn!(event = events::QUARANTINE, fingerprint = %request, standing = ?standing, ended = ?ended, trials, epoch, by = source, "standing of a request changed");
}
