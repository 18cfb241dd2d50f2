//! Synchronization of quarantine records with the store.
//!
//! Peers exchange changes faster. The store keeps the records for the case that all VMs lose their memory, and for a VM
//! that reaches the store but no peer.

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

/// Interval between reads while all peers respond.
const POLL_INTERVAL: Duration = Duration::from_mins(10);

/// Interval between reads while some peer does not respond: records from its side of a partition arrive through the
/// store only.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time over which changes are collected into one write.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of records written in one call.
const MAX_BATCH: usize = 64;

/// Delay after a failed call: the store charges for calls and limits their rate, including rejected ones.
const RETRY_DELAY: Duration = Duration::from_millis(900);

/// Synchronizes records with the store until the process ends.
pub async fn sync(core: Arc<Core>) {
    while core.phase() < Phase::Exiting {
        if let Err(error) = exchange(&core).await {
            info!(event = events::STORE_LOST, table = ?Table::Quarantine, %error, "failed to synchronize quarantine records with the store");
            sleep(RETRY_DELAY).await;
        } else {
            wait_for_changes(&core).await;
            sleep(BATCH_DELAY).await;
        }
    }
}

/// Waits until the store may have new records, or this VM has records to write to it.
async fn wait_for_changes(core: &Core) {
    let began = clock::now();
    let timeline = core.store.timeline();
    while core.phase() < Phase::Exiting && clock::now().since(began) < poll_interval(core) {
        // A restored store may have lost what was written.
        if is_coordinator(core) && core.store.timeline() != timeline {
            return;
        }
        let changed = core.quarantine.changed.notified();
        if timeout(PARTITION_POLL_INTERVAL, changed).await.is_ok() {
            return;
        }
    }
}

fn poll_interval(core: &Core) -> Duration {
    let has_unreachable_peers = !core.peers.addrs_by_status().suspected.is_empty();
    if has_unreachable_peers && is_coordinator(core) {
        PARTITION_POLL_INTERVAL
    } else {
        POLL_INTERVAL
    }
}

/// Merges the store's records and, if this VM is the coordinator, writes those that the store lacks.
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
    for records in core
        .quarantine
        .missing_from_store(&stored)
        .chunks(MAX_BATCH)
    {
        core.store.write_quarantine_records(records).await?;
    }
    Ok(())
}

impl Quarantine {
    /// Returns the published records that are missing from the store or differ there. A clear record is only written
    /// to replace a stored one.
    fn missing_from_store(&self, stored: &[Record]) -> Vec<Record> {
        let registry = self.registry();
        let unix_ms = clock::unix_ms();
        let published = registry.published(unix_ms);
        published
            .filter(|record| !stored.contains(record))
            .filter(|record| {
                let subject = record.fingerprint;
                let is_stored = stored.iter().any(|old| old.fingerprint == subject);
                is_stored || registry.standing(subject, unix_ms) != Standing::Clear
            })
            .cloned()
            .collect()
    }
}
