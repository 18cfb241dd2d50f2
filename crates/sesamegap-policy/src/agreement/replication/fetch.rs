//! Decides what a process that is behind asks its peers for.

use super::{BUCKETS, Content, Delta, Digest, EntryId, Version};
use rand::Rng;
use rand::seq::IteratorRandom;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most entries that are asked for at once: about a piece of them, so that several peers share the work.
const ENTRIES_PER_ASK: usize = 96;

/// Buckets whose ids are asked for at once: 1,250 ids of a value with 20,000 entries.
const BUCKETS_PER_ASK: usize = 16;

/// A question to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// What changed since a version.
    Changes(Version),
    /// The digests of the buckets of the peer's version.
    Outline,
    /// The ids in some buckets of the peer's version.
    Ids(Vec<u8>),
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
    removed: Vec<EntryId>,
    /// Entries that the own version lacks.
    added: FxHashSet<EntryId>,
    /// Buckets that differ and whose ids are not known yet, with their digests.
    unlisted: FxHashMap<u8, Digest>,
}

/// A newer version that is being fetched from peers.
#[derive(Debug)]
pub struct Fetch<E> {
    target: Option<Target>,
    /// Entries that have arrived, and may be sent on to peers already.
    arrived: FxHashMap<EntryId, E>,
    /// Ids of buckets that peers listed, by the bucket's digest.
    listed: FxHashMap<(u8, Digest), Vec<EntryId>>,
    /// Entries that a peer was asked for and has not sent yet.
    asked: FxHashSet<EntryId>,
    /// Whether a peer's account of what changed was wrong.
    needs_outline: bool,
}

impl<E> Default for Fetch<E> {
    fn default() -> Self {
        Self {
            target: None,
            arrived: FxHashMap::default(),
            listed: FxHashMap::default(),
            asked: FxHashSet::default(),
            needs_outline: false,
        }
    }
}

impl<E: Clone> Fetch<E> {
    /// The version that is being fetched.
    pub fn target(&self) -> Option<Version> {
        self.target.as_ref().map(|target| target.version)
    }

    /// An entry that has arrived.
    pub fn get(&self, id: EntryId) -> Option<&E> {
        self.arrived.get(&id)
    }

    /// The question that finds out about a newer version.
    pub fn first_ask(&self, own: &Content<E>) -> Ask {
        if self.needs_outline {
            Ask::Outline
        } else {
            Ask::Changes(own.version())
        }
    }

    /// Aims at a version whose difference from `base` a peer named.
    pub fn aim_by_delta(
        &mut self,
        own: &Content<E>,
        base: Version,
        version: Version,
        delta: Delta,
    ) {
        if base == own.version() && self.is_newer(own, version) {
            self.target = Some(Target {
                version,
                removed: delta.removed,
                added: delta.added.into_iter().collect(),
                unlisted: FxHashMap::default(),
            });
            self.discard_useless();
        }
    }

    /// Aims at a version of which a peer sent the digests of its buckets.
    pub fn aim_by_outline(&mut self, own: &Content<E>, version: Version, outline: &[Digest]) {
        if outline.len() != BUCKETS || !self.is_newer(own, version) {
            return;
        }
        let buckets = (0..=u8::MAX).zip(outline.iter().copied());
        let unlisted = buckets.filter(|(bucket, digest)| own.digest(*bucket) != *digest);
        let unlisted: FxHashMap<u8, Digest> = unlisted.collect();
        self.listed
            .retain(|(bucket, digest), _| unlisted.get(bucket) == Some(digest));
        self.target = Some(Target {
            version,
            removed: Vec::new(),
            added: FxHashSet::default(),
            unlisted,
        });
        for ((bucket, _), ids) in std::mem::take(&mut self.listed) {
            self.add_ids(own, bucket, ids);
        }
        self.discard_useless();
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
        target.added.extend(wanted.difference(&present));
        self.listed.insert((bucket, digest), ids);
        true
    }

    /// Adds an entry that a peer sent; returns whether it was missing.
    pub fn add_entry(&mut self, id: EntryId, entry: E) -> bool {
        self.asked.remove(&id);
        let target = self.target.as_ref();
        let is_wanted = target.is_some_and(|target| target.added.contains(&id));
        is_wanted && self.arrived.insert(id, entry).is_none()
    }

    /// What to ask a peer for next; `None` if everything is known or was asked for.
    pub fn next_ask(&mut self, rng: &mut dyn Rng) -> Option<Ask> {
        let target = self.target.as_ref()?;
        if !target.unlisted.is_empty() {
            let buckets = target.unlisted.keys().copied();
            return Some(Ask::Ids(buckets.sample(rng, BUCKETS_PER_ASK)));
        }
        let missing = target.added.iter();
        let missing = missing.filter(|id| !self.arrived.contains_key(id));
        let missing = missing.filter(|id| !self.asked.contains(id)).copied();
        let ids = missing.sample(rng, ENTRIES_PER_ASK);
        if ids.is_empty() {
            return None;
        }
        self.asked.extend(&ids);
        Some(Ask::Entries(ids))
    }

    /// Records that a question was answered, or will not be: what did not arrive may be asked for again.
    pub fn release(&mut self, ask: &Ask) {
        if let Ask::Entries(ids) = ask {
            for id in ids {
                self.asked.remove(id);
            }
        }
    }

    /// Whether all entries of the target have arrived.
    pub fn is_complete(&self) -> bool {
        self.target.as_ref().is_some_and(|target| {
            let mut added = target.added.iter();
            target.unlisted.is_empty() && added.all(|id| self.arrived.contains_key(id))
        })
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
        let arrived = std::mem::take(self).arrived;
        if target.version.revision <= own.version().revision {
            return Ok(None);
        }
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

    /// Drops the target because the own version changed meanwhile; what has arrived stays.
    pub fn abandon(&mut self) {
        self.target = None;
        self.asked.clear();
    }

    fn is_newer(&self, own: &Content<E>, version: Version) -> bool {
        let target = self.target.as_ref().map(|target| target.version.revision);
        version.revision > own.version().revision.max(target.unwrap_or_default())
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
