//! Upstreams by service, in the form in which requests look for one.
//!
//! A list of 10,000 upstreams changes several times a second while some of them are replaced, and requests come as
//! often. So an index of a large service is built again only after a while: an upstream that has gone meanwhile is
//! found to be unavailable when it is about to be chosen, and a new one waits for its first requests.

use super::{Fleet, Upstream};
use crate::catalogue::KvStore;
use sesamegap_policy::routing::candidates::{COMPARED, Seat};
use sesamegap_policy::routing::engines::{EngineLocation, for_long};
use sesamegap_policy::routing::shards::Division;
use sesamegap_wire::{DomainId, Moment, ServiceId, SoftwareVersion, UpstreamId};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Minimum age of a large service's index before it is built again.
const MIN_AGE: Duration = Duration::from_millis(200);

/// The upstreams of a service, ordered by shard.
#[derive(Debug)]
pub struct ServiceIndex {
    /// Their ids.
    pub ids: Vec<UpstreamId>,
    /// Their seeds and uses, in the order of `ids`.
    pub seats: Vec<Seat>,
    /// Their division into shards.
    pub division: Division,
    /// Their software versions, without repeats.
    pub software: Vec<SoftwareVersion>,
    store_domains: Vec<DomainId>,
    generation: u64,
    built: Moment,
}

impl ServiceIndex {
    fn new(fleet: &Fleet, service: &ServiceId, stores: &[KvStore], now: Moment) -> Self {
        let mut members: Vec<&Upstream> = fleet.of_service(service).collect();
        let division = Division::of(members.len());
        members.sort_by_key(|up| division.shard(up.seed));
        let locations: Vec<EngineLocation> = members
            .iter()
            .map(|up| EngineLocation {
                seed: up.seed,
                by_store: stores.iter().any(|store| store.domain == up.entry.domain),
            })
            .collect();
        let long = for_long(&locations).into_iter();
        let seats = long.zip(&locations).map(|(long, location)| Seat {
            seed: location.seed,
            long,
        });
        let mut software: Vec<SoftwareVersion> = Vec::new();
        for member in &members {
            if !software.contains(&member.entry.software) {
                software.push(member.entry.software.clone());
            }
        }
        Self {
            seats: seats.collect(),
            ids: members.iter().map(|up| up.id.clone()).collect(),
            division,
            software,
            store_domains: stores.iter().map(|store| store.domain.clone()).collect(),
            generation: fleet.generation,
            built: now,
        }
    }

    /// Places of the upstreams of a shard.
    pub fn shard(&self, number: u32) -> Range<usize> {
        let shard = |seat: &Seat| self.division.shard(seat.seed);
        let start = self.seats.partition_point(|seat| shard(seat) < number);
        let end = self.seats.partition_point(|seat| shard(seat) <= number);
        start..end
    }

    fn is_current(&self, generation: u64, stores: &[KvStore], now: Moment) -> bool {
        let is_recent = self.ids.len() > COMPARED && now.since(self.built) < MIN_AGE;
        let domains = stores.iter().map(|store| &store.domain);
        (is_recent || self.generation == generation) && self.store_domains.iter().eq(domains)
    }
}

impl Fleet {
    /// The index of a service, built again if it is outdated.
    pub fn index(
        &mut self,
        service: &ServiceId,
        stores: &[KvStore],
        now: Moment,
    ) -> Arc<ServiceIndex> {
        if let Some(index) = self.indices.get(service)
            && index.is_current(self.generation, stores, now)
        {
            return Arc::clone(index);
        }
        let index = Arc::new(ServiceIndex::new(self, service, stores, now));
        let former = self.indices.insert(service.clone(), Arc::clone(&index));
        if let Some(former) = former {
            self.record_versions(service, &former.software, now);
        }
        index
    }
}
