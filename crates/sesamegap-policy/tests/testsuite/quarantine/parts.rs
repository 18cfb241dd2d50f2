//! Simulated loads with parts of prompts that crash upstreams.

use super::each_seed;
use super::world::{Cause, Load, Prompts, World};
use std::time::Duration;

/// Sends that may reach upstreams once a part has to be known.
const MAX_LATE_SENDS: usize = 3;

/// Prompts of a small deployment: outer parts that all teams share, and inner ones that belong to one team each.
const PROMPTS: Prompts = Prompts {
    outer: 40,
    inner: 445,
    teams: 8,
};

fn load(cause: Cause, crashing: usize) -> Load {
    Load {
        cause,
        crashing,
        prompts: Some(PROMPTS),
        rate: 60,
        ..Load::default()
    }
}

fn assert_known(world: &World) {
    let seed = world.seed;
    let late = &world.late_sends;
    assert!(
        late.iter().all(|sends| *sends <= MAX_LATE_SENDS),
        "seed {seed}: sent {late:?} times more, {:?} crashes",
        world.crashes
    );
}

/// Sound requests of the same outer part or team are served at the first try nearly as often as without a crashing part.
fn assert_kin_served(world: &World) {
    let (seed, kin) = (world.seed, world.kin);
    assert!(kin.served > 9 * kin.refused, "seed {seed}: {kin:?}");
}

fn assert_only_the_cause(world: &World) {
    let condemned = world.condemned();
    let seed = world.seed;
    assert_eq!(condemned, (world.crashes.len(), 0), "seed {seed}");
}

/// Requests that share nothing but an inner part crash their upstreams. Only that part may be refused.
#[test]
fn an_inner_part_is_refused_and_no_other() {
    each_seed(&load(Cause::Inner, 1), |world| {
        assert_only_the_cause(world);
        assert_known(world);
        assert_kin_served(world);
    });
}

/// The crashing part is an outer one, which comes with inner parts of all teams. Evidence for each team by itself would cost
/// some upstreams for each.
#[test]
fn an_outer_part_of_all_teams_is_refused() {
    each_seed(&load(Cause::Outer, 1), |world| {
        assert_only_the_cause(world);
        assert_known(world);
    });
}

/// Two crashing parts at once: the crashes of each are masked by those of the other.
#[test]
fn two_parts_at_once_are_refused_and_no_other() {
    each_seed(&load(Cause::Inner, 2), |world| {
        assert_only_the_cause(world);
        assert_known(world);
        assert_kin_served(world);
    });
}

/// More parts crash upstreams than may stand out at a time: those that are found must not hide the others.
#[test]
fn more_parts_than_stand_out_are_refused_one_after_another() {
    let load = Load {
        upstreams: 40,
        interval: Duration::from_secs(4),
        ..load(Cause::Inner, 8)
    };
    each_seed(&load, |world| {
        assert_only_the_cause(world);
        assert_kin_served(world);
    });
}

/// Requests with a crashing part come every twenty seconds. Their record must outlast the time between them.
#[test]
fn a_rare_part_is_refused() {
    let load = Load {
        interval: Duration::from_secs(20),
        run_time: Duration::from_mins(6),
        ..load(Cause::Inner, 1)
    };
    each_seed(&load, |world| {
        assert_only_the_cause(world);
        assert_known(world);
    });
}

/// The requests come five times a second, so that several run when the first upstream crashes.
#[test]
fn a_frequent_part_is_refused() {
    let load = Load {
        interval: Duration::from_millis(200),
        ..load(Cause::Inner, 1)
    };
    each_seed(&load, |world| {
        assert_only_the_cause(world);
        assert_known(world);
        assert_kin_served(world);
    });
}

/// A quarter of the upstreams is lost at once, three times, beside a crashing part: most parts are at several losses then.
#[test]
fn a_part_is_found_beside_upstreams_lost_together() {
    let load = Load {
        outages: 3,
        upstreams: 20,
        ..load(Cause::Inner, 1)
    };
    each_seed(&load, |world| {
        assert_only_the_cause(world);
        assert_known(world);
    });
}

/// Upstreams are lost together and nothing crashes them: most parts are at two losses at once, and the requests of all of them
/// would wait for trials, one at a time.
#[test]
fn upstreams_lost_together_hold_up_no_part() {
    let load = Load {
        outages: 3,
        upstreams: 12,
        ..load(Cause::Inner, 0)
    };
    each_seed(&load, |world| {
        assert_eq!(world.condemned(), (0, 0), "seed {}", world.seed);
        assert!(
            world.served > world.refused * 50,
            "seed {}: {} served, {} refused",
            world.seed,
            world.served,
            world.refused
        );
    });
}

/// One request crashes its upstreams, and its parts are those of sound requests.
#[test]
fn the_parts_of_a_crashing_request_are_not_refused() {
    each_seed(&load(Cause::Request, 1), |world| {
        assert_only_the_cause(world);
        assert_kin_served(world);
    });
}

/// A team whose own requests crash upstreams names an inner part of another team in them. The other team must not be refused
/// for it.
#[test]
fn a_part_that_another_team_names_is_not_refused() {
    each_seed(&load(Cause::Framing, 1), |world| {
        assert_eq!(world.condemned(), (1, 0), "seed {}", world.seed);
        assert_known(world);
        assert_kin_served(world);
    });
}
