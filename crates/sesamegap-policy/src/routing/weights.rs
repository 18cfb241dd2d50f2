//! Which weights were named when, and until when a request may still begin on older ones.
//!
//! Load: weights are named under full traffic, and the VM that rolls them may die on the way, so that
//! most prompts go to engines that are behind, with seconds of work before each. Harm prevented: a
//! caller that gets an answer of weights which were overtaken too long ago. The bound holds for the
//! moment at which a request begins at its engine, not for that at which it is sent, and what lies
//! between is a queue that grows with the load: 2.3 s were seen where 1.5 s had been taken for the
//! longest. So a request is sent only while the wait that is expected there fits into what is left
//! of the bound, and is taken back if it has not begun shortly before the bound.

use sesamegap_wire::{Moment, WeightsVersion};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time that is kept for the wait at an engine however idle it looks: what other VMs sent there in the
/// last moments is not known yet.
const LEAST_WAIT: Duration = Duration::from_millis(1_500);

/// How many times the expected wait is kept: first tokens behind 36,725 and 38,073 unread tokens took
/// 1.5 times as long as reading those and their own prompts would.
const WAITS: u32 = 2;

/// Time before the bound at which a request that has not begun is taken back: a close needs a few
/// milliseconds to the engine, and a VM under full load runs a tenth of a second late.
const WITHDRAWAL: Duration = Duration::from_millis(400);

/// What is left of the bound for weights of which only the name is known, as after a start: long enough
/// to hear from a peer when they were named, and what is sent then is taken back before a VM that just
/// started is held to the bound, 3 s after its start.
const GUESSED_LEFT: Duration = Duration::from_millis(3_400);

/// Time after a naming for which old weights are as good as new ones to callers, less the time that
/// a request may wait before it begins.
const SETTLING: Duration = Duration::from_secs(1);

/// When weights were named, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Named {
    /// It was seen to happen then, by this VM or a peer.
    At(Moment),
    /// It was found named already, and may have been then.
    Guessed(Moment),
}

/// One naming.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Naming {
    /// The version.
    pub version: WeightsVersion,
    /// When it was named.
    pub at: Moment,
    /// Whether the time is a guess.
    pub guessed: bool,
}

/// What was named of all models.
#[derive(Debug)]
pub struct Namings {
    bound: Duration,
    /// By model, the versions in rising order.
    models: BTreeMap<SmolStr, Vec<Naming>>,
}

impl Namings {
    /// Nothing named yet; no request may begin on older weights this long after a naming.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            models: BTreeMap::new(),
        }
    }

    /// The time to take for weights that are found at this moment and were named before.
    pub fn guess(&self, now: Moment) -> Named {
        let age = self.bound.saturating_sub(GUESSED_LEFT);
        Named::Guessed(now.less(age))
    }

    /// The time to take for weights that are found at this moment, by a VM that knew all that was named up
    /// to a moment before.
    ///
    /// Load: the store drops its history right after a naming, and all VMs find it again at once. Taken for
    /// as old as it may be after a start, it would shut all engines within seconds, long before any of
    /// them could load, and callers would be refused by all VMs.
    pub fn guess_after(&self, known: Moment, now: Moment) -> Named {
        match self.guess(now) {
            Named::Guessed(at) => Named::Guessed(at.max(known)),
            seen @ Named::At(_) => seen,
        }
    }

    /// Takes in a naming; whether it is newer than all known ones of its model.
    ///
    /// An older one counts too: an engine may be behind it, and its time says for how long.
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

    /// Forgets namings that decide nothing any more: of those older than the bound, the newest of a model
    /// shuts out all that is behind it.
    pub fn forget(&mut self, now: Moment) {
        let bound = self.bound;
        for known in self.models.values_mut() {
            let past = |naming: &Naming| now.since(naming.at) >= bound;
            let last = known.iter().rposition(past).unwrap_or(0);
            known.drain(..last);
        }
    }

    /// All namings, to tell a peer.
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

    /// The version that requests for a model should go to, if engines have had time to load it.
    ///
    /// Right after a naming all engines are old, and an answer from them is worth as much.
    pub fn wanted(&self, model: &str, now: Moment) -> WeightsVersion {
        let newest = self.newest_of(model);
        let loaded = newest.filter(|naming| now.since(naming.at) >= SETTLING);
        loaded.map_or_else(WeightsVersion::default, |naming| naming.version)
    }

    /// When newer weights than these were first named; none if these are the newest.
    ///
    /// An engine that comes back after a crash has the weights that it had before, however many
    /// were named since.
    pub fn overtaken(&self, model: &str, version: WeightsVersion) -> Option<Moment> {
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
        let Some(overtaken) = self.overtaken(model, version) else {
            return true;
        };
        let kept = LEAST_WAIT.max(wait * WAITS);
        now.since(overtaken) + kept < self.bound
    }

    /// Until when a request must have begun on these weights, or is taken back; none if they are the newest.
    pub fn begin_by(&self, model: &str, version: WeightsVersion) -> Option<Moment> {
        let left = self.bound.saturating_sub(WITHDRAWAL);
        self.overtaken(model, version).map(|at| at + left)
    }
}

impl Naming {
    /// Takes in another word on the same naming: a time that was seen goes before a guess, and the
    /// earliest one before those who heard of it late.
    fn refine(&mut self, other: Self) {
        if self.guessed == other.guessed {
            self.at = self.at.min(other.at);
        } else if self.guessed {
            *self = other;
        }
    }
}
