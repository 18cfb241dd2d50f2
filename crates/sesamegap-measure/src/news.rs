//! What routers hear of engines and of each other, and the faults in it.

use crate::setup::{moment, name};
use crate::workload::{FAULT, SECOND, Scenario, WARM};
use crate::world::{Event, NOTICE, World};
use rand::RngExt;
use sesamegap_policy::Observation;
use sesamegap_wire::VmId;

/// Seconds between two load reports of an engine, and their usual age on arrival.
const REPORTS: (f64, f64) = (0.5, 0.3);
/// Seconds between two batches of cache events, and their usual delay.
const EVENTS: (f64, f64) = (0.2, 0.3);
/// Seconds between two digests of a router.
pub const DIGESTS: f64 = 1.0;
/// Seconds that an engine is down after a crash.
const DOWN: f64 = 3.0;
/// Seconds of the fault in which events are lost and late.
const GAPS: f64 = 20.0;

impl World<'_> {
    /// Arranges the scenario's faults.
    pub fn faults(&mut self) {
        match self.scenario {
            Scenario::Crash => {
                self.at(FAULT, Event::Down(0));
                for at in (0..self.workers.len()).filter(|at| at % 3 == 1) {
                    self.at(SECOND, Event::Down(at));
                }
            }
            Scenario::Herd => self.at(FAULT, Event::Herd),
            // One upstream at a quarter of its speed, from before measuring starts.
            Scenario::Slow => self.workers[1].per_token *= 4.0,
            _ => {}
        }
    }

    /// Tells a router that starts what it asks for first: the fleet and each engine's state.
    pub fn greet(&mut self, at: usize) {
        let routers = u32::try_from(self.site.routers).unwrap_or(1);
        let fleet = self.workers.iter().map(|w| w.entry.clone()).collect();
        let life = self.routers[at].life;
        self.after(0.001, Event::Tell(at, life, Observation::Routers(routers)));
        self.after(0.001, Event::Tell(at, life, Observation::Fleet(fleet)));
        for worker in 0..self.workers.len() {
            if self.workers[worker].up {
                let report = self.workers[worker].report(&self.model, 0.004);
                let id = self.workers[worker].entry.id.clone();
                self.after(
                    0.005,
                    Event::Tell(at, life, Observation::Report(id, report)),
                );
            }
        }
    }

    pub fn report(&mut self, worker: usize) {
        self.after(REPORTS.0, Event::Report(worker));
        if !self.workers[worker].up {
            return;
        }
        // Lag: reports are two seconds old.
        let lag = if self.scenario == Scenario::Lag {
            2.0
        } else {
            REPORTS.1
        };
        let report = self.workers[worker].report(&self.model, lag);
        let id = self.workers[worker].entry.id.clone();
        for router in 0..self.routers.len() {
            let news = Observation::Report(id.clone(), report.clone());
            let life = self.routers[router].life;
            self.after(lag, Event::Tell(router, life, news));
        }
    }

    pub fn feed(&mut self, worker: usize) {
        self.after(EVENTS.0, Event::Events(worker));
        if !self.workers[worker].up {
            return;
        }
        let batch = self.workers[worker].events();
        let id = self.workers[worker].entry.id.clone();
        let faulty = self.scenario == Scenario::Gaps && (FAULT..FAULT + GAPS).contains(&self.now);
        for router in 0..self.routers.len() {
            // Gaps: a third of the batches is lost to each router, the rest comes 2 s late.
            if faulty && self.rng.random::<f64>() < 0.33 {
                continue;
            }
            let delay = EVENTS.1 + if faulty { 2.0 } else { 0.0 };
            let arrives = (self.now + delay).max(self.routers[router].fed[worker]);
            self.routers[router].fed[worker] = arrives;
            let news = Observation::Cache(id.clone(), batch.clone());
            let life = self.routers[router].life;
            self.at(arrives, Event::Tell(router, life, news));
        }
    }

    pub fn digest(&mut self, router: usize) {
        self.after(DIGESTS, Event::Digest(router));
        let digest = self.routers[router].decider.digest(moment(self.now));
        let vm: VmId = name(&format!("vm-{router}"));
        for peer in (0..self.routers.len()).filter(|peer| *peer != router) {
            let news = Observation::Peer(vm.clone(), digest.clone());
            let life = self.routers[peer].life;
            self.after(self.site.across, Event::Tell(peer, life, news));
        }
    }

    pub fn down(&mut self, worker: usize) {
        for task in self.workers[worker].crash() {
            self.lose(worker, task, NOTICE);
        }
        self.after(DOWN, Event::Up(worker));
    }

    /// Restarts all routers at once; what they had under way is cut.
    pub fn herd(&mut self) {
        for at in 0..self.routers.len() {
            let life = self.routers[at].life + 1;
            self.routers[at] = self.router(at, life);
            self.greet(at);
        }
        self.ledger.cut(self.arrivals, WARM, self.now);
    }
}
