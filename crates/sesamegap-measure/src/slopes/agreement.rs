//! Membership and claims.

use super::fleet::id;
use super::{Row, Rows, resident};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::claims::{ClaimId, ClaimKey, ClaimRecord, Claims};
use sesamegap_policy::agreement::membership::{MemberUpdate, Members, MembershipConfig, Status};
use sesamegap_wire::codec::{decode, encode};
use sesamegap_wire::{Incarnation, Moment, Offset, VmId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two probes of one process, as routers have it.
const ROUND: Duration = Duration::from_millis(500);

/// Rounds after which a start must have reached all, or is given up.
const MOST_ROUNDS: usize = 2_000;

/// Rounds over which the cost at rest is measured.
const REST: usize = 50;

/// Rounds until the news of a start is told no longer, for each router: a piece is told at most
/// 30 times, and 16 pieces go out in a round.
const QUIET: usize = 3;

fn vm(at: usize) -> VmId {
    id(format!("entry-{at}"))
}

fn holder(at: usize) -> ProcessId {
    ProcessId {
        vm: vm(at),
        incarnation: Incarnation(0x0123_4567_89ab_cdef),
    }
}

fn addr(at: usize) -> SocketAddr {
    let low = u8::try_from(at % 250).unwrap_or(0);
    let high = u8::try_from(at / 250).unwrap_or(0);
    SocketAddr::from(([10, 0, high, low], 7_000))
}

struct Swarm {
    nodes: Vec<Members>,
    places: HashMap<SocketAddr, usize>,
    now: Moment,
    rng: ChaCha12Rng,
    bytes: usize,
    turns: usize,
    took: Duration,
}

impl Swarm {
    fn new(size: usize) -> Self {
        let rules = MembershipConfig {
            suspicion: ROUND * 6,
            memory: ROUND * 240,
            indirect: 2,
            contactable: usize::MAX,
        };
        let nodes = (0..size).map(|at| {
            let mut node = Members::new(holder(at), addr(at), rules);
            node.seed(
                (0..size).map(|other| (vm(other), addr(other))),
                Moment::default(),
            );
            node
        });
        Self {
            nodes: nodes.collect(),
            places: (0..size).map(|at| (addr(at), at)).collect(),
            now: Moment(1),
            rng: ChaCha12Rng::seed_from_u64(3),
            bytes: 0,
            turns: 0,
            took: Duration::ZERO,
        }
    }

    fn round(&mut self) {
        self.now = self.now + ROUND;
        for from in 0..self.nodes.len() {
            self.probe(from);
        }
    }

    /// One probe with its answer; bytes of both count, once for the side that asks.
    fn probe(&mut self, from: usize) {
        let start = Instant::now();
        let Some(probe) = self.nodes[from].tick(self.now, &mut self.rng) else {
            return;
        };
        let Some(to) = self.places.get(&probe.addr).copied() else {
            return;
        };
        let asker = self.nodes[from].me().clone();
        self.nodes[to].apply_updates(&probe.updates, self.now);
        self.nodes[to].apply_update(&asker, self.now);
        let back = self.nodes[to].select_updates();
        let answer = self.nodes[to].me().clone();
        self.nodes[from].apply_updates(&back, self.now);
        self.nodes[from].apply_update(&answer, self.now);
        self.took += start.elapsed();
        self.turns += 1;
        for message in [(&asker, &probe.updates), (&answer, &back)] {
            self.bytes += encode(&message).map_or(0, |bytes| bytes.len());
        }
    }

    fn reset(&mut self) {
        self.bytes = 0;
        self.turns = 0;
        self.took = Duration::ZERO;
    }

    fn tell(&self, rows: &mut Rows, bytes: &'static str, time: &'static str) {
        let turns = self.turns.max(1) as f64;
        let size = self.nodes.len();
        rows.add(size, bytes, self.bytes as f64 / turns, "B");
        rows.add(size, time, self.took.as_secs_f64() * 1e6 / turns, "us");
    }

    /// Rounds until every process but the first believes what `of` asks of the first.
    fn until(&mut self, of: impl Fn(Option<&MemberUpdate>) -> bool) -> usize {
        for round in 0..MOST_ROUNDS {
            let first = vm(0);
            let news = |node: &Members| of(node.peer(&first).map(|peer| &peer.latest));
            if self.nodes[1..].iter().all(news) {
                return round;
            }
            self.round();
        }
        MOST_ROUNDS
    }
}

/// Measures probes with their news at a start, at rest, and when one process leaves.
pub fn membership(sizes: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("membership", "routers");
    for size in sizes {
        let mut swarm = Swarm::new(*size);
        let rounds = swarm.until(|news| news.is_some());
        rows.add(
            *size,
            "rounds until a start all at once is known",
            rounds as f64,
            "",
        );
        swarm.tell(
            &mut rows,
            "bytes of a probe and its answer, at a start",
            "µs of a probe, both sides, at a start",
        );
        for _ in 0..QUIET * size {
            swarm.round();
        }
        swarm.reset();
        for _ in 0..REST {
            swarm.round();
        }
        swarm.tell(
            &mut rows,
            "bytes of a probe and its answer, at rest",
            "µs of a probe, both sides, at rest",
        );
        swarm.nodes[0].leave();
        let rounds = swarm.until(|news| news.is_some_and(|n| n.status == Status::Leaving));
        rows.add(
            *size,
            "rounds until all know one that leaves",
            rounds as f64,
            "",
        );
    }
    rows.list
}

fn claim(at: usize) -> ClaimRecord {
    ClaimRecord::Claim {
        key: ClaimKey {
            team: id(format!("team-{}", at % 35_000)),
            key: format!("01936c3e-7b1f-7000-8000-{at:012x}").into(),
        },
        claim: ClaimId(at as u128),
        holder: holder(at % 340),
    }
}

/// Measures the fold of claims.
pub fn claims(sizes: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("claims", "claims");
    let mut kept = Vec::new();
    for size in sizes {
        let before = resident();
        let mut claims = Claims::new(Duration::from_hours(24));
        let (mut bytes, mut took) = (0, Duration::ZERO);
        for at in 0..*size {
            let body = encode(&claim(at)).unwrap_or_default();
            bytes += body.len();
            let start = Instant::now();
            let record = decode::<ClaimRecord>(&body).ok();
            claims.apply(Offset(at as u64), 1, record.as_ref());
            took += start.elapsed();
        }
        let many = *size as f64;
        rows.add(
            *size,
            "bytes of a claim in the log",
            bytes as f64 / many,
            "B",
        );
        let micros = took.as_secs_f64() * 1e6 / many;
        rows.add(*size, "decode and take in a claim", micros, "us");
        let grown = (resident() - before) / many;
        rows.add(*size, "resident memory of a claim", grown, "B");
        kept.push(claims);
    }
    rows.list
}
