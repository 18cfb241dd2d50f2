//! Property tests with fixed seeds, and fixtures shared by the placement tests.

use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::{PlacementRequest, Placer, Room};
use sesamegap_settings::ClassSpec;
use sesamegap_wire::engine::{EngineEntry, Listing, LoadReport};
use sesamegap_wire::{
    BlockKey, Chain, Incarnation, ModelId, Moment, RequestId, Tokens, UpstreamId, WeightsVersion,
};
use std::fmt::Debug;
use std::time::Duration;

/// Tokens per block.
pub const BLOCK: u64 = 4096;

/// Number of cases of each property test, unless `SESAMEGAP_CASES` is set.
const CASES: u64 = 60;

/// Weights version in all requests of these tests.
pub const VERSION: WeightsVersion = WeightsVersion(1);

/// Runs a check on cases generated from fixed seeds and describes the first that fails.
pub fn first_failure<T: Arbitrary + Debug>(
    check: impl Fn(&T) -> Result<(), String>,
) -> Option<String> {
    let cases = std::env::var("SESAMEGAP_CASES");
    let cases = cases.ok().and_then(|n| n.parse().ok()).unwrap_or(CASES);
    (0..cases).find_map(|seed| {
        let case = T::arbitrary(&mut Gen::from_size_and_seed(200, seed));
        let fault = check(&case).err()?;
        let least = shrink(case, &check);
        Some(format!("seed {seed}: {fault}; least case: {least:?}"))
    })
}

/// Shrinks a failing case for as long as a smaller one fails too.
fn shrink<T: Arbitrary + Debug>(mut case: T, check: &impl Fn(&T) -> Result<(), String>) -> T {
    while let Some(smaller) = case.shrink().find(|c| check(c).is_err()) {
        case = smaller;
    }
    case
}

/// A block key derived from a number.
pub fn key(number: u64) -> BlockKey {
    let spread = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    BlockKey(u128::from(spread ^ (spread >> 31)) << 64)
}

/// A prompt made of a preamble, a dossier and a form.
pub fn chain(team: u64, dossier: u64, blocks: u64, form: u64) -> Chain {
    let mut keys = vec![key(team)];
    keys.extend((0..blocks).map(|at| key(1_000_000 * (team + 1) + 1000 * dossier + at)));
    keys.push(key(1_000_000_000
        + 1_000_000 * (team + 1)
        + 1000 * dossier
        + form));
    let inner = u16::try_from(blocks + 1).unwrap();
    Chain {
        tokens: Tokens(keys.len() as u64 * BLOCK + 500),
        keys: keys.into(),
        levels: vec![1, inner, inner + 1].into(),
    }
}

pub fn class() -> ClassSpec {
    ClassSpec {
        priority: 1,
        deadline: Duration::from_secs(10),
        total: Duration::from_mins(1),
        retries: 2,
        queue: Tokens(10_000_000),
        thrift: 2.0,
        hedge: false,
    }
}

pub fn model() -> ModelId {
    "model".parse().unwrap()
}

pub fn engine(at: usize) -> UpstreamId {
    format!("worker-{at}").parse().unwrap()
}

pub fn request(seq: u64) -> RequestId {
    RequestId {
        vm: "vm".parse().unwrap(),
        incarnation: Incarnation(1),
        seq,
    }
}

pub fn report(incarnation: u64, prefill: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(incarnation),
        age: Duration::ZERO,
        running: 0,
        waiting: 0,
        prefill: Tokens(prefill),
        capacity: 10_000,
        loaded: vec![(model(), VERSION)],
        loading: false,
        leaving: false,
        fence: None,
    }
}

pub fn listing(incarnation: u64, newest: u64, keys: Vec<BlockKey>) -> Listing {
    Listing {
        incarnation: Incarnation(incarnation),
        newest,
        keys,
    }
}

pub fn entry(at: usize) -> EngineEntry {
    EngineEntry {
        id: engine(at),
        domain: format!("d{}", at % 3).parse().unwrap(),
        leaving: false,
    }
}

/// A placer that knows the given number of idle engines with empty caches.
pub fn placer(engines: usize, now: Moment) -> PrefixPlacer {
    let mut placer = PrefixPlacer::builder("d0".parse().unwrap()).build();
    let fleet: Vec<_> = (0..engines).map(entry).collect();
    placer.set_engines(&fleet, now);
    for at in 0..engines {
        placer.apply_report(&engine(at), &report(1, 0), now);
        placer.apply_listing(&engine(at), &listing(1, 0, Vec::new()), now);
    }
    placer
}

pub fn ask<'a>(
    request: &'a RequestId,
    model: &'a ModelId,
    chain: &'a Chain,
    class: &'a ClassSpec,
) -> PlacementRequest<'a> {
    PlacementRequest {
        request,
        model,
        version: VERSION,
        chain,
        class,
        barred: &[],
    }
}

/// Reports room on every engine.
pub struct UnlimitedRoom;

impl Room for UnlimitedRoom {
    fn has(&self, _engine: &UpstreamId, _prefill: Tokens) -> bool {
        true
    }
}
