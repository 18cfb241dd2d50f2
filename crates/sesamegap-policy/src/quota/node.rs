//! What one VM does for the rate limits: its messages, and where it charges a request.

use super::reported_vms::ReportedVms;
use super::{
    CLAIM_INTERVAL, Charge, Claim, LEASE, Ledger, Loan, Loans, Message, Outgoing, Pool, SHARDS,
    ShardSet, Tolerance, Verdict,
};
use crate::routing::engines::rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{Moment, TeamId};
use std::net::SocketAddr;
use std::time::Duration;

/// Rank of the first VM of a shard is computed with this key, so that it differs from other assignments.
const RANKING_KEY: u64 = 0x51_7A;

/// How long a VM claims a shard after it was last asked for one of the shard's teams.
const ASKED_TIME: Duration = Duration::from_secs(5);

/// How long a VM that did not answer is not asked.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);

/// Least interval between claims that are sent at once because a VM was asked without holding the shard.
const URGENT_CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// Unresponsive VMs after which a VM counts as isolated and asks nobody.
const ISOLATED: usize = 3;

/// Where to charge a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// At this VM.
    Local,
    /// At another VM.
    Remote(SocketAddr),
}

/// State of one VM.
#[derive(Debug)]
pub struct Node {
    loans: Loans,
    pool: Pool,
    ledger: Ledger,
    /// Other VMs that are alive, with the hashes of their names.
    peers: Vec<(u64, SocketAddr)>,
    own_seed: u64,
    vms: u32,
    reported_vms: ReportedVms,
    started: Moment,
    /// When this VM was last asked for a team of each shard.
    asked: [Option<Moment>; SHARDS],
    /// The VM that claimed each shard last and holds more of it than this VM, and when.
    rivals: [Option<(SocketAddr, Moment)>; SHARDS],
    claimed_at: Option<Moment>,
    unresponsive: FxHashMap<SocketAddr, Moment>,
    stopping: bool,
}

impl Node {
    /// Creates the state of a VM that starts at `now`.
    pub fn new(own_seed: u64, tolerance: Tolerance, now: Moment) -> Self {
        Self {
            loans: Loans::new(now),
            pool: Pool::new(now),
            ledger: Ledger::new(tolerance),
            peers: Vec::new(),
            own_seed,
            vms: 0,
            reported_vms: ReportedVms::new(now),
            started: now,
            asked: [None; SHARDS],
            rivals: [None; SHARDS],
            claimed_at: None,
            unresponsive: FxHashMap::default(),
            stopping: false,
        }
    }

    /// Sets the other VMs that are alive, and the number of all VMs that may hold a part of the limits: those that
    /// are listed or were alive recently, and this one. Zero if the list has not been read yet.
    pub fn set_vms(&mut self, peers: Vec<(u64, SocketAddr)>, all: u32) {
        self.peers = peers;
        self.vms = all;
    }

    /// Replaces the tolerance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.ledger.set_tolerance(tolerance);
    }

    /// Forgets teams that are not in the settings.
    pub fn retain(&mut self, is_known: impl Fn(&TeamId) -> bool) {
        self.ledger.retain(is_known);
    }

    /// Fraction of the limits of a shard that this VM pools.
    pub fn fraction(&self, shard: usize) -> f64 {
        self.pool.fraction(shard)
    }

    /// The VM at which to charge a request of a shard.
    ///
    /// It is the VM to which the own part is lent, because it pools most parts as a rule. Without one it is the first
    /// VM in the shard's ranking that answers.
    pub fn target(&self, shard: usize, now: Moment) -> Target {
        let answers = |addr: SocketAddr| !self.is_silent(addr, now);
        match self.loans.holder(shard, now) {
            Some(None) => return Target::Local,
            Some(Some(addr)) if answers(addr) => return Target::Remote(addr),
            _ => {}
        }
        if let Some((rival, at)) = self.rivals[shard]
            && now.since(at) < LEASE
            && answers(rival)
        {
            return Target::Remote(rival);
        }
        let silent = self.unresponsive.values().filter(|until| now < **until);
        if silent.count() >= ISOLATED {
            return Target::Local;
        }
        let answering = self.peers.iter().filter(|(_, addr)| answers(*addr));
        let peers = answering.map(|(seed, addr)| (rank(ranking_key(shard), *seed), Some(*addr)));
        let own = (rank(ranking_key(shard), self.own_seed), None);
        match peers.chain([own]).max() {
            Some((_, Some(addr))) => Target::Remote(addr),
            _ => Target::Local,
        }
    }

    /// Whether a VM did not answer a charge recently.
    fn is_silent(&self, addr: SocketAddr, now: Moment) -> bool {
        let until = self.unresponsive.get(&addr);
        until.is_some_and(|until| now < *until)
    }

    /// Records that a VM did not answer a charge.
    pub fn record_unanswered(&mut self, addr: SocketAddr, now: Moment) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive.insert(addr, now + UNRESPONSIVE_TIME);
    }

    /// Charges a request at this VM; `out` receives claims if it holds too few parts.
    pub fn charge(
        &mut self,
        shard: usize,
        charge: &Charge<'_>,
        now: Moment,
        out: &mut Vec<Outgoing>,
    ) -> Verdict {
        self.asked[shard] = Some(now);
        self.advance(now);
        let verdict = self
            .ledger
            .charge(shard, charge, &self.pool, self.divisor(), now);
        let is_claim_due = self
            .claimed_at
            .is_none_or(|at| now.since(at) >= URGENT_CLAIM_INTERVAL);
        if matches!(verdict, Verdict::NoRights(_)) && is_claim_due {
            self.claim(now, out);
        }
        verdict
    }

    /// Charges a further run of a request, or returns the tokens of one that did not run (negative).
    pub fn adjust(&mut self, team: &TeamId, cost: f64) {
        self.ledger.adjust(team, cost);
    }

    /// Advances the time and sends the claims that are due.
    pub fn tick(&mut self, now: Moment, out: &mut Vec<Outgoing>) {
        self.advance(now);
        if self
            .claimed_at
            .is_none_or(|at| now.since(at) >= CLAIM_INTERVAL)
        {
            self.claim(now, out);
        }
    }

    /// Gives up all parts, because the process is about to stop.
    pub fn stop(&mut self, now: Moment, out: &mut Vec<Outgoing>) {
        self.stopping = true;
        self.release((0..SHARDS).collect(), now, out);
    }

    /// Handles a message about rights; answers are added to `out`.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: &Message,
        now: Moment,
        out: &mut Vec<Outgoing>,
    ) {
        self.unresponsive.remove(&from);
        match message {
            Message::Claim(claim) => self.receive_claim(from, claim, now, out),
            Message::Loan(loan) => {
                let claimed = Moment(loan.at);
                // An answer to another VM that had this address before would be timed by another clock.
                if (self.started..=now).contains(&claimed) {
                    self.pool.record(Some(from), loan.shards, loan.vms, claimed);
                    self.advance(now);
                }
            }
            Message::Release(shards) => {
                self.loans.end(Some(from), *shards);
                for shard in shards.iter() {
                    self.rivals[shard].take_if(|(rival, _)| *rival == from);
                }
            }
            Message::Adjust(team, cost) => self.adjust(team, *cost),
            Message::Charge { .. } | Message::Charged(..) => {}
        }
    }

    fn receive_claim(
        &mut self,
        from: SocketAddr,
        claim: &Claim,
        now: Moment,
        out: &mut Vec<Outgoing>,
    ) {
        self.reported_vms.record(claim.vms, now);
        self.advance(now);
        let mut yielded = ShardSet::default();
        for shard in claim.shards.iter() {
            let theirs = (claim.fractions[shard], self.rank_of(from, shard));
            let own = (
                self.own_fraction(shard),
                rank(ranking_key(shard), self.own_seed),
            );
            if theirs > own {
                self.rivals[shard] = Some((from, now));
                yielded.insert(shard);
            }
        }
        self.release(yielded, now, out);
        let vms = self.divisor();
        if vms == 0 {
            return;
        }
        let shards = self.loans.lend(Some(from), claim.shards, now);
        if !shards.is_empty() {
            let loan = Loan {
                shards,
                at: claim.at,
                vms,
            };
            out.push((from, Message::Loan(loan)));
        }
    }

    /// Sends a claim of the shards that this VM should hold to all VMs, and to itself.
    fn claim(&mut self, now: Moment, out: &mut Vec<Outgoing>) {
        let vms = self.divisor();
        if self.stopping || vms == 0 {
            return;
        }
        let due = (0..SHARDS).filter(|shard| self.should_claim(*shard, now));
        let shards: ShardSet = due.collect();
        if shards.is_empty() {
            return;
        }
        self.claimed_at = Some(now);
        let own = self.loans.lend(None, shards, now);
        self.pool.record(None, own, vms, now);
        self.advance(now);
        let mut fractions = [0; SHARDS];
        for shard in shards.iter() {
            fractions[shard] = self.own_fraction(shard);
        }
        let claim = Claim {
            shards,
            at: now.0,
            vms: if self.vms > 0 { self.vms } else { vms },
            fractions,
        };
        let peers = self.peers.iter();
        out.extend(peers.map(|(_, addr)| (*addr, Message::Claim(claim))));
    }

    /// Whether this VM claims a shard: it was asked for one of its teams, or it is the first in its ranking and no
    /// other VM holds more of it.
    fn should_claim(&self, shard: usize, now: Moment) -> bool {
        let has_rival = self.rivals[shard]
            .is_some_and(|(rival, at)| now.since(at) < LEASE && !self.is_silent(rival, now));
        if has_rival {
            return false;
        }
        let is_asked = self.asked[shard].is_some_and(|at| now.since(at) < ASKED_TIME);
        is_asked || self.is_first(shard)
    }

    fn is_first(&self, shard: usize) -> bool {
        let key = ranking_key(shard);
        let own = rank(key, self.own_seed);
        self.peers.iter().all(|(seed, _)| rank(key, *seed) <= own)
    }

    fn rank_of(&self, addr: SocketAddr, shard: usize) -> u64 {
        let peer = self.peers.iter().find(|(_, peer)| *peer == addr);
        peer.map_or(0, |(seed, _)| rank(ranking_key(shard), *seed))
    }

    /// The fraction of a shard that this VM holds, in 255ths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range just before"
    )]
    fn own_fraction(&self, shard: usize) -> u8 {
        (self.pool.fraction(shard) * 255.0).clamp(0.0, 255.0) as u8
    }

    /// Gives the parts of some shards back to their lenders.
    fn release(&mut self, shards: ShardSet, now: Moment, out: &mut Vec<Outgoing>) {
        let held = shards.iter().filter(|no| self.pool.fraction(*no) > 0.0);
        let given: ShardSet = held.collect();
        if given.is_empty() {
            return;
        }
        self.pool.release(given, now);
        self.loans.end(None, given);
        self.advance(now);
        let peers = self.peers.iter();
        out.extend(peers.map(|(_, addr)| (*addr, Message::Release(given))));
    }

    fn advance(&mut self, now: Moment) {
        let reduced = self.pool.advance(self.divisor(), now);
        if !reduced.is_empty() {
            self.ledger.reduce(reduced, &self.pool);
        }
    }

    /// Number of VMs among which this VM divides the limits; zero if it does not know the others yet.
    fn divisor(&self) -> u32 {
        if self.vms == 0 {
            return 0;
        }
        self.vms.max(self.reported_vms.max())
    }
}

fn ranking_key(shard: usize) -> u64 {
    RANKING_KEY + shard as u64
}
