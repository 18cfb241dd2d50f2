//! The lease under which engines are ordered, kept in the store.

use crate::clock;
use crate::core::Core;
use crate::ports::StoreError;
use crate::telemetry::events;
use bytes::Bytes;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::cas_lease::{CasLease, Claim, LeaseTiming, Step};
use sesamegap_wire::{Fence, LogPosition, Moment, Timeline};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tracing::{info, warn};

/// How long one record gives the lease: a few store calls at their slowest.
const TERM: Duration = Duration::from_millis(1_500);

/// Pause before looking again whether the lease is free; calls are priced.
const LOOK: Duration = Duration::from_millis(500);

/// The lease of one process, shared with the tasks that order.
#[derive(Debug, Clone)]
pub struct Lease {
    state: Arc<Mutex<CasLease>>,
    /// The store's, which may rise while an engine is on its way to new weights.
    timeline: watch::Receiver<Timeline>,
    free: Option<Moment>,
    /// The wait that was logged last.
    told: Moment,
}

impl Lease {
    /// Starts without it.
    pub fn new(core: &Core) -> Self {
        let terms = LeaseTiming {
            term: TERM,
            handover_delay: core.settings().durations.lease_handover,
        };
        let lease = CasLease::new(core.peers.local_process().clone(), terms);
        Self {
            state: Arc::new(Mutex::new(lease)),
            timeline: core.store.subscribe_timeline(),
            free: None,
            told: Moment::default(),
        }
    }

    /// Who held it by the last record seen.
    pub fn last_holder(&self) -> Option<ProcessId> {
        self.lock().holder().cloned()
    }

    /// The fencing number, if an order sent now falls into the lease.
    pub fn may_order(&self) -> Option<Fence> {
        self.lock().may_order(clock::now())
    }

    /// Gives it up, as when an engine has seen a higher fencing number.
    pub fn lose(&self) {
        self.lock().invalidate();
    }

    /// How long to wait before trying again.
    pub fn pause(&self) -> Duration {
        let left = self.free.map(|free| free.since(clock::now()));
        left.unwrap_or(LOOK).clamp(LOOK / 5, LOOK * 4)
    }

    /// Reads the log once, so that its last record ages from now.
    pub async fn look(&mut self, core: &Core) {
        let from = self.lock().end();
        self.read(core, from).await;
    }

    /// Takes or keeps the lease; the fencing number if it is held.
    pub async fn hold(&mut self, core: &Core) -> Option<Fence> {
        self.free = None;
        if self.may_order().is_none() {
            // What was read before may be old, and a claim on it would only be refused.
            self.lock().require_read();
        }
        // A claim follows a read, and a read that shows another's record ends the try.
        for _ in 0..3 {
            let step = self.lock().step(clock::now());
            match step {
                Step::Hold => return self.may_order(),
                Step::Wait(until) => {
                    self.free = Some(until);
                    self.tell_wait(until);
                    // Its holder may have gone on since; the next try reads again.
                    self.lock().require_read();
                    return None;
                }
                Step::Read(from) => {
                    if !self.read(core, from).await {
                        return None;
                    }
                }
                Step::Append(claim, at) => {
                    self.append(core, claim, at).await;
                    return self.may_order();
                }
            }
        }
        None
    }

    async fn read(&self, core: &Core, from: LogPosition) -> bool {
        let outcome = core.store.lease_records(from).await;
        let (records, end) = match outcome {
            Ok(found) => found,
            Err(StoreError::Compacted(first)) => {
                (Vec::new(), LogPosition::new(core.store.timeline(), first))
            }
            // The next step is to read it from its beginning.
            Err(StoreError::Restored(_)) => return true,
            Err(error) => {
                info!(event = events::LEASE, %error, "lease not read");
                return false;
            }
        };
        let claims: Vec<Claim> = records.iter().filter_map(decode).collect();
        self.lock().observe(&claims, end, clock::now());
        true
    }

    /// Logs once for each record seen who keeps this VM from ordering, and for how long.
    fn tell_wait(&mut self, until: Moment) {
        if std::mem::replace(&mut self.told, until) == until {
            return;
        }
        let holder = self.last_holder().map(|holder| holder.vm);
        let wait_ms = clock::millis(until.since(clock::now()));
        info!(event = events::LEASE, holder = ?holder, wait_ms, "another VM may still order");
    }

    async fn append(&self, core: &Core, claim: Claim, at: LogPosition) {
        let began = clock::now();
        let record = match rmp_serde::to_vec(&claim) {
            Ok(record) => Bytes::from(record),
            Err(error) => {
                warn!(event = events::LEASE, %error, "a claim cannot be written");
                return;
            }
        };
        let renews = claim.renews;
        match core.store.lease_append(record, at).await {
            Ok(at) => {
                let fence = {
                    let mut lease = self.lock();
                    lease.appended(claim, at, began);
                    lease.may_order(clock::now())
                };
                if renews.is_none() {
                    info!(event = events::LEASE, fence = ?fence, at = %at, "lease taken");
                }
            }
            Err(error) => {
                self.lock().invalidate();
                info!(event = events::LEASE, %error, at = %at, "lease not held");
            }
        }
    }

    /// The lease on the store's present timeline.
    fn lock(&self) -> MutexGuard<'_, CasLease> {
        let mut lease = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        lease.enter_timeline(*self.timeline.borrow(), clock::now());
        lease
    }
}

fn decode(record: &Bytes) -> Option<Claim> {
    let claim = rmp_serde::from_slice(record);
    if let Err(error) = &claim {
        warn!(event = events::UNREADABLE, %error, "a lease record cannot be read");
    }
    claim.ok()
}
