//! Compact set of the engines that hold one block, in sixteen bytes.
//!
//! Most blocks are held by one to three engines, which are stored inline. Only the blocks of widely
//! shared preambles are stored on the heap.

/// Maximum number of engines recorded for one block; beyond it, the least recently used is replaced.
///
/// A prefix's home set is smaller than this, so further holders would never be considered.
const MAX_HOLDINGS: usize = 64;

const CONFIRMED: u16 = 0x8000;

/// Record that one engine holds a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Holding {
    pub(super) slot: u16,
    packed: u16,
}

impl Holding {
    /// Slot number of an empty entry.
    pub(super) const NONE: u16 = u16::MAX;

    const EMPTY: Self = Self {
        slot: Self::NONE,
        packed: 0,
    };

    pub(super) fn new(slot: u16, tick: u16, confirmed: bool) -> Self {
        let flag = if confirmed { CONFIRMED } else { 0 };
        Self {
            slot,
            packed: (tick & !CONFIRMED) | flag,
        }
    }

    /// Tick of the last use by this router.
    pub(super) fn tick(self) -> u16 {
        self.packed & !CONFIRMED
    }

    pub(super) fn confirmed(self) -> bool {
        self.packed & CONFIRMED != 0
    }
}

/// Result of [`Holders::put`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PutResult {
    /// The slot already held the block.
    Refreshed,
    /// A holding was added.
    New,
    /// A holding was added in place of that of another slot.
    Replaced(u16),
}

/// The engines that hold a block.
#[derive(Debug)]
pub(super) enum Holders {
    Few([Holding; 3]),
    Many(Box<Spill>),
}

#[derive(Debug)]
pub(super) struct Spill {
    holdings: Vec<Holding>,
}

impl Default for Holders {
    fn default() -> Self {
        Self::Few([Holding::EMPTY; 3])
    }
}

impl Holders {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Holding> {
        let all: &[Holding] = match self {
            Self::Few(few) => few,
            Self::Many(spill) => &spill.holdings,
        };
        all.iter().filter(|h| h.slot != Holding::NONE)
    }

    pub(super) fn find(&self, slot: u16) -> Option<Holding> {
        self.iter().find(|h| h.slot == slot).copied()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    /// Adds or refreshes a holding; a confirmed holding stays confirmed.
    pub(super) fn put(&mut self, new: Holding) -> PutResult {
        if let Some(old) = self.iter_mut().find(|h| h.slot == new.slot) {
            let confirmed = old.confirmed() || new.confirmed();
            *old = Holding::new(new.slot, new.tick(), confirmed);
            return PutResult::Refreshed;
        }
        match self {
            Self::Few(few) => {
                if let Some(empty) = few.iter_mut().find(|h| h.slot == Holding::NONE) {
                    *empty = new;
                    return PutResult::New;
                }
                let mut holdings = Vec::with_capacity(8);
                holdings.extend_from_slice(few);
                holdings.push(new);
                *self = Self::Many(Box::new(Spill { holdings }));
                PutResult::New
            }
            Self::Many(spill) => {
                let dropped = if spill.holdings.len() >= MAX_HOLDINGS {
                    spill.remove_oldest(new.tick())
                } else {
                    None
                };
                spill.holdings.push(new);
                dropped.map_or(PutResult::New, |old| PutResult::Replaced(old.slot))
            }
        }
    }

    pub(super) fn remove(&mut self, slot: u16) {
        self.retain(|h| h.slot != slot);
    }

    pub(super) fn retain(&mut self, mut keep: impl FnMut(&mut Holding) -> bool) {
        match self {
            Self::Few(few) => {
                for holding in few.iter_mut().filter(|h| h.slot != Holding::NONE) {
                    if !keep(holding) {
                        *holding = Holding::EMPTY;
                    }
                }
            }
            Self::Many(spill) => {
                spill.holdings.retain_mut(|h| keep(h));
                if spill.holdings.len() <= 3 {
                    let mut few = [Holding::EMPTY; 3];
                    few[..spill.holdings.len()].copy_from_slice(&spill.holdings);
                    *self = Self::Few(few);
                }
            }
        }
    }

    pub(super) fn heap_bytes(&self) -> usize {
        match self {
            Self::Few(_) => 0,
            Self::Many(spill) => {
                size_of::<Spill>() + spill.holdings.capacity() * size_of::<Holding>()
            }
        }
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = &mut Holding> {
        let all: &mut [Holding] = match self {
            Self::Few(few) => few,
            Self::Many(spill) => &mut spill.holdings,
        };
        all.iter_mut()
    }
}

impl Spill {
    fn remove_oldest(&mut self, now: u16) -> Option<Holding> {
        let age = |h: &Holding| now.wrapping_sub(h.tick()) & !CONFIRMED;
        let oldest = (0..self.holdings.len()).max_by_key(|at| age(&self.holdings[*at]));
        oldest.map(|at| self.holdings.swap_remove(at))
    }
}
