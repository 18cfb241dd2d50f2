//! The store's list of entry VMs, through which VMs find each other after all of them were restarted.

use super::{RANK_KEY, apply::log_unreadable};
use crate::core::{Core, Phase};
use crate::ports::{Batch, Record, StoreError, Table};
use crate::telemetry::events;
use sesamegap_policy::routing::engines::{rank, seed};
use sesamegap_policy::routing::reading::{Backoff, READERS, longest_delay};
use sesamegap_wire::{LogPosition, VmId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Polling interval of the list on VMs that read it for all others; these learn of new VMs by gossip.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// Polling interval while no live peer is known: the store's list is then the only way to find one.
const ALONE_INTERVAL: Duration = Duration::from_secs(5);

/// Delay between writing this VM's entry for the first time and reading the list again. All VMs of a new fleet start
/// within a few tenths of a second, and the list that each reads first lacks those that start after it.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Delay between hearing that peers took this VM for dead and reading the list. It bounds the calls of VMs that are taken
/// for dead again and again.
const DOUBT_DELAY: Duration = Duration::from_secs(5);

/// Most entries that are removed after one read of the list.
const MAX_REMOVED: usize = 16;

/// Time over which all VMs spread reading the list of entry VMs and writing their own entries after the store was
/// restored, so that hundreds of VMs stay below its rate limits.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);

/// Keeps this VM's entry in the store and reads those of the others, until the process ends.
pub async fn follow_vms(core: Arc<Core>) {
    let mut timelines = core.store.subscribe_timeline();
    let mut backoff = Backoff::default();
    while core.phase() < Phase::Exiting {
        timelines.mark_unchanged();
        if let Err(error) = update_entry(&core).await {
            info!(event = events::STORE_LOST, table = ?Table::Vms, %error, "cannot read the list of entry VMs or write this VM's entry");
            core.peers.set_list_known();
            let longest = longest_delay(core.peers.count());
            let delay = backoff.fail(longest, &mut rand::rng());
            sleep(delay).await;
            continue;
        }
        backoff.reset();
        core.peers.set_list_known();
        let is_restored = tokio::select! {
            changed = timeout(read_interval(&core), timelines.changed()) => changed.is_ok(),
            () = core.peers.list_doubted.notified() => {
                sleep(DOUBT_DELAY).await;
                false
            }
        };
        if is_restored {
            // All VMs find out at almost the same time that the restored store may lack their entries.
            sleep(restore_delay(&core)).await;
        }
    }
}

/// Reads the list, and writes this VM's entry if the list lacks it.
async fn update_entry(core: &Core) -> Result<(), StoreError> {
    let batch = core.store.snapshot(Table::Vms).await?;
    let next = batch.next;
    let mut vms = decode(core, batch);
    core.peers.seed_members(vms.clone());
    if is_listed(core, &vms) {
        remove_dead(core, next).await;
        return Ok(());
    }
    let settings = core.settings();
    core.store
        .write_vm_entry(&settings.vm, settings.listen.peers)
        .await?;
    sleep(SETTLE_TIME).await;
    let batch = core.store.changes(Table::Vms, next, Duration::ZERO).await?;
    for vm in removed(&batch) {
        vms.retain(|(known, _)| *known != vm);
    }
    for (vm, addr) in decode(core, batch) {
        vms.retain(|(known, _)| *known != vm);
        vms.push((vm, addr));
    }
    if !is_listed(core, &vms) {
        warn!(event = events::STORE_LOST, table = ?Table::Vms, "the list of entry VMs lacks this VM's entry");
    }
    core.peers.seed_members(vms);
    Ok(())
}

/// Removes the entries of VMs that have been dead for long, on the first of the VMs that read the list for all others.
///
/// Every process that begins would probe these VMs, and divide fleet-wide bounds by them.
async fn remove_dead(core: &Core, end: LogPosition) {
    if core.peers.rank(RANK_KEY + Table::Vms as u64) > 0 {
        return;
    }
    let mut at = end;
    for vm in core.peers.removable().into_iter().take(MAX_REMOVED) {
        match core.store.remove_vm_entry(&vm, at).await {
            Ok(end) => {
                info!(event = events::MEMBER, vm = %vm, at = %at, "removed the entry of a VM that has been dead for long");
                at = end;
            }
            Err(error) => {
                info!(event = events::MEMBER, vm = %vm, at = %at, %error, "the entry of a dead VM was not removed; the next read of the list tries again");
                return;
            }
        }
    }
}

/// The VMs of removed entries, of a batch of records.
fn removed(batch: &Batch) -> Vec<VmId> {
    let records = batch.records.iter();
    let removed = records.filter_map(|(_, record)| match record {
        Record::VmRemoved(vm) => Some(vm.clone()),
        _ => None,
    });
    removed.collect()
}

/// How long until this VM reads the list again.
///
/// If every VM read it at the same interval, calls and bytes would grow with the number and the square of the number of
/// VMs.
fn read_interval(core: &Core) -> Duration {
    if core.peers.addrs_by_status().alive.is_empty() {
        return ALONE_INTERVAL;
    }
    let rank = core.peers.rank(RANK_KEY + Table::Vms as u64);
    let turns = u32::try_from(rank / READERS).unwrap_or(u32::MAX);
    READ_INTERVAL.saturating_mul(turns.saturating_add(1))
}

/// This VM's share of [`RESTORE_SPREAD`], after which it writes its entry again.
fn restore_delay(core: &Core) -> Duration {
    let own_rank = rank(RANK_KEY, seed(core.settings().vm.as_str()));
    RESTORE_SPREAD * (own_rank >> 56) as u32 / (1 << 8)
}

/// The entry VMs of a batch of records.
fn decode(core: &Core, batch: Batch) -> Vec<(VmId, SocketAddr)> {
    let records = batch.records.into_iter().map(|(_, record)| record);
    let vms = records.filter_map(|record| match record {
        Record::Vm(vm, addr) => Some((vm, addr)),
        Record::Unreadable(record) => {
            log_unreadable(core, &record);
            None
        }
        _ => None,
    });
    vms.collect()
}

/// Whether a list has this VM's entry.
fn is_listed(core: &Core, vms: &[(VmId, SocketAddr)]) -> bool {
    let settings = core.settings();
    let mut listed = vms.iter();
    listed.any(|(vm, addr)| *vm == settings.vm && *addr == settings.listen.peers)
}
