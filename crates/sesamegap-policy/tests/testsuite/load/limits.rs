//! Team rate limits over several routers, retry budget, hedges, and room for the highest class.

use crate::support::world::engine_id;
use crate::support::{at, catalogue, millis, request, work};
use sesamegap_policy::load::limits::{RetryBudget, TeamLimits};
use sesamegap_policy::load::windows::Windows;
use sesamegap_policy::placing::{Placement, Room};
use sesamegap_policy::{Decider, DeciderBuilder, Decision, Observation, RefusalCode};
use sesamegap_settings::Catalogue;
use sesamegap_wire::engine::{EngineEntry, LoadReport};
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{Incarnation, Moment, Tokens, WeightsVersion};
use std::sync::Arc;
use std::time::Duration;

fn limited(rate: f64, burst: u64) -> sesamegap_settings::TeamSpec {
    sesamegap_settings::TeamSpec {
        rate: Some(rate),
        burst: Tokens(burst),
        ..crate::support::team(1.0)
    }
}

/// Sends requests of 100 tokens every 10 ms to each of the first `used` of `routers`; returns the
/// admitted tokens per second after the first 10 seconds.
fn admitted_rate(routers: usize, used: usize, exchange_digests: bool, seconds: u64) -> f64 {
    let spec = limited(1_000.0, 500);
    let team = "a".parse().expect("valid");
    let mut limits: Vec<_> = (0..routers).map(|_| TeamLimits::default()).collect();
    for limit in &mut limits {
        limit.set_routers(u32::try_from(routers).expect("few"));
    }
    let mut taken = 0;
    for tick in 0..seconds * 100 {
        let now = at(tick * 10);
        for limit in limits.iter_mut().take(used) {
            let result = limit.take(&team, &spec, Tokens(100), now);
            taken += u64::from(result.is_ok() && tick >= 1_000) * 100;
        }
        if exchange_digests && tick % 100 == 0 {
            exchange(&mut limits, now);
        }
    }
    taken as f64 / (seconds - 10) as f64
}

fn exchange(limits: &mut [TeamLimits], now: Moment) {
    let digests: Vec<_> = limits
        .iter()
        .map(|limit| {
            let mut digest = Digest::default();
            limit.digest(&mut digest, now);
            digest
        })
        .collect();
    for (n, limit) in limits.iter_mut().enumerate() {
        for (peer, digest) in digests.iter().enumerate().filter(|(peer, _)| *peer != n) {
            let vm = format!("vm{peer}").parse().expect("valid");
            limit.record_digest(vm, digest, now);
        }
    }
}

/// While routers exchange digests, a team that uses one of three routers gets nearly its whole rate
/// there; if it uses all three, the rate limits their sum.
#[test]
fn a_rate_follows_demand() {
    let one = admitted_rate(3, 1, true, 30);
    assert!((850.0..=1_050.0).contains(&one), "{one}");
    let three = admitted_rate(3, 3, true, 30);
    assert!((850.0..=1_050.0).contains(&three), "{three}");
}

/// Without digests, each router uses an equal part of the rate, so that a team gets no more than
/// its rate from all routers together, and less if it uses only some.
#[test]
fn a_rate_is_divided_equally_without_digests() {
    let one = admitted_rate(4, 1, false, 30);
    assert!((200.0..=300.0).contains(&one), "{one}");
    let all = admitted_rate(4, 4, false, 30);
    assert!((900.0..=1_050.0).contains(&all), "{all}");
}

/// A refused caller that retries after the returned delay is admitted.
#[test]
fn the_retry_delay_of_a_team_limit_is_exact() {
    let spec = limited(1_000.0, 500);
    let team = "a".parse().expect("valid");
    let mut limits = TeamLimits::default();
    assert_eq!(limits.take(&team, &spec, Tokens(500), at(0)), Ok(()));
    let wait = limits
        .take(&team, &spec, Tokens(300), at(0))
        .expect_err("empty");
    assert!(wait <= millis(301), "{wait:?}");
    let again = limits.take(&team, &spec, Tokens(300), at(0) + wait + millis(1));
    assert_eq!(again, Ok(()));
}

/// A team with rate zero and weight zero is refused with a finite retry delay, and doesn't hold up
/// the requests of other teams.
#[test]
fn a_team_with_rate_zero_is_refused() {
    let mut settings = catalogue(&[("a", 1.0), ("none", 0.0)]);
    let team = "none".parse().expect("valid");
    settings.teams.insert(team, limited(0.0, 0));
    let mut decider = decider(settings);
    let mut refused = 0;
    for seq in 0..20 {
        let now = at(100 + seq);
        let name = if seq % 2 == 0 { "none" } else { "a" };
        decider.submit(work(seq, name, "check", 1_000, now), now);
        for decision in decider.poll(now) {
            if let Decision::Refuse { refusal, .. } = decision {
                refused += 1;
                assert_eq!(refusal.code, RefusalCode::TeamLimit);
                assert!(refusal.after <= Duration::from_hours(2));
            }
        }
    }
    assert!((9..=10).contains(&refused), "{refused}");
}

/// Every attempt fails for a long time. Retries add at most a tenth to the traffic, and the balance
/// from a quiet period doesn't pay for a retry storm.
#[test]
fn retries_stay_within_a_tenth() {
    let mut budget = RetryBudget::default();
    for _ in 0..10_000 {
        budget.earn();
    }
    let storm = (0..10_000).filter(|_| budget.try_spend()).count();
    assert!(storm <= 64, "{storm}");
    let mut paid = 0;
    for _ in 0..10_000 {
        budget.earn();
        paid += u32::from(budget.try_spend());
    }
    assert!((900..=1_064).contains(&paid), "{paid}");
}

/// After low classes have filled an engine up to their limit, a request of the highest class still
/// finds room there.
#[test]
fn the_highest_class_finds_room() {
    let mut windows = Windows::default();
    let engine = engine_id(0);
    let place = Placement {
        engine: engine.clone(),
        incarnation: Incarnation(1),
        cached: Tokens(0),
        wait: Duration::ZERO,
        import: None,
    };
    let mut sent = 0;
    while windows.room(false).has(&engine, Tokens(1_000)) {
        windows.take(&request(sent), &place, Tokens(1_000), at(sent));
        sent += 1;
        assert!(sent < 1_000, "no limit");
    }
    assert!(windows.room(true).has(&engine, Tokens(1_000)));
    for seq in 0..sent {
        assert!(windows.release(&request(seq)));
        assert!(!windows.release(&request(seq)), "released twice");
    }
    assert!(windows.room(false).has(&engine, Tokens(1_000)));
}

fn report(loaded: bool) -> LoadReport {
    let weights = ("m".parse().expect("valid"), WeightsVersion(1));
    LoadReport {
        incarnation: Incarnation(1),
        age: Duration::ZERO,
        running: 0,
        waiting: 0,
        prefill: Tokens(0),
        capacity: 100,
        loaded: loaded.then_some(weights).into_iter().collect(),
        loading: false,
        leaving: false,
        fence: None,
    }
}

fn decider(settings: Catalogue) -> Decider {
    let mut decider = DeciderBuilder::new("a".parse().expect("valid"))
        .catalogue(Arc::new(settings))
        .placer(Box::new(crate::support::least::LeastLoadPlacer::default()))
        .build();
    let entry = |n| EngineEntry {
        id: engine_id(n),
        domain: "a".parse().expect("valid"),
        leaving: false,
    };
    decider.observe(Observation::Fleet(vec![entry(0), entry(1)]), at(0));
    for n in 0..2 {
        decider.observe(Observation::Report(engine_id(n), report(true)), at(0));
    }
    decider
}

/// An engine accepts a request and sends no first token. If the class allows hedges, a second
/// attempt with its own id starts on another engine; a request that isn't repeatable is never
/// hedged, however late it is.
#[test]
fn only_repeatable_work_is_hedged() {
    let mut settings = catalogue(&[("a", 1.0)]);
    let class = "check".parse().expect("valid");
    settings.classes.get_mut(&class).expect("a class").hedge = true;
    for repeatable in [true, false] {
        let mut decider = decider(settings.clone());
        for seq in 0..20 {
            let now = at(100 + seq * 10);
            decider.submit(work(seq, "a", "check", 5_000, now), now);
            assert_eq!(decider.poll(now).len(), 1);
            decider.observe(Observation::FirstToken(request(seq)), now + millis(5));
            decider.observe(Observation::Finished(request(seq), true), now + millis(6));
        }
        let now = at(1_000);
        let mut late = work(50, "a", "check", 5_000, now);
        late.repeatable = repeatable;
        decider.submit(late, now);
        let first = decider.poll(now);
        let Some(Decision::Send { at: place, .. }) = first.first() else {
            panic!("{first:?}");
        };
        let hedges = decider.poll(now + millis(200));
        match hedges.as_slice() {
            [
                Decision::Hedge {
                    request: of,
                    hedge_id: hedge,
                    at: other,
                    ..
                },
            ] if repeatable => {
                assert_eq!(*of, request(50));
                assert_ne!(hedge, of);
                assert_ne!(other.engine, place.engine);
            }
            [] if !repeatable => {}
            other => panic!("repeatable {repeatable}: {other:?}"),
        }
        assert!(decider.poll(now + millis(400)).is_empty(), "hedged twice");
    }
}

/// Requests of an unknown team, without attempts left, past their deadline or without an engine are
/// refused immediately with the matching code.
#[test]
fn refusals_say_why() {
    let mut decider = decider(catalogue(&[("a", 1.0)]));
    let code = |decider: &mut Decider, now| match decider.poll(now).as_slice() {
        [Decision::Refuse { refusal, .. }] => refusal.code,
        other => panic!("{other:?}"),
    };
    decider.submit(work(1, "stranger", "check", 100, at(10)), at(10));
    assert_eq!(code(&mut decider, at(10)), RefusalCode::Unknown);
    let mut again = work(2, "a", "check", 100, at(10));
    again.attempt = 3;
    decider.submit(again, at(10));
    assert_eq!(code(&mut decider, at(10)), RefusalCode::RetryBudget);
    decider.submit(work(3, "a", "check", 100, at(10)), at(9_000));
    assert_eq!(code(&mut decider, at(9_000)), RefusalCode::Deadline);
    for n in 0..2 {
        decider.observe(Observation::Fleet(Vec::new()), at(9_000 + n));
    }
    decider.submit(work(4, "a", "check", 100, at(9_100)), at(9_100));
    assert_eq!(code(&mut decider, at(9_100)), RefusalCode::NoEngine);
}

/// A caller disconnects while its request is queued. The request is removed and gets no decision.
#[test]
fn a_cancelled_request_gets_no_decision() {
    let mut decider = decider(catalogue(&[("a", 1.0)]));
    let mut sent = 0;
    for seq in 0..200 {
        decider.submit(work(seq, "a", "review", 20_000, at(10)), at(10));
        sent += decider.poll(at(10)).len();
    }
    assert!(sent < 200, "all found room");
    for seq in 0..200 {
        decider.observe(Observation::Cancelled(request(seq)), at(11));
    }
    assert!(decider.poll(at(60_000)).is_empty());
}
