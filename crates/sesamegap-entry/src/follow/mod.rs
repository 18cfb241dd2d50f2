//! Follows the store: the operator's settings, the fleet, and the entry VMs.
//!
//! A few VMs, the readers, read each table for all others. Settings change rarely, so readers use calls that wait
//! at the store for a change (long polling). The fleet list changes with every heartbeat of every upstream, so such
//! a call would return at once; the list is polled at a fixed interval instead, which bounds the number of calls
//! whatever the size of the fleet. All other VMs apply the readers' updates, and read the table themselves when they
//! miss one.

mod apply;
mod reports;
mod updates;

pub use updates::{TableState, TableUpdate, apply_batch, apply_update};

use crate::clock;
use crate::core::{Core, Phase};
use crate::ports::{Batch, Record, StoreError, Table};
use crate::telemetry::events;
use apply::{log_unreadable, replace_table};
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::reading::READERS;
use sesamegap_wire::Moment;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Maximum wait of a call for changed settings: short enough to detect a dead connection well before a change must
/// be in force.
const SETTINGS_WAIT: Duration = Duration::from_millis(2_500);

/// Polling interval of the fleet list, in percent of the time after which a leaving upstream must get no more
/// requests. The rest covers the slowest call and a request that is on its way.
const FLEET_INTERVAL_PERCENT: u32 = 65;

/// Key of the ranking that selects the readers of a table; the number of the table is added to it.
const RANK_KEY: u64 = 16;

/// Delay after a failed call. Calls are billed and rate-limited, rejected ones too.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Polling interval of the list of entry VMs; peers learn of each other much sooner by gossip.
const VMS_INTERVAL: Duration = Duration::from_secs(30);

/// Polling interval while no live peer is known: the store's list is then the only way to find one.
const ALONE_INTERVAL: Duration = Duration::from_secs(5);

/// Time over which all VMs spread reading the list of entry VMs and writing their own entries after the store was
/// restored, so that hundreds of VMs stay below its rate limits.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);

/// Maximum wait for a peer's settings before the store's are used, at the start of a process. It is several times
/// the response time of a peer, and short because a VM that returns while all others are unreachable must serve at
/// once.
const PEER_WAIT: Duration = Duration::from_millis(60);

/// Follows one table until the process ends.
pub async fn follow(core: Arc<Core>, table: Table) {
    let mut unreachable = false;
    let mut restored: Option<Moment> = None;
    if table == Table::Settings {
        // The store may hold an older document than other VMs use, which would be in force until they report theirs.
        core.peers.wait_for_first_peer(PEER_WAIT).await;
    }
    while core.phase() < Phase::Ended {
        if predates_restore(&core, table) {
            restored.get_or_insert_with(clock::now);
            restart_table(&core, table);
        }
        if !is_reader(&core, table) && wait_for_update(&core, table).await {
            expire(&core);
            continue;
        }
        let outcome = read_table(&core, table, &mut restored).await;
        core.fleet
            .lock()
            .record_store_response(is_answered(&outcome), clock::now());
        match outcome {
            Ok(()) => {
                if unreachable {
                    unreachable = false;
                    info!(event = events::STORE_BACK, table = ?table, "store answers again");
                }
                if table == Table::Fleet && is_reader(&core, table) {
                    sleep_unless_restored(&core, table, max_silence(&core, table)).await;
                }
            }
            Err(StoreError::Restored(_)) => {}
            Err(StoreError::Compacted(first)) => {
                info!(event = events::COMPACTED, table = ?table, first = first.0, "log was compacted; reading the newest record of each key");
                core.table_progress(table).position().require_full_read();
            }
            Err(error) => {
                if !unreachable {
                    unreachable = true;
                    warn!(event = events::STORE_LOST, table = ?table, %error, "store does not answer");
                }
                sleep(RETRY_DELAY).await;
            }
        }
        expire(&core);
    }
}

fn is_answered(outcome: &Result<(), StoreError>) -> bool {
    !matches!(
        outcome,
        Err(StoreError::Busy | StoreError::Unreached(_) | StoreError::Unanswered(_))
    )
}

/// Whether this VM is a reader of a table.
fn is_reader(core: &Core, table: Table) -> bool {
    core.peers.is_among_first(READERS, RANK_KEY + table as u64)
}

/// Maximum time without an update of a table.
fn max_silence(core: &Core, table: Table) -> Duration {
    match table {
        Table::Settings => SETTINGS_WAIT,
        Table::Fleet | Table::Vms | Table::Quarantine => {
            core.settings().spans.drain * FLEET_INTERVAL_PERCENT / 100
        }
    }
}

/// Waits for an update of a table; returns false if this VM must read the table itself.
async fn wait_for_update(core: &Core, table: Table) -> bool {
    let known = core.table_progress(table);
    let left = {
        let mut position = known.position();
        position.renew(clock::now());
        position.time_left(max_silence(core, table), clock::now())
    };
    if left.is_zero() {
        return false;
    }
    // An update that arrives meanwhile extends the time left, and a missed one ends it; the next call finds out.
    tokio::select! {
        () = known.missed.notified() => {}
        () = sleep_unless_restored(core, table, left) => {}
    }
    true
}

/// Sleeps until the time is over or the table's position is on an older timeline than the store. Returns at once if the
/// whole table must be read.
async fn sleep_unless_restored(core: &Core, table: Table, time: Duration) {
    let Some(next) = core.table_progress(table).position().next() else {
        return;
    };
    let mut timelines = core.store.subscribe_timeline();
    drop(timeout(time, timelines.wait_for(|present| next.timeline < *present)).await);
}

/// Whether a table was last read before the store was restored.
fn predates_restore(core: &Core, table: Table) -> bool {
    let next = core.table_progress(table).position().next();
    next.is_some_and(|next| next.timeline < core.store.timeline())
}

/// Requires a full read of a table from a restored store; what is known of it stays in use meanwhile.
fn restart_table(core: &Core, table: Table) {
    core.fleet.lock().record_store_restore(clock::now());
    core.table_progress(table).position().require_full_read();
}

async fn read_table(
    core: &Core,
    table: Table,
    restored: &mut Option<Moment>,
) -> Result<(), StoreError> {
    let known = core.table_progress(table);
    let started = clock::now();
    let (next, complete) = {
        let position = known.position();
        (position.next(), position.complete_until())
    };
    let Some(from) = next else {
        let batch = core.store.snapshot(table).await?;
        let at = batch.next;
        let records = batch.records.len();
        let missing = replace_table(core, table, batch, complete);
        if let Some(since) = restored.take() {
            info!(event = events::REBUILT, table = ?table, at = %at, records, missing, took_ms = clock::millis(clock::now().since(since)), "table was read again from the restored store");
        }
        known.position().record_read(at, clock::now());
        known.position().record_call(started);
        return Ok(());
    };
    let reader = is_reader(core, table);
    let wait = match table {
        Table::Settings if reader => SETTINGS_WAIT,
        _ => Duration::ZERO,
    };
    let batch = core.store.changes(table, from, wait).await?;
    let update = apply_batch(core, table, from, batch);
    known.position().record_read(update.next, clock::now());
    known.position().record_call(started);
    if reader {
        core.peers.outbox.put_reading(update);
    }
    Ok(())
}

/// Applies time limits to upstreams whose entries lapsed or are doubted.
fn expire(core: &Core) {
    let changes = core.fleet.lock().expire(clock::now());
    for (id, change) in changes {
        info!(event = events::UPSTREAM, upstream = %id, change = ?change, "belief about an upstream changed by time");
    }
}

/// Keeps this VM's entry in the store and reads those of the others, until the process ends.
pub async fn follow_vms(core: Arc<Core>) {
    let mut timelines = core.store.subscribe_timeline();
    while core.phase() < Phase::Ended {
        timelines.mark_unchanged();
        let listed = match core.store.snapshot(Table::Vms).await {
            Ok(batch) => apply_vms(&core, batch),
            Err(error) => {
                info!(event = events::STORE_LOST, table = ?Table::Vms, %error, "cannot read the list of entry VMs");
                sleep(RETRY_DELAY * 3).await;
                continue;
            }
        };
        if !listed && let Err(error) = write_vm_entry(&core).await {
            warn!(event = events::STORE_LOST, table = ?Table::Vms, %error, "cannot write this VM's entry");
            sleep(RETRY_DELAY * 3).await;
            continue;
        }
        let alone = core.peers.addrs_by_status().alive.is_empty();
        let interval = if alone { ALONE_INTERVAL } else { VMS_INTERVAL };
        if timeout(interval, timelines.changed()).await.is_ok() {
            // All VMs find out at almost the same time that the restored store may lack their entries.
            sleep(restore_delay(&core)).await;
        }
    }
}

/// This VM's share of [`RESTORE_SPREAD`], after which it writes its entry again.
fn restore_delay(core: &Core) -> Duration {
    let own_rank = rank(RANK_KEY, seed(core.settings().vm.as_str()));
    RESTORE_SPREAD * (own_rank >> 56) as u32 / (1 << 8)
}

async fn write_vm_entry(core: &Core) -> Result<(), StoreError> {
    let settings = core.settings();
    core.store
        .write_vm_entry(&settings.vm, settings.listen.peers)
        .await
}

/// Applies the list of entry VMs; returns whether this VM is in it.
fn apply_vms(core: &Core, batch: Batch) -> bool {
    let records = batch.records.into_iter().map(|(_, record)| record);
    let vms: Vec<_> = records
        .filter_map(|record| match record {
            Record::Vm(vm, addr) => Some((vm, addr)),
            Record::Unreadable(record) => {
                log_unreadable(core, &record);
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
