//! The lease, stored in the store's log, that permits a VM to order engines to load weights.

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

/// How long one claim holds the lease: enough for a few store calls of maximum duration.
const LEASE_TERM: Duration = Duration::from_millis(1_500);

/// Delay before the next attempt to acquire the lease if its end is not known. A delay until its end is at least a fifth
/// of this and at most four times as long. The store charges for calls.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The lease as seen by this process, shared with the tasks that give orders.
#[derive(Debug, Clone)]
pub struct Lease {
    state: Arc<Mutex<CasLease>>,
    /// The store's timeline, which may increase while an engine is being updated.
    timeline: watch::Receiver<Timeline>,
    /// When another holder's lease ends, if the last attempt had to wait for it.
    free_at: Option<Moment>,
    /// End of the last wait that was logged.
    logged_wait: Moment,
}

impl Lease {
    /// Creates the state of a process that does not hold the lease.
    pub fn new(core: &Core) -> Self {
        let timing = LeaseTiming {
            term: LEASE_TERM,
            handover_delay: core.settings().spans.lease,
        };
        let lease = CasLease::new(core.peers.local_process().clone(), timing);
        Self {
            state: Arc::new(Mutex::new(lease)),
            timeline: core.store.subscribe_timeline(),
            free_at: None,
            logged_wait: Moment::default(),
        }
    }

    /// Returns the holder according to the last claim seen.
    pub fn last_holder(&self) -> Option<ProcessId> {
        self.lock().holder().cloned()
    }

    /// Returns the fencing number if the lease permits an order now.
    pub fn may_order(&self) -> Option<Fence> {
        self.lock().may_order(clock::now())
    }

    /// Drops the lease, for instance when an engine has seen a higher fencing number.
    pub fn invalidate(&self) {
        self.lock().invalidate();
    }

    /// Returns the delay before the next attempt to acquire the lease.
    pub fn retry_delay(&self) -> Duration {
        let left = self.free_at.map(|free_at| free_at.since(clock::now()));
        left.unwrap_or(DEFAULT_RETRY_DELAY)
            .clamp(DEFAULT_RETRY_DELAY / 5, DEFAULT_RETRY_DELAY * 4)
    }

    /// Reads the log once, so that the wait for the last claim's expiry starts now.
    pub async fn observe(&mut self, core: &Core) {
        let from = self.lock().end();
        self.read_claims(core, from).await;
    }

    /// Acquires or renews the lease; returns the fencing number if it is held.
    pub async fn acquire(&mut self, core: &Core) -> Option<Fence> {
        self.free_at = None;
        if self.may_order().is_none() {
            // The log may have changed since it was read; the store would then reject a claim.
            self.lock().require_read();
        }
        // An attempt takes a read and a claim at most; a read that shows another holder's claim ends it.
        for _ in 0..3 {
            let step = self.lock().step(clock::now());
            match step {
                Step::Hold => return self.may_order(),
                Step::Wait(until) => {
                    self.free_at = Some(until);
                    self.log_wait(until);
                    // The holder may renew the lease in the meantime, so the next attempt reads again.
                    self.lock().require_read();
                    return None;
                }
                Step::Read(from) => {
                    if !self.read_claims(core, from).await {
                        return None;
                    }
                }
                Step::Append(claim, at) => {
                    self.append_claim(core, claim, at).await;
                    return self.may_order();
                }
            }
        }
        None
    }

    async fn read_claims(&self, core: &Core, from: LogPosition) -> bool {
        let outcome = core.store.lease_records(from).await;
        let (records, end) = match outcome {
            Ok(found) => found,
            Err(StoreError::Compacted(first)) => {
                (Vec::new(), LogPosition::new(core.store.timeline(), first))
            }
            // The next step reads the restored log from its beginning.
            Err(StoreError::Restored(_)) => return true,
            Err(error) => {
                info!(event = events::LEASE, %error, "failed to read lease records");
                return false;
            }
        };
        let claims: Vec<Claim> = records.iter().filter_map(decode).collect();
        self.lock().observe(&claims, end, clock::now());
        true
    }

    /// Logs, once for each claim seen, which VM keeps this one from giving orders and for how long.
    fn log_wait(&mut self, until: Moment) {
        if std::mem::replace(&mut self.logged_wait, until) == until {
            return;
        }
        let holder = self.last_holder().map(|holder| holder.vm);
        let wait_ms = clock::millis(until.since(clock::now()));
        info!(event = events::LEASE, holder = ?holder, wait_ms, "lease may still be held by another VM");
    }

    async fn append_claim(&self, core: &Core, claim: Claim, at: LogPosition) {
        let began = clock::now();
        let record = match rmp_serde::to_vec(&claim) {
            Ok(record) => Bytes::from(record),
            Err(error) => {
                warn!(event = events::LEASE, %error, "failed to serialize lease claim");
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
                    info!(event = events::LEASE, fence = ?fence, at = %at, "lease acquired");
                }
            }
            Err(error) => {
                self.lock().invalidate();
                info!(event = events::LEASE, %error, at = %at, "failed to append lease claim");
            }
        }
    }

    /// Locks the lease state, after moving it to the store's current timeline.
    fn lock(&self) -> MutexGuard<'_, CasLease> {
        let mut lease = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        lease.enter_timeline(*self.timeline.borrow(), clock::now());
        lease
    }
}

fn decode(record: &Bytes) -> Option<Claim> {
    let claim = rmp_serde::from_slice(record);
    if let Err(error) = &claim {
        warn!(event = events::UNREADABLE, %error, "failed to deserialize lease record");
    }
    claim.ok()
}
