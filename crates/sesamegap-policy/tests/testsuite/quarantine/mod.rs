//! Requests under which upstreams end: what a load of them comes to, and how knowledge of them merges.

mod merging;
mod world;

use std::time::Duration;
use world::{Load, World};

/// Seeds of each load, unless `SESAMEGAP_CASES` says how many.
const SEEDS: u64 = 20;

/// Seeds that have failed.
const KEPT: [u64; 4] = [169, 439, 728, 784];

/// Upstreams that may end under one request before it is refused: two by surprise, two in trials, and as many as run it at once
/// before anybody knows.
const MOST_CRASHES: usize = 6;

fn each_seed(load: &Load, check: impl Fn(&World)) {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    let cases = cases.and_then(|cases| cases.parse().ok());
    for seed in (0..cases.unwrap_or(SEEDS)).chain(KEPT) {
        let mut world = World::new(load, seed);
        world.run();
        check(&world);
    }
}

/// One request in thousands ends every upstream that runs it, and its neighbours are taken for it.
#[test]
fn a_crashing_request_among_thousands_is_refused_and_no_other() {
    let load = Load {
        crashing: 1,
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (1, 0), "seed {}", world.seed);
        assert!(world.crashes[0] <= MOST_CRASHES, "{:?}", world.crashes);
        assert!(
            world.served > world.refused * 20,
            "{} {}",
            world.served,
            world.refused
        );
    });
}

/// Many requests end upstreams at the same time, and each hides behind the losses of the others.
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
            world.crashes.iter().all(|crashes| *crashes <= MOST_CRASHES),
            "seed {} {:?}",
            world.seed,
            world.crashes
        );
    });
}

/// A quarter of the upstreams is lost at once, three times: what ran there and came again is taken for the cause.
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

/// The same, and one request in three is the same one: it is at every loss, and refusing it would refuse a third of all.
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

/// A request ends upstreams while others are lost for reasons of their own.
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
        assert!(world.crashes[0] <= MOST_CRASHES, "{:?}", world.crashes);
    });
}

/// Two requests end upstreams of a small fleet: others share an upstream with one of them at their trial, and again at the next.
#[test]
fn requests_on_trial_beside_crashing_ones_are_not_condemned() {
    let load = Load {
        crashing: 2,
        upstreams: 3,
        rate: 30,
        down: Duration::from_millis(800),
        comes: Duration::from_millis(400),
        ..Load::default()
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (2, 0), "seed {}", world.seed);
        assert!(
            world.crashes.iter().all(|crashes| *crashes <= MOST_CRASHES),
            "seed {} {:?}",
            world.seed,
            world.crashes
        );
    });
}
