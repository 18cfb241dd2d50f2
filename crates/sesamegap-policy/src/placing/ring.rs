//! The order in which a key prefers engines, found without looking at all of them.
//!
//! Each engine stands at points of a ring, more of them the larger its cache. A key probes the ring at a
//! sequence of places of its own; the engines met, without repetition, are its order of
//! preference. All routers that know the same engines get the same order, an engine that comes or
//! goes moves only its own share of keys, and a probe costs a look at a table and at the one or two
//! points after it, whatever the fleet's size. Plain weighted rendezvous hashing gives the same for a scan of all engines, which at
//! 1,700 engines takes longer than all the rest of a placement.

use sesamegap_wire::{BlockKey, UpstreamId};

/// Points of an engine of ordinary weight: shares then vary by about an eighth.
const POINTS_PER_WEIGHT: f64 = 64.0;

/// Probes without a new engine after which the walk ends; most engines are then met.
const MAX_REPEATED_PROBES: usize = 32;

/// Step of a Weyl sequence: the golden ratio in 64 bits.
const WEYL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// An engine's number in this router's tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineNo(pub u16);

impl EngineNo {
    /// The number as an index.
    pub fn at(self) -> usize {
        usize::from(self.0)
    }
}

/// Engines at points of a ring.
#[derive(Debug, Default, Clone)]
pub struct Ring {
    points: Vec<(u64, EngineNo)>,
    /// For each equal part of the ring the first point in it or after it.
    starts: Vec<u32>,
    members: Vec<(EngineNo, f64)>,
    /// A bit for each number, set for members.
    bits: Vec<u64>,
}

/// Mixes all bits of a number into all bits.
pub(super) fn mix(mut x: u64) -> u64 {
    // The finalizer of SplitMix64.
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number for an engine that is the same in every router.
pub(super) fn seed_of(engine: &UpstreamId) -> u64 {
    let mut half = [0; 8];
    half.copy_from_slice(&blake3::hash(engine.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(half)
}

/// Where on the ring a key probes for the nth time.
pub fn place(key: BlockKey, nth: u64) -> u64 {
    let upper = u64::try_from(key.0 >> 64).unwrap_or(0);
    mix(upper.wrapping_add((nth + 1).wrapping_mul(WEYL_STEP)))
}

impl Ring {
    /// Puts an engine on the ring, or gives it another weight.
    pub fn set(&mut self, no: EngineNo, seed: u64, weight: f64) {
        if self
            .members
            .iter()
            .any(|(m, w)| *m == no && (w - weight).abs() < 1e-9)
        {
            return;
        }
        self.remove(no);
        self.members.push((no, weight));
        let word = no.at() / 64;
        if self.bits.len() <= word {
            self.bits.resize(word + 1, 0);
        }
        self.bits[word] |= 1 << (no.at() % 64);
        // A lone point at least, so that the smallest engine still gets work.
        let mut left = (POINTS_PER_WEIGHT * weight).round().max(1.0);
        let mut at = seed;
        while left > 0.0 {
            at = at.wrapping_add(WEYL_STEP);
            self.points.push((mix(at), no));
            left -= 1.0;
        }
        self.points.sort_unstable();
        self.index();
    }

    /// Takes an engine off the ring.
    pub fn remove(&mut self, no: EngineNo) {
        let before = self.members.len();
        self.members.retain(|(member, _)| *member != no);
        if self.members.len() < before {
            self.points.retain(|(_, member)| *member != no);
            self.bits[no.at() / 64] &= !(1 << (no.at() % 64));
            self.index();
        }
    }

    /// Divides the ring into about as many parts as there are points.
    fn index(&mut self) {
        let parts = self.points.len().next_power_of_two().max(2);
        self.starts.clear();
        let mut point = 0;
        for part in 0..parts as u64 {
            let begin = part << (64 - parts.ilog2());
            while self.points.get(point).is_some_and(|(at, _)| *at < begin) {
                point += 1;
            }
            self.starts.push(u32::try_from(point).unwrap_or(u32::MAX));
        }
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no engine is on the ring.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether an engine is on the ring.
    pub fn has(&self, no: EngineNo) -> bool {
        let word = self.bits.get(no.at() / 64);
        word.is_some_and(|word| word & (1 << (no.at() % 64)) != 0)
    }

    /// Engines on the ring, in no order.
    pub fn members(&self) -> impl Iterator<Item = EngineNo> + '_ {
        self.members.iter().map(|(no, _)| *no)
    }

    /// The engines' points in order.
    pub fn points(&self) -> &[(u64, EngineNo)] {
        &self.points
    }

    /// The member at a place drawn at random, or the next one after it that is not barred.
    ///
    /// A request bars the few engines that it was sent to, so at most as many are passed over.
    pub fn pick_beside(&self, barred: &[EngineNo], draw: u64) -> Option<EngineNo> {
        let len = u64::try_from(self.members.len()).unwrap_or(1).max(1);
        let at = usize::try_from(draw % len).unwrap_or(0);
        let (before, from) = self.members.split_at_checked(at)?;
        let mut members = from.iter().chain(before).map(|(no, _)| *no);
        members.find(|no| !barred.contains(no))
    }

    /// Appends up to `most` engines in the key's order of preference.
    pub fn walk(&self, key: BlockKey, most: usize, found: &mut Vec<EngineNo>) {
        let most = most.min(self.members.len());
        let mut misses = 0;
        let mut probes = 0;
        while found.len() < most && misses < MAX_REPEATED_PROBES {
            let no = self.successor(place(key, probes));
            probes += 1;
            if found.contains(&no) {
                misses += 1;
            } else {
                misses = 0;
                found.push(no);
            }
        }
    }

    fn successor(&self, place: u64) -> EngineNo {
        let part = place >> (64 - self.starts.len().ilog2());
        let start = self.starts[usize::try_from(part).unwrap_or(0)];
        let mut at = usize::try_from(start).unwrap_or(0);
        while self.points.get(at).is_some_and(|(point, _)| *point < place) {
            at += 1;
        }
        self.points[at % self.points.len()].1
    }
}
