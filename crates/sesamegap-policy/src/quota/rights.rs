//! Which VM may use a VM's part of the limits, and the parts that this VM may use.

use super::{LEASE, Peer, SHARDS, ShardSet};
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;

/// The loans of this VM's own part, one for each shard.
#[derive(Debug)]
pub struct Loans {
    loans: [Option<(Peer, Moment)>; SHARDS],
    /// Until when an earlier incarnation of this VM may have lent its part.
    free_at: Moment,
}

impl Loans {
    /// Creates the loans of a process that started at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            loans: [None; SHARDS],
            free_at: now + LEASE,
        }
    }

    /// Lends the part of each shard that is not lent to another VM; returns the shards lent.
    pub fn lend(&mut self, to: Peer, shards: ShardSet, now: Moment) -> ShardSet {
        let mut lent = ShardSet::default();
        if now < self.free_at {
            return lent;
        }
        for shard in shards.iter() {
            if self.holder(shard, now).is_none_or(|holder| holder == to) {
                self.loans[shard] = Some((to, now + LEASE));
                lent.insert(shard);
            }
        }
        lent
    }

    /// Ends the loans to a VM that no longer uses them.
    pub fn end(&mut self, to: Peer, shards: ShardSet) {
        for shard in shards.iter() {
            if self.loans[shard].is_some_and(|(holder, _)| holder == to) {
                self.loans[shard] = None;
            }
        }
    }

    /// The VM to which the part of a shard is lent.
    pub fn holder(&self, shard: usize, now: Moment) -> Option<Peer> {
        let loan = self.loans[shard].filter(|(_, until)| now < *until);
        loan.map(|(holder, _)| holder)
    }
}

/// Parts that a VM lent to this one.
#[derive(Debug)]
struct Lender {
    /// Number of VMs among which the lender divides the limits.
    vms: u32,
    until: [Moment; SHARDS],
}

/// The parts that were lent to this VM.
#[derive(Debug)]
pub struct Pool {
    lenders: FxHashMap<Peer, Lender>,
    fractions: [f64; SHARDS],
    /// Time for which the whole right was held since the pool was created, in seconds: the integral of the
    /// fraction.
    held: [f64; SHARDS],
    /// Loans in answer to claims that are not newer than this were given up.
    released: [Option<Moment>; SHARDS],
    at: Moment,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(now: Moment) -> Self {
        Self {
            lenders: FxHashMap::default(),
            fractions: [0.0; SHARDS],
            held: [0.0; SHARDS],
            released: [None; SHARDS],
            at: now,
        }
    }

    /// Records parts that a VM lent in answer to a claim that was sent at `claimed`.
    pub fn record(&mut self, lender: Peer, shards: ShardSet, vms: u32, claimed: Moment) {
        let lender = self.lenders.entry(lender).or_insert(Lender {
            vms,
            until: [Moment::default(); SHARDS],
        });
        lender.vms = vms;
        for shard in shards.iter() {
            if self.released[shard].is_none_or(|released| claimed > released) {
                lender.until[shard] = lender.until[shard].max(claimed + LEASE);
            }
        }
    }

    /// Gives up the parts of some shards, also those whose loans are still on their way.
    pub fn release(&mut self, shards: ShardSet, now: Moment) {
        for shard in shards.iter() {
            self.released[shard] = Some(now);
        }
        for lender in self.lenders.values_mut() {
            for shard in shards.iter() {
                lender.until[shard] = Moment::default();
            }
        }
    }

    /// Advances the time; returns the shards of which fewer parts are held than before.
    ///
    /// The interval since the last call counts with the lesser of the fractions at its ends, because the process
    /// may have been suspended and the leases may have ended at any time in between.
    pub fn advance(&mut self, vms: u32, now: Moment) -> ShardSet {
        let elapsed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.lenders
            .retain(|_, lender| lender.until.iter().any(|until| now < *until));
        let mut reduced = ShardSet::default();
        for shard in 0..SHARDS {
            let held = self.lenders.values().filter(|l| now < l.until[shard]);
            let fraction: f64 = held.map(|l| 1.0 / f64::from(l.vms.max(vms).max(1))).sum();
            let before = std::mem::replace(&mut self.fractions[shard], fraction);
            self.held[shard] += elapsed * before.min(fraction);
            if fraction < before {
                reduced.insert(shard);
            }
        }
        reduced
    }

    /// Fraction of the limits of a shard that this VM may use.
    pub fn fraction(&self, shard: usize) -> f64 {
        self.fractions[shard]
    }

    /// Integral of the fraction over time, in seconds.
    pub fn held(&self, shard: usize) -> f64 {
        self.held[shard]
    }

    /// Number of VMs whose part of a shard this VM holds.
    pub fn lenders(&self, shard: usize, now: Moment) -> usize {
        let lenders = self.lenders.values();
        lenders.filter(|lender| now < lender.until[shard]).count()
    }
}
