//! The fleet list as a VM sends it to a peer that has none.
//!
//! Names that many entries share are sent once. An entry takes about 55 bytes, a sixth of its record in the store, so
//! that a VM with a link of 20 Mbit/s receives 10,000 upstreams in a quarter of a second.

use crate::fleet::{Entry, Fleet};
use crate::ports::{Batch, Record, Weights};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{
    DomainId, Incarnation, LogPosition, ServiceId, SoftwareVersion, UpstreamId, WeightsVersion,
};
use smol_str::SmolStr;
use std::hash::Hash;
use std::net::SocketAddr;

/// All upstreams of the fleet list up to a position of its log.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    next: LogPosition,
    services: Vec<ServiceId>,
    domains: Vec<DomainId>,
    models: Vec<SmolStr>,
    upstreams: Vec<PackedUpstream>,
    #[serde(default)]
    software: Vec<SoftwareVersion>,
}

/// An upstream's entry; shared names are indices into the lists of the snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PackedUpstream {
    id: UpstreamId,
    /// Position of its newest record.
    at: LogPosition,
    addr: SocketAddr,
    service: usize,
    domain: usize,
    slots: u32,
    leaving: bool,
    /// Whether its entry was removed while the store was unreachable and may reappear.
    lapsed: bool,
    beat: u64,
    born: Option<Incarnation>,
    weights: Vec<(usize, WeightsVersion)>,
    #[serde(default)]
    software: usize,
}

/// Distinct names in the order of their first use.
#[derive(Debug)]
struct Names<T> {
    list: Vec<T>,
    indices: FxHashMap<T, usize>,
}

impl<T: Clone + Eq + Hash> Names<T> {
    fn new() -> Self {
        Self {
            list: Vec::new(),
            indices: FxHashMap::default(),
        }
    }

    fn index(&mut self, name: &T) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.list.len();
        self.list.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }
}

impl FleetSnapshot {
    /// Packs the upstreams that are listed up to a position.
    pub fn of(fleet: &Fleet, next: LogPosition) -> Self {
        let mut services = Names::new();
        let mut domains = Names::new();
        let mut models = Names::new();
        let mut software = Names::new();
        let upstreams = fleet
            .listed()
            .map(|(upstream, at)| {
                let entry = &upstream.entry;
                let weights = entry.weights.iter();
                PackedUpstream {
                    id: upstream.id.clone(),
                    at,
                    addr: entry.addr,
                    service: services.index(&entry.service),
                    domain: domains.index(&entry.domain),
                    slots: entry.slots,
                    leaving: entry.leaving,
                    lapsed: upstream.belief.is_lapsed(),
                    beat: entry.beat,
                    born: entry.born,
                    weights: weights
                        .map(|held| (models.index(&held.model), held.version))
                        .collect(),
                    software: software.index(&entry.software),
                }
            })
            .collect();
        Self {
            next,
            services: services.list,
            domains: domains.list,
            models: models.list,
            upstreams,
            software: software.list,
        }
    }

    /// The position up to which the list is complete.
    pub fn next(&self) -> LogPosition {
        self.next
    }

    /// Converts the snapshot into records of the table; `None` if an index has no name.
    pub fn into_batch(self) -> Option<Batch> {
        let mut records = Vec::with_capacity(self.upstreams.len());
        for packed in &self.upstreams {
            let entry = self.entry(packed)?;
            let listed = Record::Upstream(packed.id.clone(), Box::new(entry));
            if packed.lapsed {
                // The receiver decides by its own view of the store whether the entry may reappear.
                let before = packed.at.previous().unwrap_or(packed.at);
                records.push((before, listed));
                records.push((packed.at, Record::Removed(packed.id.clone())));
            } else {
                records.push((packed.at, listed));
            }
        }
        Some(Batch {
            records,
            next: self.next,
            end: self.next,
        })
    }

    fn entry(&self, packed: &PackedUpstream) -> Option<Entry> {
        let weights = packed.weights.iter().map(|(model, version)| {
            let model = self.models.get(*model)?.clone();
            Some(Weights {
                model,
                version: *version,
            })
        });
        Some(Entry {
            service: self.services.get(packed.service)?.clone(),
            addr: packed.addr,
            domain: self.domains.get(packed.domain)?.clone(),
            slots: packed.slots,
            leaving: packed.leaving,
            weights: weights.collect::<Option<_>>()?,
            beat: packed.beat,
            born: packed.born,
            // A VM of a release that does not send versions sends no list of them.
            software: self
                .software
                .get(packed.software)
                .cloned()
                .unwrap_or_default(),
        })
    }
}
