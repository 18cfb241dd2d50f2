//! A live process is not considered dead permanently, and a dead one is detected in bounded time.

use crate::support::{Pick, check, holder};
use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_policy::agreement::membership::{
    MemberUpdate, Members, MembershipConfig, Peer, Probe, Status,
};
use sesamegap_wire::{Moment, VmId};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

const PEERS: usize = 6;
const ROUND: Duration = Duration::from_millis(500);
const CONFIG: MembershipConfig = MembershipConfig {
    suspicion: Duration::from_secs(3),
    memory: Duration::from_mins(1),
    indirect: 2,
    contactable: usize::MAX,
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
    /// Broken links, as pairs of node indices in either order.
    cut: HashSet<(usize, usize)>,
    probes_sent: usize,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Moment(0),
            rng: ChaCha12Rng::seed_from_u64(1),
            nodes: Vec::new(),
            cut: HashSet::new(),
            probes_sent: 0,
        };
        world.nodes.resize_with(PEERS, || None);
        for index in 0..PEERS {
            world.start(index, 1);
        }
        world
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let mut members = Members::new(holder(index, incarnation), addr(index), CONFIG);
        members.seed((0..PEERS).map(|i| (vm(i), addr(i))), self.now);
        self.nodes[index] = Some(members);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let connected = !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from));
        connected && self.nodes[to].is_some()
    }

    fn run_rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.now = self.now + ROUND;
            for index in 0..PEERS {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
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
        self.probes_sent += 1;
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
        self.exchange(from, to, &probe.updates);
    }

    fn exchange(&mut self, from: usize, to: usize, updates: &[MemberUpdate]) {
        let now = self.now;
        let prober = self.node(from).me().clone();
        let target = self.node(to);
        target.apply_updates(updates, now);
        target.apply_update(&prober, now);
        let answer = target.me().clone();
        let answer_updates = target.select_updates();
        let prober = self.node(from);
        prober.apply_update(&answer, now);
        prober.apply_updates(&answer_updates, now);
    }

    fn node(&mut self, index: usize) -> &mut Members {
        self.nodes[index].as_mut().expect("a live node")
    }

    /// Returns the status of `about` as `observer` sees it.
    fn status(&self, observer: usize, about: usize) -> Option<Status> {
        let node = self.nodes[observer].as_ref()?;
        node.peer(&vm(about)).map(|peer| peer.latest.status)
    }

    /// Whether every live node sees the actual state of all others.
    fn has_converged(&self) -> bool {
        let pairs = (0..PEERS).flat_map(|a| (0..PEERS).map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| a != b && self.nodes[*a].is_some())
            .all(|(a, b)| match &self.nodes[b] {
                Some(_) => self.status(a, b) == Some(Status::Alive),
                None => matches!(self.status(a, b), None | Some(Status::Dead)),
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

/// Links break, routers die and restart, and finally all links are restored. Guards against a live
/// router to which callers are never directed again, and a dead one to which they still are.
#[test]
fn membership_converges_once_faults_stop() {
    fn property(ops: Vec<Op>) -> bool {
        let mut world = World::new();
        let mut incarnation = 1;
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
                    incarnation += 1;
                    world.start(a.below(PEERS), incarnation);
                }
                Op::Rounds(count) => world.run_rounds(count.below(8)),
            }
        }
        world.cut.clear();
        world.run_rounds(40);
        world.has_converged()
    }
    check(property as fn(Vec<Op>) -> bool);
}

/// Two routers cannot reach each other, but both reach the others. If a broken link alone made a
/// peer dead, callers in one failure domain would lose a router that works.
#[test]
fn a_broken_link_does_not_make_a_peer_dead() {
    let mut world = World::new();
    world.run_rounds(20);
    world.cut.insert((0, 1));
    world.run_rounds(60);
    assert_eq!(world.status(0, 1), Some(Status::Alive));
    assert_eq!(world.status(1, 0), Some(Status::Alive));
}

/// Two regions are partitioned for an hour, and each considers the other dead. If dead peers were
/// not probed, the regions would never reconnect.
#[test]
fn partitioned_halves_reconnect() {
    let mut world = World::new();
    world.run_rounds(20);
    for a in 0..3 {
        for b in 3..PEERS {
            world.cut.insert((a, b));
        }
    }
    world.run_rounds(7200);
    assert_eq!(world.status(0, 5), Some(Status::Dead));
    world.cut.clear();
    world.run_rounds(40);
    assert!(world.has_converged());
}

/// A router announces that it is stopping. Its peers must not direct callers to it again, although
/// it still answers their probes.
#[test]
fn leaving_spreads_and_is_not_reverted() {
    let mut world = World::new();
    world.run_rounds(20);
    world.node(2).leave();
    world.run_rounds(12);
    for other in [0, 1, 3, 4, 5] {
        assert_eq!(world.status(other, 2), Some(Status::Leaving));
    }
}

/// A process sends one probe per round, regardless of the number of peers. More would make the
/// total cost of membership quadratic in the size of the deployment.
#[test]
fn a_round_costs_one_probe_per_process() {
    let mut world = World::new();
    world.run_rounds(10);
    assert_eq!(world.probes_sent, 10 * PEERS);
}

/// A process whose list is too long for it to contact every VM at once.
fn with_long_list(now: Moment) -> Members {
    let config = MembershipConfig {
        contactable: PEERS / 2,
        ..CONFIG
    };
    let mut members = Members::new(holder(0, 1), addr(0), config);
    members.seed((0..PEERS).map(|i| (vm(i), addr(i))), now);
    members
}

/// Guards against a large fleet in which each restarted process knows only the few peers that it has met, and takes on
/// the duties that a few perform for all.
#[test]
fn the_vms_of_a_long_list_are_presumed_alive_at_once() {
    let now = Moment(0);
    let mut members = with_long_list(now);
    assert_eq!(members.alive().count(), PEERS - 1);
    assert!(members.alive().all(|peer| !peer.is_confirmed()));
    assert!(
        members.select_updates().is_empty(),
        "what every process reads for itself is not gossiped"
    );
    let update = MemberUpdate {
        who: holder(1, 5),
        addr: addr(1),
        version: 0,
        status: Status::Alive,
    };
    members.apply_update(&update, now);
    assert!(members.peer(&vm(1)).is_some_and(Peer::is_confirmed));
}

/// Guards against VMs that all peers consider dead after a restart of the whole fleet, because some were started a
/// moment later than others. A VM that was removed for good must still be found out.
#[test]
fn a_listed_vm_may_be_starting() {
    let start = Moment(0);
    let mut members = with_long_list(start);
    let soon = start + Duration::from_secs(1);
    assert_eq!(members.probe_failed(&vm(1), soon), None);
    assert_eq!(members.alive().count(), PEERS - 1);
    let later = start + Duration::from_secs(4);
    assert!(members.probe_failed(&vm(1), later).is_some());
    assert_eq!(members.alive().count(), PEERS - 2);
    assert_eq!(
        members.probe_failed(&vm(1), later),
        None,
        "it is known already"
    );
}

/// Guards against a VM that stays suspected by the peers that its own update has not reached.
#[test]
fn a_process_that_hears_of_a_suspicion_of_itself_answers_it() {
    let mut members = with_long_list(Moment(0));
    assert!(!members.take_refuted());
    for incarnation in [0, 1] {
        let update = MemberUpdate {
            who: holder(0, incarnation),
            addr: addr(0),
            version: 0,
            status: Status::Suspect,
        };
        members.apply_updates(&[update], Moment(0));
        assert!(members.take_refuted(), "incarnation {incarnation}");
        assert!(!members.take_refuted());
    }
}
