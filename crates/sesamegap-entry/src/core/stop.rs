//! What a process knows of its stop, and what it still takes on.
//!
//! The decisions are in [`sesamegap_policy::routing::stopping`].

use super::{Core, Phase};
use crate::clock;
use crate::refusal::{Refusal, START_RETRY_AFTER};
use sesamegap_policy::routing::stopping::StopDeadlines;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// State of the stop.
#[derive(Debug)]
pub(super) struct StopState {
    /// When the process was asked to stop.
    requested: OnceLock<Instant>,
    /// By how much timers were late at most since then, in milliseconds.
    timer_delay: AtomicU64,
    /// Shortest grace of the settings since then, in milliseconds.
    grace: AtomicU64,
    /// Open connections of callers.
    callers: AtomicUsize,
    /// Open connections of peers that have sent a request.
    peers: AtomicUsize,
}

impl Default for StopState {
    fn default() -> Self {
        Self {
            requested: OnceLock::new(),
            timer_delay: AtomicU64::new(0),
            grace: AtomicU64::new(u64::MAX),
            callers: AtomicUsize::new(0),
            peers: AtomicUsize::new(0),
        }
    }
}

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Client {
    /// A caller.
    Caller,
    /// A VM that sends through this one.
    Peer,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    core: Arc<Core>,
    client: Client,
}

impl ConnectionGuard {
    /// Counts a connection.
    pub fn new(core: &Arc<Core>, client: Client) -> Self {
        core.stop.open(client).fetch_add(1, Ordering::Relaxed);
        Self {
            core: Arc::clone(core),
            client,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = self.core.stop.open(self.client);
        open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StopState {
    fn open(&self, client: Client) -> &AtomicUsize {
        match client {
            Client::Caller => &self.callers,
            Client::Peer => &self.peers,
        }
    }
}

impl Core {
    /// Begins the stop; returns when it began, which a second call does not change.
    pub fn begin_stop(&self) -> Instant {
        *self.stop.requested.get_or_init(Instant::now)
    }

    /// Records by how much a timer was late in the stop.
    pub fn record_timer_delay(&self, delay: Duration) {
        self.stop
            .timer_delay
            .fetch_max(clock::millis(delay), Ordering::Relaxed);
    }

    /// By how much timers were late at most in the stop.
    pub fn timer_delay(&self) -> Duration {
        Duration::from_millis(self.stop.timer_delay.load(Ordering::Relaxed))
    }

    /// The deadlines of the stop, by the settings and delays up to now.
    ///
    /// Whether a grace that is prolonged after the signal delays the kill is not known, so the shortest one counts.
    pub fn stop_deadlines(&self) -> StopDeadlines {
        let present = clock::millis(self.settings().spans.grace);
        let former = self.stop.grace.fetch_min(present, Ordering::Relaxed);
        let grace = Duration::from_millis(present.min(former));
        StopDeadlines::new(grace, self.timer_delay())
    }

    /// Why a request with this deadline is not taken, if this VM stops before; it has not run.
    ///
    /// # Errors
    /// If it is not taken.
    pub fn check_stop(&self, deadline: Instant) -> Result<(), Refusal> {
        let is_taken = self.is_within_stop(deadline, StopDeadlines::takes);
        if is_taken && self.phase() < Phase::Exiting {
            Ok(())
        } else {
            Err(self.stopping())
        }
    }

    /// Whether a request with this deadline ends before this VM does.
    pub fn ends_before_exit(&self, deadline: Instant) -> bool {
        self.is_within_stop(deadline, StopDeadlines::ends_in_time)
    }

    /// Whether a rule of the stop allows a request with this deadline; true before the stop.
    fn is_within_stop(
        &self,
        deadline: Instant,
        rule: impl Fn(&StopDeadlines, Duration, Duration) -> bool,
    ) -> bool {
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        let elapsed = self.time_in_stop(now);
        elapsed.is_none_or(|elapsed| rule(&self.stop_deadlines(), elapsed, left))
    }

    /// The refusal of a request that this VM does not take since it stops.
    pub fn stopping(&self) -> Refusal {
        let others = self.peers.addrs_by_status().alive;
        if !others.is_empty() {
            return Refusal::Stopping(Duration::ZERO);
        }
        // No other VM is known; this one is back soon after its exit.
        let elapsed = self.time_in_stop(Instant::now()).unwrap_or_default();
        let exit = self.stop_deadlines().exit;
        Refusal::Stopping(exit.saturating_sub(elapsed) + START_RETRY_AFTER)
    }

    /// Number of open connections.
    pub fn open_connections(&self, client: Client) -> usize {
        self.stop.open(client).load(Ordering::Relaxed)
    }

    /// How long after the process was asked to stop a moment was; `None` before.
    pub fn time_in_stop(&self, at: Instant) -> Option<Duration> {
        at.checked_duration_since(*self.stop.requested.get()?)
    }

    /// Waits until only the last answers are sent.
    pub async fn wait_for_exit(&self) {
        wait_for_phase(&mut self.subscribe_phase(), Phase::Exiting).await;
    }
}

/// Waits until the process has reached a phase or a later one.
pub async fn wait_for_phase(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    if phases.wait_for(|current| *current >= phase).await.is_err() {
        // The sender lives as long as the process; without it no phase can follow.
        std::future::pending::<()>().await;
    }
}
