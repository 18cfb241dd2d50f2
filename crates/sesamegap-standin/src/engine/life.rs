//! What an engine has from its start until it crashes.

use super::cache::{Cache, Tag};
use super::events::Events;
use super::job::Job;
use crate::lane::Lane;
use crate::plan::EngineLimits;
use sesamegap_wire::engine::CacheEvent;
use sesamegap_wire::{BlockKey, Incarnation, RequestId};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// What is behind a life's lock.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) cache: Cache,
    pub(crate) events: Events,
    pub(crate) jobs: HashMap<(RequestId, u32), Arc<Job>>,
    ended: bool,
}

/// One incarnation of an engine.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) incarnation: Incarnation,
    /// Places in the batch.
    pub(crate) slots: Lane,
    /// The one place at which prompts are computed, a block at a time.
    pub(crate) compute: Lane,
    /// Tells readers of cache events that there are new ones.
    pub(crate) changed: Notify,
    due: AtomicU64,
    state: Mutex<State>,
}

impl Life {
    pub(crate) fn new(incarnation: Incarnation, limits: &EngineLimits) -> Arc<Self> {
        Arc::new(Self {
            incarnation,
            slots: Lane::new(limits.slots),
            compute: Lane::new(1),
            changed: Notify::new(),
            due: AtomicU64::new(0),
            state: Mutex::new(State {
                cache: Cache::new(limits.capacity),
                events: Events::new(limits.events),
                jobs: HashMap::new(),
                ended: false,
            }),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prompt tokens accepted and not yet computed.
    pub(crate) fn due(&self) -> u64 {
        self.due.load(Ordering::Acquire)
    }

    /// Takes a block into the cache, publishes what changed, and returns what was evicted.
    pub(crate) fn store(&self, key: BlockKey, tag: Tag, lost: bool) -> Vec<(BlockKey, Tag)> {
        let gone = {
            let mut state = self.lock();
            let gone = state.cache.store(key, tag);
            state
                .events
                .push(CacheEvent::Stored { keys: vec![key] }, lost);
            if !gone.is_empty() {
                let keys = gone.iter().map(|(key, _)| *key).collect();
                state.events.push(CacheEvent::Evicted { keys }, lost);
            }
            gone
        };
        self.changed.notify_waiters();
        gone
    }

    /// Takes a job in, unless this incarnation has ended meanwhile.
    ///
    /// A job that slipped into an ended incarnation would answer from a cache that is gone.
    pub(crate) fn admit(&self, job: &Arc<Job>) -> bool {
        let mut state = self.lock();
        if !state.ended {
            let key = (job.request.clone(), job.attempt);
            state.jobs.insert(key, Arc::clone(job));
        }
        !state.ended
    }

    /// Ends all work of this incarnation.
    pub(crate) fn end(&self) {
        let jobs: Vec<_> = {
            let mut state = self.lock();
            state.ended = true;
            state.jobs.drain().map(|(_, job)| job).collect()
        };
        for job in jobs {
            job.stop();
        }
    }
}

/// Prompt tokens counted as due until they are computed or given up.
#[derive(Debug)]
pub(crate) struct Due {
    life: Arc<Life>,
    tokens: u64,
}

impl Due {
    pub(crate) fn new(life: Arc<Life>, tokens: u64) -> Self {
        life.due.fetch_add(tokens, Ordering::AcqRel);
        Self { life, tokens }
    }

    /// Lowers what is due to a number of tokens.
    pub(crate) fn lower_to(&mut self, tokens: u64) {
        let less = self.tokens.saturating_sub(tokens);
        self.life.due.fetch_sub(less, Ordering::AcqRel);
        self.tokens -= less;
    }
}

impl Drop for Due {
    fn drop(&mut self) {
        self.lower_to(0);
    }
}
