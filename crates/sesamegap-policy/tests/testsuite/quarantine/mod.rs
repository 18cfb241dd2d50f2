//! Tests of the quarantine: simulated loads with crashing requests and prompt parts, and merging of crash records.

mod merging;
mod parts;
mod world;

use std::time::Duration;
use world::{Load, World};

/// Number of seeds per load; `SESAMEGAP_CASES` overrides it.
const SEEDS: u64 = 20;

/// Seeds that failed in the past, always run as regression tests.
const REGRESSION_SEEDS: [u64; 4] = [169, 439, 728, 784];

/// Maximum number of upstreams that one request may crash before it is refused: two before it is a suspect, two in trials,
/// and those that run it concurrently before the crashes are known.
const MAX_CRASHES: usize = 6;

fn each_seed(load: &Load, check: impl Fn(&World)) {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    for seed in (0..cases.unwrap_or(SEEDS)).chain(REGRESSION_SEEDS) {
        let mut world = World::new(load, seed);
        world.run();
        check(&world);
    }
}

/// One request among thousands crashes every upstream that runs it; requests that ran beside it must not be condemned
/// in its place.
#[test]
fn a_crashing_request_among_thousands_is_refused_and_no_other() {
    let load = Load {
        crashing: 1,
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (1, 0), "seed {}", world.seed);
        assert!(world.crashes[0] <= MAX_CRASHES, "{:?}", world.crashes);
        assert!(
            world.served > world.refused * 20,
            "{} {}",
            world.served,
            world.refused
        );
    });
}

/// Many requests crash upstreams at the same time, so that the crashes of each are masked by those of the others.
#[test]
fn a_dozen_crashing_requests_are_all_refused_and_no_other() {
    let load = Load {
        crashing: 12,
        upstreams: 40,
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (12, 0), "seed {}", world.seed);
        assert!(
            world.crashes.iter().all(|crashes| *crashes <= MAX_CRASHES),
            "seed {} {:?}",
            world.seed,
            world.crashes
        );
    });
}

/// A quarter of the upstreams is lost at once, three times; requests that ran there and were retried must not be taken for
/// the cause.
#[test]
fn upstreams_lost_together_condemn_nobody() {
    let load = Load {
        outages: 3,
        upstreams: 40,
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (0, 0), "seed {}", world.seed);
        assert!(
            world.served > world.refused * 20,
            "{} {}",
            world.served,
            world.refused
        );
    });
}

/// As above, with one request in three being the same one: it is running at every loss, and condemning it would refuse a
/// third of all traffic.
#[test]
fn a_popular_request_is_not_condemned_by_upstreams_lost_together() {
    let load = Load {
        outages: 3,
        popular: true,
        upstreams: 40,
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (0, 0), "seed {}", world.seed);
        assert!(
            world.served > world.refused * 10,
            "{} {}",
            world.served,
            world.refused
        );
    });
}

/// A request crashes upstreams while others are lost for unrelated reasons.
#[test]
fn a_crashing_request_is_found_beside_upstreams_lost_together() {
    let load = Load {
        crashing: 1,
        outages: 3,
        popular: true,
        upstreams: 20,
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (1, 0), "seed {}", world.seed);
        assert!(world.crashes[0] <= MAX_CRASHES, "{:?}", world.crashes);
    });
}

/// Two requests crash upstreams of a small fleet, so that other requests share an upstream with one of them in their first
/// trial and again in the next.
#[test]
fn requests_on_trial_beside_crashing_ones_are_not_condemned() {
    let load = Load {
        crashing: 2,
        upstreams: 3,
        rate: 30,
        down: Duration::from_millis(800),
        interval: Duration::from_millis(400),
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (2, 0), "seed {}", world.seed);
        assert!(
            world.crashes.iter().all(|crashes| *crashes <= MAX_CRASHES),
            "seed {} {:?}",
            world.seed,
            world.crashes
        );
    });
}
