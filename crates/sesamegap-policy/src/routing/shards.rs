//! Which entry VM places the prompts of which engines.
//!
//! Load: two hundred VMs send long prompts to a hundred engines, each VM one or two a second, and an engine reads
//! a prompt in a quarter of a second. Harm prevented: VMs that choose by what they know of each other's prompts
//! choose by what is over, since telling all of them costs more datagrams than their links and processors bear;
//! prompts then queue on some engines beside idle ones, and the answers that run there stall. So engines are divided
//! into shards, and all prompts for the engines of a shard are placed by one VM, which knows what each of them has to
//! read and which prefixes it has read, for one question and one answer a prompt.
//!
//! All VMs derive shards and their owners alike, from the engines and VMs that they know. Where they differ for a
//! while, an owner lacks a part of the load, as every VM does without owners.

use super::engines::rank;

/// VMs up to which all of them tell each other of every prompt, and nobody needs to be asked.
pub const SMALL: usize = 9;

/// Engines that a shard has at least, on the average: few enough for one VM's part of a core, and enough that a
/// prompt finds an idle one.
const LEAST: usize = 8;

/// Key under which engines are divided.
const ENGINES: u64 = 0x7368_6172_6473;

/// Key under which VMs are ranked for shards.
const OWNERS: u64 = 0x6f77_6e65_7273;

/// A division of engines; doubling their number splits each shard in two.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Division {
    bits: u32,
}

impl Division {
    /// The division of so many engines.
    pub fn of(engines: usize) -> Self {
        Self::from_bits((engines / LEAST).max(1).ilog2())
    }

    /// The division into two to the power of `bits` shards.
    pub fn from_bits(bits: u32) -> Self {
        Self { bits: bits.min(16) }
    }

    /// How often it is divided in two.
    pub fn bits(self) -> u32 {
        self.bits
    }

    /// The shard of an engine.
    pub fn shard(self, seed: u64) -> u32 {
        let place = rank(ENGINES, seed).checked_shr(u64::BITS - self.bits);
        place.unwrap_or(0).try_into().unwrap_or(0)
    }
}

/// The VM that owns a shard, by index, among VMs given by their numbers.
pub fn owner(shard: u32, vms: impl Iterator<Item = u64>) -> Option<usize> {
    let key = OWNERS ^ u64::from(shard);
    vms.map(|vm| rank(key, vm))
        .enumerate()
        .max_by_key(|(_, rank)| *rank)
        .map(|(at, _)| at)
}
