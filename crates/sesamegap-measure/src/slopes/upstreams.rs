//! The list of upstreams on an entry VM: its memory, its copies, and the choice of an engine.

use super::fleet::id;
use super::{Row, Rows, resident};
use sesamegap_entry::fleet::{Entry, Fleet, PromptShape, Rules, Selection, Shard};
use sesamegap_entry::follow::{FleetSnapshot, PullReply};
use sesamegap_entry::ports::Weights;
use sesamegap_policy::routing::belief;
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{
    DomainId, Incarnation, LogPosition, Moment, Offset, ServiceId, SoftwareVersion, Timeline,
    UpstreamId, WeightsVersion,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prompts for which an engine is chosen.
const PROMPTS: usize = 200;

/// Repetitions of what is done to the whole list.
const REPEATS: usize = 10;

const DOMAINS: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];

fn upstream(no: usize) -> UpstreamId {
    id(format!("i-{no:010x}"))
}

fn position(no: usize) -> LogPosition {
    LogPosition::new(Timeline(1), Offset(no as u64))
}

fn entry(no: usize, service: &ServiceId) -> Entry {
    let low = u8::try_from(no % 250).unwrap_or(0);
    let high = u8::try_from(no / 250).unwrap_or(0);
    Entry {
        service: service.clone(),
        addr: SocketAddr::from(([10, 1, high, low], 8_000)),
        domain: id::<DomainId>(DOMAINS[no % DOMAINS.len()]),
        slots: 16,
        leaving: false,
        weights: vec![Weights {
            model: "model".into(),
            version: WeightsVersion(1),
        }],
        beat: 100,
        born: Some(Incarnation(1_770_000_000_000 + no as u64)),
        software: id::<SoftwareVersion>("v1"),
    }
}

fn fill(fleet: &mut Fleet, count: usize, service: &ServiceId) {
    for no in 0..count {
        fleet.apply(&upstream(no), entry(no, service), position(no), Moment(1));
    }
}

fn shape(part: u64) -> PromptShape {
    let prefix = |hash, tokens| Prefix { hash, tokens };
    PromptShape {
        model: "model".into(),
        prompt: Prompt {
            prefixes: vec![prefix(part % 4, 2_500), prefix(1_000 + part, 6_300)],
            tokens: 9_000,
        },
    }
}

/// Measures lists of these sizes.
pub fn measure(sizes: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("upstreams", "listed");
    let service: ServiceId = id("engines");
    let rules = Rules {
        belief: belief::Rules::default(),
        weights: Duration::from_secs(10),
    };
    let mut kept = Vec::new();
    for &size in sizes {
        let before = resident();
        let mut fleet = Fleet::new(rules);
        let start = Instant::now();
        fill(&mut fleet, size, &service);
        rows.time(size, "apply an entry", start, size);
        rows.add(
            size,
            "memory of an upstream",
            (resident() - before) / size as f64,
            "B",
        );
        measure_copies(&mut rows, &fleet, size);
        measure_choices(&mut rows, &mut fleet, size, &service);
        kept.push(fleet);
    }
    rows.list
}

fn measure_copies(rows: &mut Rows, fleet: &Fleet, size: usize) {
    let start = Instant::now();
    let reply = PullReply::Fleet(FleetSnapshot::of(fleet, position(size)), 0);
    let bytes = rmp_serde::to_vec(&reply).unwrap_or_default();
    rows.time(size, "encode a copy", start, 1);
    rows.add(
        size,
        "copy, of an upstream",
        bytes.len() as f64 / size as f64,
        "B",
    );
    let start = Instant::now();
    if let Ok(PullReply::Fleet(copy, _)) = rmp_serde::from_slice(&bytes) {
        drop(copy.into_batch());
    }
    rows.time(size, "decode a copy", start, 1);
}

fn measure_choices(rows: &mut Rows, fleet: &mut Fleet, size: usize, service: &ServiceId) {
    let now = Moment(2);
    let domain: DomainId = id(DOMAINS[0]);
    let shapes: Vec<PromptShape> = (0..PROMPTS as u64).map(shape).collect();
    let select = |shape, shard| Selection {
        service,
        domain: &domain,
        stores: &[],
        shape: Some(shape),
        tried: &[],
        tie_breaker: 0,
        shard,
        least_loaded: false,
        software: None,
        terms: None,
        left: Duration::ZERO,
        alone: false,
    };
    let start = Instant::now();
    drop(fleet.index(service, &[], now));
    rows.time(size, "build the index", start, 1);
    let start = Instant::now();
    let shards: Vec<Option<Shard>> = shapes
        .iter()
        .map(|shape| fleet.home_shard(&select(shape, None), now))
        .collect();
    rows.time(size, "find a prompt's shard", start, PROMPTS);
    let start = Instant::now();
    for (shape, shard) in shapes.iter().zip(&shards) {
        drop(fleet.choose(&select(shape, *shard), now));
    }
    rows.time(size, "choose in a shard", start, PROMPTS);
    let start = Instant::now();
    for shape in &shapes {
        drop(fleet.choose(&select(shape, None), now));
    }
    rows.time(size, "choose without a shard", start, PROMPTS);
    let start = Instant::now();
    for _ in 0..REPEATS {
        drop(fleet.held_loads());
    }
    rows.time(size, "gather own loads", start, REPEATS);
    let start = Instant::now();
    for _ in 0..REPEATS {
        drop(fleet.expire(now));
    }
    rows.time(size, "apply time limits", start, REPEATS);
}
