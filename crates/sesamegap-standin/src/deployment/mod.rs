//! A whole set of stand-ins on loopback, running as tasks of the caller's runtime.
//!
//! [`Deployment::start`] opens every stand-in of a [`Plan`] on a free port. Everything ends when
//! the deployment is dropped. Faults can be brought about here or over the control address.

mod addresses;
mod controls;
mod start;

pub use addresses::Addresses;
pub use controls::Restart;

pub(crate) use controls::Controls;

use crate::control::Engines;
use crate::engine::{EngineState, Tag};
use crate::faults::{FaultError, Hit};
use crate::host::Task;
use crate::plan::Plan;
use crate::record::Executions;
use sesamegap_platform::{VmEntry, VmState};
use sesamegap_wire::{BlockKey, ModelId, Offset, StreamId, WeightsVersion};
use std::io::Result as IoResult;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running set of stand-ins.
#[derive(Debug)]
pub struct Deployment {
    controls: Arc<Controls>,
    _tasks: Vec<Task>,
}

impl Deployment {
    /// Opens all stand-ins of a plan.
    ///
    /// # Errors
    /// If a port cannot be opened.
    pub async fn start(plan: Plan) -> IoResult<Self> {
        let (controls, tasks) = start::start(plan).await?;
        Ok(Self {
            controls,
            _tasks: tasks,
        })
    }

    /// Where each stand-in listens.
    pub fn addresses(&self) -> &Addresses {
        self.controls.addresses()
    }

    /// Adds a VM to the list at once, as one that was there from the start.
    pub fn enlist(&self, entry: &VmEntry) {
        self.controls.vms.enlist(entry);
    }

    /// Takes a VM out of the list, which shows after the list's lag.
    pub fn delist(&self, addr: SocketAddr) {
        self.controls.vms.delist(addr);
    }

    /// Marks a VM in the list alone, which shows after the list's lag; tells whether it is there.
    pub fn mark(&self, name: &str, state: VmState) -> bool {
        self.controls.vms.mark(name, state)
    }

    /// Makes an upstream refuse new work because it is leaving, without a word in the list.
    ///
    /// # Errors
    /// If there is no such upstream.
    pub fn refuse(&self, name: &str, leaving: bool) -> Result<(), FaultError> {
        self.controls.refuse(name, leaving)
    }

    /// Brings about a fault at one target, or at all that it can hit.
    ///
    /// # Errors
    /// If the fault cannot hit that target.
    pub fn fault(&self, hit: Hit, target: Option<&str>) -> Result<(), FaultError> {
        self.controls.fault(hit, target)
    }

    /// Sets who restarts routers when such a fault is asked for.
    pub fn on_restart(&self, hook: Arc<dyn Restart>) {
        self.controls.on_restart(hook);
    }

    /// All that was run so far.
    pub fn executions(&self) -> Executions {
        self.controls.executions()
    }

    /// The engines and their loads.
    pub fn engines(&self) -> Engines {
        self.controls.engines()
    }

    /// One engine.
    pub fn engine(&self, name: &str) -> Option<EngineState> {
        let engine = self.controls.engine(name)?;
        Some(engine.state())
    }

    /// How many of the keys, from the first on without a gap, the best engine holds.
    pub fn held(&self, keys: &[BlockKey]) -> usize {
        let engines = self.controls.engines.iter();
        let held = engines.map(|engine| engine.holds(keys));
        held.max().unwrap_or(0)
    }

    /// Puts a block into the kept-KV store, if there is one.
    pub fn keep(&self, key: BlockKey, tag: Tag) {
        if let Some(store) = &self.controls.store {
            store.put(key, tag);
        }
    }

    /// Adds a version to the weight store.
    pub fn add_version(&self, model: &ModelId, version: WeightsVersion) {
        self.controls.weights.add(model, version);
    }

    /// Drops the records of a stream before an offset, as if retention had.
    pub fn expire(&self, stream: &StreamId, before: Offset) {
        self.controls.log.expire(stream, before);
    }

    /// Takes the log away for good, or brings it back.
    pub fn set_log_down(&self, down: bool) {
        self.controls.log.host().gate.set_down(down);
    }
}

impl Drop for Deployment {
    /// Ends the connections and the work that outlive the listening sockets.
    fn drop(&mut self) {
        self.controls.end();
    }
}
