//! Requests under which upstreams end, as all entry VMs know them together.
//!
//! A VM whose connection broke asks with a [`Probes`] whether the upstream's process is gone, and reports that to the VMs
//! first in line, with each request it had there. The first of them judges and grants trials; what it finds goes to
//! all VMs ([`exchange`]) and into the store ([`sync`]), from which VMs learn it that all lost their memory or that their
//! peers do not reach. Before each attempt of a request [`admit`] says whether it runs, runs on trial, or is refused.
//! What is decided lies in [`sesamegap_policy::quarantine`].

mod admission;
mod exchange;
mod message;
mod outbox;
mod probe;
mod sync;

pub use admission::{Admission, Permit, admit};
pub use exchange::{receive, tick};
pub use message::{Answer, Ask, Message, Report};
pub use probe::{Probes, Process};
pub use sync::sync;

use crate::clock;
use crate::telemetry::events;
use outbox::Outbox;
use rustc_hash::FxHashMap;
use sesamegap_policy::quarantine::{Ended, Grant, Record, Registry, Standing};
use sesamegap_wire::{Fingerprint, Moment, UpstreamId};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tracing::{info, warn};

/// How long an upstream that cannot be reached may take to leave the list, after which it counts as cut off.
const UNCERTAIN: Duration = Duration::from_secs(10);

/// Uncertain losses remembered: all requests at a few upstreams.
const MOST_UNCERTAIN: usize = 512;

/// A request at an upstream that could not be reached after its connection broke.
#[derive(Debug)]
struct Uncertain {
    lost: Lost,
    until: Moment,
}

/// A request that an upstream was lost with.
#[derive(Debug, Clone)]
pub struct Lost {
    /// The request.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its life, and whether the request was on trial there.
    pub ended: Ended,
}

/// What this VM knows of such requests, and its talk with others about them.
#[derive(Debug, Default)]
pub struct Quarantine {
    registry: Mutex<Registry>,
    outbox: Mutex<Outbox>,
    uncertain: Mutex<Vec<Uncertain>>,
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
    pub fn lost(&self, lost: &Lost) {
        let report = Report::Lost {
            request: lost.request,
            ended: lost.ended,
        };
        self.report(report);
    }

    /// Notes that an upstream could not be reached after it broke off a request: whether it ended, the list will tell.
    pub fn uncertain(&self, lost: Lost) {
        let mut uncertain = lock(&self.uncertain);
        if uncertain.len() < MOST_UNCERTAIN {
            uncertain.push(Uncertain {
                lost,
                until: clock::now() + UNCERTAIN,
            });
        }
    }

    /// Notes that a request of this VM ran to its end, if anything is held against it.
    pub fn completed(&self, request: Fingerprint) {
        let epoch = self.registry().get(request).map(|record| record.epoch);
        if let Some(epoch) = epoch {
            self.report(Report::Completed { request, epoch });
        }
    }

    /// Takes in what this VM saw, and reports it.
    fn report(&self, report: Report) {
        self.hear(&report, "own");
        lock(&self.outbox).report(report);
    }

    /// Takes in a report, of this VM or another.
    fn hear(&self, report: &Report, by: &str) {
        let now = clock::now();
        match report {
            Report::Lost { request, ended } => self.change(*request, by, |registry| {
                registry.lost(*request, *ended, now, clock::unix_ms());
            }),
            Report::Completed { request, epoch } => self.change(*request, by, |registry| {
                registry.completed(*request, *epoch, now);
            }),
            Report::Released { request } => self.registry().finish(*request),
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
            lock(&self.outbox).tell(record);
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
            let is = registry.standing(request, unix_ms);
            (was, is, registry.get(request).cloned())
        };
        if was != is {
            log(request, is, record.as_ref(), by);
        }
    }
}

/// Logs what is to be done with a request from now on.
fn log(request: Fingerprint, standing: Standing, record: Option<&Record>, by: &str) {
    let lives = record.map(|record| record.ended.iter().map(|ended| ended.life));
    let ended: Vec<u64> = lives.into_iter().flatten().collect();
    let trials = record.map_or(0, Record::failed);
    let epoch = record.map_or(0, |record| record.epoch);
    warn!(event = events::QUARANTINE, fingerprint = %request, standing = ?standing, ended = ?ended, trials, epoch, by, "standing of a request changed");
}
