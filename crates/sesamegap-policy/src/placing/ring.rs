//! Consistent-hash ring that orders engines by preference for a key without a scan of the fleet.
//!
//! Each engine has points on the ring, in proportion to the size of its cache. A key probes the ring
//! at its own sequence of positions; the distinct engines found are its order of preference. All
//! routers that know the same engines compute the same order, and an engine that joins or leaves
//! moves only its own share of keys. A probe takes a table lookup and a look at the one or two
//! points after it, whatever the size of the fleet. Plain weighted rendezvous hashing has the same
//! properties but scans all engines, which at 1,700 engines takes longer than the rest of a
//! placement.

use sesamegap_wire::{BlockKey, UpstreamId};

/// Points of an engine of weight 1; at 64 points, the engines' shares vary by about an eighth.
const POINTS_PER_WEIGHT: f64 = 64.0;

/// Consecutive probes without a new engine after which the walk ends; by then most engines have been
/// found.
const MAX_REPEATED_PROBES: usize = 32;

/// Step of the Weyl sequence: the golden ratio as a 64-bit fraction.
const WEYL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Index of an engine in this router's tables; differs between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineNo(pub u16);

impl EngineNo {
    /// The number as an array index.
    pub fn at(self) -> usize {
        usize::from(self.0)
    }
}

/// Weighted consistent-hash ring of engines.
#[derive(Debug, Default, Clone)]
pub struct Ring {
    points: Vec<(u64, EngineNo)>,
    /// For each of the ring's equal parts, the index of the first point in or after it.
    starts: Vec<u32>,
    members: Vec<(EngineNo, f64)>,
    /// Membership bitmap, indexed by engine number.
    bits: Vec<u64>,
}

/// Mixes all bits of a number; the finalizer of `SplitMix64`.
pub(super) fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash seed of an engine, the same in every router.
pub(super) fn seed_of(engine: &UpstreamId) -> u64 {
    let mut half = [0; 8];
    half.copy_from_slice(&blake3::hash(engine.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(half)
}

/// Position on the ring of a key's `nth` probe.
pub fn probe_position(key: BlockKey, nth: u64) -> u64 {
    let upper = u64::try_from(key.0 >> 64).unwrap_or(0);
    mix(upper.wrapping_add((nth + 1).wrapping_mul(WEYL_STEP)))
}

impl Ring {
    /// Adds an engine to the ring or changes its weight.
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
        // At least one point, so that the smallest engine still gets work.
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

    /// Removes an engine from the ring.
    pub fn remove(&mut self, no: EngineNo) {
        let before = self.members.len();
        self.members.retain(|(member, _)| *member != no);
        if self.members.len() < before {
            self.points.retain(|(_, member)| *member != no);
            self.bits[no.at() / 64] &= !(1 << (no.at() % 64));
            self.index();
        }
    }

    /// Rebuilds the lookup table, which has about as many parts as there are points.
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

    /// Engines on the ring, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = EngineNo> + '_ {
        self.members.iter().map(|(no, _)| *no)
    }

    /// The engines' points in ascending order.
    pub fn points(&self) -> &[(u64, EngineNo)] {
        &self.points
    }

    /// Returns the member at a random position, or the next one after it that is not in `barred`.
    ///
    /// A request excludes only the few engines that it was sent to before, so few are skipped.
    pub fn pick_excluding(&self, barred: &[EngineNo], draw: u64) -> Option<EngineNo> {
        let len = u64::try_from(self.members.len()).unwrap_or(1).max(1);
        let at = usize::try_from(draw % len).unwrap_or(0);
        let (before, from) = self.members.split_at_checked(at)?;
        let mut members = from.iter().chain(before).map(|(no, _)| *no);
        members.find(|no| !barred.contains(no))
    }

    /// Appends engines in the key's order of preference until `found` has `most`.
    pub fn walk(&self, key: BlockKey, most: usize, found: &mut Vec<EngineNo>) {
        let most = most.min(self.members.len());
        let mut misses = 0;
        let mut probes = 0;
        while found.len() < most && misses < MAX_REPEATED_PROBES {
            let no = self.successor(probe_position(key, probes));
            probes += 1;
            if found.contains(&no) {
                misses += 1;
            } else {
                misses = 0;
                found.push(no);
            }
        }
    }

    fn successor(&self, position: u64) -> EngineNo {
        let part = position >> (64 - self.starts.len().ilog2());
        let start = self.starts[usize::try_from(part).unwrap_or(0)];
        let mut at = usize::try_from(start).unwrap_or(0);
        while self
            .points
            .get(at)
            .is_some_and(|(point, _)| *point < position)
        {
            at += 1;
        }
        self.points[at % self.points.len()].1
    }
}
