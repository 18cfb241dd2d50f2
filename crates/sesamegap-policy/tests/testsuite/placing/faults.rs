//! What callers get when demand is skewed and when engines are slow, crash or lose events.

use super::support::{chain, engine, entry, listing, report, request};
use super::world::{World, quantile};
use sesamegap_policy::{Need, Placed, Placer};
use sesamegap_wire::engine::{CacheBatch, CacheEvent};
use sesamegap_wire::peer::{ColdPrompt, Digest};
use sesamegap_wire::{Incarnation, Moment, Tokens, WeightsVersion};
use std::collections::HashSet;

/// One busy substation's dossier draws nearly all requests of an hour. If all of them went to
/// the one engine that holds it, callers would queue there while other engines are idle.
#[test]
fn a_very_hot_dossier_is_spread() {
    let mut world = World::new(8);
    let mut firsts = Vec::new();
    let mut engines = HashSet::new();
    for seq in 0..600 {
        let got = world.ask(&chain(0, 0, 10, seq % 400));
        if seq > 200 {
            firsts.push(got.first);
            engines.insert(got.engine);
        }
        // 250 ms of work for each engine second of 100 ms: one engine alone would fall behind.
        world.pass(100);
    }
    assert!(engines.len() >= 2, "{engines:?}");
    let p95 = quantile(firsts, 0.95);
    assert!(p95 < 2000, "{p95} ms");
}

/// One engine falls to a quarter of its speed and says nothing of it. Callers whose dossiers lie
/// there must not wait four times as long for ever, and once it is well it must get work again.
#[test]
fn a_slow_engine_loses_work_and_earns_it_back() {
    let mut world = World::new(4);
    let mut seq = 0;
    let mut share = |world: &mut World, asks: u64| {
        let mut there = 0;
        for _ in 0..asks {
            seq += 1;
            let got = world.ask(&chain(seq % 8, seq % 40, 3, seq % 3));
            there += u64::from(got.engine == 1);
            world.pass(150);
        }
        there as f64 / asks as f64
    };
    share(&mut world, 200);
    let usual = share(&mut world, 200);
    world.fakes[1].slowness = 4;
    share(&mut world, 400);
    let slow = share(&mut world, 400);
    world.fakes[1].slowness = 1;
    share(&mut world, 1500);
    let later = share(&mut world, 400);
    assert!(slow < usual * 0.6, "usual {usual}, slow {slow}");
    assert!(later > slow, "slow {slow}, later {later}");
}

/// An engine crashes and comes back empty. A request placed on entries of its former life would
/// be believed cheap and take seconds, and its blocks might come from memory that is gone.
#[test]
fn nothing_is_believed_of_a_former_life() {
    let mut world = World::new(3);
    for seq in 0..30 {
        world.ask(&chain(0, seq % 6, 6, 0));
        world.pass(700);
    }
    world.restart(0);
    let prompt = chain(0, 0, 6, 0);
    for seq in 0..60 {
        let got = world.ask(&chain(0, seq % 6, 6, 0));
        assert!(
            got.believed <= got.cached,
            "{} and {}",
            got.believed,
            got.cached
        );
        world.pass(700);
    }
    assert!(world.ask(&prompt).cached > 0);
}

/// An engine restarts, and its first cache event comes before its first report. What it had
/// loaded is not known then: a request sent there could be answered by other weights.
#[test]
fn a_new_life_must_report_first() {
    let mut world = World::new(2);
    let now = Moment(world.now);
    let batch = CacheBatch {
        incarnation: Incarnation(2),
        events: Vec::new(),
        newest: 0,
    };
    world.placer.cache(&engine(0), &batch, now);
    for seq in 0..50 {
        let Placed::At(at) = world.place(&chain(seq, seq, 3, 0)) else {
            panic!("the other engine is fit");
        };
        assert_eq!(at.engine, engine(1));
    }
    world.placer.report(&engine(0), &report(2, 0), now);
    let again = (0..50).filter(|seq| match world.place(&chain(*seq, *seq, 3, 0)) {
        Placed::At(at) => at.engine == engine(0) && at.incarnation == Incarnation(2),
        _ => false,
    });
    assert!(again.count() > 0);
}

/// An answer of an engine's former life, or a peer's word of it, comes late. Its blocks are gone,
/// and a request placed on them would be computed from nothing.
#[test]
fn late_news_of_a_former_life_is_not_believed() {
    let mut world = World::new(1);
    let prompt = chain(0, 0, 6, 0);
    world.ask(&prompt);
    world.restart(0);
    let now = Moment(world.now);
    world.placer.started(&request(0), Tokens(7 * 4096), now);
    let digest = Digest {
        cold: vec![ColdPrompt {
            engine: engine(0),
            incarnation: Incarnation(1),
            keys: prompt.keys.to_vec(),
        }],
        ..Digest::default()
    };
    world.placer.peer("vm-2", &digest, now);
    let Placed::At(at) = world.place(&prompt) else {
        panic!("the engine is there");
    };
    assert_eq!((at.incarnation, at.cached), (Incarnation(2), Tokens(0)));
}

/// Events are lost on the way, evictions among them. The router would send requests to blocks
/// that are gone, again and again, if it did not notice the gap and ask what is there.
#[test]
fn a_gap_leads_to_a_listing_and_the_truth() {
    let mut world = World::new(1);
    let prompt = chain(0, 0, 6, 0);
    world.ask(&prompt);
    world.pass(2000);
    world.fakes[0].held.clear();
    let late = CacheBatch {
        incarnation: Incarnation(1),
        events: vec![(
            9,
            CacheEvent::Stored {
                keys: vec![prompt.keys[0]],
            },
        )],
        newest: 9,
    };
    let need = world.placer.cache(&engine(0), &late, Moment(world.now));
    assert_eq!(need, Need::Listing);
    let again = world.placer.cache(&engine(0), &late, Moment(world.now));
    assert_eq!(
        again,
        Need::Nothing,
        "listings are asked for at a limited rate"
    );
    let truth = listing(1, 9, vec![prompt.keys[0]]);
    world.placer.listing(&engine(0), &truth, Moment(world.now));
    let Placed::At(at) = world.place(&prompt) else {
        panic!("the engine is there");
    };
    assert_eq!(at.cached.0, 4096);
}

/// An engine leaves, another lost its weights, a third failed. A request sent there would fail
/// or be answered by the wrong weights.
#[test]
fn unfit_engines_are_never_chosen() {
    let mut world = World::new(4);
    let now = Moment(world.now);
    let mut fleet: Vec<_> = (0..4).map(entry).collect();
    fleet[0].leaving = true;
    world.placer.fleet(&fleet, now);
    let mut other = report(1, 0);
    other.loaded[0].1 = WeightsVersion(2);
    world.placer.report(&engine(1), &other, now);
    world.placer.failed(&engine(2), now);
    for seq in 0..200 {
        let Placed::At(at) = world.place(&chain(seq % 9, seq, 3, 0)) else {
            panic!("one engine is fit");
        };
        assert_eq!(at.engine, engine(3));
    }
    world.placer.failed(&engine(3), now);
    assert_eq!(world.place(&chain(0, 0, 3, 0)), Placed::Nowhere);
}

/// An engine comes back empty and idle. If all cold dossiers went there at once, each would wait
/// for those before it although other engines could compute them.
#[test]
fn a_cold_engine_is_not_run_over() {
    let mut world = World::new(4);
    world.restart(2);
    let mut there = 0;
    for seq in 0..8 {
        let got = world.ask(&chain(seq, 100 + seq, 12, 0));
        there += u32::from(got.engine == 2);
    }
    assert!(there <= 3, "{there} of 8 long prompts at once");
}
