//! What can be done to a running deployment.

use super::Addresses;
use crate::control::Engines;
use crate::engine::EngineStandin;
use crate::faults::{Fault, FaultError, Hit, Span};
use crate::host::Host;
use crate::platform::log::LogStandin;
use crate::platform::vms::VmBoard;
use crate::platform::weights::WeightShelf;
use crate::record::{Executions, Record};
use crate::store::StoreStandin;
use crate::worker::WorkerStandin;
use blake3::Hash;
use sesamegap_platform::VmState;
use std::fmt;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::sleep;

/// Whoever runs the routers, and can restart them.
pub trait Restart: Send + Sync + fmt::Debug {
    /// Restarts one router, or all of them at once.
    ///
    /// # Errors
    /// If there is no such router.
    fn restart(&self, router: Option<&str>) -> Result<(), FaultError>;
}

/// What can be done to a running deployment.
#[derive(Debug)]
pub(crate) struct Controls {
    pub(crate) addresses: Addresses,
    pub(crate) operator: Hash,
    pub(crate) log: Arc<LogStandin>,
    pub(crate) vms: Arc<VmBoard>,
    pub(crate) weights: Arc<WeightShelf>,
    pub(crate) engines: Vec<Arc<EngineStandin>>,
    pub(crate) store: Option<Arc<StoreStandin>>,
    pub(crate) workers: Vec<Arc<WorkerStandin>>,
    pub(crate) hosts: Vec<Arc<Host>>,
    pub(crate) record: Arc<Record>,
    pub(crate) restart: OnceLock<Arc<dyn Restart>>,
}

impl Controls {
    pub(crate) fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    pub(crate) fn executions(&self) -> Executions {
        self.record.read()
    }

    pub(crate) fn engines(&self) -> Engines {
        let (loads, peak) = self.weights.loads();
        Engines {
            engines: self.engines.iter().map(|engine| engine.state()).collect(),
            loads,
            peak,
        }
    }

    pub(crate) fn engine(&self, name: &str) -> Option<&Arc<EngineStandin>> {
        self.engines
            .iter()
            .find(|engine| engine.id.as_str() == name)
    }

    /// Breaks all connections and ends all work, whose tasks would otherwise go on.
    pub(crate) fn end(&self) {
        for host in &self.hosts {
            host.gate.cut();
        }
        for engine in &self.engines {
            engine.end();
        }
    }

    fn worker(&self, name: &str) -> Option<&Arc<WorkerStandin>> {
        self.workers
            .iter()
            .find(|worker| worker.id().as_str() == name)
    }

    /// The first hook stays; a second one is not needed by anybody.
    pub(crate) fn on_restart(&self, hook: Arc<dyn Restart>) {
        let _set_before = self.restart.set(hook);
    }

    /// Brings about a fault.
    pub(crate) fn fault(
        self: &Arc<Self>,
        hit: Hit,
        target: Option<&str>,
    ) -> Result<(), FaultError> {
        match hit.fault {
            Fault::LogDown => {
                self.log_down(hit.span);
                Ok(())
            }
            Fault::LogSlow | Fault::LogLostAnswer => {
                self.log.host().switches.set(hit);
                Ok(())
            }
            Fault::VmLeaving => self.vm_leaving(hit.span, target),
            Fault::RouterRestart => self.restart_of(target),
            Fault::RoutersRestart => self.restart_of(None),
            _ => self.upstream_fault(hit, target),
        }
    }

    /// Makes an upstream refuse new work, or take it again.
    pub(crate) fn refuse(&self, name: &str, leaving: bool) -> Result<(), FaultError> {
        if let Some(engine) = self.engine(name) {
            engine.set_leaving(leaving, leaving);
        } else if let Some(worker) = self.worker(name) {
            worker.set_leaving(leaving);
        } else {
            return Err(unknown(name));
        }
        Ok(())
    }

    fn upstream_fault(&self, hit: Hit, target: Option<&str>) -> Result<(), FaultError> {
        let wanted = |name: &str| target.is_none_or(|target| target == name);
        let mut found = false;
        for engine in self.engines.iter().filter(|e| wanted(e.id.as_str())) {
            engine.switch(hit);
            found = true;
        }
        for worker in self.workers.iter().filter(|w| wanted(w.id().as_str())) {
            found |= switch_worker(worker, hit);
        }
        if found {
            return Ok(());
        }
        let target = target.unwrap_or("any upstream");
        Err(FaultError::new(format!(
            "{} cannot hit {target}",
            hit.fault
        )))
    }

    fn log_down(self: &Arc<Self>, span: Span) {
        let controls = Arc::clone(self);
        controls.log.host().gate.set_down(true);
        after(span, move || controls.log.host().gate.set_down(false));
    }

    fn vm_leaving(self: &Arc<Self>, span: Span, target: Option<&str>) -> Result<(), FaultError> {
        let name = target.ok_or_else(|| FaultError::new("name the VM as `target`"))?;
        let listed = self.vms.mark(name, VmState::Leaving);
        let refuses = self.refuse(name, true).is_ok();
        if !listed && !refuses {
            return Err(unknown(name));
        }
        if let Span::For(_) = span {
            let (controls, name) = (Arc::clone(self), name.to_owned());
            after(span, move || {
                controls.vms.mark(&name, VmState::Live);
                // An entry VM refuses nothing here, so there is nothing to take back.
                let _is_upstream = controls.refuse(&name, false);
            });
        }
        Ok(())
    }

    fn restart_of(&self, router: Option<&str>) -> Result<(), FaultError> {
        match self.restart.get() {
            Some(hook) => hook.restart(router),
            None => Err(FaultError::new("no routers are run beside these stand-ins")),
        }
    }
}

/// Switches a fault on at a worker, and tells whether it can hit one.
fn switch_worker(worker: &WorkerStandin, hit: Hit) -> bool {
    match hit.fault {
        Fault::EngineSilent => {
            worker.host().gate.silence();
        }
        Fault::LateAnswer | Fault::CrossedAnswer | Fault::ReplyLost => {
            worker.host().switches.set(hit);
        }
        _ => return false,
    }
    true
}

fn unknown(name: &str) -> FaultError {
    FaultError::new(format!("there is no {name} here"))
}

/// Undoes a fault after its span; one without a span is undone at once.
fn after(span: Span, undo: impl FnOnce() + Send + 'static) {
    let time = match span {
        Span::Once => Duration::ZERO,
        Span::For(time) => time,
    };
    tokio::spawn(async move {
        sleep(time).await;
        undo();
    });
}
