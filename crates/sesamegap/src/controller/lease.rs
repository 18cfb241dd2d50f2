//! Follows the lease's stream and keeps or seeks the lease.

use super::clock::BootClock;
use crate::config::ProcessConfig;
use crate::events;
use bytes::Bytes;
use sesamegap_platform::log::streams;
use sesamegap_platform::{Log, PlatformError, Reason};
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::lease::{Action, LeaseRecord, LeaseTiming, Leaseholder, Leases};
use sesamegap_wire::{Fence, Moment, StreamId, codec};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Part of the lease by which its holder stops early. Clocks of machines that run differ by far
/// less than a hundredth; the rest is for the time between asking the lease and writing an order.
const MARGIN: u32 = 10;

/// Pages read in one round, so that a long stream does not hold up a renewal.
const PAGES: usize = 16;

/// One process's dealings with the lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    log: Arc<dyn Log>,
    stream: StreamId,
    limit: Duration,
    leases: Leases,
    machine: Leaseholder,
}

impl LeaseKeeper {
    /// Starts without the lease; `order` is the longest time that an order can take.
    pub fn new(me: ProcessId, log: Arc<dyn Log>, config: &ProcessConfig, order: Duration) -> Self {
        let terms = LeaseTiming {
            term: config.timing.lease,
            margin: config.timing.lease / MARGIN,
            longest_order: order,
        };
        Self {
            log,
            stream: streams::lease(),
            limit: config.timing.log,
            leases: Leases::default(),
            machine: Leaseholder::new(me, terms),
        }
    }

    /// Reads what is new and takes the next step.
    pub async fn round(&mut self, clock: BootClock) {
        if self.read().await.is_err() {
            return;
        }
        let held = self.machine.fence();
        let spread = rand::random::<f64>();
        if let Action::Append(record) = self.machine.step(&self.leases, clock.now(), spread) {
            self.append(&record).await;
            self.machine.appended(clock.now());
            drop(self.read().await);
            // Only to see the own record at once; what else it asks for is done in later rounds.
            let _ = self.machine.step(&self.leases, clock.now(), spread);
        }
        match (held, self.machine.fence()) {
            (None, Some(fence)) => {
                tracing::info!(event = events::LEASE_HELD.number, %fence, "lease held");
            }
            (Some(fence), None) => {
                tracing::warn!(event = events::LEASE_LOST.number, %fence, "lease lost");
            }
            _ => {}
        }
    }

    /// The fencing number to order under, if an order may begin now.
    pub fn may_order(&self, now: Moment) -> Option<Fence> {
        self.machine.may_order(now)
    }

    /// Gives the lease back, with no order in flight.
    pub async fn give_back(&mut self) {
        if let Some(record) = self.machine.release() {
            self.append(&record).await;
        }
    }

    /// Describes the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let lease = self.leases.current();
        serde_json::json!({
            "holder": lease.map(|lease| lease.holder.to_string()),
            "fence": lease.map(|lease| lease.fence),
            "released": lease.map(|lease| lease.released),
            "own": self.machine.fence(),
            "read": self.leases.next(),
        })
    }

    async fn append(&self, record: &LeaseRecord) {
        let Ok(body) = codec::encode(record) else {
            return;
        };
        // Whatever comes of it, the stream shows it.
        let append = self.log.append(&self.stream, vec![Bytes::from(body)]);
        drop(timeout(self.limit, append).await);
    }

    async fn read(&mut self) -> Result<(), PlatformError> {
        for _ in 0..PAGES {
            let from = self.leases.next();
            let read = self.log.read(&self.stream, from, Duration::ZERO);
            let read = timeout(self.limit, read).await;
            let read = read.map_err(|_| PlatformError::new(Reason::Unknown, "no answer"))?;
            let page = match read {
                Ok(page) => page,
                Err(error) => match error.reason() {
                    Reason::Expired(oldest) => {
                        self.leases.skip(oldest);
                        continue;
                    }
                    _ => return Err(error),
                },
            };
            for record in &page.records {
                let lease = codec::decode(&record.body).ok();
                self.leases
                    .apply(record.offset, record.time_ms, lease.as_ref());
            }
            if page.next >= page.end {
                break;
            }
        }
        Ok(())
    }
}
