//! What the decisions see of the fleet, and the flight that comes of one.

use super::{Fleet, Flight, SharedFleet, Upstream};
use crate::peers::STORE;
use sesamegap_policy::routing::{Openness, engines, plain};
use sesamegap_wire::{DomainId, Moment, ServiceId, UpstreamId};
use smol_str::SmolStr;

/// A prompt's shape for placing.
#[derive(Debug, Clone)]
pub struct PromptShape {
    /// The model, if the request names one.
    pub model: SmolStr,
    /// Its shared prefixes.
    pub prompt: engines::Prompt,
}

/// What a request wants of an upstream.
#[derive(Debug)]
pub struct Selection<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// This VM's failure domain.
    pub domain: &'a DomainId,
    /// The failure domain of the store of kept cache.
    pub store: Option<&'a DomainId>,
    /// Set for prompts.
    pub shape: Option<&'a PromptShape>,
    /// Upstreams already tried.
    pub tried: &'a [UpstreamId],
    /// Tells equals apart.
    pub spread: usize,
}

impl Fleet {
    /// Numbers of the engines that long prompts have.
    pub fn for_long(&self, service: &ServiceId, store: Option<&DomainId>) -> Vec<u64> {
        let divided: Vec<engines::Divided> = self
            .of(service)
            .map(|engine| engines::Divided {
                seed: engine.seed,
                by_store: Some(&engine.entry.domain) == store,
            })
            .collect();
        let long = engines::for_long(&divided).into_iter().zip(&divided);
        long.filter(|(long, _)| *long)
            .map(|(_, engine)| engine.seed)
            .collect()
    }

    /// Requests that all VMs have at an upstream, as far as is known.
    pub fn running(&self, upstream: &Upstream, now: Moment) -> u32 {
        let others = self.loads.at(upstream.seed).map_or(0, |held| held.running);
        upstream.running_told(now).max(upstream.running + others)
    }

    /// Requests that all VMs have at an upstream by their own counts.
    ///
    /// Unlike what the upstream last said of itself, this falls to zero as soon as it is empty.
    pub fn running_here(&self, upstream: &Upstream) -> u32 {
        let others = self.loads.at(upstream.seed).map_or(0, |held| held.running);
        upstream.running + others
    }

    /// Tokens that all VMs have just sent through the store of kept cache.
    pub fn moving(&self, now: Moment) -> u64 {
        let others = self.loads.at(STORE).map_or(0, |held| held.unread);
        self.moves.sum(now) + others
    }

    /// Prompt tokens that all VMs have at an upstream and that are not read yet.
    pub fn unread(&self, upstream: &Upstream) -> u64 {
        let others = self.loads.at(upstream.seed).map_or(0, |held| held.unread);
        upstream.unread + others
    }
}

impl SharedFleet {
    /// Chooses an upstream and counts the request there.
    pub fn choose(&self, selection: &Selection<'_>, now: Moment) -> Option<Flight> {
        let mut fleet = self.lock();
        let open: Vec<&Upstream> = fleet
            .of(selection.service)
            .filter(|upstream| !selection.tried.contains(&upstream.id))
            .collect();
        let near = |upstream: &Upstream| upstream.entry.domain == *selection.domain;
        let (at, source) = match selection.shape {
            Some(shape) => {
                let version = |up: &Upstream| up.version(&shape.model).unwrap_or_default();
                let long = fleet.for_long(selection.service, selection.store);
                let views: Vec<engines::Engine> = open
                    .iter()
                    .map(|upstream| engines::Engine {
                        seed: upstream.seed,
                        near: near(upstream),
                        running: fleet.running(upstream, now),
                        waiting: upstream.waiting_now(now),
                        unread: fleet.unread(upstream),
                        version: version(upstream).0,
                        long: long.contains(&upstream.seed),
                        state: if fleet.is_outdated(&shape.model, version(upstream), now) {
                            Openness::Paused
                        } else {
                            upstream.openness(now)
                        },
                    })
                    .collect();
                let newest = fleet.wanted(&shape.model, now).0;
                let choice = engines::choose(&shape.prompt, &views, newest, &fleet.recall)?;
                let source = choice.source.map(|no| open[no].entry.addr);
                (choice.at, source)
            }
            None => (choose_plain(&fleet, &open, selection, now, near)?, None),
        };
        let chosen = open[at];
        let flight = Flight {
            fleet: self.clone(),
            id: chosen.id.clone(),
            addr: chosen.entry.addr,
            domain: chosen.entry.domain.clone(),
            weights: selection
                .shape
                .and_then(|shape| chosen.version(&shape.model)),
            source,
            running: fleet.running(chosen, now),
            ahead: fleet.unread(chosen),
            seed: chosen.seed,
            prefixes: selection
                .shape
                .map_or_else(Vec::new, |shape| shape.prompt.prefixes.clone()),
            unread: selection.shape.map_or(0, |shape| shape.prompt.tokens),
        };
        if let Some(upstream) = fleet.get_mut(&flight.id) {
            upstream.begin(flight.unread);
        }
        Some(flight)
    }
}

fn choose_plain(
    fleet: &Fleet,
    open: &[&Upstream],
    selection: &Selection<'_>,
    now: Moment,
    near: impl Fn(&Upstream) -> bool,
) -> Option<usize> {
    let paces = open.iter().filter_map(|upstream| upstream.pace);
    let fastest = paces.fold(f64::INFINITY, f64::min);
    let views: Vec<plain::Worker> = open
        .iter()
        .map(|upstream| plain::Worker {
            near: near(upstream),
            busy: fleet.running(upstream, now) + upstream.waiting_now(now),
            slots: upstream.entry.slots,
            slowness: upstream.pace.map_or(1.0, |pace| pace / fastest),
            faults: upstream.faults,
            state: upstream.openness(now),
        })
        .collect();
    plain::choose(&views, selection.spread)
}
