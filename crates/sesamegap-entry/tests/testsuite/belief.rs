use crate::support::{Platform, StandinCache, document, entry, offset, settings, until, unused};
use sesamegap_entry::catalogue::KvStore;
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Change, Entry, Flight, PromptShape, Selection};
use sesamegap_entry::follow::{Reading, hear, take};
use sesamegap_entry::kept;
use sesamegap_entry::peers::{self, EngineUpdate};
use sesamegap_entry::ports::{Batch, CacheUpdate, Record, Table, Weights};
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{Incarnation, UpstreamId, WeightsVersion};
use std::sync::Arc;

/// An entry VM that knows the fleet list up to where it begins.
fn vm(name: &str) -> Arc<Core> {
    let platform = Arc::new(Platform::default());
    let core = Core::new(
        settings(name, Vec::new()),
        platform.ports(),
        Logging::none(),
    );
    let core = Arc::new(core.unwrap());
    let position = core.table_progress(Table::Fleet);
    position.position().read(offset(0), clock::now());
    core
}

fn worker() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn listed(beat: u64) -> Record {
    let entry = Entry {
        beat,
        ..entry("desk", unused())
    };
    Record::Upstream(worker(), Box::new(entry))
}

fn removed() -> Record {
    Record::Removed(worker())
}

/// Has a VM read these records of the list itself.
fn read(core: &Core, from: u64, records: Vec<Record>) -> Reading {
    let next = offset(from + records.len() as u64);
    let records = (from..).map(offset).zip(records).collect();
    let reading = take(core, Table::Fleet, offset(from), Batch { records, next });
    core.table_progress(Table::Fleet)
        .position()
        .read(next, clock::now());
    reading
}

fn knows(core: &Core) -> bool {
    core.fleet.lock().get(&worker()).is_some()
}

/// A worker's heartbeats got lost for a while, so its entry was removed and is back since. Eight VMs
/// read both records at once and tell each other. The list is written only when more than a heartbeat
/// changes, so a VM that takes the removal from another's word after it has read the return itself
/// would leave a sound worker without requests for good.
#[test]
fn a_removal_that_is_told_after_the_return_was_read_changes_nothing() {
    let (reader, other) = (vm("vm-1"), vm("vm-2"));
    for core in [&reader, &other] {
        read(core, 0, vec![listed(1)]);
    }
    let word = read(&other, 1, vec![removed(), listed(18)]);
    read(&reader, 1, vec![removed(), listed(18)]);
    assert!(knows(&reader));
    hear(&reader, word.clone());
    assert!(knows(&reader), "the removal came before the return");
    hear(&reader, word);
    assert!(knows(&reader));
}

/// A reader was told of a new worker a moment before it reads that record itself, so it has nothing
/// new to tell. A VM that missed the first word would take the second for all there is and never hear
/// of the worker.
#[test]
fn a_reader_does_not_pass_over_what_it_was_told_before() {
    let (first, second, hearer) = (vm("vm-1"), vm("vm-2"), vm("vm-3"));
    let word = read(&first, 0, vec![listed(1)]);
    hear(&second, word);
    let word = read(&second, 0, vec![listed(1)]);
    hear(&hearer, word);
    let read_up_to = hearer.table_progress(Table::Fleet).position().next();
    assert!(
        knows(&hearer) || read_up_to == Some(offset(0)),
        "it must know the worker or read for itself"
    );
}

fn engine(born: u64, beat: u64, version: u32) -> Record {
    let mut entry = entry("engines", unused());
    entry.born = Some(Incarnation(born));
    entry.beat = beat;
    entry.weights[0].version = WeightsVersion(version);
    Record::Upstream(worker(), Box::new(entry))
}

fn prompt() -> PromptShape {
    PromptShape {
        model: "m".into(),
        prompt: Prompt {
            prefixes: vec![Prefix {
                hash: 77,
                tokens: 500,
            }],
            tokens: 700,
        },
    }
}

/// The engine that a prompt goes to.
fn choose(core: &Core, shape: &PromptShape) -> Option<Flight> {
    let selection = Selection {
        service: &"engines".parse().unwrap(),
        domain: &"hall-a".parse().unwrap(),
        stores: &[],
        shape: Some(shape),
        tried: &[],
        spread: 0,
        shard: None,
        apart: false,
    };
    core.fleet.choose(&selection, clock::now())
}

/// An engine crashes and starts again under its id. It holds the weights of before the last roll, has read
/// no prefix, runs nothing, and is not out for a load. Whatever is kept of its former life misleads: prompts
/// go to it for a cache that is empty, or stay away from it for work that has died with it.
#[test]
fn nothing_of_a_former_life_is_kept() {
    let core = vm("vm-1");
    read(&core, 0, vec![engine(100, 40, 3)]);
    let shape = prompt();
    let mut served = choose(&core, &shape).unwrap();
    served.heard(clock::now());
    let running = choose(&core, &shape).unwrap();
    assert!(running.last_served().is_some());
    let now = clock::now();
    let former = {
        let mut fleet = core.fleet.lock();
        fleet.failed(&worker(), now);
        fleet.get(&worker()).unwrap().life
    };
    let out = EngineUpdate {
        engine: worker(),
        born: Some(Incarnation(100)),
        out_ms: 3_000,
        weights: None,
        gone: false,
    };
    peers::apply_engine_updates(&core, std::slice::from_ref(&out));
    read(&core, 1, vec![engine(200, 1, 1)]);
    {
        let fleet = core.fleet.lock();
        let upstream = fleet.get(&worker()).unwrap();
        assert_ne!(
            upstream.life, former,
            "peers' words on load and silence go by it"
        );
        assert_eq!(fleet.running(upstream, now), 0);
        assert_eq!(fleet.unread(upstream), 0);
        assert_eq!(upstream.version("m"), Some(WeightsVersion(1)));
        assert_eq!(fleet.openness(upstream, now), Availability::Open);
    }
    peers::apply_engine_updates(&core, &[out]);
    let fresh = choose(&core, &shape).unwrap();
    assert!(
        fresh.last_served().is_none(),
        "it has read no prefix in this life"
    );
    running.holds(&"m".into(), WeightsVersion(3));
    running.failed(clock::now());
    drop((served, running));
    let fleet = core.fleet.lock();
    let upstream = fleet.get(&worker()).unwrap();
    assert_eq!(fleet.running_here(upstream), 1, "the one of this life");
    assert_eq!(upstream.version("m"), Some(WeightsVersion(1)));
    assert_eq!(fleet.openness(upstream, clock::now()), Availability::Open);
}

/// A VM that rolls weights has asked an engine that started again and tells the others before the list
/// does. They would send prompts on weights that it no longer holds, and the list's entry of the former
/// life, done late, would undo what they were told.
#[test]
fn a_life_that_a_peer_met_counts_before_the_list_tells_of_it() {
    let core = vm("vm-1");
    read(&core, 0, vec![engine(100, 40, 3)]);
    let loaded = EngineUpdate {
        engine: worker(),
        born: Some(Incarnation(200)),
        out_ms: 0,
        weights: Some(Weights {
            model: "m".into(),
            version: WeightsVersion(4),
        }),
        gone: false,
    };
    peers::apply_engine_updates(&core, &[loaded]);
    read(&core, 1, vec![engine(100, 41, 3)]);
    let fleet = core.fleet.lock();
    assert_eq!(
        fleet.belief(&worker()).unwrap().born(),
        Some(Incarnation(200))
    );
    let held = fleet.get(&worker()).unwrap().version("m");
    assert_eq!(held, Some(WeightsVersion(4)));
}

/// An entry is removed and written again within a batch, while requests run there. Requests that end
/// afterwards must be counted off the same upstream, or it looks busier than it is for good.
#[test]
fn requests_count_on_over_a_gap_in_the_list() {
    let core = vm("vm-1");
    read(&core, 0, vec![engine(100, 1, 3)]);
    let shape = prompt();
    let flights: Vec<_> = (0..2).filter_map(|_| choose(&core, &shape)).collect();
    assert_eq!(flights.len(), 2);
    read(&core, 1, vec![removed()]);
    assert!(!knows(&core));
    let mut flights = flights.into_iter();
    drop(flights.next());
    read(&core, 2, vec![engine(100, 18, 3)]);
    let running = || {
        let fleet = core.fleet.lock();
        fleet.running_here(fleet.get(&worker()).unwrap())
    };
    assert_eq!(running(), 1);
    drop(flights);
    assert_eq!(running(), 0);
}

/// A VM was away for longer than the log reaches back, or takes the whole list anew: what the list does not
/// name is gone. What was heard of meanwhile and lies after the list's end must stay.
#[test]
fn a_list_that_is_older_than_what_was_told_takes_nobody_out() {
    let core = vm("vm-1");
    read(&core, 0, vec![engine(100, 1, 3)]);
    let mut fleet = core.fleet.lock();
    assert!(fleet.keep_only(&[], offset(0), clock::now()).is_empty());
    let kept = fleet.keep_only(&[], offset(1), clock::now());
    assert_eq!(kept, [(worker(), Change::Repeat)]);
    assert!(fleet.get(&worker()).is_some());
    let gone = fleet.keep_only(&[], offset(5), clock::now());
    assert_eq!(gone, [(worker(), Change::Gone)]);
    assert!(fleet.get(&worker()).is_none());
}

/// A store of kept cache starts again, and numbers its news from the beginning. Asked for what follows a
/// number of its former life it has nothing to tell, and is held for one that says nothing.
#[tokio::test]
async fn news_of_a_cache_that_started_again_is_asked_from_its_beginning() {
    let platform = Arc::new(Platform::default());
    let news = |born, next| CacheUpdate {
        next,
        born: Some(Incarnation(born)),
    };
    *platform.cache.lock().unwrap() = Some(StandinCache {
        news: news(1, 900),
        asked: Vec::new(),
    });
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        Logging::none(),
    );
    let core = Arc::new(core.unwrap());
    let mut document = document(1);
    document.kv_stores = vec![KvStore {
        addr: unused(),
        domain: "hall-a".parse().unwrap(),
        link: 1_000,
    }];
    core.adopt(&Arc::new(document), "test");
    tokio::spawn(kept::watch(core));
    let asked = |since| {
        let cache = platform.cache.lock().unwrap();
        cache.as_ref().unwrap().asked.last() == Some(&since)
    };
    until(|| asked(900)).await;
    platform.cache.lock().unwrap().as_mut().unwrap().news = news(2, 3);
    until(|| asked(0)).await;
    until(|| asked(3)).await;
}
