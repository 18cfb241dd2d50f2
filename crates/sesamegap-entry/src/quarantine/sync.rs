//! The store's copy of requests under which upstreams ended.
//!
//! Peers pass news on sooner. The store has it for a fleet of which all VMs lost their memory, and for a VM that
//! reaches the store and no peer.

use super::{Quarantine, is_coordinator};
use crate::clock;
use crate::core::{Core, Phase};
use crate::ports::{Record as Stored, StoreError, Table};
use crate::telemetry::events;
use sesamegap_policy::quarantine::{Record, Standing};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Pace of reading while all peers answer.
const PACE: Duration = Duration::from_mins(10);

/// Pace of reading while some peer does not: what it and others beyond it found is in the store alone.
const APART: Duration = Duration::from_millis(1_200);

/// Time over which changes are written together.
const TOGETHER: Duration = Duration::from_millis(200);

/// Records written in one call.
const MOST_WRITTEN: usize = 64;

/// Pause after a call that failed; calls are priced and rates are bounded, refused ones too.
const RETRY: Duration = Duration::from_millis(900);

/// Keeps this VM and the store at the same knowledge until the process ends.
pub async fn sync(core: Arc<Core>) {
    while core.phase() < Phase::Ended {
        if let Err(error) = exchange(&core).await {
            info!(event = events::STORE_LOST, table = ?Table::Quarantine, %error, "quarantined requests not exchanged with the store");
            sleep(RETRY).await;
        } else {
            wait(&core).await;
            sleep(TOGETHER).await;
        }
    }
}

/// Waits until the store may have news, or lacks what this VM is to write.
async fn wait(core: &Core) {
    let began = clock::now();
    let timeline = core.store.timeline();
    while core.phase() < Phase::Ended && clock::now().since(began) < pace(core) {
        // A restored store may have lost what was written.
        if is_coordinator(core) && core.store.timeline() != timeline {
            return;
        }
        let changed = core.quarantine.changed.notified();
        if timeout(APART, changed).await.is_ok() {
            return;
        }
    }
}

fn pace(core: &Core) -> Duration {
    let apart = !core.peers.addrs_by_status().suspected.is_empty();
    if apart && is_coordinator(core) {
        APART
    } else {
        PACE
    }
}

/// Reads what the store has, and writes what it lacks if this VM is the one that does.
async fn exchange(core: &Core) -> Result<(), StoreError> {
    let batch = core.store.snapshot(Table::Quarantine).await?;
    let stored: Vec<Record> = batch
        .records
        .into_iter()
        .filter_map(|(_, record)| match record {
            Stored::Quarantine(record) => Some(*record),
            _ => None,
        })
        .collect();
    for record in &stored {
        core.quarantine.merge(record, "store");
    }
    if !is_coordinator(core) {
        return Ok(());
    }
    for records in core.quarantine.lacking(&stored).chunks(MOST_WRITTEN) {
        core.store.write_quarantine_records(records).await?;
    }
    Ok(())
}

impl Quarantine {
    /// Records that the store should have otherwise than it has them.
    fn lacking(&self, stored: &[Record]) -> Vec<Record> {
        let registry = self.registry();
        let unix_ms = clock::unix_ms();
        let published = registry.published(unix_ms);
        published
            .filter(|record| !stored.contains(record))
            .filter(|record| {
                let there = stored
                    .iter()
                    .any(|old| old.fingerprint == record.fingerprint);
                there || record.standing(unix_ms) != Standing::Clear
            })
            .cloned()
            .collect()
    }
}
