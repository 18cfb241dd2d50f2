//! Simulates engines that load, drop, crash and drain, and a controller that calls the planner.

use super::checker::OrderChecker;
use sesamegap_policy::shifting::{EngineOrder, EngineView, Fleet, plan};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::engine::Wanted;
use sesamegap_wire::{Incarnation, ModelId, Moment, WeightsVersion};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a load, in milliseconds.
const LOAD_TIME: u64 = 500;

/// Interval between calls of the planner, in milliseconds.
const PLAN_INTERVAL: u64 = 250;

/// Makes the planner violate one invariant by giving it a distorted view of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Hides loads in progress, so that the planner starts more.
    BlindToLoads,
    /// Makes each engine appear past its minimum residency.
    IgnoresResidency,
    /// Adds a copy of each engine with the same weights.
    CountsTwice,
    /// Puts all engines into one failure domain.
    OneDomain,
}

impl Defect {
    pub const ALL: [Self; 4] = [
        Self::BlindToLoads,
        Self::IgnoresResidency,
        Self::CountsTwice,
        Self::OneDomain,
    ];

    fn distort(self, engines: &mut Vec<EngineView>) {
        let mut copies = Vec::new();
        for engine in engines.iter_mut() {
            match self {
                Self::BlindToLoads => engine.loading = false,
                Self::IgnoresResidency => engine.since = Moment(0),
                Self::OneDomain => engine.domain = "d".parse().expect("valid"),
                Self::CountsTwice => {
                    let mut copy = engine.clone();
                    copy.id = format!("{}-twin", engine.id).parse().expect("valid");
                    copies.push(copy);
                }
            }
        }
        engines.append(&mut copies);
    }
}

pub struct Simulation {
    pub faults: Vec<String>,
    pub loads: u32,
    engines: Vec<EngineView>,
    loading: BTreeMap<usize, (u64, ModelId, WeightsVersion)>,
    down_until: BTreeMap<usize, u64>,
    models: BTreeMap<ModelId, ModelSpec>,
    demand: BTreeMap<ModelId, f64>,
    now: u64,
    defect: Option<Defect>,
    last: Vec<EngineOrder>,
}

impl Simulation {
    pub fn new<const N: usize>(
        engines: usize,
        slots: usize,
        models: [(&str, ModelSpec); N],
        defect: Option<Defect>,
    ) -> Self {
        let engines = (0..engines).map(|n| EngineView {
            id: format!("e{n}").parse().expect("valid"),
            domain: format!("d{}", n % 3).parse().expect("valid"),
            incarnation: Incarnation(1),
            slots,
            capacity: 10_000.0,
            loaded: BTreeSet::new(),
            loading: false,
            leaving: false,
            since: Moment(0),
        });
        let models = models.into_iter();
        Self {
            faults: Vec::new(),
            loads: 0,
            engines: engines.collect(),
            loading: BTreeMap::new(),
            down_until: BTreeMap::new(),
            models: models
                .map(|(n, s)| (n.parse().expect("valid"), s))
                .collect(),
            demand: BTreeMap::new(),
            now: 100_000,
            defect,
            last: Vec::new(),
        }
    }

    fn moment(&self) -> Moment {
        Moment(self.now * 1_000)
    }

    /// Running engines, as the controller sees them.
    fn live(&self) -> Vec<EngineView> {
        let up = (0..self.engines.len()).filter(|n| !self.down_until.contains_key(n));
        up.map(|n| self.engines[n].clone()).collect()
    }

    pub fn plan(&self) -> Vec<EngineOrder> {
        let mut engines = self.live();
        if let Some(defect) = self.defect {
            defect.distort(&mut engines);
        }
        plan(Fleet {
            engines: &engines,
            models: &self.models,
            demand: &self.demand,
            now: self.moment(),
        })
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..(seconds * 1_000).div_ceil(PLAN_INTERVAL) {
            self.now += PLAN_INTERVAL;
            self.finish_loads();
            let orders = self.plan();
            for order in &orders {
                self.execute(order);
            }
            self.last = orders;
        }
    }

    /// Completes finished loads and restarts engines.
    fn finish_loads(&mut self) {
        let now = self.now;
        let done: Vec<_> = self.loading.extract_if(.., |_, l| l.0 <= now).collect();
        for (n, (_, model, version)) in done {
            let since = self.moment();
            let engine = &mut self.engines[n];
            engine.loaded.insert((model, version));
            engine.loading = false;
            engine.since = since;
        }
        self.down_until.retain(|_, back| *back > now);
    }

    /// Checks an order and executes it.
    fn execute(&mut self, order: &EngineOrder) {
        let live = self.live();
        let checker = OrderChecker {
            engines: &live,
            models: &self.models,
            demand: &self.demand,
            now: self.moment(),
        };
        self.faults.extend(checker.fault(order));
        let since = self.moment();
        let Some(n) = self.engines.iter().position(|e| e.id == order.engine) else {
            return;
        };
        let engine = &mut self.engines[n];
        match &order.wanted {
            Wanted::Load { model, version } => {
                let held = engine.loaded.contains(&(model.clone(), *version));
                if !held && !engine.loading {
                    engine.loading = true;
                    self.loads += 1;
                    let load = (self.now + LOAD_TIME, model.clone(), *version);
                    self.loading.insert(n, load);
                }
            }
            Wanted::Drop { model, below } => {
                let before = engine.loaded.len();
                engine.loaded.retain(|(m, v)| m != model || v >= below);
                if engine.loaded.len() < before {
                    engine.since = since;
                }
            }
        }
    }

    /// Issues the last orders again, like a controller that lost the response.
    pub fn repeat(&mut self) {
        for order in self.last.clone() {
            let held = self.engines.iter().find(|e| e.id == order.engine);
            if held.is_some_and(|engine| engine.loading) {
                self.execute_again(&order);
            }
        }
    }

    fn execute_again(&mut self, order: &EngineOrder) {
        let before = self.loads;
        let faults = std::mem::take(&mut self.faults);
        self.execute(order);
        self.faults = faults;
        if self.loads > before {
            self.faults
                .push(format!("{order:?} issued twice started two loads"));
        }
    }

    pub fn crash(&mut self, engine: usize) {
        let n = engine % self.engines.len();
        if self.engines[n].leaving {
            return;
        }
        let since = self.moment();
        let engine = &mut self.engines[n];
        engine.loaded.clear();
        engine.loading = false;
        engine.incarnation.0 += 1;
        engine.since = since;
        self.loading.remove(&n);
        self.down_until.insert(n, self.now + 3_000);
    }

    pub fn leave(&mut self, engine: usize) {
        let n = engine % self.engines.len();
        self.engines[n].leaving = true;
    }

    pub fn lose_domain(&mut self, domain: &str) {
        for n in 0..self.engines.len() {
            if self.engines[n].domain.as_str() == domain {
                self.crash(n);
                self.down_until.insert(n, u64::MAX);
            }
        }
    }

    pub fn demand(&mut self, model: usize, demand: f64) {
        let model = self.models.keys().nth(model % self.models.len());
        self.demand
            .insert(model.expect("some model").clone(), demand);
    }

    pub fn publish(&mut self, model: usize) {
        let count = self.models.len();
        if let Some(spec) = self.models.values_mut().nth(model % count) {
            spec.version.0 += 1;
        }
    }

    pub fn reverse(&mut self) {
        self.engines.reverse();
    }

    /// Number of running engines that hold a version of a model.
    pub fn holders(&self, model: &str, version: u32) -> usize {
        let wanted = (model.parse().expect("valid"), WeightsVersion(version));
        let live = self.live();
        live.iter().filter(|e| e.loaded.contains(&wanted)).count()
    }
}
