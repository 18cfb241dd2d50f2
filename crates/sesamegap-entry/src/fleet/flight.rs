//! A request in flight at an upstream, which counts towards the upstream's load until it is dropped.

use super::{Fleet, SharedFleet, Upstream};
use crate::clock;
use crate::kept::InFlightTokens;
use crate::limits::permit::SendPermit;
use crate::placing::TrackedPrompt;
use crate::ports::Load;
use crate::quarantine::TrialPermit;
use crate::upstream::gateway::Destination;
use crate::upstream::{self, CLOSE_TIMEOUT, OpenConnections, OpenTime};
use sesamegap_policy::routing::engines::{self, Prefix};
use sesamegap_policy::routing::speeds::{PromptKind, Sample};
use sesamegap_wire::{DomainId, Incarnation, Moment, SoftwareVersion, UpstreamId, WeightsVersion};
use smol_str::SmolStr;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// A request that this VM has let through to a brittle upstream, until it is dropped.
#[derive(Debug)]
pub struct GatePass {
    fleet: SharedFleet,
    id: UpstreamId,
    life: u64,
    is_answered: AtomicBool,
}

impl GatePass {
    /// Lets a request through, or returns `None` if the upstream has no room.
    pub fn take(fleet: &SharedFleet, id: &UpstreamId, life: u64, now: Moment) -> Option<Self> {
        let passes = fleet.lock().try_pass(id, life, now);
        passes.then(|| Self {
            fleet: fleet.clone(),
            id: id.clone(),
            life,
            is_answered: AtomicBool::new(false),
        })
    }

    /// Records whether the upstream had room.
    pub fn record_answer(&self, is_rejected: bool, now: Moment) {
        self.is_answered.store(true, Ordering::Relaxed);
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.record_received(now);
            if is_rejected {
                upstream.gate.record_rejection(now);
            } else {
                upstream.gate.record_accepted();
            }
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            if *self.is_answered.get_mut() {
                upstream.gate.leave();
            } else {
                let now = clock::now();
                let silent = now.since(upstream.last_received);
                upstream.gate.leave_unanswered(silent, now);
            }
        }
    }
}

/// Time before the end of a response within which other connections break that end with the same crash.
const BREAK_WINDOW: Duration = Duration::from_millis(30);

/// Longest time since a connection was seen open for which one that is accepted now is taken to be the same process's: half
/// of the shortest time after which platforms give an address to another process.
const PROMPT: Duration = Duration::from_secs(1);

/// Time within which all connections of a process that crashed are closed, also through a load balancer.
const SLOW_CLOSE: Duration = Duration::from_millis(150);

/// Whether the incarnation of an upstream runs, just after the end of an answer on a connection that was open at `time`.
pub async fn confirm_running(
    fleet: SharedFleet,
    id: UpstreamId,
    life: u64,
    (from, addr): (IpAddr, SocketAddr),
    connections: OpenConnections,
    time: Arc<OpenTime>,
) -> bool {
    let ended_at = clock::now();
    // A crash ends all connections, but not all at the same moment.
    sleep(CLOSE_TIMEOUT).await;
    let survives = || connections.has_survivor(addr, &time, CLOSE_TIMEOUT);
    if survives() {
        let broke = fleet
            .lock()
            .get(&id)
            .map(|listed| listed.connection_broke_at);
        if broke.is_none_or(|broke| broke + BREAK_WINDOW < ended_at) {
            return true;
        }
        // A load balancer may be late to close the connections of a process that crashed.
        sleep(SLOW_CLOSE).await;
        return survives();
    }
    // This VM may have stood still while another process took over.
    if ended_at.since(time.last_seen()) > PROMPT {
        return false;
    }
    // One that leaves accepts connections until it ends.
    if !upstream::is_running(from, addr).await {
        return false;
    }
    let fleet = fleet.lock();
    fleet.get(&id).is_none_or(|listed| {
        // Another process may listen there by now.
        let broke = listed.connection_broke_at + BREAK_WINDOW >= ended_at;
        listed.life == life && !broke
    })
}

/// A request in flight at an upstream.
#[derive(Debug)]
pub struct Flight {
    pub(super) fleet: SharedFleet,
    /// The upstream.
    pub id: UpstreamId,
    /// Address on which the upstream listens.
    pub addr: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: DomainId,
    /// Model that the request uses, if it is a prompt.
    pub model: Option<SmolStr>,
    /// Version of the model's weights that the upstream has loaded, as far as this VM knows.
    pub weights: Option<WeightsVersion>,
    /// Engine that has the shared prefix in its cache, if it is another one.
    pub source: Option<SocketAddr>,
    /// Whether the upstream uses the same kept-KV store as the prompt's home engine.
    pub at_store: bool,
    /// The transfer from a kept-KV store, until the prompt has been prefilled.
    pub on_way: Option<InFlightTokens>,
    /// Number of engines of the service when it was chosen.
    pub engines: usize,
    /// When the request was sent; until then, when its upstream was chosen.
    pub sent_at: Moment,
    /// Requests running at the upstream when it was chosen.
    pub running: u32,
    /// Prompt tokens of all VMs that the upstream had not prefilled at that time.
    pub ahead: u64,
    /// Incarnation of the upstream that was chosen, if it states one.
    pub born: Option<Incarnation>,
    /// Version of the upstream's software, as far as this VM knew when it was chosen.
    pub software: SoftwareVersion,
    /// Set if the upstream is brittle and this VM counts its requests.
    pub gate_pass: Option<GatePass>,
    /// The permit to send the request, until it is sent.
    pub send_permit: Option<SendPermit>,
    /// Set if the request runs as a trial of the quarantine.
    pub permit: Option<TrialPermit>,
    pub(super) seed: u64,
    pub(super) life: u64,
    pub(super) prefixes: Vec<Prefix>,
    pub(super) unread: u64,
    /// Its priority; 0 is the most urgent.
    pub(super) priority: u8,
    /// When the engine last served the whole shared prefix, as reported by the shard's owner.
    pub(super) served: Option<Moment>,
    /// Set if the owner of the engine's shard knows the request.
    pub(super) tracked_prompt: Option<TrackedPrompt>,
}

impl Flight {
    /// Tokens of its prompt that are not known to be prefilled: all of them until the first bytes arrive, then none.
    pub fn tokens(&self) -> u64 {
        self.unread
    }

    /// Its priority; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Number derived from the upstream's id, the same in all VMs.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Number of the upstream's incarnation, the same in all VMs.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// The upstream, as it is addressed through peers.
    pub fn destination(&self) -> Destination {
        Destination {
            id: self.id.clone(),
            life: self.life,
        }
    }

    /// The version of the software that takes the request; an unstated one as long as the upstream may have restarted with
    /// another one before.
    pub fn begun_software(&self) -> SoftwareVersion {
        let known = self.software_by(Fleet::software_of);
        known.unwrap_or_else(|| self.software.clone())
    }

    /// Whether the list has turned out to name another version than the one that was taken to have begun the stream.
    pub fn contradicts(&self, software: &SoftwareVersion) -> bool {
        // Connections that broke meanwhile, such as its own, do not count.
        let listed = self.software_by(|_, upstream| upstream.entry.software.clone());
        software.is_stated() && listed.is_some_and(|listed| listed != *software)
    }

    /// The version that is known now; `None` if the upstream is no longer listed, and an unstated one if it restarted.
    fn software_by(
        &self,
        known: impl Fn(&Fleet, &Upstream) -> SoftwareVersion,
    ) -> Option<SoftwareVersion> {
        let fleet = self.fleet.lock();
        let present = fleet.get(&self.id)?;
        let software = known(&fleet, present);
        let was_other = self.software.is_stated() && software != self.software;
        // Which of the two processes took the request is not known.
        let is_restarted = was_other || present.life != self.life;
        Some(if is_restarted {
            SoftwareVersion::default()
        } else {
            software
        })
    }

    /// Returns a future that tells whether the upstream still runs, from the moment at which it is polled.
    pub fn confirm_running(
        &self,
        from: IpAddr,
        connections: OpenConnections,
        time: Arc<OpenTime>,
    ) -> impl Future<Output = bool> + Send + use<> {
        confirm_running(
            self.fleet.clone(),
            self.id.clone(),
            self.life,
            (from, self.addr),
            connections,
            time,
        )
    }

    /// Records that its connection broke, so that the upstream may have restarted.
    pub fn record_broken(&self, now: Moment) {
        self.fleet.lock().record_broken(&self.id, self.life, now);
    }

    /// Address of the VM that placed the request or was notified of it, if there is one.
    pub fn owner(&self) -> Option<SocketAddr> {
        self.tracked_prompt.as_ref().map(TrackedPrompt::owner)
    }

    /// Records that the owner of the engine's shard knows the request.
    pub fn set_owner(&mut self, tracked_prompt: TrackedPrompt) {
        self.tracked_prompt = Some(tracked_prompt);
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.shared.running += 1;
            upstream.shared.unread += self.unread;
        }
    }

    /// When weights newer than the engine's were first named.
    ///
    /// Unknown weights count as the oldest, as they do when an engine is chosen.
    pub fn superseded_at(&self) -> Option<Moment> {
        let version = self.weights.unwrap_or_default();
        let fleet = self.fleet.lock();
        fleet.namings.superseded_at(self.model.as_ref()?, version)
    }

    /// Time until the request is withdrawn unless it has started, or `None` if the engine's weights are the newest.
    pub fn time_to_start(&self, now: Moment) -> Option<Duration> {
        let version = self.weights.unwrap_or_default();
        let fleet = self.fleet.lock();
        let until = fleet
            .namings
            .start_deadline(self.model.as_ref()?, version)?;
        Some(until.since(now))
    }

    /// Records that the upstream accepted a connection and responded, which overrides peers' reports of its silence.
    pub fn record_response(&self, now: Moment) {
        let mut fleet = self.fleet.lock();
        let upstream = fleet.in_life(&self.id, self.life);
        let avoided = upstream.is_some_and(|upstream| upstream.has_failed());
        fleet.silence_reports.answered(self.life, avoided, now);
    }

    /// Records that bytes arrived; the first call also records that the prompt was prefilled.
    pub fn record_received(&mut self, now: Moment) {
        let unread = std::mem::take(&mut self.unread);
        self.on_way = None;
        let shared = self.tracked_prompt.as_ref().filter(|_| unread > 0);
        if let Some(tracked_prompt) = shared {
            tracked_prompt.report_read();
        }
        let shared = if self.tracked_prompt.is_some() {
            unread
        } else {
            0
        };
        let sample = self.sample(unread, now);
        let mut fleet = self.fleet.lock();
        if let Some(sample) = sample {
            fleet.record_sample(&sample, now);
        }
        let version = self.weights.map_or(0, |version| version.0);
        for prefix in self.prefixes.drain(..) {
            fleet
                .cache_locations
                .note(prefix.hash, self.life, version, now);
        }
        if let Some(upstream) = fleet.in_life(&self.id, self.life) {
            upstream.record_received(now);
            upstream.record_prefill(unread, self.priority);
            upstream.shared.unread = upstream.shared.unread.saturating_sub(shared);
        }
    }

    /// How long its prompt took that has just been prefilled, if it has one.
    fn sample(&self, tokens: u64, now: Moment) -> Option<Sample> {
        let model = self.model.as_ref().filter(|_| tokens > 0)?;
        Some(Sample {
            life: self.life,
            kind: PromptKind {
                model: engines::seed(model),
                cached: self.last_served().is_some(),
            },
            ahead: self.ahead,
            tokens,
            took: now.since(self.sent_at),
        })
    }

    /// When bytes last arrived from the upstream on any of this VM's connections.
    pub fn last_received(&self) -> Moment {
        let mut fleet = self.fleet.lock();
        fleet
            .in_life(&self.id, self.life)
            .map(|upstream| upstream.last_received)
            .unwrap_or_default()
    }

    /// When the engine last served the whole shared prefix, as known to this VM or reported by the shard's owner.
    pub fn last_served(&self) -> Option<Moment> {
        let inner = self.prefixes.last()?;
        let version = self.weights.map_or(0, |version| version.0);
        let own = self
            .fleet
            .lock()
            .cache_locations
            .last(inner.hash, self.life, version);
        own.max(self.served)
    }

    /// Records the load that the response reports.
    pub fn record_load(&self, load: Load, now: Moment) {
        let mut fleet = self.fleet.lock();
        if let Some(upstream) = fleet.in_life(&self.id, self.life) {
            upstream.record_load(load, now);
        }
        if let Some(work) = load.work {
            fleet.record_work(self.life, work, now);
        }
    }

    /// Records the version of the weights that the response reports.
    pub fn record_version(&self, model: &SmolStr, version: WeightsVersion) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.record_version(model, version);
        }
    }

    /// Records that the upstream could not be reached or stopped responding.
    pub fn record_failure(&self, now: Moment) {
        let mut fleet = self.fleet.lock();
        if fleet.in_life(&self.id, self.life).is_some() {
            fleet.record_failure(&self.id, now);
        }
    }

    /// Records that a peer could not reach the upstream for this VM.
    pub fn record_peer_failure(&self, now: Moment) {
        let mut fleet = self.fleet.lock();
        if fleet.in_life(&self.id, self.life).is_some() {
            fleet.record_peer_failure(&self.id, now);
        }
    }

    /// Sends nothing to the upstream before this time.
    pub fn pause_at_least(&self, until: Moment) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.pause_at_least(until);
        }
    }

    /// Records the duration and outcome of a plain service's response.
    pub fn record_answer(&self, took: Duration, failed: bool) {
        if let Some(upstream) = self.fleet.lock().in_life(&self.id, self.life) {
            upstream.record_answer(took, failed);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut fleet = self.fleet.lock();
        if let Some(upstream) = fleet.in_life(&self.id, self.life) {
            upstream.running = upstream.running.saturating_sub(1);
            upstream.record_prefill(self.unread, self.priority);
            if self.tracked_prompt.is_some() {
                let shared = &mut upstream.shared;
                shared.running = shared.running.saturating_sub(1);
                shared.unread = shared.unread.saturating_sub(self.unread);
            }
        }
    }
}
