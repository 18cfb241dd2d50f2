//! Entry VMs that are all killed at once beside releases, in virtual time, with what the store keeps for them.

use super::origin;
use rand::rngs::ChaCha12Rng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::resumption::{
    Answer, LogAnswer, LoggedStreams, Origin, Records, ServedVersions, StreamBatch, StreamKey,
    Testimony, Verdict, decide, decide_by_log, needs_log,
};
use sesamegap_wire::{Moment, ServiceId, SoftwareVersion};
use std::collections::BTreeSet;
use std::time::Duration;

/// Entry VMs.
const VMS: usize = 7;

/// Steps of a history, and the time that each takes.
const STEPS: u32 = 900;
const STEP: Duration = Duration::from_millis(100);

/// Time within which callers take streams up again.
const WINDOW: Duration = Duration::from_secs(12);

/// Longest time until a VM knows a change of the list, in steps.
const LAG: usize = 5;

/// Steps before a kill from which on the store may be silent.
const SILENT_BEFORE: u32 = 8;

/// Steps after a start in which further versions are not written to the store.
const SETTLING: u32 = 3;

/// Versions that releases choose from.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

/// A fault planted in the protocol, which the checks must notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// A list that was read a moment ago counts as knowledge of the past, and nothing else is.
    TrustsList,
    /// Versions that served before are not kept in the store.
    KeepsNoHistory,
    /// Streams are not recorded in the store.
    KeepsNoLog,
    /// Streams that began before a second version appeared are not recorded when it does.
    ForgetsRunning,
}

/// What befalls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    None,
    /// It does not answer for a while, from a kill on.
    Silent,
    /// It does not answer for a while, from before a kill on, so that streams begin without a record.
    SilentBefore,
    /// Its log of streams is dropped now and then.
    Compacted,
}

#[derive(Debug, Default)]
struct Vm {
    lag: usize,
    /// The step whose list this VM knows; the list is in the store too.
    list_of: Option<usize>,
    is_informed: bool,
    is_divided: bool,
    records: Records,
    served: ServedVersions,
}

/// What the store keeps.
#[derive(Debug, Default)]
struct Store {
    silent_until: u32,
    versions: BTreeSet<SoftwareVersion>,
    log: LoggedStreams,
}

#[derive(Debug)]
struct Stream {
    key: StreamKey,
    origin: Origin,
    until: Moment,
    /// Whether it is among those that were taken up while an upstream of their version served.
    is_counted: bool,
}

/// A history and what came of its streams.
#[derive(Debug)]
pub struct World {
    rng: ChaCha12Rng,
    flaw: Option<Flaw>,
    fault: StoreFault,
    step: u32,
    /// When all VMs are killed next.
    kill_at: u32,
    off_until: u32,
    vms: Vec<Vm>,
    store: Store,
    /// The versions that serve, at each step so far.
    serving: Vec<BTreeSet<SoftwareVersion>>,
    /// Streams that run.
    running: Vec<Stream>,
    /// Streams that broke off when all VMs were killed.
    broken: Vec<Stream>,
    /// Streams that went on at another version.
    pub mixed: usize,
    /// Streams that were taken up while an upstream of their version served.
    pub taken_up: usize,
    /// Those of them that went on.
    pub went_on: usize,
}

fn service() -> ServiceId {
    origin("v1").service
}

impl World {
    /// Plays a history to its end.
    pub fn play(seed: u64, flaw: Option<Flaw>, fault: StoreFault) -> Self {
        let first = BTreeSet::from([VERSIONS[0].parse().unwrap()]);
        let mut world = Self {
            rng: ChaCha12Rng::seed_from_u64(seed),
            flaw,
            fault,
            step: 0,
            kill_at: 0,
            off_until: 0,
            vms: Vec::new(),
            store: Store::default(),
            serving: vec![first],
            running: Vec::new(),
            broken: Vec::new(),
            mixed: 0,
            taken_up: 0,
            went_on: 0,
        };
        world.start();
        world.plan_kill();
        while world.step < STEPS {
            world.advance();
        }
        world
    }

    fn now(&self) -> Moment {
        Moment(0) + Duration::from_hours(1) + STEP * self.step
    }

    /// Starts all VMs, which know nothing.
    fn start(&mut self) {
        let now = self.now();
        self.vms = (0..VMS).map(|_| Vm::default()).collect();
        for vm in &mut self.vms {
            vm.lag = self.rng.random_range(0..LAG);
            vm.served.record_list(now);
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        self.release();
        if self.step < self.off_until {
            return;
        }
        if self.step == self.off_until {
            self.start();
            self.plan_kill();
        }
        self.learn();
        self.begin();
        self.take_up();
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
            }
        }
        self.serving.push(now);
    }

    fn is_store_up(&self) -> bool {
        self.step >= self.store.silent_until
    }

    /// Versions that a VM knows to serve.
    fn known(&self, vm: usize) -> BTreeSet<SoftwareVersion> {
        let list_of = self.vms[vm].list_of;
        list_of.map_or_else(BTreeSet::new, |step| self.serving[step].clone())
    }

    fn within(&self, vm: usize) -> BTreeSet<SoftwareVersion> {
        let service = service();
        let served = &self.vms[vm].served;
        let past = served.within(&service, WINDOW, self.now());
        past.cloned().chain(self.known(vm)).collect()
    }

    /// VMs read the list and the store; the first one writes what has changed.
    fn learn(&mut self) {
        let (now, service) = (self.now(), service());
        let keeps_history = !matches!(self.flaw, Some(Flaw::KeepsNoHistory | Flaw::TrustsList));
        for vm in 0..VMS {
            if self.is_store_up() {
                let at = self.serving.len() - 1;
                self.vms[vm].list_of = Some(at.saturating_sub(self.vms[vm].lag));
            }
            for software in self.known(vm) {
                self.vms[vm].served.record(&service, &software, now);
            }
            if self.is_store_up() && !self.vms[vm].is_informed && keeps_history {
                let versions = &self.store.versions;
                let served = &mut self.vms[vm].served;
                served.record_history(&service, versions, now);
                self.vms[vm].is_informed = true;
            }
            let is_divided = self.within(vm).len() > 1;
            if is_divided && !self.vms[vm].is_divided && self.flaw != Some(Flaw::ForgetsRunning) {
                let own = self.vms[vm].records.own_of(&service, now);
                let own: Vec<_> = own.map(|(key, origin)| (key, origin.clone())).collect();
                for (key, origin) in own {
                    self.log(key, origin);
                }
            }
            self.vms[vm].is_divided = is_divided;
        }
        let writer = self.rng.random_range(0..VMS);
        let is_settling = self.step < self.off_until + SETTLING;
        let covers = self.vms[writer]
            .served
            .covers_service(&service, WINDOW, now);
        if self.is_store_up() && covers && !is_settling {
            self.store.versions = self.within(writer);
        }
    }

    fn log(&mut self, key: StreamKey, origin: Origin) {
        if self.is_store_up() && self.flaw != Some(Flaw::KeepsNoLog) {
            let batch: StreamBatch = [(key, origin)].into_iter().collect();
            self.store.log.extend(&batch);
        }
    }

    /// Begins streams at versions that a VM knows and that serve.
    fn begin(&mut self) {
        let now = self.now();
        for vm in 0..VMS {
            let serving = &self.serving[self.serving.len() - 1];
            let known = self.known(vm);
            let Some(software) = known.intersection(serving).choose(&mut self.rng) else {
                continue;
            };
            let origin = Origin {
                service: service(),
                software: software.clone(),
            };
            let key = StreamKey(self.rng.random());
            let until = now + WINDOW;
            self.vms[vm].records.insert_own(key, origin.clone(), until);
            if self.vms[vm].is_divided {
                self.log(key, origin.clone());
            }
            self.running.push(Stream {
                key,
                origin,
                until,
                is_counted: false,
            });
        }
        // A stream lasts a fraction of the time within which it may be taken up.
        let is_running = |stream: &Stream| now + WINDOW * 9 / 10 < stream.until;
        self.running.retain(is_running);
        self.broken.retain(|stream| now < stream.until);
    }

    /// Kills all VMs, and disturbs the store.
    fn disturb(&mut self) {
        if self.fault == StoreFault::Compacted && self.rng.random_bool(0.01) {
            self.store.log = LoggedStreams::default();
        }
        let is_silent = match self.fault {
            StoreFault::None | StoreFault::Compacted => false,
            StoreFault::Silent => self.step == self.kill_at,
            StoreFault::SilentBefore => self.step + SILENT_BEFORE == self.kill_at,
        };
        if is_silent {
            self.store.silent_until = self.kill_at + self.rng.random_range(10..40);
        }
        if self.step == self.kill_at {
            self.off_until = self.step + self.rng.random_range(2..25);
            self.broken.append(&mut self.running);
        }
    }

    fn plan_kill(&mut self) {
        self.kill_at = self.step + self.rng.random_range(10..150);
    }

    /// Callers of some streams that broke off come to any VM.
    fn take_up(&mut self) {
        let (now, rng) = (self.now(), &mut self.rng);
        let broken = std::mem::take(&mut self.broken);
        let (taken, kept): (Vec<_>, Vec<_>) =
            broken.into_iter().partition(|_| rng.random_bool(0.1));
        self.broken = kept;
        for mut stream in taken {
            let vm = self.rng.random_range(0..VMS);
            let mut own = self.testimony(vm);
            own.complete |= self.flaw == Some(Flaw::TrustsList);
            let others = (0..VMS).filter(|other| *other != vm);
            let answers: Vec<Answer> = others
                .map(|other| match self.vms[other].records.get(stream.key, now) {
                    Some(origin) => Answer::Record(origin.clone()),
                    None => Answer::Versions(self.testimony(other)),
                })
                .collect();
            let mut verdict = decide(&own, &answers);
            let has_followed = self.vms[vm].served.covers(WINDOW, now);
            if needs_log(&verdict, &answers, has_followed, true) {
                let log = match self.store.log.get(stream.key) {
                    _ if !self.is_store_up() => LogAnswer::Unread,
                    Some(origin) => LogAnswer::Record(origin.clone()),
                    None => LogAnswer::Absent,
                };
                verdict = decide_by_log(verdict, log, &own, &answers);
            }
            let serving = &self.serving[self.serving.len() - 1];
            let is_served = serving.contains(&stream.origin.software);
            if is_served && !stream.is_counted {
                stream.is_counted = true;
                self.taken_up += 1;
            }
            match verdict {
                Verdict::At(origin, _) if origin != stream.origin => self.mixed += 1,
                Verdict::At(origin, _) => {
                    self.went_on += usize::from(stream.is_counted);
                    self.vms[vm]
                        .records
                        .insert_own(stream.key, origin, stream.until);
                }
                Verdict::Unread => self.broken.push(stream),
                Verdict::Ambiguous | Verdict::Uninformed => {}
            }
        }
    }

    fn testimony(&self, vm: usize) -> Testimony {
        let (service, now) = (service(), self.now());
        let served = &self.vms[vm].served;
        let origin = |software| Origin {
            service: service.clone(),
            software,
        };
        let alone = served.alone_before(&service, WINDOW, now).cloned();
        Testimony {
            origins: self.within(vm).into_iter().map(origin).collect(),
            complete: served.covers_service(&service, WINDOW, now),
            alone: alone.into_iter().map(origin).collect(),
        }
    }
}
