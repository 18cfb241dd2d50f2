//! Registry of requests in progress.

use crate::clock;
use sesamegap_http::serving::RequestGuard;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Requests of a process that have not ended.
#[derive(Debug, Default)]
pub struct ActiveRequests(Mutex<Registry>);

#[derive(Debug, Default)]
struct Registry {
    next: u64,
    requests: BTreeMap<u64, ActiveRequest>,
}

/// A request in progress.
#[derive(Debug, Clone)]
pub struct ActiveRequest {
    /// Its id.
    pub id: SmolStr,
    /// When and on what connection it came.
    pub arrival: Arrival,
}

impl fmt::Display for ActiveRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.id, self.arrival)
    }
}

/// When a request's head came, and on what connection.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When its head came.
    pub at: Instant,
    /// Number of the request on its connection, from 1.
    pub number: usize,
    /// How long the connection had been open then.
    pub connection_age: Duration,
}

impl Arrival {
    /// A request that came just now.
    pub fn now(connection: &RequestGuard) -> Self {
        let at = Instant::now();
        Self {
            at,
            number: connection.number(),
            connection_age: at.saturating_duration_since(connection.opened()),
        }
    }

    /// A request that came just now as the only one of its connection.
    pub fn alone() -> Self {
        Self {
            at: Instant::now(),
            number: 1,
            connection_age: Duration::ZERO,
        }
    }
}

impl fmt::Display for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            number,
            connection_age,
        } = self;
        let age = clock::millis(at.elapsed());
        let open = clock::millis(*connection_age);
        write!(
            f,
            "{age} ms ago as no. {number} of a connection open for {open} ms"
        )
    }
}

impl ActiveRequests {
    /// Returns the requests, oldest first.
    pub fn all(&self) -> Vec<ActiveRequest> {
        self.lock().requests.values().cloned().collect()
    }

    /// Number of requests.
    pub fn count(&self) -> usize {
        self.lock().requests.len()
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request registered as active until the guard is dropped.
///
/// A request is registered only once its body was read completely. A caller that stops in the middle of the body is
/// owed no response, and a process that shuts down must not wait for it.
#[derive(Debug)]
pub struct ActiveRequestGuard {
    requests: Arc<ActiveRequests>,
    number: u64,
}

impl ActiveRequestGuard {
    /// Registers a request.
    pub fn new(requests: &Arc<ActiveRequests>, id: SmolStr, arrival: Arrival) -> Self {
        let mut registry = requests.lock();
        let number = registry.next;
        registry.next += 1;
        let request = ActiveRequest { id, arrival };
        registry.requests.insert(number, request);
        Self {
            requests: Arc::clone(requests),
            number,
        }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.requests.lock().requests.remove(&self.number);
    }
}
