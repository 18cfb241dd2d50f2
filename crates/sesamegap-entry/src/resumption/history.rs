//! Keeps in the store which software versions of a service can have begun streams that still go on.
//!
//! Each VM reads it when it starts, since all may have been killed and the last upstream of a version may have left
//! meanwhile. The first VM in a ranking writes what has changed: twice in a release, when a version appears and once the
//! streams of one that left are over.

use super::client::is_list_current;
use crate::clock;
use crate::core::{Core, Phase};
use crate::ports::{Record, StoreError, Table};
use crate::telemetry::events;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ServiceId, SoftwareVersion, Timeline};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::info;

/// Key of the ranking that selects the VM that writes.
const RANK_KEY: u64 = 0x5645_5253;

/// Interval of comparing what this VM knows with what it has written.
const INTERVAL: Duration = Duration::from_millis(250);

/// Timeline of a store that was never restored, if it states any.
const FIRST_TIMELINE: Timeline = Timeline(1);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What this VM knows of the store's table, as a task keeps it up to date.
#[derive(Debug, Default)]
pub struct History {
    /// The timeline on which the table was read; `None` before.
    read_on: Option<Timeline>,
    /// What this VM has written since it is the one that writes.
    written: FxHashMap<ServiceId, BTreeSet<SoftwareVersion>>,
}

/// Reads the table, and keeps it up to date while this VM is the one that writes it, until the process ends.
pub async fn run_history(core: Arc<Core>) {
    core.peers.wait_for_list().await;
    let mut history = History::default();
    while core.phase() < Phase::Exiting {
        let delay = match history.step(&core).await {
            Ok(()) => INTERVAL,
            Err(error) => {
                info!(event = events::STORE_LOST, table = ?Table::Versions, %error, "failed to synchronize software versions with the store");
                RETRY_DELAY
            }
        };
        sleep(delay).await;
    }
}

impl History {
    /// Reads the table if it was not read yet, or else writes what differs, if this VM is the one that writes.
    ///
    /// # Errors
    /// If a call to the store failed.
    pub async fn step(&mut self, core: &Core) -> Result<(), StoreError> {
        if self.read_on.is_none() || core.fleet.lock().lacks_history() {
            // What it lacks is written with the next step: the VMs that were killed with this one are to read the same.
            return self.read(core).await;
        }
        // A restored store may have lost what was written.
        let timeline = core.store.timeline();
        let is_restored = self.read_on != Some(timeline);
        if is_restored || !core.peers.is_among_first(1, RANK_KEY) {
            self.written.clear();
            self.read_on = Some(timeline);
        }
        if core.peers.is_among_first(1, RANK_KEY) {
            self.write(core).await?;
        }
        Ok(())
    }

    async fn read(&mut self, core: &Core) -> Result<(), StoreError> {
        let batch = core.store.snapshot(Table::Versions).await?;
        let mut stored: FxHashMap<ServiceId, BTreeSet<SoftwareVersion>> = FxHashMap::default();
        let mut is_whole = true;
        for (_, record) in batch.records {
            match record {
                Record::Versions(service, versions) if versions.is_empty() => {
                    is_whole = false;
                    info!(event = events::UNREADABLE, %service, "a service without software versions");
                }
                Record::Versions(service, versions) => {
                    info!(event = events::STREAM_LOG, %service, ?versions, "software versions that can have begun streams");
                    stored.insert(service, versions);
                }
                Record::Unreadable(report) => {
                    is_whole = false;
                    info!(
                        event = events::UNREADABLE,
                        ?report,
                        "cannot decode the software versions of a service"
                    );
                }
                _ => {}
            }
        }
        // The copy of a restored store may be older than the table.
        is_whole &= !stored.is_empty() || core.store.timeline() <= FIRST_TIMELINE;
        let now = clock::now();
        core.fleet.lock().record_history(&stored, is_whole, now);
        self.read_on = Some(core.store.timeline());
        Ok(())
    }

    async fn write(&mut self, core: &Core) -> Result<(), StoreError> {
        let Some(catalogue) = core.catalogue() else {
            return Ok(());
        };
        // What a VM that lags knows would take away what others have written.
        if !is_list_current(core) {
            return Ok(());
        }
        for (service, window) in catalogue.resumption_windows() {
            let versions = {
                let mut fleet = core.fleet.lock();
                let now = clock::now();
                if !fleet.covers_versions(service, *window, now) {
                    continue;
                }
                fleet.versions_within(service, catalogue.kv_stores(), *window, now)
            };
            if versions.is_empty() || self.written.get(service) == Some(&versions) {
                continue;
            }
            core.store.write_versions(service, &versions).await?;
            info!(event = events::STREAM_LOG, %service, ?versions, window_ms = clock::millis(*window), "wrote the software versions that can have begun streams");
            self.written.insert(service.clone(), versions);
        }
        Ok(())
    }
}

/// Whether several software versions of a service can have begun streams that are taken up from now on.
pub(super) fn is_divided(core: &Core, service: &ServiceId) -> bool {
    let Some(catalogue) = core.catalogue() else {
        return false;
    };
    let Some(window) = catalogue.resumption_windows().get(service) else {
        return false;
    };
    let mut fleet = core.fleet.lock();
    let versions = fleet.versions_within(service, catalogue.kv_stores(), *window, clock::now());
    versions.len() > 1
}
