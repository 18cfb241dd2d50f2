//! When weights versions were named, and until when a request may still start on older ones.
//!
//! Weights are named under full traffic, and the VM that rolls them out may crash midway, so most prompts may go to
//! outdated engines with seconds of queued work. A caller must not get an answer from weights that were superseded
//! too long ago. The bound applies to the time at which a request starts at its engine, not to that at which it is
//! sent. The queue in between grows with the load: waits of 2.3 s were observed where 1.5 s had been assumed as the
//! maximum. So a request is sent only while the expected wait fits into the rest of the bound, and is withdrawn if it
//! has not started shortly before the bound ends.

use sesamegap_wire::{Moment, WeightsVersion};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time reserved for the wait at an engine, however idle it looks: requests that other VMs have just sent
/// there are not known yet.
const MIN_WAIT: Duration = Duration::from_millis(1_500);

/// Multiple of the expected wait that is reserved: first tokens behind 36,725 and 38,073 unread tokens took 1.5 times
/// as long as prefilling those and their own prompts would.
const WAIT_FACTOR: u32 = 2;

/// Time before the bound at which a request that has not started is withdrawn: closing the connection takes a few
/// milliseconds to reach the engine, and a VM under full load runs a tenth of a second late.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(400);

/// Rest of the bound that is assumed for weights whose naming time is unknown, as after a start. It is long enough to
/// learn the time from a peer, and requests sent meanwhile are withdrawn before the bound applies to a VM that has
/// just started, 3 s after its start.
const GUESSED_LEFT: Duration = Duration::from_millis(3_400);

/// Time after a naming for which old weights are as good as new ones to callers, less the time that a request may
/// wait before it starts.
const SETTLING: Duration = Duration::from_secs(1);

/// Time at which weights were named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Named {
    /// Observed by this VM or a peer.
    At(Moment),
    /// Estimated: the weights were found to be named already.
    Guessed(Moment),
}

/// A weights version and when it was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Naming {
    /// The version.
    pub version: WeightsVersion,
    /// When it was named.
    pub at: Moment,
    /// Whether the time is an estimate.
    pub guessed: bool,
}

/// Namings of all models.
#[derive(Debug)]
pub struct Namings {
    bound: Duration,
    /// Namings by model, in ascending order of versions.
    models: BTreeMap<SmolStr, Vec<Naming>>,
}

impl Namings {
    /// Creates an empty history. No request may start on superseded weights `bound` after the naming that superseded
    /// them.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            models: BTreeMap::new(),
        }
    }

    /// Estimated naming time for weights that are discovered now and were named before.
    pub fn estimate(&self, now: Moment) -> Named {
        let age = self.bound.saturating_sub(GUESSED_LEFT);
        Named::Guessed(now.saturating_sub(age))
    }

    /// Estimated naming time for weights that are discovered now, by a VM that knew all namings up to `known`.
    ///
    /// When the store drops its history right after a naming, all VMs discover the version at once. An estimate as
    /// old as after a start would shut all engines within seconds, long before any of them could load, and all
    /// VMs would refuse callers.
    pub fn estimate_after(&self, known: Moment, now: Moment) -> Named {
        match self.estimate(now) {
            Named::Guessed(at) => Named::Guessed(at.max(known)),
            seen @ Named::At(_) => seen,
        }
    }

    /// Adds a naming; returns whether its version is newer than all known ones of its model.
    ///
    /// Older versions are recorded too: an engine may not have loaded one, and its time says for how long.
    pub fn learn(&mut self, model: &SmolStr, version: WeightsVersion, named: Named) -> bool {
        let (at, guessed) = match named {
            Named::At(at) => (at, false),
            Named::Guessed(at) => (at, true),
        };
        let naming = Naming {
            version,
            at,
            guessed,
        };
        let known = self.models.entry(model.clone()).or_default();
        let newer = known.last().is_none_or(|last| last.version < version);
        match known.binary_search_by_key(&version, |naming| naming.version) {
            Ok(no) => known[no].refine(naming),
            Err(no) => known.insert(no, naming),
        }
        newer
    }

    /// Drops namings without effect: among a model's namings older than the bound, the newest one excludes all
    /// engines that have not loaded it.
    pub fn forget(&mut self, now: Moment) {
        let bound = self.bound;
        for known in self.models.values_mut() {
            let past = |naming: &Naming| now.since(naming.at) >= bound;
            let last = known.iter().rposition(past).unwrap_or(0);
            known.drain(..last);
        }
    }

    /// All namings, to send to a peer.
    pub fn all(&self) -> impl Iterator<Item = (&SmolStr, Naming)> {
        let each = self.models.iter();
        each.flat_map(|(model, known)| known.iter().map(move |naming| (model, *naming)))
    }

    /// The newest version of each model.
    pub fn newest(&self) -> impl Iterator<Item = (&SmolStr, Naming)> {
        let each = self.models.iter();
        each.filter_map(|(model, known)| Some((model, *known.last()?)))
    }

    /// The newest naming of a model.
    pub fn newest_of(&self, model: &str) -> Option<Naming> {
        self.models.get(model)?.last().copied()
    }

    /// The version that requests for a model should use, if engines have had time to load it.
    ///
    /// Right after a naming all engines are outdated, and their answers are worth as much.
    pub fn target_version(&self, model: &str, now: Moment) -> WeightsVersion {
        let newest = self.newest_of(model);
        let loaded = newest.filter(|naming| now.since(naming.at) >= SETTLING);
        loaded.map_or_else(WeightsVersion::default, |naming| naming.version)
    }

    /// When these weights were first superseded, or `None` if they are the newest.
    ///
    /// An engine that returns after a crash has the weights that it had before, however many were named since.
    pub fn superseded_at(&self, model: &str, version: WeightsVersion) -> Option<Moment> {
        let known = self.models.get(model)?;
        let newer = known.iter().filter(|naming| naming.version > version);
        newer.map(|naming| naming.at).min()
    }

    /// Whether a request may be sent to an engine with these weights and this expected wait.
    pub fn may_send(
        &self,
        model: &str,
        version: WeightsVersion,
        wait: Duration,
        now: Moment,
    ) -> bool {
        let Some(superseded) = self.superseded_at(model, version) else {
            return true;
        };
        let reserved = MIN_WAIT.max(wait * WAIT_FACTOR);
        now.since(superseded) + reserved < self.bound
    }

    /// Time by which a request on these weights must have started, since it is withdrawn otherwise; `None` if they are
    /// the newest.
    pub fn start_deadline(&self, model: &str, version: WeightsVersion) -> Option<Moment> {
        let left = self.bound.saturating_sub(WITHDRAWAL_MARGIN);
        self.superseded_at(model, version).map(|at| at + left)
    }
}

impl Naming {
    /// Merges another report of the same naming: an observed time takes precedence over an estimate, and an earlier
    /// time over a later one, which comes from a VM that learned of the naming late.
    fn refine(&mut self, other: Self) {
        if self.guessed == other.guessed {
            self.at = self.at.min(other.at);
        } else if self.guessed {
            *self = other;
        }
    }
}
