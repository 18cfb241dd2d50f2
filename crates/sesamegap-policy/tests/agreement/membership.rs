//! A live process is not held dead for ever, a dead one is dropped in bounded time.

use crate::support::{Pick, check, holder};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_policy::agreement::membership::{
    MemberUpdate, Members, MembershipConfig, Probe, Status,
};
use sesamegap_wire::{Moment, VmId};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

const PEERS: usize = 6;
const ROUND: Duration = Duration::from_millis(500);
const RULES: MembershipConfig = MembershipConfig {
    suspicion: Duration::from_secs(3),
    memory: Duration::from_mins(1),
    indirect: 2,
};

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        9000 + u16::try_from(index).expect("few peers"),
    ))
}

fn vm(index: usize) -> VmId {
    holder(index, 0).vm
}

struct World {
    now: Moment,
    rng: ChaCha12Rng,
    nodes: Vec<Option<Members>>,
    cut: HashSet<(usize, usize)>,
    sent: usize,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Moment(0),
            rng: ChaCha12Rng::seed_from_u64(1),
            nodes: Vec::new(),
            cut: HashSet::new(),
            sent: 0,
        };
        world.nodes.resize_with(PEERS, || None);
        for index in 0..PEERS {
            world.start(index, 1);
        }
        world
    }

    fn start(&mut self, index: usize, life: u64) {
        let mut members = Members::new(holder(index, life), addr(index), RULES);
        members.seed((0..PEERS).map(|i| (vm(i), addr(i))));
        self.nodes[index] = Some(members);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let whole = !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from));
        whole && self.nodes[to].is_some()
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.now = self.now + ROUND;
            for index in 0..PEERS {
                self.round_of(index);
            }
        }
    }

    fn round_of(&mut self, index: usize) {
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        let Some(probe) = node.tick(self.now, &mut self.rng) else {
            return;
        };
        self.probe(index, &probe);
    }

    fn probe(&mut self, from: usize, probe: &Probe) {
        let to = (0..PEERS).find(|i| addr(*i) == probe.addr).expect("a peer");
        self.sent += 1;
        let direct = self.reaches(from, to);
        let helper = probe.through.iter().find(|helper| {
            let helper = (0..PEERS).find(|i| addr(*i) == **helper).expect("a peer");
            self.reaches(from, helper) && self.reaches(helper, to)
        });
        if !direct && helper.is_none() {
            let now = self.now;
            self.node(from).probe_failed(&probe.target, now);
            return;
        }
        self.exchange(from, to, &probe.news);
    }

    fn exchange(&mut self, from: usize, to: usize, news: &[MemberUpdate]) {
        let now = self.now;
        let asker = self.node(from).me().clone();
        let target = self.node(to);
        target.apply_updates(news, now);
        target.apply_update(&asker, now);
        let answer = target.me().clone();
        let back = target.select_updates();
        let asker = self.node(from);
        asker.apply_update(&answer, now);
        asker.apply_updates(&back, now);
    }

    fn node(&mut self, index: usize) -> &mut Members {
        self.nodes[index].as_mut().expect("a live node")
    }

    fn belief(&self, of: usize, about: usize) -> Option<Status> {
        let node = self.nodes[of].as_ref()?;
        node.peer(&vm(about)).map(|peer| peer.news.status)
    }

    fn all_agree(&self) -> bool {
        let pairs = (0..PEERS).flat_map(|a| (0..PEERS).map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| a != b && self.nodes[*a].is_some())
            .all(|(a, b)| match &self.nodes[b] {
                Some(_) => self.belief(a, b) == Some(Status::Alive),
                None => matches!(self.belief(a, b), None | Some(Status::Dead)),
            })
    }
}

#[derive(Debug, Clone)]
enum Op {
    Cut(Pick, Pick),
    Mend(Pick, Pick),
    Kill(Pick),
    Start(Pick),
    Rounds(Pick),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = Pick::arbitrary(g);
        let b = Pick::arbitrary(g);
        match Pick::arbitrary(g).below(6) {
            0 => Self::Cut(a, b),
            1 => Self::Mend(a, b),
            2 => Self::Kill(a),
            3 => Self::Start(a),
            _ => Self::Rounds(a),
        }
    }
}

/// Links break one by one, routers die and come back, and all of it mends in the end. A caller
/// would notice a live router that is never named to anybody again, or a dead one that still is.
#[test]
fn beliefs_meet_the_world_once_it_is_quiet() {
    fn property(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        let mut life = 1;
        for op in ops {
            match op {
                Op::Cut(a, b) => {
                    world.cut.insert((a.below(PEERS), b.below(PEERS)));
                }
                Op::Mend(a, b) => {
                    world.cut.remove(&(a.below(PEERS), b.below(PEERS)));
                }
                Op::Kill(a) => world.nodes[a.below(PEERS)] = None,
                Op::Start(a) => {
                    life += 1;
                    world.start(a.below(PEERS), life);
                }
                Op::Rounds(count) => world.rounds(count.below(8)),
            }
        }
        world.cut.clear();
        world.rounds(40);
        world.all_agree()
    }
    check(property as fn(Vec<Op>) -> bool);
}

/// Two routers cannot reach each other, but both reach the others. If a broken link alone made a
/// peer dead, callers in one failure domain would lose a router that works.
#[test]
fn a_broken_link_kills_nobody() {
    let mut world = World::new();
    world.rounds(20);
    world.cut.insert((0, 1));
    world.rounds(60);
    assert_eq!(world.belief(0, 1), Some(Status::Alive));
    assert_eq!(world.belief(1, 0), Some(Status::Alive));
}

/// Two regions lose each other for an hour and find each other again. Each side had held the other
/// dead; if nobody probed the dead, they would stay apart for good.
#[test]
fn halves_that_were_split_meet_again() {
    let mut world = World::new();
    world.rounds(20);
    for a in 0..3 {
        for b in 3..PEERS {
            world.cut.insert((a, b));
        }
    }
    world.rounds(7200);
    assert_eq!(world.belief(0, 5), Some(Status::Dead));
    world.cut.clear();
    world.rounds(40);
    assert!(world.all_agree());
}

/// A router that stops for good says so first. Its peers must not name it to callers again, though
/// it still answers their probes.
#[test]
fn leaving_spreads_and_is_not_taken_back() {
    let mut world = World::new();
    world.rounds(20);
    world.node(2).leave();
    world.rounds(12);
    for other in [0, 1, 3, 4, 5] {
        assert_eq!(world.belief(other, 2), Some(Status::Leaving));
    }
}

/// One round of one process sends one probe, however many peers there are; more would make the
/// cost of membership grow with the square of the deployment.
#[test]
fn a_round_costs_one_probe_a_process() {
    let mut world = World::new();
    world.rounds(10);
    assert_eq!(world.sent, 10 * PEERS);
}
