//! Decides what a process that is behind asks its peers for.

use super::{BUCKETS, Content, Delta, Digest, EntryId, Version};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most entries that are asked for at once: about a piece of them, so that several peers share the work.
const ENTRIES_PER_ASK: usize = 192;

/// Entries that a peer is asked for that has sent none yet.
const TRIAL_ENTRIES: usize = 24;

/// Fewest entries that are asked for at once, over a link on which larger answers come too late.
const MIN_ENTRIES_PER_ASK: usize = 4;

/// Entries for which one bucket is asked for: 16 buckets at once on a link that is not thin, 1,250 ids of a value with 20,000
/// entries.
const ENTRIES_PER_BUCKET: usize = 12;

/// Bytes that are allowed in an answer for each entry that is asked for.
const ROOM_PER_ENTRY: usize = 128;

/// A question to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// What changed since a version, in at most this many bytes. The number selects the added entries that come with it.
    Changes(Version, usize, usize),
    /// The digests of the buckets of the peer's version.
    Outline,
    /// The ids in buckets with these digests.
    Ids(Vec<(u8, Digest)>),
    /// Entries with these ids.
    Entries(Vec<EntryId>),
}

/// Why a fetched version cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchError {
    /// The version that a peer announced.
    pub announced: Version,
    /// Digest of the entries that peers named for it.
    pub digest: Digest,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { announced, digest } = self;
        write!(
            f,
            "version {announced} was announced, but its entries have digest {:016x}",
            digest.0
        )
    }
}

impl std::error::Error for FetchError {}

/// What is known of the version that is being fetched.
#[derive(Debug)]
struct Target {
    version: Version,
    /// The own version, from which it differs by what follows.
    base: Version,
    removed: Vec<EntryId>,
    /// Entries that the own version lacks.
    added: FxHashSet<EntryId>,
    /// Those that no peer is being asked for; some may have arrived since.
    queue: Vec<EntryId>,
    /// Number of those that have not arrived.
    missing: usize,
    /// Buckets that differ and whose ids are not known yet, with their digests.
    unlisted: FxHashMap<u8, Digest>,
    /// The digests of all buckets, unless a peer named what changed.
    outline: Vec<Digest>,
}

impl Target {
    /// Adds entries that the own version lacks.
    fn require<E>(
        &mut self,
        ids: impl IntoIterator<Item = EntryId>,
        arrived: &FxHashMap<EntryId, E>,
    ) {
        for id in ids {
            if self.added.insert(id) && !arrived.contains_key(&id) {
                self.queue.push(id);
                self.missing += 1;
            }
        }
    }
}

/// A newer version that is being fetched from peers.
#[derive(Debug)]
pub struct Fetch<E> {
    target: Option<Target>,
    /// Entries that have arrived, and may be sent on to peers already.
    arrived: FxHashMap<EntryId, E>,
    /// Ids of buckets that peers listed, by the bucket's digest.
    listed: FxHashMap<(u8, Digest), Vec<EntryId>>,
    /// Whether a peer's account of what changed was wrong.
    needs_outline: bool,
    /// Entries that are asked for at once.
    batch: usize,
}

impl<E> Default for Fetch<E> {
    fn default() -> Self {
        Self {
            target: None,
            arrived: FxHashMap::default(),
            listed: FxHashMap::default(),
            needs_outline: false,
            batch: ENTRIES_PER_ASK,
        }
    }
}

impl<E: Clone> Fetch<E> {
    /// The version that is being fetched.
    pub fn target(&self) -> Option<Version> {
        self.target.as_ref().map(|target| target.version)
    }

    /// What changed between a version and the target, if all of it is known.
    pub fn delta_from(&self, base: Version) -> Option<(Version, Delta)> {
        let target = self.target.as_ref();
        let target = target.filter(|target| target.base == base && target.unlisted.is_empty())?;
        let delta = Delta {
            removed: target.removed.clone(),
            added: target.added.iter().copied().collect(),
        };
        Some((target.version, delta))
    }

    /// The digests of the target's buckets, if a peer sent them.
    pub fn outline(&self) -> Option<(Version, &[Digest])> {
        let target = self.target.as_ref()?;
        (!target.outline.is_empty()).then_some((target.version, target.outline.as_slice()))
    }

    /// The ids in a bucket with this digest, if a peer listed them.
    pub fn ids(&self, bucket: u8, digest: Digest) -> Option<&[EntryId]> {
        self.listed.get(&(bucket, digest)).map(Vec::as_slice)
    }

    /// An entry that has arrived.
    pub fn get(&self, id: EntryId) -> Option<&E> {
        self.arrived.get(&id)
    }

    /// The question that finds out about a newer version.
    pub fn first_ask(&self, own: &Content<E>, rng: &mut dyn Rng) -> Ask {
        if self.needs_outline {
            Ask::Outline
        } else {
            let selector = rng.random_range(0..=usize::from(u16::MAX));
            Ask::Changes(own.version(), self.batch * ROOM_PER_ENTRY, selector)
        }
    }

    /// Aims at a version whose difference from `base` a peer named, if it is newer than the target.
    pub fn aim_by_delta(
        &mut self,
        own: &Content<E>,
        base: Version,
        version: Version,
        delta: Delta,
    ) -> bool {
        let is_aimed = base == own.version() && self.is_newer(own, version);
        if is_aimed {
            let mut target = Target {
                version,
                base,
                removed: delta.removed,
                added: FxHashSet::default(),
                queue: Vec::new(),
                missing: 0,
                unlisted: FxHashMap::default(),
                outline: Vec::new(),
            };
            target.require(delta.added, &self.arrived);
            self.target = Some(target);
            self.discard_useless();
        }
        is_aimed
    }

    /// Aims at a version of which a peer sent the digests of its buckets, if it is newer than the target.
    pub fn aim_by_outline(
        &mut self,
        own: &Content<E>,
        version: Version,
        outline: &[Digest],
    ) -> bool {
        if outline.len() != BUCKETS || !self.is_newer(own, version) {
            return false;
        }
        let buckets = (0..=u8::MAX).zip(outline.iter().copied());
        let unlisted = buckets.filter(|(bucket, digest)| own.digest(*bucket) != *digest);
        let unlisted: FxHashMap<u8, Digest> = unlisted.collect();
        self.listed
            .retain(|(bucket, digest), _| unlisted.get(bucket) == Some(digest));
        self.target = Some(Target {
            version,
            base: own.version(),
            removed: Vec::new(),
            added: FxHashSet::default(),
            queue: Vec::new(),
            missing: 0,
            unlisted,
            outline: outline.to_vec(),
        });
        for ((bucket, _), ids) in std::mem::take(&mut self.listed) {
            self.add_ids(own, bucket, ids);
        }
        self.discard_useless();
        true
    }

    /// Adds the ids that a peer listed of a bucket; returns whether they are those of the target.
    pub fn add_ids(&mut self, own: &Content<E>, bucket: u8, ids: Vec<EntryId>) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        let digest = Digest::of(&ids);
        if target.unlisted.get(&bucket) != Some(&digest) {
            return false;
        }
        target.unlisted.remove(&bucket);
        let present: FxHashSet<EntryId> = own.ids(bucket).into_iter().collect();
        let wanted: FxHashSet<EntryId> = ids.iter().copied().collect();
        target.removed.extend(present.difference(&wanted));
        let added = wanted.difference(&present).copied();
        target.require(added, &self.arrived);
        self.listed.insert((bucket, digest), ids);
        true
    }

    /// Adds an entry that a peer sent; returns whether it was missing.
    pub fn add_entry(&mut self, id: EntryId, entry: E) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        let is_missing = target.added.contains(&id) && self.arrived.insert(id, entry).is_none();
        target.missing -= usize::from(is_missing);
        is_missing
    }

    /// What to ask a peer for next; `None` if everything is known or was asked for. A peer that has sent nothing yet, and
    /// may have nothing, is asked for a few entries.
    pub fn next_ask(&mut self, is_proven: bool, rng: &mut dyn Rng) -> Option<Ask> {
        let batch = if is_proven {
            self.batch
        } else {
            self.batch.min(TRIAL_ENTRIES)
        };
        let target = self.target.as_mut()?;
        if !target.unlisted.is_empty() {
            let buckets = target.unlisted.iter();
            let buckets = buckets.map(|(bucket, digest)| (*bucket, *digest));
            let count = (self.batch / ENTRIES_PER_BUCKET).max(1);
            return Some(Ask::Ids(buckets.sample(rng, count)));
        }
        // Peers that fetch the same document send each other what they have, so each begins elsewhere.
        let mut ids = Vec::new();
        while ids.len() < batch && !target.queue.is_empty() {
            let at = rng.random_range(0..target.queue.len());
            let id = target.queue.swap_remove(at);
            if !self.arrived.contains_key(&id) {
                ids.push(id);
            }
        }
        (!ids.is_empty()).then_some(Ask::Entries(ids))
    }

    /// Records whether an answer came in time. After one that did not, less is asked for at once: over a thin link, a large
    /// answer would be given up and asked for again without end.
    pub fn record_timing(&mut self, is_late: bool) {
        self.batch = if is_late {
            (self.batch / 2).max(MIN_ENTRIES_PER_ASK)
        } else {
            (self.batch + self.batch / 4 + 1).min(ENTRIES_PER_ASK)
        };
    }

    /// Records that a question was answered, or will not be: what did not arrive may be asked for again.
    pub fn release(&mut self, ask: &Ask) {
        let (Ask::Entries(ids), Some(target)) = (ask, &mut self.target) else {
            return;
        };
        let missing = ids.iter().filter(|id| target.added.contains(id));
        let missing = missing.filter(|id| !self.arrived.contains_key(id));
        target.queue.extend(missing);
    }

    /// Whether all entries of the target have arrived.
    pub fn is_complete(&self) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| target.unlisted.is_empty() && target.missing == 0)
    }

    /// Builds the target version if all of it has arrived.
    ///
    /// # Errors
    /// If the entries that peers named do not have the digest that a peer announced; the target is dropped.
    pub fn finish(&mut self, own: &Content<E>) -> Result<Option<Content<E>>, FetchError> {
        if !self.is_complete() {
            return Ok(None);
        }
        let Some(target) = self.target.take() else {
            return Ok(None);
        };
        if target.base != own.version() {
            // Another version was put in force meanwhile; what has arrived may still be of use.
            return Ok(None);
        }
        let Self { arrived, batch, .. } = std::mem::take(self);
        self.batch = batch;
        let added = arrived.into_iter();
        let added = added.filter(|(id, _)| target.added.contains(id)).collect();
        let next = own.changed(target.version.revision, target.removed, added);
        if next.version() == target.version {
            return Ok(Some(next));
        }
        self.needs_outline = true;
        Err(FetchError {
            announced: target.version,
            digest: next.version().digest,
        })
    }

    fn is_newer(&self, own: &Content<E>, version: Version) -> bool {
        let target = self.target.as_ref();
        let target = target.filter(|target| target.base == own.version());
        let revision = target
            .map_or(own.version(), |target| target.version)
            .revision;
        version.revision > revision
    }

    /// Drops entries that the target lacks, so that an unending series of versions does not fill the memory.
    fn discard_useless(&mut self) {
        if let Some(target) = &self.target
            && target.unlisted.is_empty()
        {
            self.arrived.retain(|id, _| target.added.contains(id));
        }
    }
}
