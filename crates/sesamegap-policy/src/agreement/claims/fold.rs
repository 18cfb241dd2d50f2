//! State folded from the claims stream of the log.

use super::{ClaimId, ClaimKey, ClaimRecord};
use crate::agreement::ProcessId;
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_wire::Offset;
use std::collections::VecDeque;
use std::time::Duration;

/// State of a key according to the log read so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState<'a> {
    /// The key is not claimed.
    Free,
    /// The key is held by the first attempt, made by this process.
    Held(ClaimId, &'a ProcessId),
}

#[derive(Debug)]
struct HeldKey {
    claim: ClaimId,
    holder: ProcessId,
}

#[derive(Debug)]
struct RetainedRecord {
    time: u64,
    key: ClaimKey,
    claim: ClaimId,
}

/// All claims that the log retains.
///
/// Memory is bounded by the log's append rate times its retention: a claim is dropped once the log
/// has dropped its record.
#[derive(Debug)]
pub struct Claims {
    next: Offset,
    newest_time: u64,
    retention: Duration,
    held: FxHashMap<ClaimKey, HeldKey>,
    released: FxHashSet<ClaimId>,
    /// Records in log order, which expire from the front.
    retained: VecDeque<RetainedRecord>,
}

impl Claims {
    /// Starts before the oldest record; `retention` is how long the log keeps a record.
    pub fn new(retention: Duration) -> Self {
        Self {
            next: Offset(0),
            newest_time: 0,
            retention,
            held: FxHashMap::default(),
            released: FxHashSet::default(),
            retained: VecDeque::new(),
        }
    }

    /// Offset of the record to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Skips records that the log has dropped; they no longer have any effect.
    pub fn skip(&mut self, oldest: Offset) {
        self.next = self.next.max(oldest);
    }

    /// Applies the record at `offset`, which the log accepted at `time` (Unix milliseconds).
    ///
    /// A record below [`Claims::next`] was applied before and is ignored.
    pub fn apply(&mut self, offset: Offset, time: u64, record: Option<&ClaimRecord>) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        self.newest_time = self.newest_time.max(time);
        self.expire();
        match record {
            Some(ClaimRecord::Claim { key, claim, holder }) => {
                self.claim(time, key, *claim, holder);
            }
            Some(ClaimRecord::Release { key, claim }) => self.release(time, key, *claim),
            // An unknown record, or one of a newer version: it occupies an offset and is ignored.
            None => {}
        }
    }

    /// Returns the state of a key.
    pub fn key_state(&self, key: &ClaimKey) -> KeyState<'_> {
        self.held.get(key).map_or(KeyState::Free, |held| {
            KeyState::Held(held.claim, &held.holder)
        })
    }

    fn claim(&mut self, time: u64, key: &ClaimKey, claim: ClaimId, holder: &ProcessId) {
        // An append whose response was lost is retried, and the retry may be delayed until after
        // the release. Treating it as a new claim would block the key permanently: callers would
        // get `ran: unknown` for a request that no router runs.
        if self.released.contains(&claim) || self.held.contains_key(key) {
            return;
        }
        let holder = holder.clone();
        self.held.insert(key.clone(), HeldKey { claim, holder });
        self.retained.push_back(RetainedRecord {
            time,
            key: key.clone(),
            claim,
        });
    }

    fn release(&mut self, time: u64, key: &ClaimKey, claim: ClaimId) {
        if self.held.get(key).is_some_and(|held| held.claim == claim) {
            self.held.remove(key);
        }
        if self.released.insert(claim) {
            self.retained.push_back(RetainedRecord {
                time,
                key: key.clone(),
                claim,
            });
        }
    }

    /// Drops the records that the log has dropped.
    ///
    /// A claim must not outlive its record: a router that starts later does not see the record, and
    /// both must agree. Keys with a timestamp are refused well before this.
    fn expire(&mut self) {
        let retention = u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX);
        let oldest = self.newest_time.saturating_sub(retention);
        while let Some(record) = self.retained.pop_front_if(|record| record.time < oldest) {
            self.released.remove(&record.claim);
            let held = self.held.get(&record.key);
            if held.is_some_and(|held| held.claim == record.claim) {
                self.held.remove(&record.key);
            }
        }
    }
}
