//! What an engine tells of itself: a lagging load report, and its whole state for checks.

use super::EngineStandin;
use super::orders::{Holdings, OrderRecord};
use crate::plan::EngineLimits;
use serde::{Deserialize, Serialize};
use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Incarnation, ModelId, Tokens, UpstreamId, WeightsVersion};
use smol_str::SmolStr;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The one role that stand-in engines have: they answer requests.
const ROLE: SmolStr = SmolStr::new_static("serve");

/// The state of an engine, without any lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Its name.
    pub id: UpstreamId,
    /// Present incarnation.
    pub incarnation: Incarnation,
    /// What it is used for.
    pub role: SmolStr,
    /// Weights loaded.
    pub loaded: Vec<(ModelId, WeightsVersion)>,
    /// Weights being loaded.
    pub loading: Vec<(ModelId, WeightsVersion)>,
    /// Orders taken and refused, with their fencing numbers, oldest first.
    pub orders: Vec<OrderRecord>,
    /// Blocks held.
    pub blocks: usize,
    /// Requests being answered and waiting.
    pub requests: usize,
    /// Imported blocks refused because they were computed with other weights.
    pub refused_imports: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Longest time after it began to leave at which new work still arrived.
    pub late_work: Option<Duration>,
}

/// The report of an engine that has just started.
pub(super) fn first(
    incarnation: Incarnation,
    holdings: &Holdings,
    limits: &EngineLimits,
) -> LoadReport {
    LoadReport {
        incarnation,
        age: Duration::ZERO,
        running: 0,
        waiting: 0,
        prefill: Tokens(0),
        capacity: limits.capacity as u64,
        loaded: holdings.loaded.iter().cloned().collect(),
        loading: !holdings.loading.is_empty(),
        leaving: false,
        fence: holdings.fence(),
    }
}

impl EngineStandin {
    /// The load report, as old as it is.
    pub(super) fn load_report(&self) -> LoadReport {
        let report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        LoadReport {
            age: report.1.elapsed(),
            ..report.0.clone()
        }
    }

    /// Brings the load report up to date.
    pub(super) fn renew_report(&self) {
        let life = self.life();
        let (running, waiting) = life.slots.load();
        let base = first(life.incarnation, &self.holdings(), &self.limits);
        let leaving = self.leaving();
        let fresh = LoadReport {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            prefill: Tokens(life.due()),
            leaving: leaving.since.is_some() && leaving.refuses,
            ..base
        };
        drop(leaving);
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        *report = (fresh, Instant::now());
    }

    /// The whole state, for checks.
    pub(crate) fn state(&self) -> EngineState {
        let life = self.life();
        let (running, waiting) = life.slots.load();
        let blocks = life.lock().cache.keys().len();
        let holdings = self.holdings();
        let leaving = self.leaving();
        EngineState {
            id: self.id.clone(),
            incarnation: life.incarnation,
            role: ROLE,
            loaded: holdings.loaded.iter().cloned().collect(),
            loading: holdings.loading.iter().cloned().collect(),
            orders: holdings.orders.clone(),
            blocks,
            requests: running + waiting,
            refused_imports: self.imports.load(Ordering::Acquire),
            leaving: leaving.since.is_some(),
            late_work: leaving.latest,
        }
    }
}
