//! One upstream and what was seen of it.

use crate::peers::UpstreamLoad;
use crate::ports::{Load, Weights};
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::belief::{Belief, Change};
use sesamegap_policy::routing::{Availability, engines};
use sesamegap_wire::{DomainId, Incarnation, Moment, ServiceId, UpstreamId, WeightsVersion};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an upstream that failed to answer is avoided at first; doubled with each failure.
const AVOIDED: Duration = Duration::from_millis(600);

/// Doublings at most, which gives about 5 s: a restart takes as long.
const DOUBLINGS: u32 = 3;

/// Age at which a load that was told no longer says anything; requests last about a second.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// Weight of the newest answer in the averages of pace and failures.
const NEWEST: f64 = 0.15;

/// An upstream's entry in the fleet list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has said that it leaves.
    pub leaving: bool,
    /// Weights that it held when it wrote the entry.
    pub weights: Vec<Weights>,
    /// Number of the heartbeat.
    pub beat: u64,
    /// Life that wrote the entry; unset if it does not say.
    pub born: Option<Incarnation>,
}

/// Requests of which the owner of an engine's shard knows.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Shared {
    pub(super) running: u32,
    pub(super) unread: u64,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its id; a restart may keep it.
    pub id: UpstreamId,
    /// Its newest entry.
    pub entry: Entry,
    /// Number that is the same in all VMs.
    pub seed: u64,
    /// Number of its present life, the same in all VMs; what they tell of a former one goes astray.
    pub life: u64,
    /// What the list and it itself say of it.
    pub belief: Belief,
    /// When any byte last came from it.
    pub heard: Moment,
    pub(super) running: u32,
    pub(super) unread: u64,
    /// What of these the owners of shards know, which then needs not be told to all.
    pub(super) shared: Shared,
    pub(super) pace: Option<f64>,
    pub(super) faults: f64,
    load: Option<(Load, Moment)>,
    sent: u32,
    failures: u32,
    avoided: Moment,
    paused: Moment,
    gone: Moment,
}

impl Upstream {
    /// An upstream of which nothing was seen yet.
    pub fn new(id: UpstreamId, entry: Entry, belief: Belief) -> Self {
        let seed = engines::seed(id.as_str());
        let life = match entry.born {
            Some(born) => engines::seed(&format!("{id}@{born}")),
            None => seed,
        };
        Self {
            id,
            entry,
            seed,
            life,
            belief,
            heard: Moment(0),
            running: 0,
            unread: 0,
            shared: Shared::default(),
            pace: None,
            faults: 0.0,
            load: None,
            sent: 0,
            failures: 0,
            avoided: Moment(0),
            paused: Moment(0),
            gone: Moment(0),
        }
    }

    /// Takes in a newer entry of the same life, which changed this in what is believed of it.
    pub(super) fn update(&mut self, entry: Entry, change: Change) -> Change {
        let mut entry = entry;
        let mut reloaded = false;
        // An upstream never takes back that it leaves, but a late heartbeat may seem to.
        entry.leaving = self.belief.is_leaving();
        for weights in &mut entry.weights {
            let held = self.entry.weights.iter().find(|w| w.model == weights.model);
            // Answers and the roll tell of new weights before the next heartbeat does.
            if let Some(held) = held {
                reloaded |= weights.version > held.version;
                weights.version = weights.version.max(held.version);
            }
        }
        self.entry = entry;
        match change {
            Change::Same if reloaded => Change::Reloaded,
            _ => change,
        }
    }

    /// Begins a new life, of which nothing was seen yet.
    pub(super) fn restart(&mut self, entry: Entry) {
        *self = Self::new(self.id.clone(), entry, self.belief.clone());
    }

    /// Whether it is a model engine.
    pub fn is_engine(&self) -> bool {
        !self.entry.weights.is_empty()
    }

    /// The version of a model's weights that it holds, as far as is known.
    pub fn version(&self, model: &str) -> Option<WeightsVersion> {
        let found = self.entry.weights.iter().find(|w| w.model == model);
        found.map(|weights| weights.version)
    }

    /// Notes the version that it says it holds.
    pub fn holds(&mut self, model: &str, version: WeightsVersion) {
        let weights = &mut self.entry.weights;
        if let Some(held) = weights.iter_mut().find(|w| w.model == model) {
            held.version = version;
        }
    }

    /// Notes its load.
    pub fn loaded(&mut self, load: Load, now: Moment) {
        self.load = Some((load, now));
        self.sent = 0;
    }

    /// Notes that a request went there.
    pub(super) fn begin(&mut self, unread: u64) {
        self.running += 1;
        self.unread += unread;
        self.sent += 1;
    }

    /// Notes that a byte came from it.
    pub fn hear(&mut self, now: Moment) {
        self.heard = now;
        self.failures = 0;
        self.avoided = Moment(0);
    }

    /// Notes that it could not be reached or went silent.
    ///
    /// Gives how long this VM alone avoids it.
    pub fn fail(&mut self, now: Moment) -> Duration {
        let doublings = self.failures.min(DOUBLINGS);
        self.failures += 1;
        let avoided = AVOIDED * 2u32.pow(doublings);
        self.avoid(now + avoided);
        avoided
    }

    /// Avoids it until a moment.
    pub(super) fn avoid(&mut self, until: Moment) {
        self.avoided = until;
    }

    /// Whether it failed when it was last tried.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Sends nothing there for a while.
    pub fn pause(&mut self, until: Moment) {
        self.paused = until;
    }

    /// Takes it as gone until the list says so too.
    pub fn leave_alone(&mut self, until: Moment) {
        self.gone = until;
    }

    /// Whether another instance was found at its address.
    pub fn is_gone(&self, now: Moment) -> bool {
        now < self.gone
    }

    /// Sends nothing there until a moment, or longer if it is out for longer anyway.
    pub(super) fn pause_at_least(&mut self, until: Moment) {
        self.paused = self.paused.max(until);
    }

    /// Notes an answer of a plain service.
    pub fn answered(&mut self, took: Duration, failed: bool) {
        let fault = f64::from(u8::from(failed));
        self.faults += NEWEST * (fault - self.faults);
        let ms = took.as_secs_f64() * 1000.0;
        let pace = self.pace.get_or_insert(ms);
        *pace += NEWEST * (ms - *pace);
    }

    /// Whether it lately failed to answer.
    pub fn is_suspect(&self, now: Moment) -> bool {
        now < self.avoided
    }

    /// Whether nothing new may go there.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.entry.leaving || now < self.paused || self.is_gone(now)
    }

    /// Whether it takes work, by what this VM saw of it.
    pub(super) fn openness(&self, now: Moment) -> Availability {
        if self.is_paused(now) {
            Availability::Paused
        } else if self.is_suspect(now) {
            Availability::Suspect
        } else {
            Availability::Open
        }
    }

    /// What this VM has there, as far as its peers must be told.
    pub fn held(&self) -> Option<UpstreamLoad> {
        let running = self.running.saturating_sub(self.shared.running);
        (running > 0).then_some(UpstreamLoad {
            key: self.life,
            running,
            unread: self.unread.saturating_sub(self.shared.unread),
        })
    }

    /// Requests running there by its own last word.
    pub fn running_told(&self, now: Moment) -> u32 {
        match self.load {
            Some((load, at)) if now.since(at) < LOAD_AGE => {
                self.running.max(load.running + self.sent)
            }
            _ => self.running,
        }
    }

    /// Requests waiting there, as far as is known.
    pub fn waiting_now(&self, now: Moment) -> u32 {
        match self.load {
            Some((load, at)) if now.since(at) < LOAD_AGE => load.waiting,
            _ => 0,
        }
    }
}
