//! The placer's choice among a few candidates against a scan of all engines.

use super::support::{
    UnlimitedRoom, ask, chain, class, engine, first_failure, listing, model, placer, report,
    request,
};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use rand::{Rng, RngExt};
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::{PlacementOutcome, PlacementRequest, Placer};
use sesamegap_wire::{Moment, UpstreamId};

const NOW: Moment = Moment(1_000_000_000);

/// Maximum mean ratio, over a case, of the chosen engine's cost to the lowest cost in the fleet. It
/// exceeds 1 because near ties are broken at random and not all engines are compared.
const MAX_MEAN_RATIO: f64 = 1.05;

/// Requests placed in each case.
const REQUESTS_PER_CASE: u64 = 60;

/// Creates a placer for a fleet with random queues and caches.
fn fleet(seed: u64, engines: usize) -> PrefixPlacer {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let mut placer = placer(engines, NOW);
    for at in 0..engines {
        let queued = if rng.random_bool(0.3) {
            rng.random_range(0..60_000)
        } else {
            0
        };
        placer.apply_report(&engine(at), &report(1, queued), NOW);
        let mut keys = Vec::new();
        for _ in 0..4 {
            let held = chain(rng.random_range(0..4), rng.random_range(0..30), 8, 1);
            keys.extend(held.keys.iter().take(rng.random_range(1..10)).copied());
        }
        placer.apply_listing(&engine(at), &listing(1, 1, keys), NOW);
    }
    placer
}

fn cost(placer: &PrefixPlacer, id: &UpstreamId, ask: &PlacementRequest<'_>) -> f64 {
    placer.cost(ask, id, NOW).unwrap()
}

/// Mean ratio of the chosen engine's cost to the lowest cost of all engines.
fn ratio(
    seed: u64,
    choose: impl Fn(&mut PrefixPlacer, &PlacementRequest<'_>, &mut ChaCha12Rng) -> UpstreamId,
) -> f64 {
    let engines = 12 + usize::try_from(seed % 60).unwrap();
    let mut placer = fleet(seed, engines);
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 1);
    let (model, class) = (model(), class());
    let mut sum = 0.0;
    for seq in 0..REQUESTS_PER_CASE {
        let chain = chain(rng.random_range(0..4), rng.random_range(0..40), 8, 1);
        let request = request(seq);
        let ask = ask(&request, &model, &chain, &class);
        let chosen = choose(&mut placer, &ask, &mut rng);
        let all = (0..engines).map(|at| cost(&placer, &engine(at), &ask));
        let best = all.fold(f64::INFINITY, f64::min);
        sum += cost(&placer, &chosen, &ask) / best;
    }
    sum / REQUESTS_PER_CASE as f64
}

fn place(
    placer: &mut PrefixPlacer,
    ask: &PlacementRequest<'_>,
    rng: &mut ChaCha12Rng,
) -> UpstreamId {
    match placer.place(ask, &UnlimitedRoom, NOW, rng) {
        PlacementOutcome::At(at) => at.engine,
        other => panic!("{other:?}"),
    }
}

fn check(seed: u64, ratio: f64) -> Result<(), String> {
    if ratio <= MAX_MEAN_RATIO {
        return Ok(());
    }
    Err(format!("mean cost ratio {ratio} at seed {seed}"))
}

#[test]
fn candidates_cost_little_more_than_a_full_scan() {
    let failure = first_failure(|seed: &u16| {
        let seed = u64::from(*seed);
        check(seed, ratio(seed, place))
    });
    assert_eq!(failure, None);
}

#[test]
fn the_scan_detects_a_random_choice() {
    let failure = first_failure(|seed: &u16| {
        let seed = u64::from(*seed);
        let random = ratio(seed, |placer, ask, rng| {
            place(placer, ask, rng);
            let at = usize::try_from(rng.next_u32()).unwrap() % 12;
            engine(at)
        });
        check(seed, random)
    });
    assert!(failure.is_some());
}
