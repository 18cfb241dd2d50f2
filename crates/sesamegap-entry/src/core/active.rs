//! Registry of requests in progress.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Requests of a process that have not ended.
#[derive(Debug, Default)]
pub struct ActiveRequests(Mutex<Registry>);

#[derive(Debug, Default)]
struct Registry {
    next: u64,
    ids: BTreeMap<u64, SmolStr>,
}

impl ActiveRequests {
    /// Returns the request ids, oldest first.
    pub fn ids(&self) -> Vec<SmolStr> {
        self.lock().ids.values().cloned().collect()
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
    pub fn new(requests: &Arc<ActiveRequests>, id: SmolStr) -> Self {
        let mut registry = requests.lock();
        let number = registry.next;
        registry.next += 1;
        registry.ids.insert(number, id);
        Self {
            requests: Arc::clone(requests),
            number,
        }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.requests.lock().ids.remove(&self.number);
    }
}
