//! Requests under which upstreams end, as all entry VMs know them together.
//!
//! A VM whose connection broke probes whether the upstream's process is gone ([`Probes`]) and reports each request that it
//! had there to the coordinator and its replicas. The coordinator grants trials and judges them; its verdicts are
//! broadcast to all VMs ([`exchange`]) and written to the store ([`sync`]), for VMs that were restarted together and for those
//! that no peer reaches. Before each attempt of a request [`admit`] says whether it runs, runs on trial, or is refused.
//! What is decided lies in [`sesamegap_policy::quarantine`].

mod admission;
mod exchange;
mod message;
mod outbox;
mod probe;
mod sync;

pub use admission::{Admission, TrialPermit, admit};
pub use exchange::{receive, tick};
pub use message::{Answer, Ask, Message, Report};
pub use probe::{Probes, Process};
pub use sync::sync;

use crate::clock;
use crate::core::Core;
use crate::telemetry::events;
use outbox::Outbox;
use rustc_hash::FxHashMap;
use sesamegap_policy::quarantine::{
    COORDINATOR_RANKING_KEY, Crash, Grant, Record, Registry, Standing,
};
use sesamegap_wire::{Fingerprint, Moment, UpstreamId};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tracing::{info, warn};

/// How long an upstream that cannot be reached may take to leave the list, after which it counts as cut off.
const CONFIRMATION: Duration = Duration::from_secs(10);

/// Unconfirmed losses remembered: all requests at a few upstreams.
const MOST_UNCONFIRMED: usize = 512;

/// A request at an upstream that could not be reached after its connection broke.
#[derive(Debug)]
struct Unconfirmed {
    loss: UpstreamLoss,
    until: Moment,
}

/// An upstream that was lost while it ran a request.
#[derive(Debug, Clone)]
pub struct UpstreamLoss {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its life, and whether the request was on trial there.
    pub crash: Crash,
}

/// What this VM knows of such requests, and its messages to others about them.
#[derive(Debug, Default)]
pub struct Quarantine {
    registry: Mutex<Registry>,
    outbox: Mutex<Outbox>,
    unconfirmed: Mutex<Vec<Unconfirmed>>,
    asks: Mutex<Asks>,
    socket: OnceLock<Arc<UdpSocket>>,
    /// Wakes the task that writes to the store.
    changed: Notify,
    /// Probes of upstreams whose connections broke.
    pub probes: Probes,
}

/// Questions that are still open.
#[derive(Debug, Default)]
struct Asks {
    next: u64,
    open: FxHashMap<u64, oneshot::Sender<Grant>>,
}

/// Whether this VM grants trials and judges them.
fn is_coordinator(core: &Core) -> bool {
    core.peers.first_ranked(1, COORDINATOR_RANKING_KEY) == [None]
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Quarantine {
    /// Sends over this socket from now on.
    pub fn open(&self, socket: Arc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            info!("the quarantine has its socket already");
        }
    }

    /// What is known, for a moment.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// What is to be done with a request now.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        self.registry().standing(request, clock::unix_ms())
    }

    /// Notes that an upstream ended under a request of this VM.
    pub fn crashed(&self, loss: &UpstreamLoss) {
        let report = Report::Crashed {
            request: loss.request,
            crash: loss.crash,
        };
        self.report(report);
    }

    /// Notes that an upstream could not be reached after it broke off a request: whether it ended, the list will tell.
    pub fn unconfirmed(&self, loss: UpstreamLoss) {
        let mut unconfirmed = lock(&self.unconfirmed);
        if unconfirmed.len() < MOST_UNCONFIRMED {
            unconfirmed.push(Unconfirmed {
                loss,
                until: clock::now() + CONFIRMATION,
            });
        }
    }

    /// Notes that a request of this VM ran to its end, if anything is held against it.
    pub fn succeeded(&self, request: Fingerprint) {
        let epoch = self.registry().get(request).map(|record| record.epoch);
        if let Some(epoch) = epoch {
            self.report(Report::Completed { request, epoch });
        }
    }

    /// Takes in what this VM saw, and reports it.
    fn report(&self, report: Report) {
        self.handle(&report, "own");
        lock(&self.outbox).report(report);
    }

    /// Takes in a report, of this VM or another.
    fn handle(&self, report: &Report, by: &str) {
        let now = clock::now();
        match report {
            Report::Crashed { request, crash } => self.change(*request, by, |registry| {
                registry.record_crash(*request, *crash, now, clock::unix_ms());
            }),
            Report::Completed { request, epoch } => self.change(*request, by, |registry| {
                registry.record_completion(*request, *epoch, now);
            }),
            Report::Released { request } => self.registry().end_trial(*request),
        }
    }

    /// Takes in what another VM or the store knows of a request.
    fn merge(&self, record: &Record, by: &str) {
        self.change(record.fingerprint, by, |registry| {
            registry.merge(record, clock::now(), clock::unix_ms());
        });
    }

    /// Lets a request run like any other again, as an operator asks; whether it did not.
    pub fn lift(&self, request: Fingerprint) -> bool {
        let mut lifted = false;
        self.change(request, "operator", |registry| {
            lifted = registry.lift(request, clock::now());
        });
        if lifted {
            let record = self.registry().get(request).cloned();
            lock(&self.outbox).broadcast(record);
            self.changed.notify_one();
        }
        lifted
    }

    /// Changes what is known of a request, and logs it if that changes what is done with it.
    fn change(&self, request: Fingerprint, by: &str, act: impl FnOnce(&mut Registry)) {
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
            log(request, is, record.as_ref(), by);
        }
    }
}

/// Logs requests that another one's condemnation cleared.
fn log_cleared(registry: &mut Registry) {
    for request in registry.take_cleared() {
        log(request, Standing::Clear, registry.get(request), "explained");
    }
}

/// Logs what is to be done with a request from now on.
fn log(request: Fingerprint, standing: Standing, record: Option<&Record>, by: &str) {
    let lives = record.map(|record| record.crashes.iter().map(|crash| crash.life));
    let ended: Vec<u64> = lives.into_iter().flatten().collect();
    let trials = record.map_or(0, Record::failed_trials);
    let epoch = record.map_or(0, |record| record.epoch);
    warn!(event = events::QUARANTINE, fingerprint = %request, standing = ?standing, ended = ?ended, trials, epoch, by, "standing of a request changed");
}
