//! Queue of updates to broadcast to all peers.

use super::message::EngineUpdate;
use super::repeated::take_repeated;
use crate::follow::TableReading;
use sesamegap_policy::agreement::membership::MemberUpdate;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use tokio::sync::Notify;

/// How often each update on an engine or a VM is sent: a lost datagram costs requests that the engine then refuses, or leaves
/// a VM named or not named for seconds.
const SEND_COUNT: u8 = 2;

/// Updates that are still to be sent, and how often.
#[derive(Debug, Default)]
pub struct Outbox {
    engines: Mutex<Vec<(EngineUpdate, u8)>>,
    stores: Mutex<Vec<SocketAddr>>,
    readings: Mutex<Vec<TableReading>>,
    members: Mutex<Vec<(MemberUpdate, u8)>>,
    /// Wakes the task that sends readings.
    pub reading_queued: Notify,
}

impl Outbox {
    /// Queues a report that a kept-KV store does not respond.
    pub fn put_store(&self, store: SocketAddr) {
        let mut stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        if !stores.contains(&store) {
            stores.push(store);
        }
    }

    /// Takes the stores to report as unavailable.
    pub fn stores(&self) -> Vec<SocketAddr> {
        let mut stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut stores)
    }

    /// Queues a reading of the store that this VM made for all VMs.
    pub fn put_reading(&self, reading: impl Into<TableReading>) {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        readings.push(reading.into());
        self.reading_queued.notify_one();
    }

    /// Takes the readings to broadcast.
    pub fn readings(&self) -> Vec<TableReading> {
        let mut readings = self.readings.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut readings)
    }

    /// Queues an update on a VM that all peers need at once.
    pub fn put_member(&self, update: MemberUpdate) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.push((update, SEND_COUNT));
    }

    /// Takes the updates on VMs to broadcast.
    pub fn members(&self) -> Vec<MemberUpdate> {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        take_repeated(&mut members)
    }

    /// Queues an engine update; it replaces an older one of the same engine.
    pub fn put(&self, update: EngineUpdate) {
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.retain(|(old, _)| old.engine != update.engine);
        engines.push((update, SEND_COUNT));
    }

    /// Takes the engine updates to broadcast.
    pub fn take(&self) -> Vec<EngineUpdate> {
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        take_repeated(&mut engines)
    }
}
