//! Follows the store: the operator's settings, the fleet, and the entry VMs.
//!
//! Settings change rarely, so one call waits at the store until they do. The fleet list changes
//! with every heartbeat of every upstream, so a waiting call would come back at once each time;
//! it is read at a fixed pace instead, which bounds calls whatever the size of the fleet.

mod apply;

use crate::clock;
use crate::core::{Core, Phase};
use crate::ports::{Batch, Record, StoreError, Table};
use crate::telemetry::events;
use apply::{apply, replace};
use sesamegap_wire::Offset;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};

/// How long the store may wait with an answer about settings: short enough to notice a mute
/// connection well before a change must be in force.
const SETTINGS_WAIT: Duration = Duration::from_millis(2_500);

/// Pace of reading the fleet list, in percent of the time after which a leaving upstream must get no
/// more work: the rest is for a call at its slowest and a request that is on its way.
const FLEET_PACE: u32 = 65;

/// Pause after a call that failed; calls are priced and rates are bounded, refused ones too.
const RETRY: Duration = Duration::from_millis(300);

/// Pace of reading the entry VMs, which peers tell each other much sooner.
const VMS_PACE: Duration = Duration::from_secs(10);

/// Follows one table until the process ends.
pub async fn follow(core: Arc<Core>, table: Table) {
    let mut next: Option<Offset> = None;
    let mut lost = false;
    while core.phase() < Phase::Ended {
        let outcome = step(&core, table, next).await;
        let answers = !matches!(
            outcome,
            Err(StoreError::Busy | StoreError::Unreached(_) | StoreError::Unanswered(_))
        );
        core.fleet.lock().store(answers, clock::now());
        match outcome {
            Ok(at) => {
                if lost {
                    lost = false;
                    info!(event = events::STORE_BACK, table = ?table, "the store answers again");
                }
                next = Some(at);
                if table == Table::Fleet {
                    sleep(core.settings().spans.drain * FLEET_PACE / 100).await;
                }
            }
            Err(StoreError::Compacted(first)) => {
                info!(event = events::COMPACTED, table = ?table, first = first.0, "records are gone; reading the newest of each key");
                next = None;
            }
            Err(error) => {
                if !lost {
                    lost = true;
                    warn!(event = events::STORE_LOST, table = ?table, %error, "the store does not answer");
                }
                sleep(RETRY).await;
            }
        }
        expire(&core);
    }
}

async fn step(core: &Core, table: Table, next: Option<Offset>) -> Result<Offset, StoreError> {
    let Some(from) = next else {
        let batch = core.ports.store.snapshot(table).await?;
        let at = batch.next;
        replace(core, table, batch);
        return Ok(at);
    };
    let wait = match table {
        Table::Settings => SETTINGS_WAIT,
        Table::Fleet | Table::Vms => Duration::ZERO,
    };
    let batch = core.ports.store.changes(table, from, wait).await?;
    let at = batch.next;
    for (_, record) in batch.records {
        apply(core, record, Duration::ZERO);
    }
    Ok(at)
}

/// Forgets upstreams whose entries lapsed and did not come back.
fn expire(core: &Core) {
    let gone = core.fleet.lock().expire(clock::now());
    for id in gone {
        info!(event = events::UPSTREAM, upstream = %id, change = "expired", "upstream forgotten");
    }
}

/// Keeps this VM's entry in the store, and reads the others'.
pub async fn vms(core: Arc<Core>) {
    while core.phase() < Phase::Ended {
        let listed = match core.ports.store.snapshot(Table::Vms).await {
            Ok(batch) => take_vms(&core, batch),
            Err(error) => {
                info!(event = events::STORE_LOST, table = ?Table::Vms, %error, "entry VMs not read");
                sleep(RETRY * 3).await;
                continue;
            }
        };
        if !listed && let Err(error) = announce(&core).await {
            warn!(event = events::STORE_LOST, table = ?Table::Vms, %error, "own entry not written");
            sleep(RETRY * 3).await;
            continue;
        }
        sleep(VMS_PACE).await;
    }
}

async fn announce(core: &Core) -> Result<(), StoreError> {
    let settings = core.settings();
    let store = &core.ports.store;
    store.announce(&settings.vm, settings.listen.peers).await
}

/// Takes in the entry VMs; whether this one is among them.
fn take_vms(core: &Core, batch: Batch) -> bool {
    let records = batch.records.into_iter().map(|(_, record)| record);
    let vms: Vec<_> = records
        .filter_map(|record| match record {
            Record::Vm(vm, addr) => Some((vm, addr)),
            _ => None,
        })
        .collect();
    let me = (core.settings().vm.clone(), core.settings().listen.peers);
    let listed = vms.contains(&me);
    core.peers.list(vms);
    listed
}
