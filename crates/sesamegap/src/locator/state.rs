//! What a locator has seen of the routers.

use super::choice::Candidate;
use sesamegap_platform::{VmEntry, VmRole, VmState};
use sesamegap_wire::{DomainId, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Probes in a row without an answer after which a router is not named any longer.
///
/// One lost probe is common and would take a working router from its callers; three in a row take
/// a second and a half at the usual pace, and callers have other addresses meanwhile.
const MISSES: u32 = 3;

/// What a router said to the last probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It serves.
    Serves,
    /// It answers that it is leaving or not ready.
    Refuses,
    /// It did not answer so many times in a row.
    Missed(u32),
    /// It was never asked.
    Unasked,
}

#[derive(Debug, Clone)]
struct Known {
    addr: SocketAddr,
    domain: DomainId,
    leaving: bool,
    health: Health,
}

impl Known {
    fn is_named(&self) -> bool {
        let answers = match self.health {
            Health::Serves => true,
            Health::Missed(count) => count < MISSES,
            Health::Refuses | Health::Unasked => false,
        };
        answers && !self.leaving
    }
}

/// The routers by VM.
#[derive(Debug)]
pub struct Seen {
    vm: VmId,
    home: DomainId,
    routers: Mutex<BTreeMap<VmId, Known>>,
}

impl Seen {
    /// Starts with no router known, on a VM in a failure domain.
    pub fn new(vm: VmId, home: DomainId) -> Self {
        Self {
            vm,
            home,
            routers: Mutex::default(),
        }
    }

    /// Failure domain of the locator's own VM.
    pub fn home(&self) -> &DomainId {
        &self.home
    }

    /// Takes the platform's list in place of the former one.
    pub fn take_list(&self, list: &[VmEntry]) {
        let mut routers = self.lock();
        let mut fresh = BTreeMap::new();
        for entry in list {
            let VmRole::Entry { vm, .. } = &entry.role else {
                continue;
            };
            let old = routers.get(vm).filter(|old| old.addr == entry.addr);
            let known = Known {
                addr: entry.addr,
                domain: entry.domain.clone(),
                leaving: entry.state == VmState::Leaving,
                health: old.map_or(Health::Unasked, |old| old.health),
            };
            fresh.insert(vm.clone(), known);
        }
        *routers = fresh;
    }

    /// Takes the outcome of one probe, `None` if there was no answer.
    pub fn probed(&self, vm: &VmId, serves: Option<bool>) {
        let mut routers = self.lock();
        let Some(known) = routers.get_mut(vm) else {
            return;
        };
        known.health = match (serves, known.health) {
            (Some(true), _) => Health::Serves,
            (Some(false), _) => Health::Refuses,
            (None, Health::Serves) => Health::Missed(1),
            (None, Health::Missed(count)) => Health::Missed(count.saturating_add(1)),
            (None, Health::Refuses | Health::Unasked) => Health::Missed(MISSES),
        };
    }

    /// Routers to probe.
    pub fn listed(&self) -> Vec<(VmId, SocketAddr, DomainId)> {
        let routers = self.lock();
        let all = routers.iter();
        all.map(|(vm, known)| (vm.clone(), known.addr, known.domain.clone()))
            .collect()
    }

    /// Routers that can be named to callers.
    pub fn candidates(&self) -> Vec<Candidate> {
        let routers = self.lock();
        let named = routers.values().filter(|known| known.is_named());
        named
            .map(|known| Candidate {
                addr: known.addr,
                domain: known.domain.clone(),
            })
            .collect()
    }

    /// Describes the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let routers = self.lock();
        let list = routers.iter().map(|(vm, known)| {
            serde_json::json!({
                "vm": vm,
                "address": known.addr,
                "domain": known.domain,
                "leaving": known.leaving,
                "health": format!("{:?}", known.health),
                "named": known.is_named(),
            })
        });
        serde_json::json!({
            "process": "locator",
            "vm": self.vm,
            "domain": self.home,
            "routers": list.collect::<Vec<_>>(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<VmId, Known>> {
        // A panic while the lock was held left a whole map behind: each change is one assignment.
        self.routers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
