use crate::support::{
    Platform, StandinKvStore, batch, document, entry, offset, settings, unused_addr, wait_until,
};
use rustc_hash::FxHashSet;
use sesamegap_entry::catalogue::KvStore;
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Change, Entry, Flight, PromptShape, Selection};
use sesamegap_entry::follow::{TableUpdate, apply_batch, apply_update};
use sesamegap_entry::kept;
use sesamegap_entry::peers::{self, EngineUpdate};
use sesamegap_entry::ports::{CacheUpdate, Record, Table, Weights};
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::engines::{Prefix, Prompt};
use sesamegap_wire::{Incarnation, UpstreamId, WeightsVersion};
use std::sync::Arc;
use std::time::Duration;

/// An entry VM that has read the fleet list up to its first position.
fn vm(name: &str) -> Arc<Core> {
    let platform = Arc::new(Platform::default());
    let core = Core::new(
        settings(name, Vec::new()),
        platform.ports(),
        Logging::disabled(),
    );
    let core = Arc::new(core.unwrap());
    let position = core.table_progress(Table::Fleet);
    position.position().record_read(offset(0), clock::now());
    core
}

fn worker() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn listed(beat: u64) -> Record {
    let entry = Entry {
        beat,
        ..entry("desk", unused_addr())
    };
    Record::Upstream(worker(), Box::new(entry))
}

fn removed() -> Record {
    Record::Removed(worker())
}

/// Lets a VM read these records from the list.
fn read(core: &Core, from: u64, records: Vec<Record>) -> TableUpdate {
    let batch = batch(from, records);
    let next = batch.next;
    let update = apply_batch(core, Table::Fleet, offset(from), batch);
    core.table_progress(Table::Fleet)
        .position()
        .record_read(next, clock::now());
    update
}

fn knows(core: &Core) -> bool {
    core.fleet.lock().get(&worker()).is_some()
}

/// A worker's heartbeats were lost for a while, so its entry was removed and later listed again. Eight VMs read both
/// records at once and send each other updates. The list is written only when more than the heartbeat changes, so a
/// VM that applies a peer's report of the removal after reading the new entry would send a healthy worker no requests
/// ever again.
#[test]
fn a_removal_relayed_after_a_newer_entry_was_read_changes_nothing() {
    let (reader, other) = (vm("vm-1"), vm("vm-2"));
    for core in [&reader, &other] {
        read(core, 0, vec![listed(1)]);
    }
    let update = read(&other, 1, vec![removed(), listed(18)]);
    read(&reader, 1, vec![removed(), listed(18)]);
    assert!(knows(&reader));
    apply_update(&reader, update.clone());
    assert!(knows(&reader), "the removal precedes the new entry");
    apply_update(&reader, update);
    assert!(knows(&reader));
}

/// A reader receives a peer's update about a new worker just before it reads that record itself, so the record is not
/// news to it. A VM that missed the first update would take the reader's for complete and never learn of the worker.
#[test]
fn an_update_that_omits_known_changes_is_not_complete() {
    let (first, second, receiver) = (vm("vm-1"), vm("vm-2"), vm("vm-3"));
    let update = read(&first, 0, vec![listed(1)]);
    apply_update(&second, update);
    let update = read(&second, 0, vec![listed(1)]);
    apply_update(&receiver, update);
    let read_up_to = receiver.table_progress(Table::Fleet).position().next();
    assert!(
        knows(&receiver) || read_up_to == Some(offset(0)),
        "it must know the worker or read the list itself"
    );
}

fn engine(born: u64, beat: u64, version: u32) -> Record {
    let mut entry = entry("engines", unused_addr());
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

/// Chooses an engine for a prompt.
fn choose(core: &Core, shape: &PromptShape) -> Option<Flight> {
    let selection = Selection {
        service: &"engines".parse().unwrap(),
        domain: &"hall-a".parse().unwrap(),
        stores: &[],
        shape: Some(shape),
        tried: &[],
        tie_breaker: 0,
        shard: None,
        least_loaded: false,
        software: None,
        terms: None,
        left: Duration::ZERO,
        alone: false,
    };
    core.fleet.choose(&selection, clock::now()).ok()
}

/// An engine crashes and restarts with the same id. It has the weights from before the last roll, an empty cache
/// and no running requests, and is not paused for loading weights. State kept from its previous incarnation would
/// send prompts to it for an empty cache, or keep them away because of requests that ended with the crash.
#[test]
fn no_state_of_a_previous_incarnation_is_kept() {
    let core = vm("vm-1");
    read(&core, 0, vec![engine(100, 40, 3)]);
    let shape = prompt();
    let mut served = choose(&core, &shape).unwrap();
    served.record_received(clock::now());
    let running = choose(&core, &shape).unwrap();
    assert!(running.last_served().is_some());
    let now = clock::now();
    let previous_life = {
        let mut fleet = core.fleet.lock();
        fleet.record_failure(&worker(), now);
        fleet.get(&worker()).unwrap().life
    };
    let pause = EngineUpdate {
        engine: worker(),
        born: Some(Incarnation(100)),
        out_ms: 3_000,
        weights: None,
        gone: false,
    };
    peers::apply_engine_updates(&core, std::slice::from_ref(&pause));
    read(&core, 1, vec![engine(200, 1, 1)]);
    {
        let fleet = core.fleet.lock();
        let upstream = fleet.get(&worker()).unwrap();
        assert_ne!(
            upstream.life, previous_life,
            "peers' reports of load and silence refer to it"
        );
        assert_eq!(fleet.running(upstream, now), 0);
        assert_eq!(fleet.unread(upstream), 0);
        assert_eq!(upstream.version("m"), Some(WeightsVersion(1)));
        assert_eq!(fleet.availability(upstream, now), Availability::Open);
    }
    peers::apply_engine_updates(&core, &[pause]);
    let fresh = choose(&core, &shape).unwrap();
    assert!(
        fresh.last_served().is_none(),
        "this incarnation has served no prefix"
    );
    running.record_version(&"m".into(), WeightsVersion(3));
    running.record_failure(clock::now());
    drop((served, running));
    let fleet = core.fleet.lock();
    let upstream = fleet.get(&worker()).unwrap();
    assert_eq!(
        fleet.counted_running(upstream),
        1,
        "the request of this incarnation"
    );
    assert_eq!(upstream.version("m"), Some(WeightsVersion(1)));
    assert_eq!(
        fleet.availability(upstream, clock::now()),
        Availability::Open
    );
}

/// The VM that rolls out weights queries a restarted engine and reports to its peers before the list does. Otherwise
/// they would send prompts for weights that the engine no longer has, and a delayed entry of the previous incarnation
/// would revert the report.
#[test]
fn an_incarnation_observed_by_a_peer_applies_before_it_is_listed() {
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

/// An entry is removed and listed again while requests run at its upstream. Requests that end afterwards must be
/// subtracted from the same upstream, or it would look busier than it is for ever.
#[test]
fn running_requests_stay_counted_while_an_entry_is_missing() {
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
        fleet.counted_running(fleet.get(&worker()).unwrap())
    };
    assert_eq!(running(), 1);
    drop(flights);
    assert_eq!(running(), 0);
}

/// A VM reads the whole list, for example because the log no longer reaches back to its position, and removes what is
/// missing. Upstreams that a peer reported at a position after the end of that read must stay.
#[test]
fn a_list_older_than_a_peers_update_removes_no_upstream() {
    let core = vm("vm-1");
    read(&core, 0, vec![engine(100, 1, 3)]);
    let mut fleet = core.fleet.lock();
    assert!(
        fleet
            .keep_only(&FxHashSet::default(), offset(0), clock::now())
            .is_empty()
    );
    let kept = fleet.keep_only(&FxHashSet::default(), offset(1), clock::now());
    assert_eq!(kept, [(worker(), Change::Repeat)]);
    assert!(fleet.get(&worker()).is_some());
    let gone = fleet.keep_only(&FxHashSet::default(), offset(5), clock::now());
    assert_eq!(gone, [(worker(), Change::Gone)]);
    assert!(fleet.get(&worker()).is_none());
}

/// A kept-KV store restarts and numbers its news from the beginning. If it were still asked for news after a number
/// of its previous incarnation, it would have none and be considered unresponsive.
#[tokio::test]
async fn news_of_a_restarted_kv_store_is_requested_from_the_beginning() {
    let platform = Arc::new(Platform::default());
    let news = |born, next| CacheUpdate {
        next,
        born: Some(Incarnation(born)),
    };
    *platform.cache.lock().unwrap() = Some(StandinKvStore {
        news: news(1, 900),
        asked: Vec::new(),
    });
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        Logging::disabled(),
    );
    let core = Arc::new(core.unwrap());
    let mut document = document(1);
    document.kv_stores = vec![KvStore {
        addr: unused_addr(),
        domain: "hall-a".parse().unwrap(),
        link: 1_000,
    }];
    core.adopt(&Arc::new(document), "test");
    tokio::spawn(kept::watch(core));
    let asked = |since| {
        let cache = platform.cache.lock().unwrap();
        cache.as_ref().unwrap().asked.last() == Some(&since)
    };
    wait_until(|| asked(900)).await;
    platform.cache.lock().unwrap().as_mut().unwrap().news = news(2, 3);
    wait_until(|| asked(0)).await;
    wait_until(|| asked(3)).await;
}
