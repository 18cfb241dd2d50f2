//! The fold of the claims stream.

use super::{ClaimId, ClaimKey, ClaimRecord};
use crate::agreement::Holder;
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_wire::Offset;
use std::collections::VecDeque;
use std::time::Duration;

/// Where a key stands in the log so far read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState<'a> {
    /// Nobody holds it.
    Free,
    /// The attempt that came first, and who made it.
    Held(ClaimId, &'a Holder),
}

#[derive(Debug)]
struct Held {
    claim: ClaimId,
    holder: Holder,
}

#[derive(Debug)]
struct Aged {
    time: u64,
    key: ClaimKey,
    claim: ClaimId,
}

/// All claims that the log keeps, in the order of the log.
///
/// Memory is bounded by the log's rate of appends times its retention: a claim is dropped when
/// the log itself has dropped its record.
#[derive(Debug)]
pub struct Claims {
    next: Offset,
    newest: u64,
    retention: Duration,
    held: FxHashMap<ClaimKey, Held>,
    released: FxHashSet<ClaimId>,
    aged: VecDeque<Aged>,
}

impl Claims {
    /// Starts before the oldest record; `retention` is how long the log keeps one.
    pub fn new(retention: Duration) -> Self {
        Self {
            next: Offset(0),
            newest: 0,
            retention,
            held: FxHashMap::default(),
            released: FxHashSet::default(),
            aged: VecDeque::new(),
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

    /// Goes on after records that the log has dropped; they no longer matter.
    pub fn skip(&mut self, oldest: Offset) {
        self.next = self.next.max(oldest);
    }

    /// Takes in the record at `offset`, which the log took at `time` (Unix milliseconds).
    ///
    /// A record below [`Claims::next`] was taken in before and changes nothing.
    pub fn apply(&mut self, offset: Offset, time: u64, record: Option<&ClaimRecord>) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        self.newest = self.newest.max(time);
        self.forget();
        match record {
            Some(ClaimRecord::Claim { key, claim, holder }) => {
                self.claim(time, key, *claim, holder);
            }
            Some(ClaimRecord::Release { key, claim }) => self.release(time, key, *claim),
            // Not a record of ours, or of a newer version: it takes a place and means nothing.
            None => {}
        }
    }

    /// Where a key stands.
    pub fn key_state(&self, key: &ClaimKey) -> KeyState<'_> {
        self.held.get(key).map_or(KeyState::Free, |held| {
            KeyState::Held(held.claim, &held.holder)
        })
    }

    fn claim(&mut self, time: u64, key: &ClaimKey, claim: ClaimId, holder: &Holder) {
        // An append whose answer was lost is repeated and may be delayed: its second record can
        // come after the release. Taking it for a new claim would block the key for good, with
        // callers told `ran: unknown` of a request that nobody runs.
        if self.released.contains(&claim) || self.held.contains_key(key) {
            return;
        }
        let holder = holder.clone();
        self.held.insert(key.clone(), Held { claim, holder });
        self.aged.push_back(Aged {
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
            self.aged.push_back(Aged {
                time,
                key: key.clone(),
                claim,
            });
        }
    }

    /// Drops what the log has dropped.
    ///
    /// A claim outlives its record by nothing: a router that starts afterwards does not see it
    /// either, and the two must agree. Keys with a time are refused well before.
    fn forget(&mut self) {
        let span = u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX);
        let oldest = self.newest.saturating_sub(span);
        while let Some(aged) = self.aged.pop_front_if(|aged| aged.time < oldest) {
            self.released.remove(&aged.claim);
            let held = self.held.get(&aged.key);
            if held.is_some_and(|held| held.claim == aged.claim) {
                self.held.remove(&aged.key);
            }
        }
    }
}
