use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::cache_locations::CacheLocations;
use sesamegap_policy::routing::engines::{
    Engine, EngineLocation, Prefix, Prompt, choose, for_long, rank,
};
use sesamegap_policy::routing::speeds::Speed;
use sesamegap_wire::Moment;

fn engines(count: u64) -> Vec<Engine> {
    let divided: Vec<EngineLocation> = (0..count)
        .map(|seed| EngineLocation {
            seed,
            by_store: seed % 3 == 0,
        })
        .collect();
    for_long(&divided)
        .into_iter()
        .zip(0..count)
        .map(|(long, seed)| Engine {
            seed,
            life: seed,
            near: false,
            running: 0,
            slots: 128,
            store: 1,
            waiting: 0,
            unread: 0,
            version: 1,
            state: Availability::Open,
            long,
            speed: Speed::USUAL,
            weight: Speed::USUAL,
        })
        .collect()
}

fn prompt(preamble: u64, dossier: u64, own: u64) -> Prompt {
    Prompt {
        prefixes: vec![
            Prefix {
                hash: preamble,
                tokens: 2_500,
            },
            Prefix {
                hash: preamble << 32 | dossier,
                tokens: 6_300,
            },
        ],
        tokens: 6_300 + own,
    }
}

fn short(thing: u64) -> Prompt {
    Prompt {
        prefixes: vec![Prefix {
            hash: thing,
            tokens: 198,
        }],
        tokens: 826,
    }
}

fn serve(cache_locations: &mut CacheLocations, prompt: &Prompt, engine: &Engine) {
    for prefix in &prompt.prefixes {
        cache_locations.note(prefix.hash, engine.seed, engine.version, Moment(0));
    }
}

/// If two entry VMs that never exchanged a message placed one dossier on two engines, its prefix would be computed twice.
#[test]
fn vms_agree_on_the_engine_of_a_dossier_without_messages() {
    let fleet = engines(9);
    let (mut one, mut two) = (CacheLocations::default(), CacheLocations::default());
    for preamble in 0..4 {
        for dossier in 0..30 {
            let asked = prompt(preamble, dossier, 2_000);
            for cache_locations in [&mut one, &mut two] {
                let first = choose(&asked, &fleet, 1, cache_locations).expect("engines are open");
                serve(cache_locations, &asked, &fleet[first.at]);
            }
            let placed = |cache_locations: &CacheLocations| {
                choose(&asked, &fleet, 1, cache_locations).map(|c| c.at)
            };
            assert_eq!(placed(&one), placed(&two));
        }
    }
}

/// After new weights all caches are empty. When dossiers of one preamble arrive together, each engine would compute the
/// preamble itself.
#[test]
fn the_first_dossier_of_a_preamble_goes_to_its_home_and_the_next_ones_fetch_from_there() {
    let fleet = engines(9);
    let mut cache_locations = CacheLocations::default();
    let first =
        choose(&prompt(1, 0, 2_000), &fleet, 1, &cache_locations).expect("engines are open");
    let again =
        choose(&prompt(1, 1, 2_000), &fleet, 1, &cache_locations).expect("engines are open");
    assert_eq!(first.at, again.at, "both wait for the one computation");
    serve(&mut cache_locations, &prompt(1, 0, 2_000), &fleet[first.at]);
    let mut spread = 0;
    for dossier in 2..40 {
        let choice = choose(&prompt(1, dossier, 2_000), &fleet, 1, &cache_locations).expect("open");
        if choice.at != first.at {
            spread += 1;
            assert_eq!(choice.source, Some(first.at), "the preamble is fetched");
        }
    }
    assert!(
        spread > 20,
        "dossiers spread over their own homes: {spread}"
    );
}

/// A cache entry computed with other weights must never be fetched.
#[test]
fn nothing_is_fetched_across_weight_versions() {
    let mut fleet = engines(9);
    let cache_locations = CacheLocations::default();
    for (no, engine) in fleet.iter_mut().enumerate() {
        engine.version = if no % 2 == 0 { 1 } else { 2 };
    }
    for dossier in 0..200 {
        let choice = choose(
            &prompt(dossier % 4, dossier, 900),
            &fleet,
            2,
            &cache_locations,
        )
        .expect("open");
        if let Some(source) = choice.source {
            assert_eq!(fleet[source].version, fleet[choice.at].version);
        }
    }
}

/// When a quarter of the traffic uses one dossier, its callers would wait in one queue while other engines are idle.
#[test]
fn a_hot_dossier_spills_over_and_fetches_from_its_home() {
    let mut fleet = engines(9);
    let mut cache_locations = CacheLocations::default();
    let hot = prompt(1, 7, 2_000);
    let home = choose(&hot, &fleet, 1, &cache_locations).expect("open").at;
    serve(&mut cache_locations, &hot, &fleet[home]);
    let settled = choose(&hot, &fleet, 1, &cache_locations).expect("open").at;
    serve(&mut cache_locations, &hot, &fleet[settled]);
    fleet[settled].unread = 40_000;
    let spilled = choose(&hot, &fleet, 1, &cache_locations).expect("open");
    assert_ne!(spilled.at, settled);
    let inner = hot.prefixes[1].hash;
    let holds = cache_locations.served(inner, &fleet[spilled.at]);
    let fetches = spilled
        .source
        .is_some_and(|source| cache_locations.served(inner, &fleet[source]));
    assert!(holds || fetches, "{spilled:?}");
}

/// At full load, a chat on an engine that prefills long prompts gets its tokens in bursts, and its memory is not
/// available for cached prefixes.
#[test]
fn long_and_short_prompts_use_separate_engines_until_one_kind_queues() {
    let mut fleet = engines(9);
    let cache_locations = CacheLocations::default();
    for thing in 0..100 {
        let chat = choose(&short(thing), &fleet, 1, &cache_locations).expect("open");
        assert!(!fleet[chat.at].long);
        let review = choose(
            &prompt(thing % 4, thing, 3_000),
            &fleet,
            1,
            &cache_locations,
        )
        .expect("open");
        assert!(fleet[review.at].long);
    }
    for engine in &mut fleet {
        engine.unread = if engine.long { 60_000 } else { 0 };
    }
    let review = choose(&prompt(1, 1, 3_000), &fleet, 1, &cache_locations).expect("open");
    assert!(
        !fleet[review.at].long,
        "two seconds of queue cost more than an engine of the other kind"
    );
}

#[test]
fn engines_in_the_stores_failure_domain_take_the_long_prompts() {
    let divided: Vec<EngineLocation> = (0..9)
        .map(|seed| EngineLocation {
            seed,
            by_store: seed < 3,
        })
        .collect();
    let long = for_long(&divided);
    assert!(long[..3].iter().all(|long| *long), "{long:?}");
    assert_eq!(long.iter().filter(|long| **long).count(), 6);
}

/// Each failure domain has a kept-KV store, and a dossier's home is busy. An engine that uses another store would prefill
/// again what the home has lost, so one with the same store is preferred; an engine elsewhere fetches from the home.
#[test]
fn a_prompt_that_leaves_its_home_prefers_the_same_store() {
    let mut fleet = engines(60);
    for engine in &mut fleet {
        engine.store = 1 + engine.seed % 3;
    }
    let cache_locations = CacheLocations::default();
    for dossier in 0..40 {
        let mut fleet = fleet.clone();
        let asked = prompt(1, dossier, 2_000);
        let home = choose(&asked, &fleet, 1, &cache_locations)
            .expect("open")
            .at;
        fleet[home].unread = 9_000;
        let spilled = choose(&asked, &fleet, 1, &cache_locations).expect("open");
        assert_ne!(spilled.at, home);
        assert_eq!(fleet[spilled.at].store, fleet[home].store);
        assert!(spilled.at_store);
        for engine in &mut fleet {
            if engine.store == 1 + store_index(home) {
                engine.unread = 90_000;
            }
        }
        let away = choose(&asked, &fleet, 1, &cache_locations).expect("open");
        assert!(!away.at_store);
        assert_eq!(away.source, Some(home));
    }
}

fn store_index(home: usize) -> u64 {
    home as u64 % 3
}

/// Chats hold all slots of some engines for a second or more. Another chat there would wait for a slot while other engines
/// have free ones.
#[test]
fn a_chat_avoids_engines_without_a_free_slot() {
    let mut fleet = engines(20);
    for engine in &mut fleet {
        engine.slots = 12;
    }
    let cache_locations = CacheLocations::default();
    for thing in 0..50 {
        let mut fleet = fleet.clone();
        let home = choose(&short(thing), &fleet, 1, &cache_locations)
            .expect("open")
            .at;
        fleet[home].running = 12;
        let placed = choose(&short(thing), &fleet, 1, &cache_locations)
            .expect("open")
            .at;
        assert_ne!(placed, home);
    }
}

/// Callers sent to an unresponsive engine would wait for a connection that never opens.
#[test]
fn a_suspect_or_paused_engine_gets_nothing_while_others_are_open() {
    let mut fleet = engines(6);
    let cache_locations = CacheLocations::default();
    fleet[0].state = Availability::Suspect;
    fleet[1].state = Availability::Paused;
    for thing in 0..200 {
        let choice = choose(&short(thing), &fleet, 1, &cache_locations).expect("open");
        assert!(choice.at > 1, "{choice:?}");
        assert!(choice.source.is_none_or(|source| source > 1), "{choice:?}");
    }
    for engine in &mut fleet {
        engine.state = Availability::Paused;
    }
    assert_eq!(choose(&short(1), &fleet, 1, &cache_locations), None);
}

#[test]
fn homes_spread_evenly() {
    let mut counts = [0_u32; 9];
    for prefix in 0..9_000_u64 {
        let best = (0..9).max_by_key(|seed| rank(prefix, *seed)).unwrap_or(0);
        counts[usize::try_from(best).expect("nine engines")] += 1;
    }
    assert!(
        counts.iter().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}

/// A VM that observes more prefixes than it may store evicts the oldest.
#[test]
fn cache_locations_are_bounded_and_keep_the_newest() {
    let mut cache_locations = CacheLocations::default();
    let engine = engines(1)[0];
    for prefix in 0..100_000 {
        cache_locations.note(prefix, engine.seed, engine.version, Moment(prefix));
    }
    assert!(cache_locations.served(99_999, &engine));
    assert!(!cache_locations.served(1, &engine));
}

/// Guards against prompts that all go to the home of their preamble because the VM has evicted the home's entry after
/// many engines served the preamble.
#[test]
fn a_preamble_that_all_engines_served_counts_as_served_at_its_home() {
    let fleet = engines(16);
    let mut cache_locations = CacheLocations::default();
    cache_locations.set_complete();
    let first =
        choose(&prompt(1, 0, 2_000), &fleet, 1, &cache_locations).expect("engines are open");
    serve(&mut cache_locations, &prompt(1, 0, 2_000), &fleet[first.at]);
    for (dossier, engine) in (1..).zip(&fleet) {
        serve(&mut cache_locations, &prompt(1, dossier, 2_000), engine);
    }
    let placed = (100..300).filter(|dossier| {
        let choice = choose(&prompt(1, *dossier, 2_000), &fleet, 1, &cache_locations);
        choice.is_some_and(|choice| choice.at == first.at)
    });
    assert!(placed.count() < 50);
}

/// Guards against fetching a prefix from an engine that has most likely evicted it.
#[test]
fn a_prefix_is_fetched_from_the_engine_that_served_it_last() {
    let fleet = engines(9);
    let mut cache_locations = CacheLocations::default();
    cache_locations.set_complete();
    let asked = prompt(1, 7, 2_000);
    for (second, engine) in [2, 5, 3].into_iter().zip(&fleet) {
        for prefix in &asked.prefixes {
            cache_locations.note(
                prefix.hash,
                engine.life,
                engine.version,
                Moment(second * 1_000_000),
            );
        }
    }
    let elsewhere: Vec<Engine> = fleet
        .iter()
        .enumerate()
        .map(|(no, engine)| Engine {
            unread: if no < 3 { 100_000 } else { 0 },
            ..*engine
        })
        .collect();
    let choice = choose(&asked, &elsewhere, 1, &cache_locations).expect("engines are open");
    assert_eq!(choice.source, Some(1));
}
