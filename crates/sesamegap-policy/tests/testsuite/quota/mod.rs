//! Tests of rate limits that hold over all VMs: simulated fleets whose VMs are cut, killed and frozen.

mod ledger;
mod world;

use rand::RngExt;
use sesamegap_policy::quota::RateLimit;
use sesamegap_wire::TeamId;
use std::time::Duration;
use world::{Flaw, World};

/// The window over which a team's use is judged.
const WINDOW: Duration = Duration::from_secs(8);

/// Relative amount by which use in a window may exceed the limit.
const OVERAGE: f64 = 0.1;

/// A small team: one long prompt is half a second of its rate.
const SMALL: RateLimit = RateLimit {
    rate: 18_000.0,
    burst: 18_000.0,
};

/// Mean tokens of a long prompt.
const LONG: f64 = 9_200.0;

/// Number of random histories; `SESAMEGAP_CASES` overrides it.
const HISTORIES: u64 = 8;

fn team() -> TeamId {
    "clerks".parse().unwrap()
}

/// The most that may run in a window, for a limit.
fn bound(limit: RateLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + OVERAGE) + 72_000.0
}

fn assert_within_bound(world: &World, what: &str) {
    let most = world.tally(&team()).most_in(WINDOW);
    assert!(
        most <= bound(SMALL),
        "{what}: {most} in a window, {} allowed",
        bound(SMALL)
    );
}

/// With equal parts of the limit, each of 69 VMs would have 260 tokens per second and refuse every long prompt of a
/// team that uses half of its limit.
#[test]
fn a_team_below_its_limit_is_served_whichever_vms_its_requests_reach() {
    let mut world = World::new(69, SMALL, 1);
    world.load(&team(), 1.0, LONG, Duration::from_mins(1));
    let tally = world.tally(&team());
    let all = u32::try_from(tally.runs.len()).unwrap() + tally.refused;
    assert!(
        tally.refused * 50 <= all,
        "{} of {all} refused",
        tally.refused
    );
    let mean = tally.waited_ms / f64::from(all);
    assert!(mean < 10.0, "waited {mean} ms on average");
}

/// A team sends eight times its limit at all VMs at once.
#[test]
fn a_team_far_above_its_limit_gets_its_limit() {
    let mut world = World::new(69, SMALL, 2);
    world.load(&team(), 16.0, LONG, Duration::from_secs(40));
    assert_within_bound(&world, "overload");
    let used: f64 = world.tally(&team()).runs.iter().map(|run| run.cost).sum();
    assert!(used > 40.0 * SMALL.rate * 0.9, "{used} used");
}

/// Half of the VMs cannot reach the other half for seconds, and each half could admit the whole limit.
#[test]
fn a_partition_does_not_double_a_limit() {
    for sides in [1, 3, 34] {
        let mut world = World::new(69, SMALL, sides);
        for vm in 0..usize::try_from(sides).unwrap() {
            world.set_side(vm, 1);
        }
        world.load(&team(), 16.0, LONG, Duration::from_secs(20));
        assert_within_bound(&world, "partition");
        for vm in 0..usize::try_from(sides).unwrap() {
            world.set_side(vm, 0);
        }
        world.load(&team(), 16.0, LONG, Duration::from_secs(20));
        assert_within_bound(&world, "healed partition");
    }
}

/// All VMs restart at the same time, and none knows what ran in the last window.
#[test]
fn a_restart_of_all_vms_grants_no_second_burst() {
    let mut world = World::new(24, SMALL, 4);
    for _ in 0..4 {
        world.load(&team(), 16.0, LONG, Duration::from_secs(3));
        for vm in 0..world.vms() {
            world.kill(vm, Duration::from_millis(300));
        }
    }
    world.load(&team(), 16.0, LONG, Duration::from_secs(10));
    assert_within_bound(&world, "restarts");
}

/// The VM that pools a team's limit dies. Its requests must be served again once the leases have ended.
#[test]
fn a_team_is_served_again_soon_after_the_vm_that_counted_it_died() {
    let mut world = World::new(69, SMALL, 5);
    world.load(&team(), 1.0, LONG, Duration::from_secs(10));
    let holder = world.holder(&team());
    world.kill(holder, Duration::from_secs(30));
    world.load(&team(), 10.0, 500.0, Duration::from_secs(3));
    let before = world.tally(&team()).without_rights;
    world.load(&team(), 1.0, LONG, Duration::from_secs(20));
    assert_eq!(world.tally(&team()).without_rights, before);
    assert_ne!(world.holder(&team()), holder);
    assert!(world.fraction(world.holder(&team()), &team()) > 0.9);
}

/// The VM that pools a limit is paused for longer than a lease. When it resumes, another VM pools the limit, and the
/// requests that waited in its socket must not be granted from the rights that have lapsed.
#[test]
fn a_vm_that_resumes_grants_nothing_from_lapsed_rights() {
    let mut world = World::new(24, SMALL, 6);
    for _ in 0..4 {
        let holder = world.holder(&team());
        world.freeze(holder, Duration::from_millis(3_500));
        world.load(&team(), 16.0, LONG, Duration::from_secs(5));
    }
    assert_within_bound(&world, "pauses");
}

/// A limit falls far below what the team sends, and rises again.
#[test]
fn a_lower_limit_binds_after_a_window() {
    let mut world = World::new(24, SMALL, 7);
    world.load(&team(), 16.0, LONG, Duration::from_secs(10));
    world.limit = RateLimit {
        rate: 4_000.0,
        burst: 4_000.0,
    };
    world.revision = 2;
    world.load(&team(), 16.0, LONG, WINDOW);
    let before = world.tally(&team()).runs.len();
    world.load(&team(), 16.0, LONG, Duration::from_secs(20));
    let later = &world.tally(&team()).runs[before..];
    let used: f64 = later.iter().map(|run| run.cost).sum();
    assert!(used <= 4_000.0 * 21.0 + 2.0 * LONG, "{used}");
    assert!(used >= 4_000.0 * 20.0 * 0.8, "{used}");
}

/// A history of partitions, kills, pauses and lost messages under an overload.
fn play_history(seed: u64) -> f64 {
    // Some histories have mostly restarts, others mostly partitions and pauses.
    let actions = [0..7, 0..3, 3..7][usize::try_from(seed % 3).unwrap()].clone();
    let mut world = World::new(24, SMALL, seed);
    world.loss = if seed.is_multiple_of(3) { 0.05 } else { 0.0 };
    for _ in 0..24 {
        let vms = world.vms();
        let vm = world.rng.random_range(0..vms);
        match world.rng.random_range(actions.clone()) {
            0 => world.kill(vm, Duration::from_millis(700)),
            1 => {
                let holder = world.holder(&team());
                world.kill(holder, Duration::from_millis(700));
            }
            2 => {
                let holder = world.holder(&team());
                world.freeze(holder, Duration::from_secs(2));
            }
            3 => {
                let count = world.rng.random_range(1..vms);
                for vm in 0..count {
                    world.set_side(vm, 1);
                }
            }
            4 => {
                for vm in 0..vms {
                    world.set_side(vm, 0);
                }
            }
            5 => {
                for vm in 0..vms / 2 {
                    world.kill(vm, Duration::from_millis(500));
                }
            }
            _ => world.freeze(vm, Duration::from_millis(1_500)),
        }
        world.load(&team(), 20.0, LONG, Duration::from_secs(1));
    }
    world.tally(&team()).most_in(WINDOW)
}

fn histories() -> u64 {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    cases
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(HISTORIES)
}

/// Any mix of failures may come at any time; no window may hold more than the limit allows.
#[test]
fn no_window_exceeds_a_limit_in_random_histories() {
    for seed in 0..histories() {
        let most = play_history(seed);
        assert!(
            most <= bound(SMALL),
            "seed {seed}: {most}, {} allowed",
            bound(SMALL)
        );
    }
}

/// Each flaw is one that a change of the rights could bring in; the counter must show it.
#[test]
fn flawed_rights_are_caught() {
    let mut world = World::new(12, SMALL, 0).with_flaw(Flaw::EndlessRights);
    let holder = world.holder(&team());
    world.set_side(holder, 1);
    world.load(&team(), 60.0, LONG, WINDOW * 2);
    let most = world.tally(&team()).most_in(WINDOW);
    assert!(most > bound(SMALL), "endless rights: at most {most}");
    let mut world = World::new(12, SMALL, 0).with_flaw(Flaw::CountsReachable);
    for vm in 0..6 {
        world.set_side(vm, 1);
    }
    world.run(Duration::from_mins(2));
    world.load(&team(), 20.0, LONG, WINDOW * 2);
    let most = world.tally(&team()).most_in(WINDOW);
    assert!(most > bound(SMALL), "counts reachable VMs: at most {most}");
    let limit = RateLimit {
        burst: 4.0 * SMALL.rate,
        ..SMALL
    };
    let mut world = World::new(12, limit, 0).with_flaw(Flaw::FreshBurst);
    for _ in 0..8 {
        world.load(&team(), 40.0, LONG, Duration::from_secs(2));
        for vm in 0..world.vms() {
            world.kill(vm, Duration::from_millis(10));
        }
    }
    let most = world.tally(&team()).most_in(WINDOW);
    assert!(most > bound(limit), "fresh bursts: at most {most}");
}
