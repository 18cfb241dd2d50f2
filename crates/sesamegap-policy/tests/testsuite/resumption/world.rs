//! Entry VMs before a service whose releases overlap, in virtual time.
//!
//! Each VM knows the versions with a lag of its own. Messages between VMs that run and reach each other arrive at once.

use rand::rngs::ChaCha12Rng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::resumption::{
    ASKED, Answer, HOLDERS, LogAnswer, Origin, Records, ServedVersions, StreamKey, Testimony,
    Verdict, decide, decide_by_log, is_in_touch, needs_list, needs_log,
};
use sesamegap_policy::routing::engines::rank;
use sesamegap_wire::{Moment, ServiceId, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// Entry VMs.
const VMS: usize = 15;

/// Steps of a history, and the time that each takes.
const STEPS: u32 = 600;
const STEP: Duration = Duration::from_millis(100);

/// Time within which callers take streams up again.
const WINDOW: Duration = Duration::from_secs(12);

/// Longest time until a VM knows a change of the list, in steps.
const LAG: usize = 13;

/// Versions that releases choose from.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// A fault planted in the protocol, which the checks must notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Records stay at the VM that began the stream.
    KeepsRecords,
    /// A VM does not ask others.
    TrustsItself,
    /// A version is forgotten once its last upstream has gone.
    ForgetsVersions,
    /// A VM that is cut off takes what it knows for what there is.
    TrustsItsList,
}

#[derive(Debug, Default)]
struct Vm {
    runs: bool,
    /// From when until when it is cut off from the other VMs.
    cut_from: u32,
    cut_until: u32,
    /// Whether it is cut off from the store then, too.
    lacks_store: bool,
    lag: usize,
    records: Records,
    served: ServedVersions,
}

#[derive(Debug)]
struct Stream {
    key: StreamKey,
    origin: Origin,
    vm: usize,
    until: Moment,
}

/// A history and what came of its streams.
#[derive(Debug)]
pub struct World {
    rng: ChaCha12Rng,
    flaw: Option<Flaw>,
    step: u32,
    vms: Vec<Vm>,
    /// The versions that serve, at each step so far.
    serving: Vec<BTreeSet<SoftwareVersion>>,
    streams: Vec<Stream>,
    /// Streams that began while their VM knew several versions, as the store has them.
    log: BTreeMap<StreamKey, Origin>,
    /// Streams that went on at another version.
    pub mixed: usize,
    /// Streams that were taken up while an upstream of their version served.
    pub taken_up: usize,
    /// Those of them that went on.
    pub went_on: usize,
}

fn service() -> ServiceId {
    "engines".parse().unwrap()
}

impl World {
    /// Plays a history to its end.
    pub fn play(seed: u64, flaw: Option<Flaw>) -> Self {
        let first = BTreeSet::from([VERSIONS[0].parse().unwrap()]);
        let mut world = Self {
            rng: ChaCha12Rng::seed_from_u64(seed),
            flaw,
            step: 0,
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            serving: vec![first; 1],
            streams: Vec::new(),
            log: BTreeMap::new(),
            mixed: 0,
            taken_up: 0,
            went_on: 0,
        };
        for vm in &mut world.vms {
            vm.runs = true;
            vm.lag = world.rng.random_range(0..LAG);
            // All have run for a while.
            vm.served.record_list(Moment(0));
        }
        while world.step < STEPS {
            world.advance();
        }
        world
    }

    fn now(&self) -> Moment {
        Moment(0) + Duration::from_hours(1) + STEP * self.step
    }

    fn advance(&mut self) {
        self.step += 1;
        self.release();
        self.learn();
        self.begin();
        self.break_off();
        self.disturb();
    }

    /// Adds or takes away a version; at least one stays.
    fn release(&mut self) {
        let mut now = self.serving[self.serving.len() - 1].clone();
        if self.rng.random_bool(0.02) {
            let version = VERSIONS.iter().choose(&mut self.rng).unwrap();
            let version: SoftwareVersion = version.parse().unwrap();
            if !now.remove(&version) || now.is_empty() {
                now.insert(version);
                let vm = self.rng.random_range(0..VMS);
                self.cut(vm, 3..60);
            }
        }
        self.serving.push(now);
    }

    /// Versions that a VM knows to serve.
    fn known(&self, vm: usize) -> &BTreeSet<SoftwareVersion> {
        let heard = if self.is_cut(vm) {
            self.vms[vm].cut_from as usize
        } else {
            self.serving.len() - 1
        };
        &self.serving[heard.saturating_sub(self.vms[vm].lag)]
    }

    fn learn(&mut self) {
        let now = self.now();
        for vm in 0..VMS {
            let known = self.known(vm).clone();
            if !self.vms[vm].runs || self.is_cut(vm) {
                continue;
            }
            for software in &known {
                self.vms[vm].served.record(&service(), software, now);
            }
        }
    }

    fn testimony(&self, vm: usize) -> Testimony {
        let service = service();
        let origin = |software: &SoftwareVersion| Origin {
            service: service.clone(),
            software: software.clone(),
        };
        let window = match self.flaw {
            Some(Flaw::ForgetsVersions) => Duration::ZERO,
            _ => WINDOW,
        };
        let served = &self.vms[vm].served;
        let past = served.within(&service, window, self.now()).map(origin);
        Testimony {
            origins: past.chain(self.known(vm).iter().map(origin)).collect(),
            complete: served.covers(WINDOW, self.now()),
            alone: BTreeSet::new(),
        }
    }

    fn is_cut(&self, vm: usize) -> bool {
        self.step < self.vms[vm].cut_until
    }

    fn has_store(&self, vm: usize) -> bool {
        !self.is_cut(vm) || !self.vms[vm].lacks_store
    }

    /// VMs that run, ranked for a stream.
    fn ranked(&self, stream: StreamKey) -> Vec<usize> {
        let mut ranked: Vec<usize> = (0..VMS).filter(|vm| self.vms[*vm].runs).collect();
        ranked.sort_by_key(|vm| std::cmp::Reverse(rank(stream.0, *vm as u64 + 1)));
        ranked
    }

    fn publish(&mut self, vm: usize, stream: StreamKey, origin: &Origin, until: Moment) {
        if self.is_cut(vm) {
            return;
        }
        let ranked = self.ranked(stream).into_iter().take(HOLDERS + 1);
        let holders: Vec<usize> = ranked
            .filter(|holder| *holder != vm)
            .take(HOLDERS)
            .collect();
        for holder in holders {
            if !self.is_cut(holder) {
                self.vms[holder]
                    .records
                    .insert(stream, origin.clone(), until);
            }
        }
    }

    /// Begins streams at VMs that run, at versions that these know and that serve.
    fn begin(&mut self) {
        for vm in 0..VMS {
            let serving = &self.serving[self.serving.len() - 1];
            let usable = self.known(vm).intersection(serving).cloned();
            let usable: Vec<SoftwareVersion> = usable.collect();
            let Some(software) = usable.into_iter().choose(&mut self.rng) else {
                continue;
            };
            if !self.vms[vm].runs || self.rng.random_bool(0.7) {
                continue;
            }
            let key = StreamKey(self.rng.random());
            let origin = Origin {
                service: service(),
                software,
            };
            let until = self.now() + WINDOW;
            self.vms[vm].records.insert(key, origin.clone(), until);
            if self.flaw != Some(Flaw::KeepsRecords) {
                if self.testimony(vm).origins.len() > 1 && self.has_store(vm) {
                    self.log.insert(key, origin.clone());
                }
                self.publish(vm, key, &origin, until);
            }
            self.streams.push(Stream {
                key,
                origin,
                vm,
                until,
            });
        }
        let now = self.now();
        self.streams.retain(|stream| now < stream.until);
    }

    /// Kills, restarts and cuts VMs; the streams of a VM that is killed, or of some others, are taken up elsewhere.
    fn disturb(&mut self) {
        let vm = self.rng.random_range(0..VMS);
        if !self.vms[vm].runs {
            if self.rng.random_bool(0.3) {
                let now = self.now();
                let lag = self.vms[vm].lag;
                self.vms[vm] = Vm {
                    runs: true,
                    lag,
                    ..Vm::default()
                };
                self.vms[vm].served.record_list(now);
            }
            return;
        }
        if self.rng.random_bool(0.01) {
            self.cut(vm, 10..40);
        }
        if self.rng.random_bool(0.015) {
            self.vms[vm].runs = false;
            let (moved, kept) = std::mem::take(&mut self.streams)
                .into_iter()
                .partition(|stream| stream.vm == vm);
            self.streams = kept;
            for stream in moved {
                let running = (0..VMS).filter(|vm| self.vms[*vm].runs);
                let running: Vec<usize> = running.collect();
                if let Some(at) = running.into_iter().choose(&mut self.rng) {
                    self.take_up(stream, at, true);
                }
            }
        }
    }

    /// Cuts a VM off from the others for some steps, and maybe from the store.
    fn cut(&mut self, vm: usize, steps: Range<u32>) {
        self.vms[vm].cut_from = self.step;
        self.vms[vm].cut_until = self.step + self.rng.random_range(steps);
        self.vms[vm].lacks_store = self.rng.random_bool(0.5);
    }

    /// Breaks some streams off, whose callers come to a VM that is cut off from the others.
    fn break_off(&mut self) {
        let is_cut = |vm: &usize| self.vms[*vm].runs && self.is_cut(*vm);
        let cut: Vec<usize> = (0..VMS).filter(is_cut).collect();
        let Some(at) = cut.into_iter().choose(&mut self.rng) else {
            return;
        };
        if !self.streams.is_empty() {
            let broken = self.rng.random_range(0..self.streams.len());
            let stream = self.streams.swap_remove(broken);
            self.take_up(stream, at, false);
        }
    }

    /// A caller comes to a VM with its stream, which may be counted among those that go on or not.
    fn take_up(&mut self, mut stream: Stream, vm: usize, is_counted: bool) {
        let now = self.now();
        let answer = |world: &Self, vm: usize| match world.vms[vm].records.get(stream.key, now) {
            Some(origin) => Answer::Record(origin.clone()),
            None => Answer::Versions(world.testimony(vm)),
        };
        let mut own = self.testimony(vm);
        let mut answers = Vec::new();
        let mut asked_count = 0;
        if let record @ Answer::Record(_) = answer(self, vm) {
            answers.push(record);
        } else if self.flaw != Some(Flaw::TrustsItself) {
            let asked = self.ranked(stream.key).into_iter().take(ASKED);
            let asked: Vec<usize> = asked.filter(|other| *other != vm).collect();
            asked_count = asked.len();
            let reached = asked.into_iter().filter(|other| !self.is_cut(*other));
            let reached = reached.filter(|_| !self.is_cut(vm));
            answers.extend(reached.map(|other| answer(self, other)));
        }
        let trusts = matches!(self.flaw, Some(Flaw::TrustsItself | Flaw::TrustsItsList));
        let is_in_touch = trusts || is_in_touch(asked_count, answers.len());
        let mut verdict = decide(&own, &answers);
        let has_followed = self.vms[vm].served.covers(WINDOW, now);
        if needs_log(&verdict, &answers, has_followed, is_in_touch) {
            let log = match self.log.get(&stream.key) {
                _ if !self.has_store(vm) => LogAnswer::Unread,
                Some(origin) => LogAnswer::Record(origin.clone()),
                None => LogAnswer::Absent,
            };
            verdict = decide_by_log(verdict, log, &own, &answers);
        }
        if needs_list(&verdict, is_in_touch) {
            // The store has the list as it is now, and is in reach: else the log would not have been read.
            let serving = self.serving[self.serving.len() - 1].iter().cloned();
            let listed = serving.map(|software| Origin {
                service: service(),
                software,
            });
            own.origins.extend(listed);
            verdict = decide(&own, &answers);
        }
        let serving = &self.serving[self.serving.len() - 1];
        let is_served = is_counted && serving.contains(&stream.origin.software);
        self.taken_up += usize::from(is_served);
        match verdict {
            Verdict::At(origin, _) if origin != stream.origin => self.mixed += 1,
            Verdict::At(origin, _) => {
                self.went_on += usize::from(is_served);
                stream.vm = vm;
                self.vms[vm]
                    .records
                    .insert(stream.key, origin.clone(), stream.until);
                self.publish(vm, stream.key, &origin, stream.until);
                self.streams.push(stream);
            }
            Verdict::Ambiguous | Verdict::Uninformed | Verdict::Unread => {}
        }
    }
}
