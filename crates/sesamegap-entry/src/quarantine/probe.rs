//! Whether the process of an upstream is gone.
//!
//! A connection that breaks under a request looks alike for a process that crashed, a link that was cut, and an
//! upstream that gave up one answer. A refused connection is the word of the upstream's own VM that nothing listens there
//! any more; a new one that is taken shows that it does.

use rustc_hash::FxHashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::{Instant, timeout};

/// Longest wait for the connection: many times the delay within a region.
const CONNECT: Duration = Duration::from_millis(300);

/// How long a finding serves all requests whose connections break together.
const SHARED: Duration = Duration::from_millis(500);

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// Nothing listens at its address.
    Gone,
    /// It takes connections.
    Running,
    /// It cannot be reached.
    Unreachable,
}

type Probe = Arc<OnceCell<ProcessState>>;

/// Probes of upstreams, one for all requests that lose the same one.
#[derive(Debug, Default)]
pub struct Probes(Mutex<FxHashMap<u64, (Instant, Probe)>>);

impl Probes {
    /// Probes an upstream in one of its lives.
    pub async fn probe(&self, life: u64, addr: SocketAddr) -> ProcessState {
        let probe = self.shared(life);
        *probe.get_or_init(|| connect(addr)).await
    }

    fn shared(&self, life: u64) -> Probe {
        let now = Instant::now();
        let mut probes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        probes.retain(|_, (begun, _)| now - *begun < SHARED);
        let (_, probe) = probes.entry(life).or_insert((now, Probe::default()));
        Arc::clone(probe)
    }
}

async fn connect(addr: SocketAddr) -> ProcessState {
    match timeout(CONNECT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => ProcessState::Running,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProcessState::Gone,
        Ok(Err(_)) | Err(_) => ProcessState::Unreachable,
    }
}
