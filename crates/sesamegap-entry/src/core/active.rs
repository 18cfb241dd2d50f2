//! Requests being worked on, by their ids.

use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Requests of a process that have not ended.
#[derive(Debug, Default)]
pub struct ActiveRequests(Mutex<Numbered>);

#[derive(Debug, Default)]
struct Numbered {
    next: u64,
    ids: BTreeMap<u64, SmolStr>,
}

impl ActiveRequests {
    /// Their ids, oldest first.
    pub fn ids(&self) -> Vec<SmolStr> {
        self.lock().ids.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Numbered> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request in the process until it ends.
///
/// It counts from when it was read whole: a caller that stops in the middle of its body is owed
/// nothing, and a process that stops must not wait for it.
#[derive(Debug)]
pub struct ActiveRequestGuard {
    all: Arc<ActiveRequests>,
    number: u64,
}

impl ActiveRequestGuard {
    /// Counts a request.
    pub fn new(all: &Arc<ActiveRequests>, id: SmolStr) -> Self {
        let mut requests = all.lock();
        let number = requests.next;
        requests.next += 1;
        requests.ids.insert(number, id);
        Self {
            all: Arc::clone(all),
            number,
        }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.all.lock().ids.remove(&self.number);
    }
}
