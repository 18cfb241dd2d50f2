//! The retry budgets of a process, one for each service.

use crate::clock;
use crate::telemetry::events;
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::budget::{Bound, Budget};
use sesamegap_wire::{Moment, ServiceId};
use smol_str::SmolStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tracing::info;

/// This VM's part of the fleet's retry budgets.
#[derive(Debug)]
pub struct RetryBudgets {
    started: Moment,
    services: Mutex<FxHashMap<ServiceId, Budget>>,
}

impl RetryBudgets {
    /// The budgets of a process that starts now.
    pub fn new() -> Self {
        Self {
            started: clock::now(),
            services: Mutex::default(),
        }
    }

    /// Replaces the bound of all services.
    pub fn set(&self, bound: Bound) {
        for budget in self.lock().values_mut() {
            budget.set(bound);
        }
    }

    /// Counts a caller's request; `vms` is the number of entry VMs, or zero if it is not known.
    pub fn count_request(&self, service: &ServiceId, bound: Bound, vms: usize) {
        let mut services = self.lock();
        let budget = services
            .entry(service.clone())
            .or_insert_with(|| Budget::new(bound, self.started));
        budget.record_request(clock::now(), vms);
    }

    /// Charges a retry of a request if the budget of its service allows it; `vms` as for a request.
    pub fn try_retry(&self, service: &ServiceId, request: &SmolStr, vms: usize) -> bool {
        let charge = {
            let mut services = self.lock();
            let budget = services.get_mut(service);
            budget.map(|budget| budget.try_retry(clock::now(), vms))
        };
        let Some(charge) = charge else {
            return false;
        };
        info!(
            event = events::RETRY,
            request = %request,
            service = %service,
            granted = charge.is_granted,
            left = charge.left,
            requests = charge.requests,
            vms = charge.vms,
            process_ms = clock::millis(charge.age),
            "a retry at the budget of all entry VMs"
        );
        charge.is_granted
    }

    fn lock(&self) -> MutexGuard<'_, FxHashMap<ServiceId, Budget>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
