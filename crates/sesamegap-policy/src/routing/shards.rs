//! Which entry VM places the prompts of which engines.
//!
//! Two hundred VMs send long prompts to a hundred engines, each VM one or two per second, and an engine prefills a
//! prompt in a quarter of a second. VMs that choose engines by what they know about each other's prompts would use
//! outdated load, since telling all peers about every prompt costs more datagrams than their links and processors
//! can handle. Prompts would queue on some engines beside idle ones, and the answers that run there would stall. So
//! engines are divided into shards, and one VM places all prompts for the engines of a shard. This owner knows the
//! prefill backlog and the prefixes of each engine, at the cost of one request and one response per prompt.
//!
//! All VMs derive the shards and their owners in the same way from the engines and VMs that they know. While their
//! views differ, an owner misses a part of the load, as every VM does without owners.

use super::engines::rank;

/// Largest number of VMs that announce every prompt to each other and need no shard owners.
pub const SMALL: usize = 9;

/// Minimum average number of engines per shard: few enough for the part of a core that one VM can spend, and
/// enough that a prompt finds an idle engine.
const MIN_ENGINES: usize = 8;

/// Hash key for assigning engines to shards.
const ENGINE_KEY: u64 = 0x7368_6172_6473;

/// Hash key for ranking VMs as owners of shards.
const OWNER_KEY: u64 = 0x6f77_6e65_7273;

/// Division of engines into shards; doubling the number of engines splits each shard in two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Division {
    bits: u32,
}

impl Division {
    /// The division for this number of engines.
    pub fn of(engines: usize) -> Self {
        Self::from_bits((engines / MIN_ENGINES).max(1).ilog2())
    }

    /// The division into 2^`bits` shards.
    pub fn from_bits(bits: u32) -> Self {
        Self { bits: bits.min(16) }
    }

    /// Base-2 logarithm of the number of shards.
    pub fn bits(self) -> u32 {
        self.bits
    }

    /// The shard of an engine.
    pub fn shard(self, seed: u64) -> u32 {
        let prefix = rank(ENGINE_KEY, seed).checked_shr(u64::BITS - self.bits);
        prefix.unwrap_or(0).try_into().unwrap_or(0)
    }
}

/// Index of the VM that owns a shard, among VMs given by their seeds.
pub fn owner(shard: u32, vms: impl Iterator<Item = u64>) -> Option<usize> {
    let key = OWNER_KEY ^ u64::from(shard);
    vms.map(|vm| rank(key, vm))
        .enumerate()
        .max_by_key(|(_, rank)| *rank)
        .map(|(at, _)| at)
}
