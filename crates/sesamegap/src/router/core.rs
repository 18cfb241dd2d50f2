//! What all parts of one router share.

use super::clock::Clock;
use super::deciding::DeciderHandle;
use super::demand::Demand;
use super::fleet::Fleet;
use super::once::Once;
use super::peers::{PeerClient, Peers, ProbedPeers};
use super::phase::Phases;
use super::streams::AnswerStore;
use super::tree::SettingsTree;
use crate::config::{Bounds, ProcessConfig};
use crate::telemetry::Telemetry;
use sesamegap_platform::Log;
use sesamegap_settings::Catalogue;
use sesamegap_wire::{Incarnation, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Silence limits for which a request that nobody reads goes on, so that its caller can resume.
const LINGER_FACTOR: u32 = 10;

/// Bodies of the largest size for which there is room at once.
const LARGEST_BODIES: usize = 32;

/// Room for the bodies of all requests in flight, in kibibytes.
pub fn body_room(bounds: &Bounds) -> Arc<Semaphore> {
    let room = (bounds.body / 1024 + 1).saturating_mul(LARGEST_BODIES);
    Arc::new(Semaphore::new(room.min(Semaphore::MAX_PERMITS)))
}

/// The shared parts of one router.
#[derive(Debug)]
pub struct Core {
    /// Settings of the process.
    pub config: ProcessConfig,
    /// This life of the router.
    pub incarnation: Incarnation,
    /// Monotonic clock.
    pub clock: Clock,
    /// The decider thread.
    pub decider: DeciderHandle,
    /// Upstreams and entry VMs.
    pub fleet: Fleet,
    /// Answers by request.
    pub kept: AnswerStore,
    /// The settings tree.
    pub tree: SettingsTree,
    /// Idempotency keys.
    pub once: Once,
    /// Who else is alive.
    pub peers: Arc<dyn Peers>,
    /// The table of routers that probes keep up to date.
    pub members: Arc<ProbedPeers>,
    /// Speaks to other routers.
    pub peer_client: PeerClient,
    /// How much of each model is asked for.
    pub demand: Demand,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Metrics.
    pub telemetry: Telemetry,
    /// Whether the router serves, leaves or refuses.
    pub phases: Phases,
    /// Requests being worked on.
    pub flights: TaskTracker,
    /// Room for callers' bodies, in kibibytes.
    pub bodies: Arc<Semaphore>,
    /// Ends all work and all connections.
    pub cut: CancellationToken,
    /// Requests waiting for a decision.
    pub queued: AtomicUsize,
    /// Requests minted so far.
    pub minted: AtomicU64,
}

impl Core {
    /// The settings in force.
    pub fn settings(&self) -> Arc<Catalogue> {
        self.tree.in_force()
    }

    /// Mints the id of a new request.
    pub fn mint(&self) -> RequestId {
        RequestId {
            vm: self.config.vm.clone(),
            incarnation: self.incarnation,
            seq: self.minted.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// How long a request goes on that nobody reads.
    pub fn linger(&self) -> Duration {
        self.config.timing.silence * LINGER_FACTOR
    }

    /// Whether a request id names this life of this router.
    pub fn owns(&self, request: &RequestId) -> bool {
        request.vm == self.config.vm && request.incarnation == self.incarnation
    }
}
