//! The weights an engine holds and the orders that changed them.

use serde::{Deserialize, Serialize};
use sesamegap_wire::engine::{Order, OrderAnswer, Wanted};
use sesamegap_wire::{Fence, ModelId, WeightsVersion};
use std::collections::BTreeSet;

/// An order and what the engine said to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// The engine's answer.
    pub answer: OrderAnswer,
}

/// Orders kept for whoever checks them.
const KEPT: usize = 1024;

/// The weights an engine holds.
#[derive(Debug)]
pub(crate) struct Holdings {
    pub(crate) loaded: BTreeSet<(ModelId, WeightsVersion)>,
    pub(crate) loading: BTreeSet<(ModelId, WeightsVersion)>,
    pub(crate) highest: Option<Fence>,
    pub(crate) orders: Vec<OrderRecord>,
    checks: bool,
}

impl Holdings {
    pub(crate) fn new(loaded: Vec<(ModelId, WeightsVersion)>, checks: bool) -> Self {
        Self {
            loaded: loaded.into_iter().collect(),
            loading: BTreeSet::new(),
            highest: None,
            orders: Vec::new(),
            checks,
        }
    }

    /// The highest fencing number, for an engine that checks them.
    pub(crate) fn fence(&self) -> Option<Fence> {
        self.highest.filter(|_| self.checks)
    }

    /// Takes an order, and names the weights that are now to be loaded.
    pub(crate) fn take(
        &mut self,
        order: &Order,
    ) -> (OrderAnswer, Option<(ModelId, WeightsVersion)>) {
        let old = self.highest.is_some_and(|highest| order.fence < highest);
        let answer = if old && self.checks {
            OrderAnswer::Fenced
        } else {
            OrderAnswer::Taken
        };
        self.highest = self.highest.max(Some(order.fence));
        self.note(order, answer);
        let load = match answer {
            OrderAnswer::Taken => self.obey(&order.wanted),
            OrderAnswer::Fenced => None,
        };
        (answer, load)
    }

    /// Weights are there now, unless an order to drop them came in between.
    pub(crate) fn loaded(&mut self, weights: (ModelId, WeightsVersion)) {
        if self.loading.remove(&weights) {
            self.loaded.insert(weights);
        }
    }

    fn note(&mut self, order: &Order, answer: OrderAnswer) {
        if self.orders.len() < KEPT {
            let order = order.clone();
            self.orders.push(OrderRecord { order, answer });
        }
    }

    fn obey(&mut self, wanted: &Wanted) -> Option<(ModelId, WeightsVersion)> {
        match wanted {
            Wanted::Load { model, version } => {
                let weights = (model.clone(), *version);
                let new = !self.loaded.contains(&weights) && self.loading.insert(weights.clone());
                new.then_some(weights)
            }
            Wanted::Drop { model, below } => {
                let stays = |held: &(ModelId, WeightsVersion)| held.0 != *model || held.1 >= *below;
                self.loaded.retain(stays);
                self.loading.retain(stays);
                None
            }
        }
    }
}
