//! A model engine: batching, a prompt cache, streams, orders.
//!
//! [`http`] is its protocol, that of `sesamegap_upstream`'s `HttpEngine`. A dispatch is checked
//! and either refused as not run or becomes a [`job`], which [`run`] answers at the pace of the
//! plan and [`stream`] writes to whatever connection asks. A crash replaces the [`life`], which
//! holds all that a real engine would lose.

pub(crate) mod cache;
mod check;
mod events;
pub(crate) mod holders;
mod http;
mod job;
mod life;
mod orders;
mod report;
mod run;
mod stream;

pub use cache::Tag;
pub use orders::OrderRecord;
pub use report::EngineState;

use crate::faults::{Fault, Hit};
use crate::host::{Host, Task};
use crate::plan::{EngineLimits, EnginePlan};
use crate::platform::weights::WeightShelf;
use crate::record::Record;
use holders::{Holder, Holders};
use life::Life;
use orders::Holdings;
use sesamegap_wire::engine::{LoadReport, Order, OrderAnswer};
use sesamegap_wire::{BlockKey, Incarnation, Tokens, UpstreamId};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Incarnations that separate two engines, so that one's cannot be taken for another's.
const INCARNATIONS: u64 = 1 << 20;

/// Work that reached an engine after it said that it is leaving.
#[derive(Debug, Default)]
struct Leaving {
    since: Option<Instant>,
    /// Whether the engine refuses new work, or just stands in the list as leaving.
    refuses: bool,
    /// Longest time after which new work still arrived.
    latest: Option<Duration>,
}

/// What engines of one deployment share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) limits: EngineLimits,
    pub(crate) block: Tokens,
    pub(crate) record: Arc<Record>,
    pub(crate) weights: Arc<WeightShelf>,
    pub(crate) holders: Arc<Holders>,
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct EngineStandin {
    pub(crate) id: UpstreamId,
    pub(crate) host: Arc<Host>,
    limits: EngineLimits,
    block: Tokens,
    record: Arc<Record>,
    weights: Arc<WeightShelf>,
    holders: Arc<Holders>,
    life: Mutex<Arc<Life>>,
    holdings: Mutex<Holdings>,
    leaving: Mutex<Leaving>,
    report: Mutex<(LoadReport, Instant)>,
    imports: AtomicU32,
}

impl EngineStandin {
    /// An engine, the `index`th of its deployment, and the task that renews its load report.
    pub(crate) fn new(
        index: usize,
        plan: &EnginePlan,
        host: Arc<Host>,
        shared: Shared,
    ) -> (Arc<Self>, Task) {
        let first = Incarnation((index as u64 + 1) * INCARNATIONS);
        let holdings = Holdings::new(plan.loaded.clone(), plan.fencing);
        let report = report::first(first, &holdings, &shared.limits);
        let engine = Arc::new(Self {
            id: plan.id.clone(),
            host,
            life: Mutex::new(Life::new(first, &shared.limits)),
            holdings: Mutex::new(holdings),
            leaving: Mutex::default(),
            report: Mutex::new((report, Instant::now())),
            imports: AtomicU32::new(0),
            limits: shared.limits,
            block: shared.block,
            record: shared.record,
            weights: shared.weights,
            holders: shared.holders,
        });
        let holder: Arc<dyn Holder> = Arc::clone(&engine) as Arc<dyn Holder>;
        engine.holders.add(&engine.id, Arc::downgrade(&holder));
        let reporter = Arc::clone(&engine);
        let task = Task::spawn(async move {
            loop {
                sleep(reporter.limits.report).await;
                reporter.renew_report();
            }
        });
        (engine, task)
    }

    /// Loses everything but the weights, and comes back after `away` as another incarnation.
    pub(crate) fn crash(&self, away: Duration) {
        self.host.gate.set_down(true);
        let old = {
            let mut life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
            let next = Incarnation(life.incarnation.0 + 1);
            std::mem::replace(&mut *life, Life::new(next, &self.limits))
        };
        old.end();
        self.renew_report();
        let gate = self.host.gate.clone();
        tokio::spawn(async move {
            sleep(away).await;
            gate.set_down(false);
        });
    }

    /// Ends all work for good.
    pub(crate) fn end(&self) {
        self.life().end();
    }

    /// Starts or ends being about to go.
    pub(crate) fn set_leaving(&self, leaving: bool, refuses: bool) {
        let mut state = self.leaving();
        state.since = leaving.then(Instant::now);
        state.refuses = refuses;
        state.latest = None;
    }

    /// Switches on a fault that hits the engine's own work.
    pub(crate) fn switch(&self, hit: Hit) {
        match (hit.fault, hit.span) {
            (Fault::EngineCrash, crate::faults::Span::Once) => self.crash(Duration::ZERO),
            (Fault::EngineCrash, crate::faults::Span::For(away)) => self.crash(away),
            (Fault::EngineSilent, _) => {
                self.host.gate.silence();
            }
            _ => self.host.switches.set(hit),
        }
    }

    fn order(self: &Arc<Self>, order: &Order) -> OrderAnswer {
        let (answer, load) = self.holdings().take(order);
        if let Some(weights) = load {
            let engine = Arc::clone(self);
            tokio::spawn(async move {
                engine.weights.load().await;
                engine.holdings().loaded(weights);
            });
        }
        answer
    }

    fn refused_import(&self) {
        self.imports.fetch_add(1, Ordering::AcqRel);
    }

    fn life(&self) -> Arc<Life> {
        let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&life)
    }

    fn holdings(&self) -> MutexGuard<'_, Holdings> {
        self.holdings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leaving(&self) -> MutexGuard<'_, Leaving> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineStandin {
    /// How many of the keys, from the first on without a gap, are cached.
    pub(crate) fn holds(&self, keys: &[BlockKey]) -> usize {
        let life = self.life();
        let inner = life.lock();
        let held = keys
            .iter()
            .take_while(|key| inner.cache.tag(**key).is_some());
        held.count()
    }
}

impl Holder for EngineStandin {
    fn export(&self, key: BlockKey) -> Option<Tag> {
        self.life().lock().cache.tag(key)
    }
}
