//! Engines, requests and settings that several subjects need.

use rand::rngs::ChaCha12Rng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::Work;
use sesamegap_settings::{Catalogue, ClassSpec, ModelSpec, TeamSpec};
use sesamegap_wire::engine::{EngineEntry, LoadReport};
use sesamegap_wire::{
    BlockKey, Chain, Incarnation, ModelId, Moment, Offset, RequestId, Tokens, UpstreamId,
    WeightsVersion,
};
use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

/// Weights that all engines hold.
pub const VERSION: WeightsVersion = WeightsVersion(1);

/// Blocks of a prompt: a preamble of one, a dossier of six, a form of one.
pub const BLOCKS: u64 = 8;

/// Dossiers over which requests are spread, the first the hottest.
const DOSSIERS: u64 = 4_096;

/// When measuring begins.
pub const START: Moment = Moment(1_000_000_000);

/// A key that stands for the number, spread as a hash would be.
pub fn key(number: u64) -> BlockKey {
    let spread = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let spread = (spread ^ (spread >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    BlockKey((u128::from(spread) << 64) | u128::from(number))
}

/// An id of the text.
pub fn id<T: FromStr<Err: Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid id")
}

pub fn engine(at: usize) -> UpstreamId {
    id(format!("engine-{at}"))
}

pub fn model() -> ModelId {
    id("model")
}

pub fn entries(count: usize) -> Vec<EngineEntry> {
    let entries = (0..count).map(|at| EngineEntry {
        id: engine(at),
        domain: id(format!("domain-{}", at % 4)),
        leaving: false,
    });
    entries.collect()
}

pub fn report() -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        age: Duration::ZERO,
        running: 4,
        waiting: 0,
        prefill: Tokens(0),
        capacity: 70_000,
        loaded: vec![(model(), VERSION)],
        loading: false,
        leaving: false,
        fence: None,
    }
}

pub fn class() -> ClassSpec {
    ClassSpec {
        priority: 5,
        deadline: Duration::from_secs(30),
        total: Duration::from_mins(2),
        retries: 2,
        queue: Tokens(4_000_000_000),
        thrift: 1.0,
        hedge: false,
    }
}

pub fn catalogue(teams: usize) -> Catalogue {
    let team = TeamSpec {
        key_hashes: Vec::new(),
        weight: 1.0,
        rate: None,
        burst: Tokens(0),
        class: id("check"),
        models: Vec::new(),
    };
    let spec = ModelSpec {
        version: VERSION,
        block: Tokens(4_096),
        longest: Tokens(200_000),
        answer: Tokens(1_024),
        least: 1,
        engines: Vec::new(),
    };
    Catalogue {
        revision: Offset(1),
        teams: (0..teams)
            .map(|at| (id(format!("team-{at}")), team.clone()))
            .collect(),
        classes: [(id("check"), class())].into(),
        models: [(model(), spec)].into(),
        ..Catalogue::default()
    }
}

/// Requests for skewed dossiers of many teams.
#[derive(Debug)]
pub struct Requests {
    rng: ChaCha12Rng,
    teams: u64,
    seq: u64,
}

impl Requests {
    pub fn new(teams: u64) -> Self {
        Self {
            rng: ChaCha12Rng::seed_from_u64(1),
            teams,
            seq: 0,
        }
    }

    pub fn next(&mut self, now: Moment) -> Work {
        self.seq += 1;
        // Drawn below what was drawn before: the first dossiers are the hottest.
        let most = self.rng.random_range(0..DOSSIERS);
        let most = self.rng.random_range(0..=most);
        let dossier = self.rng.random_range(0..=most);
        let team = dossier % self.teams;
        let mut keys = vec![key(team)];
        keys.extend((1..BLOCKS - 1).map(|block| key(1_000_000 + dossier * BLOCKS + block)));
        keys.push(key(1_000_000_000 + self.seq));
        Work {
            request: RequestId {
                vm: id("vm"),
                incarnation: Incarnation(1),
                seq: self.seq,
            },
            team: id(format!("team-{team}")),
            class: id("check"),
            model: model(),
            version: VERSION,
            chain: Chain {
                keys: keys.into(),
                levels: vec![1, 7, 8].into(),
                tokens: Tokens(BLOCKS * 4_096),
            },
            answer: Tokens(344),
            arrived: now,
            attempt: 0,
            barred: Vec::new(),
            repeatable: true,
        }
    }
}
