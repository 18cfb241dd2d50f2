//! The store as the process uses it: positions that name their timeline, and one judgement of every answer.
//!
//! The port speaks of offsets, which go back when the store is restored from a copy. Here each offset is joined with
//! the timeline that the answer stated, so that whatever is built on it compares rightly with what was built before.
//! An answer of a former timeline, or of none, is an error before anything sees it, and so is one on another
//! timeline than the offsets that were asked with. All who read the store are told when the timeline rises, whichever
//! call showed it.

use crate::clock;
use crate::ports::{Batch, Records, Reply, Store, StoreError, Table};
use crate::telemetry::events;
use bytes::Bytes;
use sesamegap_policy::agreement::timelines::{TimelineStatus, TimelineTracker};
use sesamegap_policy::quarantine;
use sesamegap_wire::{LogPosition, Moment, Timeline, VmId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tracing::{info, warn};

/// Pause between two lines about answers on which nothing is built: a store may give many in a second.
const TOLD: Duration = Duration::from_secs(1);

/// The store, shared by all tasks of a process.
#[derive(Debug)]
pub struct StoreClient {
    port: Arc<dyn Store>,
    state: Mutex<State>,
    risen: watch::Sender<Timeline>,
}

#[derive(Debug, Default)]
struct State {
    timelines: TimelineTracker,
    /// When an answer on which nothing is built was last logged.
    told: Option<Moment>,
}

impl StoreClient {
    /// A store that nothing was asked of yet.
    pub fn new(port: Arc<dyn Store>) -> Self {
        Self {
            port,
            state: Mutex::default(),
            risen: watch::channel(Timeline::default()).0,
        }
    }

    /// The present timeline.
    pub fn timeline(&self) -> Timeline {
        *self.risen.borrow()
    }

    /// Follows the timeline.
    pub fn subscribe_timeline(&self) -> watch::Receiver<Timeline> {
        self.risen.subscribe()
    }

    /// The newest record of each key of a table.
    ///
    /// # Errors
    /// If nothing was read.
    pub async fn snapshot(&self, table: Table) -> Result<Batch, StoreError> {
        let reply = self.port.snapshot(table).await;
        let (timeline, records) = self.judge(None, reply)?;
        Ok(Batch::new(timeline, records))
    }

    /// Changes from a position on; waits at most `wait` for the first.
    ///
    /// # Errors
    /// If nothing was read, or the position is of a former timeline.
    pub async fn changes(
        &self,
        table: Table,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Batch, StoreError> {
        self.check(from)?;
        let reply = self.port.changes(table, from.offset, wait).await;
        let (timeline, records) = self.judge(Some(from), reply)?;
        Ok(Batch::new(timeline, records))
    }

    /// Writes this VM's entry.
    ///
    /// # Errors
    /// If it was not written.
    pub async fn write_vm_entry(&self, vm: &VmId, peers: SocketAddr) -> Result<(), StoreError> {
        let reply = self.port.write_vm_entry(vm, peers).await;
        self.judge(None, reply).map(|_| ())
    }

    /// Writes what is known of requests under which upstreams ended.
    ///
    /// # Errors
    /// If it was not written.
    pub async fn quarantine(&self, records: &[quarantine::Record]) -> Result<(), StoreError> {
        let reply = self.port.quarantine(records).await;
        self.judge(None, reply).map(|_| ())
    }

    /// Records of the lease log from a position on, and where it ends.
    ///
    /// # Errors
    /// If nothing was read, or the position is of a former timeline.
    pub async fn lease_records(
        &self,
        from: LogPosition,
    ) -> Result<(Vec<Bytes>, LogPosition), StoreError> {
        self.check(from)?;
        let reply = self.port.lease_records(from.offset).await;
        let (timeline, (records, end)) = self.judge(Some(from), reply)?;
        Ok((records, LogPosition::new(timeline, end)))
    }

    /// Appends to the lease log if it ends at this position; where the record lies.
    ///
    /// # Errors
    /// If it is not known to lie there.
    pub async fn lease_append(
        &self,
        record: Bytes,
        at: LogPosition,
    ) -> Result<LogPosition, StoreError> {
        self.check(at)?;
        let reply = self.port.lease_append(record, at.offset).await;
        let (timeline, offset) = self.judge(Some(at), reply)?;
        Ok(LogPosition::new(timeline, offset))
    }

    /// Spares a call whose offsets mean something else by now.
    fn check(&self, asked: LogPosition) -> Result<(), StoreError> {
        let present = self.timeline();
        if asked.timeline < present {
            return Err(StoreError::Restored(present));
        }
        Ok(())
    }

    /// Judges an answer to a call that named this position, if any.
    fn judge<T>(
        &self,
        asked: Option<LogPosition>,
        reply: Reply<T>,
    ) -> Result<(Timeline, T), StoreError> {
        let Some(stated) = reply.timeline else {
            return reply.outcome.map(|value| (self.timeline(), value));
        };
        let (verdict, present) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let verdict = state.timelines.observe(stated);
            (verdict, state.timelines.present())
        };
        match verdict {
            TimelineStatus::Present => {}
            TimelineStatus::Risen(former) => {
                info!(
                    event = events::RESTORED,
                    former = former.0,
                    present = present.0,
                    "the store is on a newer timeline"
                );
                self.risen.send_if_modified(|known| {
                    std::mem::replace(known, present.max(*known)) < present
                });
            }
            TimelineStatus::Former(_) | TimelineStatus::Unknown => {
                self.tell(verdict, present);
                return Err(StoreError::OffTimeline(verdict));
            }
        }
        match reply.outcome {
            // What was said of offsets of a former timeline means nothing; a refusal means the same on any.
            Ok(_) | Err(StoreError::Compacted(_) | StoreError::Conflict(_))
                if asked.is_some_and(|asked| asked.timeline != present) =>
            {
                Err(StoreError::Restored(present))
            }
            outcome => outcome.map(|value| (present, value)),
        }
    }

    fn tell(&self, verdict: TimelineStatus, present: Timeline) {
        let now = clock::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.told.is_some_and(|at| now.since(at) < TOLD) {
            return;
        }
        state.told = Some(now);
        drop(state);
        warn!(event = events::OFF_TIMELINE, why = ?verdict, present = present.0, "an answer of the store is not of the present timeline; nothing is built on it");
    }
}

impl Batch {
    /// Joins what was read with its timeline.
    fn new(timeline: Timeline, records: Records) -> Self {
        let at = |offset| LogPosition::new(timeline, offset);
        let found = records.records.into_iter();
        Self {
            records: found.map(|(offset, record)| (at(offset), record)).collect(),
            next: at(records.next),
        }
    }
}
