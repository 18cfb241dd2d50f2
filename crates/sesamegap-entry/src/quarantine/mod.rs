//! Quarantine of requests and prompt parts that crash upstreams, shared by all entry VMs.
//!
//! A VM whose connection to an upstream broke probes whether the upstream's process is gone ([`Probes`]) and reports each
//! request that it had there, with the shared parts of its prompt, to the coordinator and its replicas. The coordinator
//! grants trials and judges them. Its verdicts are broadcast to all VMs (`exchange`) and written to the store
//! ([`sync()`]), for VMs that were all restarted at once and for VMs that no peer can reach. Before each attempt of a
//! request, [`admit`] decides whether it runs normally, runs as a trial, is deferred or is refused. Streams that wait at an
//! upstream and have not begun are withdrawn when a verdict comes. The policy is in [`sesamegap_policy::quarantine`].

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
    COORDINATOR_RANKING_KEY, Crash, Grant, Record, Registry, Role, Standing, Subjects,
};
use sesamegap_wire::{Fingerprint, Moment, UpstreamId};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;
use tracing::warn;

/// Time within which an upstream must leave the list for its loss to count as a crash. If it stays listed for longer,
/// it counts as disconnected.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of unconfirmed losses: enough for all requests at a few upstreams.
const MAX_UNCONFIRMED: usize = 512;

/// Maximum number of records in a request for a trial and its response; a prompt has few suspect parts.
const MAX_ASKED_RECORDS: usize = 4;

/// Loss of an upstream that is not yet known to have crashed.
#[derive(Debug)]
struct UnconfirmedLoss {
    loss: UpstreamLoss,
    expires_at: Moment,
}

/// Loss of an upstream while it ran a request.
#[derive(Debug, Clone)]
pub struct UpstreamLoss {
    /// The request and the shared parts of its prompt.
    pub subjects: Arc<Subjects>,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's instance, and how the request ran there.
    pub crash: Crash,
    /// When the upstream was lost, unless it only fell silent.
    pub at: Option<Moment>,
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
    /// Number of verdicts that this VM has learned of.
    verdicts: watch::Sender<u64>,
    /// Whether this VM was the coordinator at the last tick.
    is_coordinator: AtomicBool,
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
    pub fn standing(&self, subjects: &Subjects) -> Standing {
        self.registry().request_standing(subjects, clock::unix_ms())
    }

    /// Returns the subjects because of which a request is restricted.
    pub fn restricted(&self, subjects: &Subjects) -> Vec<Fingerprint> {
        let registry = self.registry();
        let unix_ms = clock::unix_ms();
        let all = subjects.iter().map(|subject| subject.fingerprint);
        all.filter(|subject| registry.standing(*subject, unix_ms) != Standing::Clear)
            .collect()
    }

    /// Returns the records of some subjects.
    fn records(&self, subjects: &[Fingerprint]) -> Vec<Record> {
        let registry = self.registry();
        let known = subjects.iter().filter_map(|subject| registry.get(*subject));
        known.take(MAX_ASKED_RECORDS).cloned().collect()
    }

    /// Waits until a request is quarantined.
    pub async fn wait_until_refused(&self, subjects: &Subjects) {
        let mut verdicts = self.verdicts.subscribe();
        while self.standing(subjects) != Standing::Quarantined {
            // The sender lives as long as this.
            if verdicts.changed().await.is_err() {
                return;
            }
        }
    }

    /// Wakes the requests that wait for a verdict.
    fn announce_verdict(&self) {
        self.verdicts.send_modify(|count| *count += 1);
    }

    /// Sets whether this VM is the coordinator.
    fn set_coordinator(&self, is_coordinator: bool) {
        self.is_coordinator.store(is_coordinator, Ordering::Relaxed);
    }

    fn role(&self) -> Role {
        if self.is_coordinator.load(Ordering::Relaxed) {
            Role::Coordinator
        } else {
            Role::Follower
        }
    }

    /// Records that an upstream crashed while it ran a request of this VM, and reports it.
    pub fn record_crash(&self, loss: &UpstreamLoss) {
        let age = loss.at.map(|at| clock::now().since(at));
        let report = Report::Crashed {
            subjects: Subjects::clone(&loss.subjects),
            crash: loss.crash,
            age_ms: age.map(clock::wire_millis),
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

    /// Records and reports that a request of this VM completed, given when it was sent, for all its subjects that
    /// crashes count against.
    pub fn record_completion(&self, subjects: &Subjects, sent: Instant) {
        let sent = clock::ago(sent.elapsed());
        let blamed: Vec<(Fingerprint, u32)> = {
            let registry = self.registry();
            let all = subjects.iter().map(|subject| subject.fingerprint);
            all.filter_map(|subject| Some((subject, registry.completion_epoch(subject, sent)?)))
                .collect()
        };
        for (subject, epoch) in blamed {
            self.submit_report(Report::Completed { subject, epoch });
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
            Report::Crashed {
                subjects,
                crash,
                age_ms,
            } => {
                let age = age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                let at = age.map(|age| now.saturating_sub(age));
                let all: Vec<Fingerprint> =
                    subjects.iter().map(|subject| subject.fingerprint).collect();
                self.update(&all, source, |registry| {
                    registry.record_crash(subjects, *crash, at, now, clock::unix_ms());
                });
            }
            Report::Completed { subject, epoch } => self.update(&[*subject], source, |registry| {
                registry.record_completion(*subject, *epoch, self.role(), now);
            }),
            Report::Released { request } => self.registry().end_trial(*request),
        }
    }

    /// Merges a record from another VM or the store.
    fn merge(&self, record: &Record, source: &str) {
        self.update(&[record.fingerprint], source, |registry| {
            registry.merge(record, clock::now(), clock::unix_ms());
        });
    }

    /// Clears a request on behalf of an operator; returns whether it had any crashes.
    pub fn lift(&self, request: Fingerprint) -> bool {
        let mut lifted = false;
        self.update(&[request], "operator", |registry| {
            lifted = registry.lift(request, clock::now());
        });
        if lifted {
            let record = self.registry().get(request).cloned();
            lock(&self.outbox).queue_broadcast(record);
            self.changed.notify_one();
        }
        lifted
    }

    /// Updates the registry, and logs the standings of these subjects that changed.
    fn update(&self, subjects: &[Fingerprint], source: &str, act: impl FnOnce(&mut Registry)) {
        let unix_ms = clock::unix_ms();
        let mut is_any_condemned = false;
        {
            let mut registry = self.registry();
            let standings = |registry: &Registry| -> Vec<Standing> {
                let each = subjects.iter();
                each.map(|subject| registry.standing(*subject, unix_ms))
                    .collect()
            };
            let before = standings(&registry);
            act(&mut registry);
            log_cleared(&mut registry);
            let after = standings(&registry);
            for ((subject, was), is) in subjects.iter().zip(before).zip(after) {
                if was != is {
                    log(*subject, is, registry.get(*subject), source);
                    is_any_condemned |= is == Standing::Quarantined;
                }
            }
        }
        if is_any_condemned {
            self.announce_verdict();
        }
    }
}

/// Logs suspects that were cleared because condemned requests explain their crashes.
fn log_cleared(registry: &mut Registry) {
    for request in registry.take_cleared() {
        log(request, Standing::Clear, registry.get(request), "explained");
    }
}

/// Logs the new standing of a subject.
fn log(subject: Fingerprint, standing: Standing, record: Option<&Record>, source: &str) {
    let lives = record.map(|record| record.crashes.iter().map(|crash| crash.life));
    let ended: Vec<u64> = lives.into_iter().flatten().collect();
    let trials = record.map_or(0, Record::failed_trials);
    let epoch = record.map_or(0, |record| record.epoch);
    let part = record.is_some_and(Record::is_part);
    warn!(event = events::QUARANTINE, fingerprint = %subject, part, standing = ?standing, ended = ?ended, trials, epoch, by = source, "standing of a request changed");
}
