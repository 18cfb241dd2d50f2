//! Chooses an upstream for a request, from the fleet's state and the routing policy.

use super::admission::{Admission, NotChosen};
use super::{Fleet, Flight, ServiceIndex, SharedFleet, Upstream};
use crate::catalogue::KvStore;
use crate::kept;
use crate::placing::{ChosenEngine, Terms, TrackedPrompt};
use sesamegap_policy::admission::Backlog;
use sesamegap_policy::routing::shards::Division;
use sesamegap_policy::routing::speeds::Speed;
use sesamegap_policy::routing::{Availability, candidates, engines, plain};
use sesamegap_wire::{DomainId, Moment, ServiceId, SoftwareVersion, UpstreamId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// The properties of a prompt that its placement depends on.
#[derive(Debug, Clone)]
pub struct PromptShape {
    /// Its model.
    pub model: SmolStr,
    /// Its shared prefixes and length.
    pub prompt: engines::Prompt,
}

/// A shard of the engines, for which one VM places all prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Shard {
    /// Division of the engines into shards.
    pub division: Division,
    /// Number of the shard.
    pub number: u32,
}

/// Criteria for choosing an upstream for a request.
#[derive(Debug, Clone, Copy)]
pub struct Selection<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// This VM's failure domain.
    pub domain: &'a DomainId,
    /// The kept-KV stores.
    pub stores: &'a [KvStore],
    /// The prompt, or `None` for other requests.
    pub shape: Option<&'a PromptShape>,
    /// Upstreams that are excluded because they were already tried.
    pub tried: &'a [UpstreamId],
    /// Number that decides between equally good upstreams.
    pub tie_breaker: usize,
    /// Shard to which the choice is restricted, if any.
    pub shard: Option<Shard>,
    /// Whether to choose the upstream with the fewest running requests.
    pub least_loaded: bool,
    /// Software version that the upstream must run, if the request goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
    /// What admission depends on; without it the request is placed whatever the backlog.
    pub terms: Option<&'a Terms>,
    /// Time until its caller gives up.
    pub left: Duration,
    /// Whether no VM answers that knows the prompts of others.
    pub alone: bool,
}

impl Fleet {
    /// Running requests of all VMs at an upstream, from its reported load and the VMs' counts.
    pub fn running(&self, upstream: &Upstream, now: Moment) -> u32 {
        upstream
            .reported_running(now)
            .max(self.counted_running(upstream))
    }

    /// Running requests of all VMs at an upstream, from the VMs' counts alone.
    ///
    /// Unlike the upstream's reported load, this falls to zero as soon as it is idle.
    pub fn counted_running(&self, upstream: &Upstream) -> u32 {
        let others = self
            .loads
            .total_at(upstream.life)
            .map_or(0, |held| held.running);
        let placed = self.placements.at(upstream.life).running;
        upstream
            .running
            .saturating_add(others)
            .saturating_add(placed)
    }

    /// Tokens that all known VMs have requested from a kept-KV store and that have not arrived.
    pub fn pending_store_tokens(&self, store: SocketAddr, per_ms: u64) -> u64 {
        let others = self.loads.in_flight_tokens(kept::load_key(store), per_ms);
        self.kept.in_flight_tokens(store) + others
    }

    /// Prompt tokens of all VMs at an upstream that are not prefilled yet.
    pub fn unread(&self, upstream: &Upstream) -> u64 {
        let others = self
            .loads
            .total_at(upstream.life)
            .map_or(0, |held| held.unread);
        let placed = self.placements.at(upstream.life).unread;
        upstream
            .unread
            .saturating_add(others)
            .saturating_add(placed)
    }

    /// Whether an upstream accepts this request: a prompt must be able to start there before the bound on the age of
    /// the upstream's weights.
    pub fn availability_for(
        &self,
        upstream: &Upstream,
        shape: Option<&PromptShape>,
        now: Moment,
    ) -> Availability {
        let is_closed = self.closed_until(upstream, now).is_some();
        if !is_closed && shape.is_none_or(|shape| self.may_start(upstream, shape, now)) {
            self.availability(upstream, now)
        } else {
            Availability::Paused
        }
    }

    /// Until when an upstream takes no requests of this VM for the limit that it names; `None` if it does.
    fn closed_until(&self, upstream: &Upstream, now: Moment) -> Option<Moment> {
        self.limits.lock().closed_until(upstream.life, now)
    }

    /// When the first of a service's upstreams takes requests of this VM again, if all that would take some are closed for
    /// their limits.
    pub fn all_closed_until(&self, service: &ServiceId, now: Moment) -> Option<Moment> {
        let mut first: Option<Moment> = None;
        for upstream in self.of_service(service) {
            if self.availability(upstream, now) == Availability::Paused {
                continue;
            }
            let until = self.closed_until(upstream, now)?;
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    fn may_start(&self, upstream: &Upstream, shape: &PromptShape, now: Moment) -> bool {
        let version = upstream.version(&shape.model).unwrap_or_default();
        let tokens = self.unread(upstream).saturating_add(shape.prompt.tokens);
        let wait = engines::prefill_time(tokens, self.speed(upstream, now));
        self.namings().may_send(&shape.model, version, wait, now)
    }
}

impl SharedFleet {
    /// Chooses an upstream and counts the request towards its load.
    ///
    /// # Errors
    /// If no upstream is available, or the request is not admitted now.
    pub fn choose(&self, selection: &Selection<'_>, now: Moment) -> Result<Flight, NotChosen> {
        let mut fleet = self.lock();
        let chosen = fleet.choose(selection, now)?;
        let flight = self.begin(&mut fleet, selection, chosen, now);
        flight.ok_or(NotChosen::NoUpstream)
    }

    /// Accepts the placement by a shard's owner, unless this VM knows that the engine does not accept the request.
    pub fn accept_placement(
        &self,
        selection: &Selection<'_>,
        found: ChosenEngine,
        tracked_prompt: TrackedPrompt,
        now: Moment,
    ) -> Option<Flight> {
        let mut flight = {
            let mut fleet = self.lock();
            let index = fleet.index(selection.service, selection.stores, now);
            let engine = fleet.get(&found.engine)?;
            let state = fleet.availability_for(engine, selection.shape, now);
            let is_usable = state == Availability::Open && engine.life == found.life;
            if !is_usable || !fleet.accepts(selection, engine) {
                return None;
            }
            let chosen = Chosen {
                id: found.engine,
                source: found.source,
                at_store: found.at_store,
                engines: index.ids.len(),
            };
            let served = found
                .served_ms
                .map(|ms| now.saturating_sub(Duration::from_millis(u64::from(ms))));
            let mut flight = self.begin(&mut fleet, selection, chosen, now)?;
            flight.running = found.running;
            flight.ahead = found.ahead;
            flight.served = served;
            flight
        };
        tracked_prompt.record_placed(&flight, selection.left, now);
        flight.set_owner(tracked_prompt);
        Some(flight)
    }

    /// Counts a request towards the load of the chosen upstream.
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
            sent_at: now,
            running: fleet.running(upstream, now),
            ahead: fleet.unread(upstream),
            born: upstream.entry.born,
            software: fleet.software_of(upstream),
            gate_pass: None,
            send_permit: None,
            permit: None,
            seed: upstream.seed,
            life: upstream.life,
            served: None,
            tracked_prompt: None,
            prefixes: selection
                .shape
                .map_or_else(Vec::new, |shape| shape.prompt.prefixes.clone()),
            unread: selection.shape.map_or(0, |shape| shape.prompt.tokens),
            priority: selection.terms.map_or(0, |terms| terms.priority),
            id: chosen.id,
        };
        fleet.begin(&flight.id, flight.unread, flight.priority);
        Some(flight)
    }
}

/// The number of the kept-KV store that an engine in a failure domain uses, or zero if there is none.
fn store_number(stores: &[KvStore], domain: &DomainId) -> u64 {
    KvStore::nearest(stores, domain).map_or(0, |store| engines::seed(store.domain.as_str()))
}

/// The result of choosing an upstream.
#[derive(Debug)]
pub struct Chosen {
    /// The chosen upstream.
    pub id: UpstreamId,
    /// Engine that has the shared prefix in its cache, if it is another one.
    pub source: Option<SocketAddr>,
    /// Whether the upstream uses the same kept-KV store as the prompt's home engine.
    pub at_store: bool,
    /// Number of engines of the service, for a prompt; otherwise zero.
    pub engines: usize,
}

impl Fleet {
    /// Chooses an upstream. For a choice within a shard, the cache locations are marked as complete.
    ///
    /// # Errors
    /// If no upstream is available, or the request is not admitted now.
    pub fn choose(&mut self, selection: &Selection<'_>, now: Moment) -> Result<Chosen, NotChosen> {
        if selection.shard.is_some() {
            self.cache_locations.set_complete();
            let outer = selection
                .shape
                .and_then(|shape| shape.prompt.prefixes.first());
            if let Some(outer) = outer {
                self.cache_locations.record_prompt(outer.hash, now);
            }
        }
        self.pick(selection, now)
    }

    fn pick(&mut self, selection: &Selection<'_>, now: Moment) -> Result<Chosen, NotChosen> {
        let index = self.index(selection.service, selection.stores, now);
        let mut admission = std::mem::take(&mut self.admission);
        let chosen = self.pick_admitted(&index, &mut admission, selection, now);
        self.admission = admission;
        chosen
    }

    fn pick_admitted(
        &self,
        index: &ServiceIndex,
        admission: &mut Admission,
        selection: &Selection<'_>,
        now: Moment,
    ) -> Result<Chosen, NotChosen> {
        let candidates = self.candidates(index, selection, now);
        let open = candidates.into_iter().filter_map(|no| {
            let upstream = self.get(&index.ids[no])?;
            let accepted = self.accepts(selection, upstream);
            accepted.then_some((upstream, index.seats[no].long))
        });
        let mut open: Vec<(&Upstream, bool)> = open.collect();
        if selection.begins_stream() && index.software.len() > 1 {
            self.reserve_room(&mut open, selection, now);
        }
        if selection.least_loaded {
            let least = self.least_loaded(&open, selection, now);
            let id = least.ok_or(NotChosen::NoUpstream)?.id.clone();
            return Ok(Chosen {
                id,
                source: None,
                at_store: false,
                engines: 0,
            });
        }
        let Some(shape) = selection.shape else {
            let at = self.choose_plain(&open, selection, now);
            let at = at.ok_or(NotChosen::NoUpstream)?;
            return Ok(Chosen {
                id: open[at].0.id.clone(),
                source: None,
                at_store: false,
                engines: 0,
            });
        };
        let mut views: Vec<engines::Engine> = open
            .iter()
            .map(|(upstream, long)| {
                let version = upstream.version(&shape.model).unwrap_or_default();
                let speed = self.speed(upstream, now);
                engines::Engine {
                    seed: upstream.seed,
                    life: upstream.life,
                    near: upstream.entry.domain == *selection.domain,
                    running: self.running(upstream, now),
                    slots: upstream.entry.slots,
                    store: store_number(selection.stores, &upstream.entry.domain),
                    waiting: upstream.reported_waiting(now),
                    unread: self.unread(upstream),
                    version: version.0,
                    long: *long,
                    state: self.availability_for(upstream, Some(shape), now),
                    // Costs by speed would send prompts away from slow homes that hold their prefixes, and near
                    // saturation the prefixes that are prefilled again cost more than the wait.
                    speed: Speed::USUAL,
                    // Other VMs that choose the home know other speeds.
                    weight: selection.shard.map_or(Speed::USUAL, |_| speed),
                }
            })
            .collect();
        let backlogs: Vec<Backlog> = match selection.terms {
            Some(terms) => open
                .iter()
                .map(|(upstream, _)| self.backlog(upstream, terms.priority, now))
                .collect(),
            None => Vec::new(),
        };
        admission.admit(selection, &mut views, &backlogs, now)?;
        let newest = self.namings().target_version(&shape.model, now).0;
        let choice = engines::choose(&shape.prompt, &views, newest, &self.cache_locations);
        let choice = choice.ok_or(NotChosen::NoUpstream)?;
        Ok(Chosen {
            id: open[choice.at].0.id.clone(),
            source: choice.source.map(|no| open[no].0.entry.addr),
            at_store: choice.at_store,
            engines: index.ids.len(),
        })
    }

    /// Places in the index of the upstreams to compare.
    fn candidates(
        &self,
        index: &ServiceIndex,
        selection: &Selection<'_>,
        now: Moment,
    ) -> Vec<usize> {
        let all = 0..index.ids.len();
        match (selection.shard, selection.shape) {
            (Some(shard), _) if shard.division == index.division => {
                index.shard(shard.number).collect()
            }
            // The asking VM knows another number of engines.
            (Some(shard), _) => all
                .filter(|no| shard.division.shard(index.seats[*no].seed) == shard.number)
                .collect(),
            (None, Some(shape)) if !selection.least_loaded => {
                candidates::nearest(&shape.prompt, &index.seats, |no| {
                    self.is_open(&index.ids[no], selection, shape, now)
                })
            }
            (None, _) => all.collect(),
        }
    }

    /// Whether an upstream accepts the prompt of a selection.
    fn is_open(
        &self,
        id: &UpstreamId,
        selection: &Selection<'_>,
        shape: &PromptShape,
        now: Moment,
    ) -> bool {
        let is_open = |upstream| {
            self.availability_for(upstream, Some(shape), now) == Availability::Open
                && self.accepts(selection, upstream)
        };
        self.get(id).is_some_and(is_open)
    }

    /// The upstream with the fewest running requests.
    ///
    /// Open upstreams take precedence over suspect ones, and newer weights over older ones.
    fn least_loaded<'a>(
        &self,
        open: &[(&'a Upstream, bool)],
        selection: &Selection<'_>,
        now: Moment,
    ) -> Option<&'a Upstream> {
        let version = |upstream: &Upstream| {
            let shape = selection.shape?;
            upstream.version(&shape.model)
        };
        let usable = open.iter().filter_map(|(upstream, _)| {
            let state = self.availability_for(upstream, selection.shape, now);
            (state != Availability::Paused).then_some((state, *upstream))
        });
        let best = usable.min_by_key(|(state, upstream)| {
            let newest = std::cmp::Reverse(version(upstream));
            let running = self.running(upstream, now);
            (*state, newest, running, upstream.seed)
        });
        best.map(|(_, upstream)| upstream)
    }

    /// The shard of a prompt's home engine, among the engines that accept the prompt.
    pub fn home_shard(&mut self, selection: &Selection<'_>, now: Moment) -> Option<Shard> {
        let shape = selection.shape?;
        let index = self.index(selection.service, selection.stores, now);
        let home = candidates::home(&shape.prompt, &index.seats, |no| {
            self.is_open(&index.ids[no], selection, shape, now)
        })?;
        Some(Shard {
            division: index.division,
            number: index.division.shard(index.seats[home].seed),
        })
    }

    /// The shard of the engine that would be a prompt's home without the engines of its home's shard.
    pub fn second_shard(
        &mut self,
        selection: &Selection<'_>,
        first: Shard,
        now: Moment,
    ) -> Option<Shard> {
        let shape = selection.shape?;
        let index = self.index(selection.service, selection.stores, now);
        let shard = |no: usize| index.division.shard(index.seats[no].seed);
        let home = candidates::home(&shape.prompt, &index.seats, |no| {
            shard(no) != first.number && self.is_open(&index.ids[no], selection, shape, now)
        })?;
        Some(Shard {
            division: index.division,
            number: shard(home),
        })
    }

    fn choose_plain(
        &self,
        open: &[(&Upstream, bool)],
        selection: &Selection<'_>,
        now: Moment,
    ) -> Option<usize> {
        let response_times = open.iter().filter_map(|(upstream, _)| upstream.response_ms);
        let fastest = response_times.fold(f64::INFINITY, f64::min);
        let views: Vec<plain::Worker> = open
            .iter()
            .map(|(upstream, _)| plain::Worker {
                near: upstream.entry.domain == *selection.domain,
                busy: self
                    .running(upstream, now)
                    .saturating_add(upstream.reported_waiting(now)),
                slots: upstream.entry.slots,
                slowness: upstream.response_ms.map_or(1.0, |ms| ms / fastest),
                faults: upstream.failure_rate,
                state: self.availability_for(upstream, None, now),
            })
            .collect();
        plain::choose(&views, selection.tie_breaker)
    }
}
