//! The entries that a process has.

use super::{Digest, EntryId, Version};
use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of buckets: their digests fit into two packets, and a bucket of 20,000 entries' share into half of one.
pub const BUCKETS: usize = 256;

/// Most versions whose changes are remembered: twenty seconds of changes each 0.33 s.
const MAX_STEPS: usize = 64;

/// Most changed ids that are remembered, of eight bytes each.
const MAX_STEP_IDS: usize = 8_192;

/// Ids that differ between two versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Entries of the older version that the newer one lacks.
    pub removed: Vec<EntryId>,
    /// Entries of the newer version that the older one lacks.
    pub added: Vec<EntryId>,
}

impl Delta {
    /// Number of ids.
    #[expect(
        clippy::len_without_is_empty,
        reason = "nobody asks whether it is empty"
    )]
    pub fn len(&self) -> usize {
        self.removed.len() + self.added.len()
    }
}

#[derive(Debug, Clone)]
struct Bucket<E> {
    digest: Digest,
    entries: Vec<(EntryId, E)>,
}

impl<E> Default for Bucket<E> {
    fn default() -> Self {
        Self {
            digest: Digest::default(),
            entries: Vec::new(),
        }
    }
}

/// The entries of one version, and what changed in the versions before.
///
/// A changed copy shares the buckets that did not change.
#[derive(Debug, Clone)]
pub struct Content<E> {
    version: Version,
    buckets: Vec<Arc<Bucket<E>>>,
    /// Changes that led to this version, the oldest first, each with the version before it.
    steps: VecDeque<(Version, Arc<Delta>)>,
}

impl<E> Default for Content<E> {
    fn default() -> Self {
        let empty = Arc::new(Bucket::default());
        Self {
            version: Version::default(),
            buckets: vec![empty; BUCKETS],
            steps: VecDeque::new(),
        }
    }
}

impl<E: Clone> Content<E> {
    /// The version of these entries.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The entry with this id.
    pub fn get(&self, id: EntryId) -> Option<&E> {
        let entries = &self.buckets[usize::from(id.bucket())].entries;
        let mut entries = entries.iter();
        entries
            .find(|(known, _)| *known == id)
            .map(|(_, entry)| entry)
    }

    /// All entries, in no order that means anything.
    pub fn entries(&self) -> impl Iterator<Item = (EntryId, &E)> {
        let entries = self.buckets.iter().flat_map(|bucket| &bucket.entries);
        entries.map(|(id, entry)| (*id, entry))
    }

    /// The digest of each bucket.
    pub fn outline(&self) -> Vec<Digest> {
        self.buckets.iter().map(|bucket| bucket.digest).collect()
    }

    /// The digest of a bucket.
    pub fn digest(&self, bucket: u8) -> Digest {
        self.buckets[usize::from(bucket)].digest
    }

    /// The ids in a bucket.
    pub fn ids(&self, bucket: u8) -> Vec<EntryId> {
        let entries = &self.buckets[usize::from(bucket)].entries;
        entries.iter().map(|(id, _)| *id).collect()
    }

    /// What a newer version with these entries changes.
    pub fn delta_to(&self, entries: impl Iterator<Item = EntryId>) -> Delta {
        let newer: FxHashSet<EntryId> = entries.collect();
        let removed = self.entries().map(|(id, _)| id);
        Delta {
            removed: removed.filter(|id| !newer.contains(id)).collect(),
            added: newer
                .iter()
                .filter(|id| self.get(**id).is_none())
                .copied()
                .collect(),
        }
    }

    /// Returns the next version: these entries without some, and with others.
    #[must_use]
    pub fn changed(&self, revision: u64, removed: Vec<EntryId>, added: Vec<(EntryId, E)>) -> Self {
        let mut next = self.clone();
        let mut delta = Delta {
            removed,
            added: Vec::new(),
        };
        delta.removed.retain(|id| next.remove(*id));
        for (id, entry) in added {
            if next.insert(id, entry) {
                delta.added.push(id);
            }
        }
        next.version.revision = revision;
        next.remember(self.version, delta);
        next
    }

    /// Changes from an earlier version to this one, unless that version is not remembered.
    pub fn since(&self, base: Version) -> Option<Delta> {
        if base == self.version {
            return Some(Delta::default());
        }
        let first = self.steps.iter().position(|(before, _)| *before == base)?;
        let mut removed = FxHashSet::default();
        let mut added = FxHashSet::default();
        for (_, step) in self.steps.range(first..) {
            for id in &step.removed {
                if !added.remove(id) {
                    removed.insert(*id);
                }
            }
            for id in &step.added {
                if !removed.remove(id) {
                    added.insert(*id);
                }
            }
        }
        Some(Delta {
            removed: removed.into_iter().collect(),
            added: added.into_iter().collect(),
        })
    }

    fn insert(&mut self, id: EntryId, entry: E) -> bool {
        if self.get(id).is_some() {
            return false;
        }
        let bucket = Arc::make_mut(&mut self.buckets[usize::from(id.bucket())]);
        bucket.entries.push((id, entry));
        bucket.digest.add(id);
        self.version.digest.add(id);
        true
    }

    fn remove(&mut self, id: EntryId) -> bool {
        let bucket = &mut self.buckets[usize::from(id.bucket())];
        let Some(at) = bucket.entries.iter().position(|(known, _)| *known == id) else {
            return false;
        };
        let bucket = Arc::make_mut(bucket);
        bucket.entries.swap_remove(at);
        bucket.digest.remove(id);
        self.version.digest.remove(id);
        true
    }

    fn remember(&mut self, before: Version, delta: Delta) {
        self.steps.push_back((before, Arc::new(delta)));
        let mut ids: usize = self.steps.iter().map(|(_, step)| step.len()).sum();
        while self.steps.len() > MAX_STEPS || ids > MAX_STEP_IDS {
            let Some((_, oldest)) = self.steps.pop_front() else {
                return;
            };
            ids -= oldest.len();
        }
    }
}
