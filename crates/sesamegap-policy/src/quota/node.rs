//! What one VM does for the rate limits: its messages, and where it charges a request.

use super::{
    CLAIM_INTERVAL, Charge, LEASE, Ledger, Loans, Pool, SHARDS, ShardSet, Tolerance, Verdict,
};
use crate::routing::engines::rank;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, TeamId};
use std::net::SocketAddr;
use std::time::Duration;

/// Address of a VM's datagram socket; `None` is the VM itself.
pub type Peer = Option<SocketAddr>;

/// Rank of the first VM of a shard is computed with this key, so that it differs from other assignments.
const RANKING_KEY: u64 = 0x51_7A;

/// How long a VM claims a shard after it was last asked for one of the shard's teams.
const ASKED_TIME: Duration = Duration::from_secs(5);

/// How long a VM that did not answer is not asked.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);

/// Least interval between claims that are sent at once because a VM was asked without holding the shard.
const URGENT_CLAIM_INTERVAL: Duration = Duration::from_millis(50);

/// How long the number of VMs that a peer reported is used.
const REPORTED_VMS_TIME: Duration = Duration::from_secs(30);

/// Unresponsive VMs after which a VM counts as isolated and asks nobody.
const ISOLATED: usize = 3;

/// A message between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks all VMs to lend their parts of some shards.
    Claim(Claim),
    /// The answer to a claim.
    Loan(Loan),
    /// The sender does not use the parts of these shards any longer.
    Release(ShardSet),
    /// Charges a request to its team.
    Charge {
        /// Number of the request, unique among those of the sender.
        number: u64,
        /// The team.
        team: TeamId,
        /// Tokens, or one if the limit counts requests.
        cost: f64,
        /// Priority of the request.
        priority: u8,
        /// Rate and burst of the team.
        limit: (f64, f64),
        /// Revision of the settings that contain the limit.
        revision: u64,
    },
    /// The answer to a charge, with its number.
    Charged(u64, Outcome),
    /// Returns the tokens of a request that did not run, or charges a further run of one.
    Adjust(TeamId, f64),
}

/// A verdict in a message; refusals with milliseconds until a return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request may run.
    Granted,
    /// The team's limit is used up.
    OverLimit(u32),
    /// The sender holds too small a part of the limit.
    NoRights(u32),
}

impl Outcome {
    /// The verdict.
    pub fn verdict(self) -> Verdict {
        let wait = |ms| Duration::from_millis(u64::from(ms));
        match self {
            Self::Granted => Verdict::Granted,
            Self::OverLimit(ms) => Verdict::OverLimit(wait(ms)),
            Self::NoRights(ms) => Verdict::NoRights(wait(ms)),
        }
    }
}

impl Message {
    /// The answer to a charge.
    pub fn charged(number: u64, verdict: Verdict) -> Self {
        let ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let outcome = match verdict {
            Verdict::Granted => Outcome::Granted,
            Verdict::OverLimit(wait) => Outcome::OverLimit(ms(wait)),
            Verdict::NoRights(wait) => Outcome::NoRights(ms(wait)),
        };
        Self::Charged(number, outcome)
    }
}

/// Asks all VMs to lend their parts of some shards.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The shards.
    pub shards: ShardSet,
    /// The sender's time, returned in the answer.
    pub at: u64,
    /// Number of VMs that the sender knows by itself, not from claims; the number could never fall otherwise.
    pub vms: u32,
    /// Highest fraction of a shard that the sender holds, by shard in 255ths.
    pub fractions: [u8; SHARDS],
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The shards of which the sender lends its part.
    pub shards: ShardSet,
    /// Time of the claim.
    pub at: u64,
    /// Number of VMs among which the sender divides the limits.
    pub vms: u32,
}

/// A message and its recipient.
pub type Outgoing = (SocketAddr, Message);

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
            reported_vms: ReportedVms {
                latest: 0,
                former: 0,
                since: now,
            },
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
        let answers = |addr: SocketAddr| {
            let until = self.unresponsive.get(&addr);
            until.is_none_or(|until| now >= *until)
        };
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

    /// Adds to (negative: takes from) the bucket of a team, whatever its level.
    pub fn adjust(&mut self, team: &TeamId, cost: f64) {
        if cost < 0.0 {
            self.ledger.refund(team, -cost);
        } else {
            self.ledger.debit(team, cost);
        }
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
        let held = self.held_shards();
        self.release(held, now, out);
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
        let mut shards = ShardSet::default();
        for shard in 0..SHARDS {
            if self.should_claim(shard, now) {
                shards.insert(shard);
            }
        }
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
        let has_rival = self.rivals[shard].is_some_and(|(rival, at)| {
            let is_silent = self
                .unresponsive
                .get(&rival)
                .is_some_and(|until| now < *until);
            now.since(at) < LEASE && !is_silent
        });
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

    fn held_shards(&self) -> ShardSet {
        let mut held = ShardSet::default();
        for shard in 0..SHARDS {
            if self.pool.fraction(shard) > 0.0 {
                held.insert(shard);
            }
        }
        held
    }

    /// Gives the parts of some shards back to their lenders.
    fn release(&mut self, shards: ShardSet, now: Moment, out: &mut Vec<Outgoing>) {
        let mut given = ShardSet::default();
        for shard in shards.iter() {
            if self.pool.fraction(shard) > 0.0 {
                given.insert(shard);
            }
        }
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

/// The highest number of VMs that peers reported recently.
///
/// A VM that has just started, or that was cut off, may know too few others; its part would be too large.
#[derive(Debug)]
struct ReportedVms {
    latest: u32,
    /// The highest number of the interval before.
    former: u32,
    since: Moment,
}

impl ReportedVms {
    fn record(&mut self, vms: u32, now: Moment) {
        if now.since(self.since) > REPORTED_VMS_TIME {
            self.former = std::mem::take(&mut self.latest);
            self.since = now;
        }
        self.latest = self.latest.max(vms);
    }

    fn max(&self) -> u32 {
        self.latest.max(self.former)
    }
}

fn ranking_key(shard: usize) -> u64 {
    RANKING_KEY + shard as u64
}
