//! Rate limits of teams that hold for all entry VMs together.
//!
//! A team may use `rate × window + burst` tokens or requests in any window, whatever VMs admit them and
//! whether these VMs reach each other. No VM may therefore assume what another one admits. Instead, the right
//! to admit is divided:
//!
//! - Each VM holds one part in `vms` of every limit. Teams are divided into shards, and a VM lends its part of
//!   a shard to at most one VM at a time, for the time of a lease ([`Loans`]).
//! - A VM that claims a shard pools the parts that it was lent ([`Pool`]). It charges the requests of the
//!   shard's teams to token buckets, which refill at the pooled part of the rate ([`Ledger`]).
//! - A VM with a request asks the VM to which it lent its part ([`Node`]).
//!
//! Parts are exclusive, so the sum over all pools never exceeds the limit: not in a partition, not while two
//! VMs claim the same shard, and not after all VMs restarted, because a restarted VM has an empty bucket and
//! lends nothing until the leases of its former incarnation have ended. If the VM that pools a shard dies, its
//! teams are limited to a small reserve until the leases end.
//!
//! A lease is timed by the VM that claims, from before it sends the claim, and by the lender from when it
//! receives it. The lender's lease thus ends later, and no clocks are compared.

mod ledger;
mod message;
mod node;
mod reported_vms;
mod rights;

pub use ledger::{Charge, Ledger, Verdict};
pub use message::{Claim, Loan, Message, Outcome, Outgoing, Peer};
pub use node::{Node, Target};
pub use rights::{Loans, Pool};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of shards. Each is pooled by one VM, so this bounds the messages for leases.
pub const SHARDS: usize = 16;

/// How long a part is lent. If the VM that pools a shard dies, the shard's teams wait about this long.
pub const LEASE: Duration = Duration::from_millis(500);

/// Interval of claims; a lease survives the loss of one message.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the fleet's slack that is used on top of the burst, and again as a reserve without rights. The rest
/// covers requests that run later than they were charged, and VMs that know too few of the others.
const RESERVE_PART: f64 = 0.4;

/// A set of shards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSet(pub u16);

impl ShardSet {
    /// Adds a shard.
    pub fn insert(&mut self, shard: usize) {
        self.0 |= 1 << shard;
    }

    /// Whether the set contains a shard.
    pub fn contains(self, shard: usize) -> bool {
        self.0 & (1 << shard) != 0
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The shards in the set.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..SHARDS).filter(move |shard| self.contains(*shard))
    }
}

impl FromIterator<usize> for ShardSet {
    fn from_iter<I: IntoIterator<Item = usize>>(shards: I) -> Self {
        let mut set = Self::default();
        shards.into_iter().for_each(|shard| set.insert(shard));
        set
    }
}

/// The shard of a team, by the hash of its name.
pub fn shard_of(team: u64) -> usize {
    (team >> 32) as usize % SHARDS
}

/// What a team may use per second and at once, in tokens or requests, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Tokens or requests per second.
    pub rate: f64,
    /// Tokens or requests at once beyond the rate.
    pub burst: f64,
}

/// By how much a team's use in a window may exceed its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Tokens or requests beyond the limit in one window, for the whole fleet.
    pub slack: f64,
}

impl Tolerance {
    /// The reserve of all VMs together.
    fn reserve(self) -> f64 {
        self.slack * RESERVE_PART
    }
}
