//! What the decisions see of the fleet, and the flight that comes of one.

use super::{Fleet, Flight, SharedFleet, Upstream};
use crate::catalogue::KvStore;
use crate::kept;
use crate::placing::{Asked, Found};
use sesamegap_policy::routing::shards::Division;
use sesamegap_policy::routing::{Availability, engines, plain};
use sesamegap_wire::{DomainId, Moment, ServiceId, UpstreamId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// A prompt's shape for placing.
#[derive(Debug, Clone)]
pub struct PromptShape {
    /// The model, if the request names one.
    pub model: SmolStr,
    /// Its shared prefixes.
    pub prompt: engines::Prompt,
}

/// A part of the engines, whose prompts one VM places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shard {
    /// How engines are divided.
    pub division: Division,
    /// Which part it is.
    pub number: u32,
}

/// What a request wants of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Selection<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// This VM's failure domain.
    pub domain: &'a DomainId,
    /// The stores of kept cache.
    pub stores: &'a [KvStore],
    /// Set for prompts.
    pub shape: Option<&'a PromptShape>,
    /// Upstreams already tried.
    pub tried: &'a [UpstreamId],
    /// Tells equals apart.
    pub spread: usize,
    /// Set if only engines of a shard may be chosen.
    pub shard: Option<Shard>,
    /// Set if it should run where the fewest others do.
    pub apart: bool,
}

impl Fleet {
    /// Numbers of the engines that long prompts have.
    pub fn for_long(&self, service: &ServiceId, stores: &[KvStore]) -> Vec<u64> {
        let divided: Vec<engines::EngineLocation> = self
            .of(service)
            .map(|engine| engines::EngineLocation {
                seed: engine.seed,
                by_store: stores
                    .iter()
                    .any(|store| store.domain == engine.entry.domain),
            })
            .collect();
        let long = engines::for_long(&divided).into_iter().zip(&divided);
        long.filter(|(long, _)| *long)
            .map(|(_, engine)| engine.seed)
            .collect()
    }

    /// Requests that all VMs have at an upstream, as far as is known.
    pub fn running(&self, upstream: &Upstream, now: Moment) -> u32 {
        upstream.running_told(now).max(self.running_here(upstream))
    }

    /// Requests that all VMs have at an upstream by their own counts.
    ///
    /// Unlike what the upstream last said of itself, this falls to zero as soon as it is empty.
    pub fn running_here(&self, upstream: &Upstream) -> u32 {
        let others = self
            .loads
            .total_at(upstream.life)
            .map_or(0, |held| held.running);
        upstream.running + others + self.placed.at(upstream.life).running
    }

    /// Tokens that all VMs have asked of a store and that have not arrived, as far as is known.
    pub fn on_way(&self, store: SocketAddr, per_ms: u64) -> u64 {
        let others = self.loads.in_flight_tokens(kept::load_key(store), per_ms);
        self.kept.in_flight_tokens(store) + others
    }

    /// Prompt tokens that all VMs have at an upstream and that are not read yet.
    pub fn unread(&self, upstream: &Upstream) -> u64 {
        let others = self
            .loads
            .total_at(upstream.life)
            .map_or(0, |held| held.unread);
        upstream.unread + others + self.placed.at(upstream.life).unread
    }

    /// Whether an upstream takes this request: a prompt must begin there before its weights are too old.
    pub fn openness_for(
        &self,
        upstream: &Upstream,
        shape: Option<&PromptShape>,
        now: Moment,
    ) -> Availability {
        if shape.is_none_or(|shape| self.may_begin(upstream, shape, now)) {
            self.openness(upstream, now)
        } else {
            Availability::Paused
        }
    }

    fn may_begin(&self, upstream: &Upstream, shape: &PromptShape, now: Moment) -> bool {
        let version = upstream.version(&shape.model).unwrap_or_default();
        let wait = engines::prefill_time(self.unread(upstream) + shape.prompt.tokens);
        self.namings().may_send(&shape.model, version, wait, now)
    }
}

impl SharedFleet {
    /// Chooses an upstream and counts the request there.
    pub fn choose(&self, selection: &Selection<'_>, now: Moment) -> Option<Flight> {
        let mut fleet = self.lock();
        let chosen = fleet.choose(selection, now)?;
        self.begin(&mut fleet, selection, chosen, now)
    }

    /// Takes the choice of a shard's owner, unless this VM knows that the engine does not take the request.
    pub fn take(
        &self,
        selection: &Selection<'_>,
        found: Found,
        asked: Asked,
        now: Moment,
    ) -> Option<Flight> {
        let mut flight = {
            let mut fleet = self.lock();
            let engine = fleet.get(&found.engine)?;
            let state = fleet.openness_for(engine, selection.shape, now);
            let is_usable = state == Availability::Open && engine.life == found.life;
            if !is_usable || selection.tried.contains(&found.engine) {
                return None;
            }
            let chosen = Chosen {
                id: found.engine,
                source: found.source,
                at_store: found.at_store,
                engines: fleet.of(selection.service).count(),
            };
            let served = found
                .served_ms
                .map(|ms| now.less(Duration::from_millis(u64::from(ms))));
            let mut flight = self.begin(&mut fleet, selection, chosen, now)?;
            flight.running = found.running;
            flight.ahead = found.ahead;
            flight.served = served;
            flight
        };
        flight.share(asked);
        Some(flight)
    }

    /// Counts a request at the upstream that was chosen.
    fn begin(
        &self,
        fleet: &mut Fleet,
        selection: &Selection<'_>,
        chosen: Chosen,
        now: Moment,
    ) -> Option<Flight> {
        let upstream = fleet.get(&chosen.id)?;
        let flight = Flight {
            fleet: self.clone(),
            addr: upstream.entry.addr,
            domain: upstream.entry.domain.clone(),
            model: selection.shape.map(|shape| shape.model.clone()),
            weights: selection
                .shape
                .and_then(|shape| upstream.version(&shape.model)),
            source: chosen.source,
            at_store: chosen.at_store,
            on_way: None,
            engines: chosen.engines,
            running: fleet.running(upstream, now),
            ahead: fleet.unread(upstream),
            born: upstream.entry.born,
            permit: None,
            seed: upstream.seed,
            life: upstream.life,
            served: None,
            asked: None,
            prefixes: selection
                .shape
                .map_or_else(Vec::new, |shape| shape.prompt.prefixes.clone()),
            unread: selection.shape.map_or(0, |shape| shape.prompt.tokens),
            id: chosen.id,
        };
        if let Some(upstream) = fleet.get_mut(&flight.id) {
            upstream.begin(flight.unread);
        }
        Some(flight)
    }
}

/// The number of the store of kept cache that an engine in a failure domain uses; zero for none.
fn store_number(stores: &[KvStore], domain: &DomainId) -> u64 {
    KvStore::nearest(stores, domain).map_or(0, |store| engines::seed(store.domain.as_str()))
}

/// An upstream that was chosen.
#[derive(Debug)]
pub struct Chosen {
    /// The upstream.
    pub id: UpstreamId,
    /// Engine that holds the shared prefix, if another.
    pub source: Option<SocketAddr>,
    /// Whether it uses the store of kept cache that the prompt's home uses.
    pub at_store: bool,
    /// Upstreams of the service.
    pub engines: usize,
}

impl Fleet {
    /// Chooses an upstream.
    pub fn choose(&mut self, selection: &Selection<'_>, now: Moment) -> Option<Chosen> {
        if selection.shard.is_some() {
            self.recall.set_complete();
        }
        self.pick(selection, now)
    }

    fn pick(&self, selection: &Selection<'_>, now: Moment) -> Option<Chosen> {
        let in_shard = |upstream: &&Upstream| {
            let shard = selection.shard;
            shard.is_none_or(|shard| shard.division.shard(upstream.seed) == shard.number)
        };
        let open: Vec<&Upstream> = self
            .of(selection.service)
            .filter(in_shard)
            .filter(|upstream| !selection.tried.contains(&upstream.id))
            .collect();
        if selection.apart {
            let id = self.emptiest(&open, selection, now)?.id.clone();
            return Some(Chosen {
                id,
                source: None,
                at_store: false,
                engines: 0,
            });
        }
        let Some(shape) = selection.shape else {
            let at = self.choose_plain(&open, selection, now)?;
            return Some(Chosen {
                id: open[at].id.clone(),
                source: None,
                at_store: false,
                engines: 0,
            });
        };
        let long = self.for_long(selection.service, selection.stores);
        let views: Vec<engines::Engine> = open
            .iter()
            .map(|upstream| {
                let version = upstream.version(&shape.model).unwrap_or_default();
                engines::Engine {
                    seed: upstream.seed,
                    life: upstream.life,
                    near: upstream.entry.domain == *selection.domain,
                    running: self.running(upstream, now),
                    slots: upstream.entry.slots,
                    store: store_number(selection.stores, &upstream.entry.domain),
                    waiting: upstream.waiting_now(now),
                    unread: self.unread(upstream),
                    version: version.0,
                    long: long.contains(&upstream.seed),
                    state: self.openness_for(upstream, Some(shape), now),
                }
            })
            .collect();
        let newest = self.namings().target_version(&shape.model, now).0;
        let choice = engines::choose(&shape.prompt, &views, newest, &self.recall)?;
        Some(Chosen {
            id: open[choice.at].id.clone(),
            source: choice.source.map(|no| open[no].entry.addr),
            at_store: choice.at_store,
            engines: self.of(selection.service).count(),
        })
    }

    /// The upstream with the fewest requests, among those that answer and hold the newest weights if any do.
    fn emptiest<'a>(
        &self,
        open: &[&'a Upstream],
        selection: &Selection<'_>,
        now: Moment,
    ) -> Option<&'a Upstream> {
        let version = |upstream: &Upstream| {
            let shape = selection.shape?;
            upstream.version(&shape.model)
        };
        let usable = open.iter().filter_map(|upstream| {
            let state = self.openness_for(upstream, selection.shape, now);
            (state != Availability::Paused).then_some((state, *upstream))
        });
        let best = usable.min_by_key(|(state, upstream)| {
            let newest = std::cmp::Reverse(version(upstream));
            let running = self.running(upstream, now);
            (*state, newest, running, upstream.seed)
        });
        best.map(|(_, upstream)| upstream)
    }

    /// The shard of a prompt's home among the engines that take it.
    pub fn shard_of_home(&self, selection: &Selection<'_>, now: Moment) -> Option<Shard> {
        let shape = selection.shape?;
        let long = self.for_long(selection.service, selection.stores);
        let takes = |upstream: &&Upstream| {
            self.openness_for(upstream, Some(shape), now) == Availability::Open
                && !selection.tried.contains(&upstream.id)
        };
        let open = self.of(selection.service).filter(takes);
        let homes = open.map(|upstream| (upstream.seed, long.contains(&upstream.seed)));
        let home = engines::inner_home(&shape.prompt, homes)?;
        let division = Division::of(self.of(selection.service).count());
        Some(Shard {
            division,
            number: division.shard(home),
        })
    }

    fn choose_plain(
        &self,
        open: &[&Upstream],
        selection: &Selection<'_>,
        now: Moment,
    ) -> Option<usize> {
        let paces = open.iter().filter_map(|upstream| upstream.pace);
        let fastest = paces.fold(f64::INFINITY, f64::min);
        let views: Vec<plain::Worker> = open
            .iter()
            .map(|upstream| plain::Worker {
                near: upstream.entry.domain == *selection.domain,
                busy: self.running(upstream, now) + upstream.waiting_now(now),
                slots: upstream.entry.slots,
                slowness: upstream.pace.map_or(1.0, |pace| pace / fastest),
                faults: upstream.faults,
                state: self.openness(upstream, now),
            })
            .collect();
        plain::choose(&views, selection.spread)
    }
}
