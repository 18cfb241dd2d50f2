//! A store client that adds the timeline to every log position and validates every reply.
//!
//! The port uses plain offsets, which go back when the store is restored from a backup. The client combines each
//! offset with the timeline that the reply reports, so that positions from before and after a restore compare in the
//! right order. A reply from an earlier timeline, or without one, becomes an error before any caller sees it, and so
//! does a reply on a different timeline than the requested offsets. Subscribers are notified when the timeline
//! advances, whichever call revealed it.
//!
//! All calls of the process draw on one budget, this VM's share of the store's rate limit. Calls over it wait, so that
//! the calls of the whole fleet stay below the limit whatever makes them repeat.

use crate::clock;
use crate::ports::{Batch, Records, Reply, Store, StoreError, Table};
use crate::telemetry::events;
use bytes::Bytes;
use sesamegap_policy::agreement::timelines::{TimelineStatus, TimelineTracker};
use sesamegap_policy::quarantine;
use sesamegap_policy::resumption::Partition;
use sesamegap_policy::routing::reading::CallBudget;
use sesamegap_wire::{LogPosition, Moment, ServiceId, SoftwareVersion, Timeline, VmId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::{info, warn};

/// Minimum interval between log lines about discarded replies: a store may send many of them per second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The store, shared by all tasks of a process.
#[derive(Debug)]
pub struct StoreClient {
    port: Arc<dyn Store>,
    state: Mutex<State>,
    timeline: watch::Sender<Timeline>,
    budget: Mutex<CallBudget>,
    /// Number of entry VMs that share the store's rate limit.
    vms: AtomicUsize,
}

#[derive(Debug, Default)]
struct State {
    tracker: TimelineTracker,
    /// When a discarded reply was last logged.
    last_logged: Option<Moment>,
}

impl StoreClient {
    /// Creates a client of a store that accepts this many calls per second; it has not contacted the store yet.
    pub fn new(port: Arc<dyn Store>, calls_per_s: f64) -> Self {
        Self {
            port,
            state: Mutex::default(),
            timeline: watch::channel(Timeline::default()).0,
            budget: Mutex::new(CallBudget::new(calls_per_s, clock::now())),
            vms: AtomicUsize::new(1),
        }
    }

    /// Sets the number of entry VMs that share the store's rate limit.
    pub fn set_vms(&self, vms: usize) {
        self.vms.store(vms, Ordering::Relaxed);
    }

    /// Waits until the budget allows a call.
    async fn wait_for_budget(&self) {
        let wait = self.charge(1);
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Takes calls from the budget; returns the wait before the next call may be made.
    fn charge(&self, calls: u32) -> Duration {
        let vms = self.vms.load(Ordering::Relaxed);
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let now = clock::now();
        let waits = (0..calls).map(|_| budget.take(vms, now));
        waits.last().unwrap_or_default()
    }

    /// Returns the current timeline.
    pub fn timeline(&self) -> Timeline {
        *self.timeline.borrow()
    }

    /// Subscribes to changes of the timeline.
    pub fn subscribe_timeline(&self) -> watch::Receiver<Timeline> {
        self.timeline.subscribe()
    }

    /// Reads the newest record of each key of a table.
    ///
    /// # Errors
    /// If the store could not be read.
    pub async fn snapshot(&self, table: Table) -> Result<Batch, StoreError> {
        self.wait_for_budget().await;
        let reply = self.port.snapshot(table).await;
        let (timeline, records) = self.validate(None, reply)?;
        // Further pages were read without waiting, so that the table is read within a short time.
        self.charge(records.calls.saturating_sub(1));
        Ok(Batch::new(timeline, records))
    }

    /// Reads changes starting at a position; waits at most `wait` for the first one.
    ///
    /// # Errors
    /// If the store could not be read, or the position belongs to an earlier timeline.
    pub async fn changes(
        &self,
        table: Table,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Batch, StoreError> {
        self.check_position(from)?;
        self.wait_for_budget().await;
        let reply = self.port.changes(table, from.offset, wait).await;
        let (timeline, records) = self.validate(Some(from), reply)?;
        Ok(Batch::new(timeline, records))
    }

    /// Writes this VM's entry.
    ///
    /// # Errors
    /// If the entry was not written.
    pub async fn write_vm_entry(&self, vm: &VmId, peers: SocketAddr) -> Result<(), StoreError> {
        self.wait_for_budget().await;
        let reply = self.port.write_vm_entry(vm, peers).await;
        self.validate(None, reply).map(|_| ())
    }

    /// Removes another VM's entry if the list's log ends at the given position; returns the new end.
    ///
    /// The condition keeps a removal that the store carries out late from undoing an entry that the VM wrote meanwhile.
    ///
    /// # Errors
    /// If the removal is not known to have succeeded.
    pub async fn remove_vm_entry(
        &self,
        vm: &VmId,
        at: LogPosition,
    ) -> Result<LogPosition, StoreError> {
        self.check_position(at)?;
        self.wait_for_budget().await;
        let reply = self.port.remove_vm_entry(vm, at.offset).await;
        let (timeline, end) = self.validate(Some(at), reply)?;
        Ok(LogPosition::new(timeline, end))
    }

    /// Writes quarantine records of requests during which upstreams crashed.
    ///
    /// # Errors
    /// If the records were not written.
    pub async fn write_quarantine_records(
        &self,
        records: &[quarantine::Record],
    ) -> Result<(), StoreError> {
        self.wait_for_budget().await;
        let reply = self.port.write_quarantine_records(records).await;
        self.validate(None, reply).map(|_| ())
    }

    /// Writes the software versions of a service that can have begun streams which still go on.
    ///
    /// # Errors
    /// If they were not written.
    pub async fn write_versions(
        &self,
        service: &ServiceId,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> Result<(), StoreError> {
        self.wait_for_budget().await;
        let reply = self.port.write_versions(service, versions).await;
        self.validate(None, reply).map(|_| ())
    }

    /// Reads a partition of the log of streams starting at a position; returns the records and where to continue.
    ///
    /// As [`StoreClient::append_streams`], it draws on no budget: a few VMs read for all, each at a fixed interval at the most.
    ///
    /// # Errors
    /// If the store could not be read, or the position belongs to an earlier timeline.
    pub async fn stream_records(
        &self,
        partition: Partition,
        from: LogPosition,
    ) -> Result<(Vec<Bytes>, LogPosition), StoreError> {
        self.check_position(from)?;
        let reply = self.port.stream_records(partition, from.offset).await;
        let (timeline, (records, next)) = self.validate(Some(from), reply)?;
        Ok((records, LogPosition::new(timeline, next)))
    }

    /// Appends a record to a partition of the log of streams.
    ///
    /// The call draws on no budget if the VM appends for all: a few VMs do, each at a fixed interval at the most, so that the
    /// calls of the whole fleet are bounded whatever its size. A VM's share would be too small for it in a large one. What
    /// a VM appends for itself draws on its share.
    ///
    /// # Errors
    /// If the record is not known to have been appended.
    pub async fn append_streams(
        &self,
        partition: Partition,
        record: Bytes,
        is_for_all: bool,
    ) -> Result<(), StoreError> {
        if !is_for_all {
            self.wait_for_budget().await;
        }
        let reply = self.port.append_streams(partition, record).await;
        self.validate(None, reply).map(|_| ())
    }

    /// Reads the lease log starting at a position; returns the records and the end of the log.
    ///
    /// # Errors
    /// If the store could not be read, or the position belongs to an earlier timeline.
    pub async fn lease_records(
        &self,
        from: LogPosition,
    ) -> Result<(Vec<Bytes>, LogPosition), StoreError> {
        self.check_position(from)?;
        self.wait_for_budget().await;
        let reply = self.port.lease_records(from.offset).await;
        let (timeline, (records, end)) = self.validate(Some(from), reply)?;
        Ok((records, LogPosition::new(timeline, end)))
    }

    /// Appends a record if the lease log ends at the given position; returns the record's position.
    ///
    /// # Errors
    /// If the append is not known to have succeeded.
    pub async fn lease_append(
        &self,
        record: Bytes,
        at: LogPosition,
    ) -> Result<LogPosition, StoreError> {
        self.check_position(at)?;
        self.wait_for_budget().await;
        let reply = self.port.lease_append(record, at.offset).await;
        let (timeline, offset) = self.validate(Some(at), reply)?;
        Ok(LogPosition::new(timeline, offset))
    }

    /// Rejects a position from an earlier timeline, whose offset now refers to different records.
    fn check_position(&self, requested: LogPosition) -> Result<(), StoreError> {
        let present = self.timeline();
        if requested.timeline < present {
            return Err(StoreError::Restored(present));
        }
        Ok(())
    }

    /// Validates the reply to a call; `requested` is the position that the call named, if any.
    fn validate<T>(
        &self,
        requested: Option<LogPosition>,
        reply: Reply<T>,
    ) -> Result<(Timeline, T), StoreError> {
        let Some(reported) = reply.timeline else {
            return reply.outcome.map(|value| (self.timeline(), value));
        };
        let (status, present) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let status = state.tracker.observe(reported);
            (status, state.tracker.present())
        };
        match status {
            TimelineStatus::Present => {}
            TimelineStatus::Risen(former) => {
                info!(
                    event = events::RESTORED,
                    former = former.0,
                    present = present.0,
                    "the store moved to a newer timeline"
                );
                self.timeline.send_if_modified(|known| {
                    std::mem::replace(known, present.max(*known)) < present
                });
            }
            TimelineStatus::Former(_) | TimelineStatus::Unknown => {
                self.log_discarded(status, present);
                return Err(StoreError::OffTimeline(status));
            }
        }
        match reply.outcome {
            // Results that refer to offsets of an earlier timeline are meaningless; other errors apply on any timeline.
            Ok(_) | Err(StoreError::Compacted(_) | StoreError::Conflict(_))
                if requested.is_some_and(|requested| requested.timeline != present) =>
            {
                Err(StoreError::Restored(present))
            }
            outcome => outcome.map(|value| (present, value)),
        }
    }

    fn log_discarded(&self, status: TimelineStatus, present: Timeline) {
        let now = clock::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state
            .last_logged
            .is_some_and(|at| now.since(at) < LOG_INTERVAL)
        {
            return;
        }
        state.last_logged = Some(now);
        drop(state);
        warn!(event = events::OFF_TIMELINE, why = ?status, present = present.0, "discarded a store reply that is not from the current timeline");
    }
}

impl Batch {
    /// Adds the timeline to the offsets of the records that were read.
    fn new(timeline: Timeline, records: Records) -> Self {
        let at = |offset| LogPosition::new(timeline, offset);
        let entries = records.records.into_iter();
        Self {
            records: entries
                .map(|(offset, record)| (at(offset), record))
                .collect(),
            next: at(records.next),
            end: at(records.end),
        }
    }
}
