//! Shared test helpers: settings, requests, and a simulated fleet in virtual time.

pub mod engine;
pub mod least;
pub mod traffic;
pub mod world;

use sesamegap_policy::Work;
use sesamegap_settings::{Catalogue, ClassSpec, ModelSpec, TeamSpec};
use sesamegap_wire::{
    BlockKey, Chain, Incarnation, LogPosition, Moment, Offset, RequestId, Timeline, Tokens,
    WeightsVersion,
};
use std::time::Duration;

/// Number of cases of a property test; `SESAMEGAP_CASES` overrides it.
pub fn cases(usual: u64) -> u64 {
    let more = std::env::var("SESAMEGAP_CASES").ok();
    more.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A position on the log's first timeline.
pub fn offset(no: u64) -> LogPosition {
    LogPosition::new(Timeline::default(), Offset(no))
}

pub fn at(millis: u64) -> Moment {
    Moment(1_000_000 + millis * 1_000)
}

pub fn class(priority: u8, deadline: Duration) -> ClassSpec {
    ClassSpec {
        priority,
        deadline,
        total: Duration::from_mins(2),
        retries: 2,
        queue: Tokens(4_000_000),
        thrift: 1.0,
        hedge: false,
    }
}

pub fn team(weight: f64) -> TeamSpec {
    TeamSpec {
        key_hashes: Vec::new(),
        weight,
        rate: None,
        burst: Tokens(0),
        class: "check".parse().expect("valid"),
        models: Vec::new(),
    }
}

/// Settings with the given teams, one model, and the classes `review` (lowest priority, longest
/// deadline), `check`, and `status` (highest priority, shortest deadline).
pub fn catalogue(teams: &[(&str, f64)]) -> Catalogue {
    let model = ModelSpec {
        version: WeightsVersion(1),
        block: Tokens(4_096),
        longest: Tokens(200_000),
        answer: Tokens(1_024),
        least: 1,
        engines: Vec::new(),
    };
    let classes = [
        ("review", class(1, millis(20_000))),
        ("check", class(5, millis(4_000))),
        ("status", class(9, millis(1_500))),
    ];
    let named = |name: &str| name.parse().expect("valid");
    Catalogue {
        revision: Offset(1),
        teams: teams
            .iter()
            .map(|(n, w)| (n.parse().expect("valid"), team(*w)))
            .collect(),
        classes: classes
            .into_iter()
            .map(|(n, c)| (n.parse().expect("valid"), c))
            .collect(),
        models: [(named("m"), model)].into(),
        ..Catalogue::default()
    }
}

pub fn request(seq: u64) -> RequestId {
    RequestId {
        vm: "vm".parse().expect("valid"),
        incarnation: Incarnation(1),
        seq,
    }
}

/// A request whose prompt shares no prefix with any other.
pub fn work(seq: u64, team: &str, class: &str, tokens: u64, now: Moment) -> Work {
    let blocks = u16::try_from(tokens / 4_096).expect("valid");
    let keys: Vec<_> = (0..u128::from(blocks))
        .map(|block| BlockKey((u128::from(seq) << 32) + block))
        .collect();
    Work {
        request: request(seq),
        team: team.parse().expect("valid"),
        class: class.parse().expect("valid"),
        model: "m".parse().expect("valid"),
        version: WeightsVersion(1),
        chain: Chain {
            keys: keys.into(),
            levels: vec![blocks].into(),
            tokens: Tokens(tokens),
        },
        answer: Tokens(64),
        arrived: now,
        attempt: 0,
        barred: Vec::new(),
        repeatable: true,
    }
}
