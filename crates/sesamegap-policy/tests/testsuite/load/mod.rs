//! Service that callers get under load: bursts, skew between teams, a slow engine, long prompts
//! beside short ones, and saturation.

mod limits;
mod returns;
mod team_shares;
mod windows;

use crate::support::traffic::{Kind, calls};
use crate::support::world::{Call, Setup, World, percentile};
use crate::support::{at, catalogue, millis};
use sesamegap_policy::RefusalCode;
use sesamegap_policy::load::windows::WindowKind;
use std::time::Duration;

const TEAMS: [(&str, f64); 4] = [("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 1.0)];

fn world(calls: Vec<Call>) -> World {
    World::new(Setup {
        catalogue: catalogue(&TEAMS),
        speeds: vec![1.0; 6],
        routers: 1,
        window: WindowKind::default(),
        calls,
    })
}

/// Traffic of four teams that at load 1.0 is about the capacity of six engines; team d sends
/// little.
fn mix(load: f64) -> Vec<Kind> {
    vec![
        Kind::status("a", 10.0 * load),
        Kind::check("a", 6.0 * load),
        Kind::status("b", 4.0 * load),
        Kind::check("b", 2.0 * load),
        Kind::review("b", 1.0 * load),
        Kind::review("c", 0.6 * load),
        Kind::check("d", 1.0),
    ]
}

/// For three seconds, traffic is five times the capacity of the engines, as when many users start
/// at the same moment. Callers of the highest class must not be affected; others must be refused
/// early and with different retry delays.
#[test]
fn burst() {
    let mut all = calls(1, at(0), at(30_000), &mix(0.4));
    all.extend(calls(2, at(10_000), at(13_000), &mix(5.0)));
    let mut world = world(all);
    world.run(at(60_000));
    let status = world.tally(|call| call.class == "status");
    assert!(status.good * 100 >= status.calls * 99, "{status:?}");
    let retry_times = world.retry_times();
    let half_seconds: std::collections::BTreeSet<_> =
        retry_times.iter().map(|at| at.0 / 500_000).collect();
    assert!(retry_times.len() > 20, "{}", retry_times.len());
    assert!(
        half_seconds.len() > 5,
        "all retries fall into {} half seconds",
        half_seconds.len()
    );
    let after = world.tally(|call| call.at > at(20_000));
    assert_eq!(after.late, 0, "late after the burst: {after:?}");
}

/// One team sends ten times its share, in the same class as a light team. The light team must be
/// served as if it were alone.
#[test]
fn skew() {
    let kinds = [Kind::check("a", 80.0), Kind::check("d", 1.0)];
    let mut world = world(calls(3, at(0), at(40_000), &kinds));
    world.run(at(60_000));
    let heavy = world.tally(|call| call.team == "a");
    let light = world.tally(|call| call.team == "d");
    assert!(heavy.refused > heavy.calls / 2, "{heavy:?}");
    assert_eq!(light.refused, 0, "{light:?}");
    assert!(light.late * 50 <= light.calls, "{light:?}");
}

/// One engine runs at a quarter of its speed without reporting it. If it kept its full part of the
/// requests, a sixth of all callers would miss their deadline.
#[test]
fn slow_engine() {
    let mut world = World::new(Setup {
        catalogue: catalogue(&TEAMS),
        speeds: vec![1.0, 1.0, 0.25, 1.0, 1.0, 1.0],
        routers: 1,
        window: WindowKind::default(),
        calls: calls(4, at(0), at(40_000), &mix(0.5)),
    });
    world.run(at(60_000));
    let status = world.tally(|call| call.class == "status");
    assert!(status.good * 100 >= status.calls * 99, "{status:?}");
    let all = world.tally(|_| true);
    assert!(all.good * 100 >= all.calls * 97, "{all:?}");
}

/// Long reviews arrive beside short checks. Without a limit on queued prefill, short prompts wait
/// behind minutes of long ones; with it, little more than behind the same amount of short ones.
#[test]
fn long_with_short() {
    let short = [Kind::check("a", 8.0), Kind::check("c", 9.6)];
    let mut alone = world(calls(5, at(0), at(40_000), &short));
    alone.run(at(60_000));
    let both = [Kind::check("a", 8.0), Kind::review("c", 1.2)];
    let mut mixed = world(calls(5, at(0), at(40_000), &both));
    mixed.run(at(60_000));
    let p99 = |world: &World| percentile(&world.first_times(|call| call.team == "a"), 99);
    let (before, after) = (p99(&alone), p99(&mixed));
    assert!(
        after <= before * 2,
        "{before:?} alone, {after:?} beside reviews"
    );
    let reviews = mixed.tally(|call| call.class == "review");
    assert!(reviews.good * 100 >= reviews.calls * 95, "{reviews:?}");
}

/// Demand rises to four times the capacity of the engines. Admitted requests of the highest class
/// must be answered in time, lower classes must be refused first and the light team hardly at all,
/// and the useful throughput of the engines must not drop by more than a fifth.
#[test]
fn saturation() {
    let mut done = Vec::new();
    for load in [1.0, 1.5, 2.0, 4.0] {
        let mut world = world(calls(6, at(0), at(60_000), &mix(load)));
        world.run(at(90_000));
        let [status, check, review] =
            ["status", "check", "review"].map(|class| world.tally(|call| call.class == class));
        let admitted = status.good + status.late;
        assert!(status.late * 100 <= admitted, "{load}: {status:?}");
        let part = |tally: crate::support::world::Tally| tally.refused * 1_000 / tally.calls;
        assert!(
            part(status) <= part(check) + 10,
            "{load}: {status:?} {check:?}"
        );
        assert!(
            part(check) <= part(review) + 10,
            "{load}: {check:?} {review:?}"
        );
        let light = world.tally(|call| call.team == "d");
        assert!(light.refused * 50 <= light.calls, "{load}: {light:?}");
        done.push(world.useful());
    }
    assert!(done[3] * 10 >= done[0] * 8, "useful work {done:?}");
}

/// Demand far exceeds capacity while requests are queued. Requests that can no longer meet their
/// deadline must be refused as soon as this is known, and not only at the deadline.
#[test]
fn hopeless_work_is_refused_early() {
    let mut all = calls(7, at(0), at(20_000), &mix(1.2));
    all.extend(calls(8, at(20_000), at(24_000), &mix(6.0)));
    let mut world = world(all);
    world.run(at(60_000));
    let pairs = world.calls.iter().zip(&world.outcomes);
    let refused: Vec<_> = pairs
        .filter(|(_, outcome)| outcome.sent == 0)
        .filter_map(|(call, outcome)| {
            let (when, code, after) = outcome.refused?;
            let deadline = world.catalogue.classes[&call.class.parse().expect("valid")].deadline;
            Some((when.since(call.at), deadline, code, after))
        })
        .collect();
    let early = refused.iter().filter(|r| r.0 <= r.1 / 2).count();
    assert!(refused.len() > 50, "{}", refused.len());
    assert!(
        early * 10 >= refused.len() * 9,
        "{early} of {} early",
        refused.len()
    );
    assert!(refused.iter().all(|r| r.3 >= millis(250)));
    assert!(refused.iter().all(|r| r.3 <= Duration::from_secs(45)));
    assert!(refused.iter().all(|r| r.2 != RefusalCode::Unknown));
}

/// Refused callers retry after the returned delay, up to four times. If they retried together or
/// too early, they would be refused repeatedly while engines are idle in between.
#[test]
fn refused_callers_retry() {
    let mut all = calls(9, at(0), at(20_000), &mix(0.5));
    all.extend(calls(10, at(5_000), at(8_000), &mix(4.0)));
    for call in &mut all {
        call.max_retries = 4;
    }
    let mut world = world(all);
    world.run(at(120_000));
    let served = world.outcomes.iter().filter(|o| o.first.is_some()).count();
    assert!(
        served * 100 >= world.calls.len() * 95,
        "{served} of {}",
        world.calls.len()
    );
    let refusals: u32 = world.outcomes.iter().map(|o| o.refusals).sum();
    assert!(refusals as usize <= world.calls.len() * 2, "{refusals}");
}

/// Two engines crash under load and all their requests are retried. Retries beyond the budget would
/// overload the remaining engines; callers of the highest class must still be served.
#[test]
fn retries_after_a_crash() {
    let mut world = world(calls(11, at(0), at(40_000), &mix(0.6)));
    for engine in [0, 1] {
        world.crash(engine, at(20_000));
    }
    world.run(at(60_000));
    let again = world.outcomes.iter().filter(|o| o.sent > 1).count();
    assert!(
        again > 0 && again <= 16 + world.calls.len() / 10,
        "{again} retries"
    );
    let status = world.tally(|call| call.class == "status");
    assert!(status.good * 100 >= status.calls * 98, "{status:?}");
}

/// Each submission gets exactly one decision; a caller without one would wait forever, and a caller
/// with two would be answered twice.
#[test]
fn one_decision_for_each_submission() {
    for (seed, load) in [(1, 0.5), (2, 2.0), (3, 6.0)] {
        let mut all = calls(seed, at(0), at(20_000), &mix(load));
        for call in &mut all {
            call.max_retries = 1;
        }
        let mut world = world(all);
        world.crash(0, at(10_000));
        world.run(at(120_000));
        for outcome in &world.outcomes {
            assert_eq!(
                outcome.submitted,
                outcome.sent + outcome.refusals,
                "{outcome:?}"
            );
        }
    }
}
