//! A request at an upstream, counted there until it is dropped.

use super::SharedFleet;
use crate::kept::InFlightTokens;
use crate::placing::Asked;
use crate::ports::Load;
use crate::quarantine::TrialPermit;
use sesamegap_policy::routing::engines::Prefix;
use sesamegap_wire::{DomainId, Incarnation, Moment, UpstreamId, WeightsVersion};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// A request that is at an upstream.
#[derive(Debug)]
pub struct Flight {
    pub(super) fleet: SharedFleet,
    /// The upstream.
    pub id: UpstreamId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Model that the request is for, if it is a prompt.
    pub model: Option<SmolStr>,
    /// Weights that it is believed to hold.
    pub weights: Option<WeightsVersion>,
    /// Engine that holds the shared prefix, if another.
    pub source: Option<SocketAddr>,
    /// Whether it uses the store of kept cache that the prompt's home uses.
    pub at_store: bool,
    /// What it fetches from a store, until its prompt was read.
    pub on_way: Option<InFlightTokens>,
    /// Engines that it was chosen from.
    pub engines: usize,
    /// Requests running there when it was chosen.
    pub running: u32,
    /// Prompt tokens of this VM that it had not read then.
    pub ahead: u64,
    /// Life of the upstream that it went to; unset if it does not say.
    pub born: Option<Incarnation>,
    /// Set if the request is on trial.
    pub permit: Option<TrialPermit>,
    pub(super) seed: u64,
    pub(super) life: u64,
    pub(super) prefixes: Vec<Prefix>,
    pub(super) unread: u64,
    /// When the engine last served the whole shared prefix, as an owner told.
    pub(super) served: Option<Moment>,
    /// Set if the owner of the engine's shard knows of it.
    pub(super) asked: Option<Asked>,
}

impl Flight {
    /// Tokens of its prompt.
    pub fn tokens(&self) -> u64 {
        self.unread
    }

    /// Number of the upstream, the same in all VMs.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Number of the upstream's life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Who placed it or was told of it, if another VM.
    pub fn owner(&self) -> Option<SocketAddr> {
        self.asked.as_ref().map(Asked::owner)
    }

    /// Notes that the owner of its engine's shard knows of it.
    pub fn share(&mut self, asked: Asked) {
        self.asked = Some(asked);
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.shared.running += 1;
            upstream.shared.unread += self.unread;
        }
    }

    /// When newer weights than the engine's were first named.
    ///
    /// Weights that are not known count as the oldest, as they do when an engine is chosen.
    pub fn overtaken(&self) -> Option<Moment> {
        let version = self.weights.unwrap_or_default();
        let fleet = self.fleet.lock();
        fleet.namings.superseded_at(self.model.as_ref()?, version)
    }

    /// Time until the request is taken back unless it has begun; none if its weights are the newest.
    pub fn left_to_begin(&self, now: Moment) -> Option<Duration> {
        let version = self.weights.unwrap_or_default();
        let fleet = self.fleet.lock();
        let until = fleet
            .namings
            .start_deadline(self.model.as_ref()?, version)?;
        Some(until.since(now))
    }

    /// Notes that it gave a connection and answered: what others say of its silence is over.
    pub fn reached(&self, now: Moment) {
        let mut fleet = self.fleet.lock();
        let there = fleet.in_life(&self.id, self.life);
        let avoided = there.is_some_and(|upstream| upstream.has_failed());
        fleet.silences.answered(self.life, avoided, now);
    }

    /// Notes that bytes came, and on the first call that the prompt was read.
    pub fn heard(&mut self, now: Moment) {
        let unread = std::mem::take(&mut self.unread);
        self.on_way = None;
        let shared = self.asked.as_ref().filter(|_| unread > 0);
        if let Some(asked) = shared {
            asked.read();
        }
        let shared = if self.asked.is_some() { unread } else { 0 };
        let mut fleet = self.fleet.lock();
        let version = self.weights.map_or(0, |version| version.0);
        for prefix in self.prefixes.drain(..) {
            fleet.recall.note(prefix.hash, self.life, version, now);
        }
        if let Some(upstream) = fleet.in_life(&self.id, self.life) {
            upstream.hear(now);
            upstream.unread = upstream.unread.saturating_sub(unread);
            upstream.shared.unread = upstream.shared.unread.saturating_sub(shared);
        }
    }

    /// When any byte last came from the upstream, on any connection.
    pub fn last_heard(&self) -> Moment {
        let mut fleet = self.fleet.lock();
        fleet
            .in_life(&self.id, self.life)
            .map(|upstream| upstream.heard)
            .unwrap_or_default()
    }

    /// When the engine last served the whole shared prefix to this VM.
    pub fn last_served(&self) -> Option<Moment> {
        let inner = self.prefixes.last()?;
        let version = self.weights.map_or(0, |version| version.0);
        let own = self
            .fleet
            .lock()
            .recall
            .last(inner.hash, self.life, version);
        own.max(self.served)
    }

    /// Notes the load that the answer told.
    pub fn loaded(&self, load: Load, now: Moment) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.loaded(load, now);
        }
    }

    /// Notes the weights that the answer told.
    pub fn holds(&self, model: &SmolStr, version: WeightsVersion) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.holds(model, version);
        }
    }

    /// Notes that the upstream could not be reached or went silent.
    pub fn failed(&self, now: Moment) {
        let mut fleet = self.fleet.lock();
        if fleet.in_life(&self.id, self.life).is_some() {
            fleet.failed(&self.id, now);
        }
    }

    /// Sends nothing there until a moment.
    pub fn paused(&self, until: Moment) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.pause_at_least(until);
        }
    }

    /// Notes the time and outcome of a plain answer.
    pub fn answered(&self, took: Duration, failed: bool) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.answered(took, failed);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut fleet = self.fleet.lock();
        if let Some(upstream) = fleet.in_life(&self.id, self.life) {
            upstream.running = upstream.running.saturating_sub(1);
            upstream.unread = upstream.unread.saturating_sub(self.unread);
            if self.asked.is_some() {
                let shared = &mut upstream.shared;
                shared.running = shared.running.saturating_sub(1);
                shared.unread = shared.unread.saturating_sub(self.unread);
            }
        }
    }
}
