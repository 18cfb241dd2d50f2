//! Many VMs that fail, are cut off or begin at once, in virtual time.
//!
//! The world does what the processes do with the decisions of the membership table: probes that fail after their
//! timeout, updates that are broadcast, and copies for processes that begin or were cut off.

use crate::support::holder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::agreement::membership::{MemberUpdate, Members, MembershipConfig};
use sesamegap_wire::{Moment, VmId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const VMS: usize = 84;
const STEP: Duration = Duration::from_millis(50);
const PROBE_INTERVAL: u64 = 500;
const PROBE_TIMEOUT: u64 = 350;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.02;

const CONFIG: MembershipConfig = MembershipConfig {
    suspicion: Duration::from_millis(1_500),
    memory: Duration::from_secs(20),
    indirect: 0,
    contactable: 16,
};

struct World {
    ms: u64,
    rng: StdRng,
    nodes: Vec<Option<Members>>,
    /// Of each VM, the side of the network partition that it is on.
    sides: Vec<usize>,
    /// Probes that fail at a time: the prober and the target.
    failing: Vec<(u64, usize, usize)>,
    /// Updates to broadcast, by sender.
    outbox: Vec<(usize, MemberUpdate)>,
    /// Updates that are broadcast a second time in the next step.
    again: Vec<(usize, MemberUpdate)>,
    /// When a VM last heard another one.
    heard: Vec<u64>,
    /// Whether a VM heard nobody when its last round began.
    cut_off: Vec<bool>,
    /// When a VM copies what a peer knows.
    copies: BTreeSet<(u64, usize)>,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, u8::try_from(index).expect("few VMs")], 9_000))
}

fn index(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(addr) => usize::from(addr.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

fn vm(index: usize) -> VmId {
    holder(index, 0).vm
}

impl World {
    /// VMs that know each other.
    fn new(seed: u64) -> Self {
        let mut world = Self {
            ms: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: (0..VMS).map(|_| None).collect(),
            sides: vec![0; VMS],
            failing: Vec::new(),
            outbox: Vec::new(),
            again: Vec::new(),
            heard: vec![0; VMS],
            cut_off: vec![false; VMS],
            copies: BTreeSet::new(),
        };
        for no in 0..VMS {
            world.start(no, 1);
        }
        world.run(5_000);
        world
    }

    fn now(&self) -> Moment {
        Moment(0) + Duration::from_millis(self.ms)
    }

    /// Starts a process, which reads the whole list and announces itself.
    fn start(&mut self, no: usize, incarnation: u64) {
        let mut members = Members::new(holder(no, incarnation), addr(no), CONFIG);
        members.seed((0..VMS).map(|no| (vm(no), addr(no))), self.now());
        let me = members.me().clone();
        self.nodes[no] = Some(members);
        self.heard[no] = 0;
        self.outbox.push((no, me));
        self.copy_soon(no);
    }

    fn copy_soon(&mut self, no: usize) {
        for delay in [50, 1_200, 2_400] {
            self.copies.insert((self.ms + delay, no));
        }
    }

    fn stop(&mut self, vms: impl Iterator<Item = usize>) {
        for no in vms {
            self.nodes[no] = None;
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[to].is_some() && self.sides[from] == self.sides[to]
    }

    fn node(&mut self, no: usize) -> &mut Members {
        self.nodes[no].as_mut().expect("a VM that is on")
    }

    fn run(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.ms += u64::try_from(STEP.as_millis()).expect("a short step");
            self.step();
        }
    }

    fn step(&mut self) {
        for no in 0..VMS {
            // The rounds of VMs are not in step.
            let is_round = (self.ms + no as u64 * 50).is_multiple_of(PROBE_INTERVAL);
            if self.nodes[no].is_some() && is_round {
                self.round(no);
            }
        }
        let due: Vec<_> = self
            .failing
            .extract_if(.., |(at, ..)| *at <= self.ms)
            .collect();
        for (_, no, target) in due {
            let is_cut_off = self.ms - self.heard[no] >= 800;
            let now = self.now();
            let failed = |node: &mut Members| node.probe_failed(&vm(target), now);
            if !is_cut_off && let Some(update) = self.nodes[no].as_mut().and_then(failed) {
                self.outbox.push((no, update));
            }
        }
        let due = self.copies.split_off(&(self.ms + 1, 0));
        for (_, no) in std::mem::replace(&mut self.copies, due) {
            self.copy(no);
        }
        let again = std::mem::take(&mut self.again);
        for (from, update) in &again {
            self.broadcast(*from, update);
        }
        for (from, update) in std::mem::take(&mut self.outbox) {
            self.broadcast(from, &update);
            self.again.push((from, update));
        }
    }

    fn round(&mut self, no: usize) {
        let now = self.now();
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        let node = self.node(no);
        if node.take_refuted() {
            let me = node.me().clone();
            self.outbox.push((no, me));
        }
        let is_cut_off = self.ms - self.heard[no] >= 800;
        let was_cut_off = std::mem::replace(&mut self.cut_off[no], is_cut_off);
        if self.node(no).take_alarm() || (was_cut_off && !is_cut_off) {
            self.copy_soon(no);
        }
        let node = self.node(no);
        let count = node.probes_due();
        let probes: Vec<_> = (0..count)
            .filter_map(|_| node.tick(now, &mut rng))
            .collect();
        for probe in probes {
            let target = index(probe.addr);
            if self.reaches(no, target) {
                self.exchange(no, target, &probe.updates);
            } else {
                self.failing.push((self.ms + PROBE_TIMEOUT, no, target));
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, updates: &[MemberUpdate]) {
        let now = self.now();
        self.heard[from] = self.ms;
        self.heard[to] = self.ms;
        let me = self.node(from).me().clone();
        let target = self.node(to);
        let is_back = target.apply_update(&me, now);
        target.apply_updates(updates, now);
        let reply = target.select_updates_for(&vm(from));
        let other = target.me().clone();
        if is_back {
            self.outbox.push((to, me));
        }
        let node = self.node(from);
        if node.apply_update(&other, now) {
            self.outbox.push((from, other));
        }
        let node = self.node(from);
        node.apply_updates(&reply, now);
        if node.take_refuted() {
            // The process sends its refutation to the peer directly, and to all others.
            let me = node.me().clone();
            self.outbox.push((from, me.clone()));
            if self.node(to).apply_update(&me, now) {
                self.outbox.push((to, me));
            }
        }
    }

    fn copy(&mut self, no: usize) {
        let Some(node) = &self.nodes[no] else { return };
        let known: Vec<usize> = node
            .alive()
            .filter(|peer| peer.is_confirmed())
            .map(|peer| index(peer.latest.addr))
            .collect();
        if known.is_empty() {
            return;
        }
        for _ in 0..2 {
            let peer = known[self.rng.random_range(0..known.len())];
            if self.reaches(no, peer) {
                let now = self.now();
                let members = self.node(peer).export();
                self.node(no).import(&members, now);
                return;
            }
        }
    }

    fn broadcast(&mut self, from: usize, update: &MemberUpdate) {
        let Some(node) = &self.nodes[from] else {
            return;
        };
        let mut to: Vec<usize> = node.alive().map(|peer| index(peer.latest.addr)).collect();
        to.push(index(update.addr));
        let now = self.now();
        for to in to {
            if to == from || !self.reaches(from, to) || self.rng.random_bool(LOSS) {
                continue;
            }
            self.heard[to] = self.ms;
            self.node(to).apply_update(update, now);
        }
    }

    /// The VMs that one names to callers, besides itself.
    fn named(&self, no: usize) -> BTreeSet<usize> {
        let node = self.nodes[no].as_ref().expect("a VM that is on");
        let alive = node.alive().filter(|peer| peer.is_confirmed());
        alive.map(|peer| index(peer.latest.addr)).collect()
    }

    /// Asserts that each VM that is on names all others that are on and on its side, and none that are off.
    fn assert_agreed(&self, what: &str) {
        let on: BTreeSet<usize> = (0..VMS).filter(|no| self.nodes[*no].is_some()).collect();
        for no in &on {
            let mut expected = on.clone();
            expected.retain(|other| self.sides[*other] == self.sides[*no]);
            expected.remove(no);
            assert_eq!(self.named(*no), expected, "{what}, VM {no}");
        }
    }
}

/// Guards against callers that are sent to VMs that are off, because each VM finds out about one after another.
#[test]
fn all_vms_know_soon_that_many_others_are_off() {
    for count in [8, 28, 34, 75] {
        for seed in 0..8 {
            let mut world = World::new(seed);
            world.stop(0..count);
            world.run(4_500);
            world.assert_agreed(&format!("{count} off, seed {seed}"));
        }
    }
}

/// Guards against processes that take listed VMs for alive that are off, when all VMs restart after many had left.
#[test]
fn processes_that_begin_together_find_the_vms_that_are_off() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.stop(0..25);
        world.run(5_000);
        for no in 25..VMS {
            world.start(no, 2);
        }
        assert!((25..VMS).all(|no| world.named(no).is_empty()));
        world.run(4_000);
        world.assert_agreed(&format!("restart, seed {seed}"));
    }
}

/// Guards against a process that takes minutes to learn which listed VMs are off.
#[test]
fn a_process_that_begins_alone_learns_who_is_off() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.stop(0..30);
        world.run(5_000);
        world.stop(40..41);
        world.run(300);
        world.start(40, 2);
        world.run(1_000);
        let named = world.named(40);
        assert!(named.iter().all(|no| *no >= 30), "seed {seed}: {named:?}");
        world.run(3_000);
        world.assert_agreed(&format!("begin, seed {seed}"));
    }
}

/// Guards against VMs that hold each other for dead long after a partition healed, and against a VM that was cut off and
/// names those that went off meanwhile.
#[test]
fn vms_know_each_other_again_soon_after_a_partition() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        // A failure domain, and single VMs.
        for no in 0..28 {
            world.sides[no] = 1;
        }
        for no in 28..34 {
            world.sides[no] = no;
        }
        world.run(10_000);
        world.stop(70..80);
        world.run(4_000);
        world.sides.fill(0);
        world.run(5_000);
        world.assert_agreed(&format!("healed, seed {seed}"));
    }
}

/// Guards against entries of VMs that died or left, which stay on the platform's list for ever, and against the removal of
/// entries by the smaller side of a partition.
#[test]
fn the_entries_of_vms_that_are_dead_for_long_are_removed() {
    let mut world = World::new(1);
    world.stop(0..30);
    world.run(55_000);
    let now = world.now();
    assert_eq!(world.node(50).removable(now), []);
    world.run(10_000);
    let now = world.now();
    let gone: Vec<VmId> = (0..30).map(vm).collect();
    let removable: BTreeSet<VmId> = world.node(50).removable(now).into_iter().collect();
    assert_eq!(removable, gone.into_iter().collect());
    world.stop(30..60);
    world.run(65_000);
    let now = world.now();
    assert_eq!(world.node(70).removable(now), [], "few are alive");
}
