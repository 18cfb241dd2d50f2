//! Follows the store: the operator's settings, the fleet, and the entry VMs.
//!
//! A few VMs read each table for all. Settings change rarely, so their call waits at the store until
//! they do. The fleet list changes with every heartbeat of every upstream, so a waiting call would come
//! back at once each time; it is read at a fixed pace instead, which bounds calls whatever the size
//! of the fleet. All others take the readers' word, and read for themselves when they miss one.

mod apply;
mod readings;
mod reports;

pub use readings::{Known, Reading, hear, take};

use crate::clock;
use crate::core::{Core, Phase};
use crate::ports::{Batch, Record, StoreError, Table};
use crate::telemetry::events;
use apply::{replace, report};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::reading::READERS;
use sesamegap_wire::Moment;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// How long the store may wait with an answer about settings: short enough to notice a mute
/// connection well before a change must be in force.
const SETTINGS_WAIT: Duration = Duration::from_millis(2_500);

/// Pace of reading the fleet list, in percent of the time after which a leaving upstream must get no
/// more work: the rest is for a call at its slowest and a request that is on its way.
const FLEET_PACE: u32 = 65;

/// The order in which VMs read tables for all; each table has its own.
const LINE: u64 = 16;

/// Pause after a call that failed; calls are priced and rates are bounded, refused ones too.
const RETRY: Duration = Duration::from_millis(300);

/// Pace of reading the entry VMs, which peers tell each other much sooner.
const VMS_PACE: Duration = Duration::from_secs(30);

/// The same while no peer is known: the store's list is then the only way to find one.
const ALONE_PACE: Duration = Duration::from_secs(5);

/// Time over which all VMs read the entry VMs again, and write their own, after the store was restored: a fleet of
/// hundreds stays under the store's rates.
const AGAIN: Duration = Duration::from_secs(1);

/// Longest wait for another VM's word before the store's is taken, at the start of a process: several times what an
/// answer takes, since a VM that comes back when all others are dark must serve at once.
const ACQUAINTANCE: Duration = Duration::from_millis(60);

/// Follows one table until the process ends.
pub async fn follow(core: Arc<Core>, table: Table) {
    let mut lost = false;
    let mut restored: Option<Moment> = None;
    if table == Table::Settings {
        // The store may hold an older document than other VMs serve, which would be served until they tell.
        core.peers.wait_for_first_peer(ACQUAINTANCE).await;
    }
    while core.phase() < Phase::Ended {
        if is_former(&core, table) {
            restored.get_or_insert_with(clock::now);
            begin_again(&core, table);
        }
        if !reads_for_all(&core, table) && wait_for_word(&core, table).await {
            expire(&core);
            continue;
        }
        let outcome = step(&core, table, &mut restored).await;
        core.fleet.lock().store(answers(&outcome), clock::now());
        match outcome {
            Ok(()) => {
                if lost {
                    lost = false;
                    info!(event = events::STORE_BACK, table = ?table, "the store answers again");
                }
                if table == Table::Fleet && reads_for_all(&core, table) {
                    sleep_on(&core, table, pace(&core, table)).await;
                }
            }
            Err(StoreError::Restored(_)) => {}
            Err(StoreError::Compacted(first)) => {
                info!(event = events::COMPACTED, table = ?table, first = first.0, "records are gone; reading the newest of each key");
                core.table_progress(table).position().require_full_read();
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

fn answers(outcome: &Result<(), StoreError>) -> bool {
    !matches!(
        outcome,
        Err(StoreError::Busy | StoreError::Unreached(_) | StoreError::Unanswered(_))
    )
}

/// Whether this VM is one of those that read a table for all.
fn reads_for_all(core: &Core, table: Table) -> bool {
    core.peers.is_among_first(READERS, LINE + table as u64)
}

/// Longest time without a word on a table.
fn pace(core: &Core, table: Table) -> Duration {
    match table {
        Table::Settings => SETTINGS_WAIT,
        Table::Fleet | Table::Vms | Table::Quarantine => {
            core.settings().durations.drain * FLEET_PACE / 100
        }
    }
}

/// Waits while other VMs' words on a table may come; false if this VM must read for itself.
async fn wait_for_word(core: &Core, table: Table) -> bool {
    let known = core.table_progress(table);
    let left = {
        let mut position = known.position();
        position.renew(clock::now());
        position.time_left(pace(core, table), clock::now())
    };
    if left.is_zero() {
        return false;
    }
    // A word that comes meanwhile gives time again, one that was missed takes it: the next look tells.
    tokio::select! {
        () = known.missed.notified() => {}
        () = sleep_on(core, table, left) => {}
    }
    true
}

/// Sleeps, but no longer than a table's positions are of the store's present timeline.
async fn sleep_on(core: &Core, table: Table, time: Duration) {
    let Some(next) = core.table_progress(table).position().next() else {
        return;
    };
    let mut timelines = core.store.subscribe_timeline();
    drop(timeout(time, timelines.wait_for(|present| next.timeline < *present)).await);
}

/// Whether what is known of a table was read before the store was restored.
fn is_former(core: &Core, table: Table) -> bool {
    let next = core.table_progress(table).position().next();
    next.is_some_and(|next| next.timeline < core.store.timeline())
}

/// Has a table read anew from a store that was restored; what is known of it stays in use meanwhile.
fn begin_again(core: &Core, table: Table) {
    core.fleet.lock().store_restored(clock::now());
    core.table_progress(table).position().require_full_read();
}

async fn step(core: &Core, table: Table, restored: &mut Option<Moment>) -> Result<(), StoreError> {
    let known = core.table_progress(table);
    let asked = clock::now();
    let (next, complete) = {
        let position = known.position();
        (position.next(), position.complete())
    };
    let Some(from) = next else {
        let batch = core.store.snapshot(table).await?;
        let at = batch.next;
        let records = batch.records.len();
        let missing = replace(core, table, batch, complete);
        if let Some(since) = restored.take() {
            info!(event = events::REBUILT, table = ?table, at = %at, records, missing, took_ms = clock::millis(clock::now().since(since)), "read again from the restored store");
        }
        known.position().read(at, clock::now());
        known.position().asked(asked);
        return Ok(());
    };
    let reader = reads_for_all(core, table);
    let wait = match table {
        Table::Settings if reader => SETTINGS_WAIT,
        _ => Duration::ZERO,
    };
    let batch = core.store.changes(table, from, wait).await?;
    let reading = take(core, table, from, batch);
    known.position().read(reading.next, clock::now());
    known.position().asked(asked);
    if reader {
        core.peers.outbox.put_reading(reading);
    }
    Ok(())
}

/// Lets time decide about upstreams whose entries lapsed or are in doubt.
fn expire(core: &Core) {
    let changes = core.fleet.lock().expire(clock::now());
    for (id, change) in changes {
        info!(event = events::UPSTREAM, upstream = %id, change = ?change, "belief about an upstream changed by time");
    }
}

/// Keeps this VM's entry in the store, and reads the others'.
pub async fn vms(core: Arc<Core>) {
    let mut timelines = core.store.subscribe_timeline();
    while core.phase() < Phase::Ended {
        timelines.mark_unchanged();
        let listed = match core.store.snapshot(Table::Vms).await {
            Ok(batch) => take_vms(&core, batch),
            Err(error) => {
                info!(event = events::STORE_LOST, table = ?Table::Vms, %error, "entry VMs not read");
                sleep(RETRY * 3).await;
                continue;
            }
        };
        if !listed && let Err(error) = write_vm_entry(&core).await {
            warn!(event = events::STORE_LOST, table = ?Table::Vms, %error, "own entry not written");
            sleep(RETRY * 3).await;
            continue;
        }
        let alone = core.peers.addrs_by_status().alive.is_empty();
        let pace = if alone { ALONE_PACE } else { VMS_PACE };
        if timeout(pace, timelines.changed()).await.is_ok() {
            // All VMs notice within a moment that their entries may be gone.
            sleep(turn(&core)).await;
        }
    }
}

/// The time after which this VM writes its entry again, spread over all VMs.
fn turn(core: &Core) -> Duration {
    let place = rank(LINE, seed(core.settings().vm.as_str()));
    AGAIN * (place >> 56) as u32 / (1 << 8)
}

async fn write_vm_entry(core: &Core) -> Result<(), StoreError> {
    let settings = core.settings();
    core.store
        .write_vm_entry(&settings.vm, settings.listen.peers)
        .await
}

/// Takes in the entry VMs; whether this one is among them.
fn take_vms(core: &Core, batch: Batch) -> bool {
    let records = batch.records.into_iter().map(|(_, record)| record);
    let vms: Vec<_> = records
        .filter_map(|record| match record {
            Record::Vm(vm, addr) => Some((vm, addr)),
            Record::Unreadable(record) => {
                report(core, &record);
                None
            }
            _ => None,
        })
        .collect();
    let me = (core.settings().vm.clone(), core.settings().listen.peers);
    let listed = vms.contains(&me);
    core.peers.seed_members(vms);
    listed
}
