//! State of one upstream: its entry in the fleet list and what this VM has observed of it.

use crate::peers::UpstreamLoad;
use crate::ports::{Load, Weights};
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::belief::{Belief, Change};
use sesamegap_policy::routing::brittle::Gate;
use sesamegap_policy::routing::placements::Levels;
use sesamegap_policy::routing::{Availability, engines};
use sesamegap_wire::{
    DomainId, Incarnation, Moment, ServiceId, SoftwareVersion, UpstreamId, WeightsVersion,
};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an upstream is avoided after a first failure to answer; doubled with each further failure.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(600);

/// Maximum number of doublings, which bounds the avoidance to about 5 s: a restart takes as long.
const MAX_DOUBLINGS: u32 = 3;

/// Longest time from the start of an upstream until its entry is in the list, and until peers' updates of the list have
/// arrived.
const ENTRY_DELAY: Duration = Duration::from_millis(500);

/// Age from which a reported load is ignored; requests last about a second.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Most requests that an upstream is believed to hold. A larger report is a mistake, and sums of it would overflow.
const MAX_REPORTED: u32 = 1 << 20;

/// Weight of the newest response in the moving averages of response time and failure rate.
const NEWEST_WEIGHT: f64 = 0.15;

/// An upstream's entry in the fleet list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// Weights loaded when it wrote the entry.
    pub weights: Vec<Weights>,
    /// Heartbeat number.
    pub beat: u64,
    /// Incarnation that wrote the entry, if it states one.
    pub born: Option<Incarnation>,
    /// Version of its software. VMs of releases that do not send it take it for unstated.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// Requests that the owner of the engine's shard knows.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnerKnown {
    pub(super) running: u32,
    pub(super) unread: u64,
}

/// An upstream as this VM knows it.
#[derive(Debug)]
pub struct Upstream {
    /// Its id, which may be the same after a restart.
    pub id: UpstreamId,
    /// Its newest entry.
    pub entry: Entry,
    /// Number derived from the id, the same in all VMs.
    pub seed: u64,
    /// Number of its present incarnation, the same in all VMs. Peers' reports about a previous one do not match it.
    pub life: u64,
    /// Its presence and incarnation, from the list and its own reports.
    pub belief: Belief,
    /// When bytes last arrived from it on any connection.
    pub last_received: Moment,
    /// Running requests of this VM.
    pub(super) running: u32,
    /// Prompt tokens of this VM that are not prefilled yet.
    pub(super) unread: u64,
    /// These tokens by the urgency of their prompts.
    pub(super) levels: Levels,
    /// The part of these that shard owners know, which need not be reported to all peers.
    pub(super) shared: OwnerKnown,
    /// Moving average of the response times of a plain service, in ms.
    pub(super) response_ms: Option<f64>,
    /// Moving average of the failures of a plain service, from 0 to 1.
    pub(super) failure_rate: f64,
    load: Option<(Load, Moment)>,
    /// Requests sent since the last reported load.
    sent_since_load: u32,
    /// Requests that this VM lets through while the upstream is brittle.
    pub(super) gate: Gate,
    /// When a connection to it last broke or failed, at any VM.
    broke_at: Moment,
    /// When a connection of this VM to it last broke.
    pub(super) connection_broke_at: Moment,
    failures: u32,
    failed_at: Moment,
    avoided_until: Moment,
    paused_until: Moment,
    gone_until: Moment,
}

impl Upstream {
    /// Creates an upstream without observations.
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
            last_received: Moment(0),
            running: 0,
            unread: 0,
            levels: Levels::default(),
            shared: OwnerKnown::default(),
            response_ms: None,
            failure_rate: 0.0,
            load: None,
            sent_since_load: 0,
            gate: Gate::default(),
            broke_at: Moment(0),
            connection_broke_at: Moment(0),
            failures: 0,
            failed_at: Moment(0),
            avoided_until: Moment(0),
            paused_until: Moment(0),
            gone_until: Moment(0),
        }
    }

    /// Applies a newer entry of the same incarnation; `change` is its effect on the belief.
    ///
    /// Returns [`Change::Reloaded`] instead of [`Change::Same`] if the entry names newer weights.
    pub(super) fn update(&mut self, entry: Entry, change: Change) -> Change {
        let mut entry = entry;
        if !entry.software.is_stated() {
            entry.software = self.entry.software.clone();
        }
        let mut reloaded = false;
        // An upstream never cancels its announcement to leave, but a delayed heartbeat may look like that.
        entry.leaving = self.belief.is_leaving();
        for weights in &mut entry.weights {
            let held = self.entry.weights.iter().find(|w| w.model == weights.model);
            // Responses and the roll report new weights before the next heartbeat does.
            if let Some(held) = held {
                reloaded |= weights.version > held.version;
                weights.version = weights.version.max(held.version);
            }
        }
        // An entry of another writer may lack them, and the weights are those of the process.
        let held = std::mem::take(&mut self.entry.weights).into_iter();
        let unnamed = held.filter(|held| entry.weights.iter().all(|w| w.model != held.model));
        let unnamed: Vec<Weights> = unnamed.collect();
        entry.weights.extend(unnamed);
        self.entry = entry;
        match change {
            Change::Same if reloaded => Change::Reloaded,
            _ => change,
        }
    }

    /// Starts a new incarnation, discarding all observations of the previous one.
    pub(super) fn restart(&mut self, entry: Entry) {
        *self = Self::new(self.id.clone(), entry, self.belief.clone());
    }

    /// Whether an entry states another software version than the known one, so that another process wrote it.
    pub(super) fn is_other_software(&self, entry: &Entry) -> bool {
        let (known, stated) = (&self.entry.software, &entry.software);
        known.is_stated() && stated.is_stated() && known != stated
    }

    /// Forgets the software version, since two processes claim the id and neither is known to be the newer one.
    pub(super) fn forget_software(&mut self) {
        self.entry.software = SoftwareVersion::default();
    }

    /// Records that a connection to it broke or failed, so that it may have restarted with other software; returns
    /// whether that was not in doubt before.
    ///
    /// Only an upstream that states an incarnation may restart under its id.
    pub(super) fn doubt_software(&mut self, list_as_of: Moment, now: Moment) -> bool {
        if self.entry.born.is_none() {
            return false;
        }
        let is_new = !self.is_software_doubted(list_as_of);
        self.broke_at = now;
        is_new
    }

    /// Whether it may have restarted with other software since the list was last known.
    pub(super) fn is_software_doubted(&self, list_as_of: Moment) -> bool {
        self.broke_at > Moment::default() && list_as_of < self.broke_at + ENTRY_DELAY
    }

    /// Whether it is a model engine.
    pub fn is_engine(&self) -> bool {
        !self.entry.weights.is_empty()
    }

    /// The last known version of a model's weights that it has loaded.
    pub fn version(&self, model: &str) -> Option<WeightsVersion> {
        let found = self.entry.weights.iter().find(|w| w.model == model);
        found.map(|weights| weights.version)
    }

    /// Records the version of a model's weights that it reports to have loaded.
    pub fn record_version(&mut self, model: &str, version: WeightsVersion) {
        let weights = &mut self.entry.weights;
        if let Some(held) = weights.iter_mut().find(|w| w.model == model) {
            held.version = version;
        }
    }

    /// Records its reported load.
    pub fn record_load(&mut self, load: Load, now: Moment) {
        let load = Load {
            running: load.running.min(MAX_REPORTED),
            waiting: load.waiting.min(MAX_REPORTED),
            ..load
        };
        self.load = Some((load, now));
        self.sent_since_load = 0;
    }

    /// Counts a request that is sent to it, with its prompt tokens.
    pub(super) fn begin(&mut self, unread: u64, priority: u8) {
        self.running += 1;
        self.unread = self.unread.saturating_add(unread);
        self.levels.add(priority, unread);
        self.sent_since_load += 1;
    }

    /// Counts tokens of its prompts as prefilled.
    pub(super) fn record_prefill(&mut self, unread: u64, priority: u8) {
        self.unread = self.unread.saturating_sub(unread);
        self.levels.subtract(priority, unread);
    }

    /// Records that bytes arrived from it.
    pub fn record_received(&mut self, now: Moment) {
        self.last_received = now;
        self.forget_failures();
    }

    fn forget_failures(&mut self) {
        self.failures = 0;
        self.avoided_until = Moment(0);
    }

    /// Forgets its failures if the last one came after a moment.
    pub(super) fn forget_failures_since(&mut self, since: Moment) {
        if self.failures > 0 && self.failed_at > since {
            self.forget_failures();
        }
    }

    /// Records that it could not be reached or stopped responding.
    ///
    /// Returns how long this VM avoids it without regard to peers' reports.
    pub fn record_failure(&mut self, now: Moment) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.failed_at = now;
        let avoidance = INITIAL_AVOIDANCE * 2u32.pow(doublings);
        self.avoid(now + avoidance);
        avoidance
    }

    /// Sets the time until which it is avoided.
    pub(super) fn avoid(&mut self, until: Moment) {
        self.avoided_until = until;
    }

    /// Whether it has failed since bytes last arrived from it.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Sends nothing to it before this time.
    pub fn pause(&mut self, until: Moment) {
        self.paused_until = until;
    }

    /// Treats it as gone until this time, to bridge the delay until the list shows that it is gone.
    pub fn mark_gone(&mut self, until: Moment) {
        self.gone_until = until;
    }

    /// Whether it is treated as gone because another instance was found at its address.
    pub fn is_gone(&self, now: Moment) -> bool {
        now < self.gone_until
    }

    /// Sends nothing to it before this time, without shortening a longer pause.
    pub(super) fn pause_at_least(&mut self, until: Moment) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Records the duration and outcome of a plain service's response.
    pub fn record_answer(&mut self, took: Duration, failed: bool) {
        let fault = f64::from(u8::from(failed));
        self.failure_rate += NEWEST_WEIGHT * (fault - self.failure_rate);
        let ms = took.as_secs_f64() * 1000.0;
        let average = self.response_ms.get_or_insert(ms);
        *average += NEWEST_WEIGHT * (ms - *average);
    }

    /// Whether it is avoided because it recently failed to answer.
    pub fn is_suspect(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    /// Whether it must get no new requests.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.entry.leaving || now < self.paused_until || self.is_gone(now)
    }

    /// Whether it accepts requests, according to this VM's own observations.
    pub(super) fn availability(&self, now: Moment) -> Availability {
        if self.is_paused(now) {
            Availability::Paused
        } else if self.is_suspect(now) {
            Availability::Suspect
        } else {
            Availability::Open
        }
    }

    /// The load that this VM causes there and must report to its peers, or `None` if there is none.
    pub fn held(&self) -> Option<UpstreamLoad> {
        let running = self.running.saturating_sub(self.shared.running);
        (running > 0).then_some(UpstreamLoad {
            key: self.life,
            running,
            unread: self.unread.saturating_sub(self.shared.unread),
        })
    }

    /// Running requests according to its last reported load and the requests sent since, but at least this VM's own.
    pub fn reported_running(&self, now: Moment) -> u32 {
        match self.load {
            Some((load, at)) if now.since(at) < MAX_LOAD_AGE => {
                let since = load.running.saturating_add(self.sent_since_load);
                self.running.max(since)
            }
            _ => self.running,
        }
    }

    /// Waiting requests according to its last reported load.
    pub fn reported_waiting(&self, now: Moment) -> u32 {
        match self.load {
            Some((load, at)) if now.since(at) < MAX_LOAD_AGE => load.waiting,
            _ => 0,
        }
    }
}
