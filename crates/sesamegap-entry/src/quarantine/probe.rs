//! Probes whether an upstream's process is gone.
//!
//! A VM that lost its own links finds every connection refused, so a refusal counts only if another upstream accepts one.
//!
//! From a broken connection alone, a crashed process, a network failure and an upstream that aborted a single response
//! look the same. If a new connection is refused, the upstream's own VM confirms that nothing listens there any more; if
//! it is accepted, a process is listening.

use crate::upstream;
use rustc_hash::FxHashMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::OnceCell;
use tokio::time::Instant;

/// How long a probe's result is shared by requests whose connections break at the same time.
const RESULT_TTL: Duration = Duration::from_millis(500);

/// State of an upstream's process as found by a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// Nothing listens at its address.
    Gone,
    /// It accepts connections.
    Running,
    /// The connection timed out or failed for another reason than a refusal.
    Unreachable,
}

type Probe = Arc<OnceCell<ProcessState>>;

/// Probes of upstreams, shared by all requests that lose the same one.
#[derive(Debug, Default)]
pub struct Probes(Mutex<FxHashMap<u64, (Instant, Probe)>>);

impl Probes {
    /// Probes the given instance of an upstream, from a local address; `reaches_others` tells whether this VM reaches
    /// other upstreams, and is polled only if the connection is refused.
    pub async fn probe(
        &self,
        life: u64,
        from: IpAddr,
        addr: SocketAddr,
        reaches_others: impl Future<Output = bool>,
    ) -> ProcessState {
        let probe = self.shared_probe(life);
        let state = probe.get_or_init(|| async {
            match connect(from, addr).await {
                ProcessState::Gone if !reaches_others.await => ProcessState::Unreachable,
                state => state,
            }
        });
        *state.await
    }

    fn shared_probe(&self, life: u64) -> Probe {
        let now = Instant::now();
        let mut probes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        probes.retain(|_, (started_at, _)| now - *started_at < RESULT_TTL);
        let (_, probe) = probes.entry(life).or_insert((now, Probe::default()));
        Arc::clone(probe)
    }
}

async fn connect(from: IpAddr, addr: SocketAddr) -> ProcessState {
    match upstream::open(from, addr).await {
        Ok(_) => ProcessState::Running,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProcessState::Gone,
        Err(_) => ProcessState::Unreachable,
    }
}
