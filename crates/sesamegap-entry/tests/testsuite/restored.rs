//! A store that was restored from an older copy, and VMs that go on.

use crate::support::{Platform, StandinEngine, document, entry, settings, until, unused};
use sesamegap_entry::catalogue::{Document, Revision};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::Entry;
use sesamegap_entry::follow::{self, follow};
use sesamegap_entry::peers;
use sesamegap_entry::ports::{Record, StoreError, Table, Weights};
use sesamegap_entry::roll;
use sesamegap_entry::telemetry::Logging;
use sesamegap_wire::{Fence, LogPosition, Offset, Timeline, UpstreamId, WeightsVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn vm(platform: &Arc<Platform>, name: &str, seeds: Vec<SocketAddr>) -> Arc<Core> {
    let core = Core::new(settings(name, seeds), platform.ports(), Logging::none());
    Arc::new(core.unwrap())
}

/// A platform whose store states its timeline and holds these records.
fn platform(records: Vec<Record>) -> Arc<Platform> {
    let platform = Arc::new(Platform::default());
    platform.restore(records, 0);
    platform
}

fn id(no: usize) -> UpstreamId {
    format!("i-{no}").parse().unwrap()
}

fn worker(no: usize, beat: u64) -> Record {
    let entry = Entry {
        beat,
        ..entry("desk", unused())
    };
    Record::Upstream(id(no), Box::new(entry))
}

fn published(revision: u64) -> Record {
    Record::Document(Arc::new(document(revision)))
}

fn known(core: &Core) -> Vec<UpstreamId> {
    let fleet = core.fleet.lock();
    fleet.upstreams().map(|up| up.id.clone()).collect()
}

/// Guards against a VM that reads on past the new end and never learns of the records that took the place of its own.
#[tokio::test]
async fn records_that_took_the_place_of_lost_ones_are_read() {
    let platform = platform(vec![worker(1, 1), worker(2, 1)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Fleet));
    until(|| known(&core) == [id(1), id(2)]).await;
    let held = [worker(1, 1), worker(3, 1), worker(2, 2), worker(4, 1)];
    platform.restore(held.to_vec(), 0);
    until(|| known(&core) == [id(1), id(2), id(3), id(4)]).await;
}

/// Guards against workers that get no requests because the copy is older than their entry.
#[tokio::test]
async fn a_worker_that_the_copy_lacks_goes_on_serving() {
    let platform = platform(vec![worker(1, 1), worker(2, 5)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Fleet));
    until(|| known(&core).len() == 2).await;
    platform.restore(vec![worker(1, 1)], 0);
    until(|| {
        let fleet = core.fleet.lock();
        fleet
            .belief(&id(2))
            .is_some_and(sesamegap_policy::routing::belief::Belief::is_lapsed)
    })
    .await;
    platform.records.lock().unwrap().push(worker(2, 5));
    let bound = core.settings().durations.lapse + Duration::from_millis(1_500);
    let ends = clock::now() + bound;
    while clock::now() < ends {
        assert_eq!(known(&core).len(), 2);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a document that reverts to the copy's.
#[tokio::test]
async fn a_document_stays_in_force_over_an_older_copy() {
    let platform = platform(vec![published(5)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    until(|| core.revision() == Revision(5)).await;
    platform.restore(vec![published(3)], 0);
    until(|| core.store.timeline() == Timeline(2)).await;
    until(|| {
        let next = core.known(Table::Settings).position().next();
        next.is_some_and(|next| next.timeline == Timeline(2))
    })
    .await;
    assert_eq!(core.revision(), Revision(5));
    platform.records.lock().unwrap().push(published(6));
    until(|| core.revision() == Revision(6)).await;
}

/// Guards against a VM that starts after the restoration and serves a document with keys that were taken away since.
#[tokio::test]
async fn a_vm_that_starts_serves_no_older_document_than_its_peers() {
    let platform = platform(vec![published(3)]);
    let one = vm(&platform, "vm-1", Vec::new());
    one.adopt(&Arc::new(document(5)), "test");
    serve_peers(&one).await;
    let seeds = vec![one.settings().listen.peers];
    let two = vm(&platform, "vm-2", seeds);
    tokio::spawn(follow(Arc::clone(&two), Table::Settings));
    tokio::spawn(peers::run_probes(Arc::clone(&two)));
    let mut seen: Vec<Revision> = Vec::new();
    until(|| {
        let revision = two.revision();
        if revision != Revision::default() && !seen.contains(&revision) {
            seen.push(revision);
        }
        two.known(Table::Settings).position().next().is_some()
    })
    .await;
    assert_eq!(seen, [Revision(5)]);
}

/// Guards against a VM that never starts to serve because nobody answers it.
#[tokio::test]
async fn a_vm_that_starts_alone_takes_the_stores_document() {
    let platform = platform(vec![published(3)]);
    let core = vm(&platform, "vm-1", vec![unused()]);
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    tokio::spawn(peers::run_probes(Arc::clone(&core)));
    until(|| core.revision() == Revision(3)).await;
}

/// Guards against callers that wait or are refused while a VM that lost power with all others waits for their word.
#[tokio::test]
async fn a_vm_does_not_wait_for_vms_that_are_dark() {
    let platform = platform(vec![published(3)]);
    // Takes connections and never answers.
    let dark = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let core = vm(&platform, "vm-1", vec![dark.local_addr().unwrap()]);
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    let rounds = peers::run_probes(Arc::clone(&core));
    let served = until(|| core.revision() == Revision(3));
    tokio::select! {
        () = rounds => panic!("rounds go on"),
        () = served => {}
    }
    assert!(core.peers.addrs_by_status().alive.is_empty());
    let asked = tokio::time::timeout(Duration::ZERO, dark.accept()).await;
    assert!(asked.is_ok(), "it was asked and has not answered");
}

async fn serve_peers(core: &Arc<Core>) {
    use poem::listener::TcpAcceptor;
    let addr = core.settings().listen.peers;
    let listener = tokio::net::TcpListener::bind(addr).await.unwrap();
    let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
    let endpoints = peers::endpoints(Arc::clone(core));
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(endpoints));
}

/// Guards against VMs that new ones cannot find any more.
#[tokio::test]
async fn a_vm_writes_its_own_entry_again() {
    let platform = platform(Vec::new());
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow::vms(Arc::clone(&core)));
    let written = |count| {
        let platform = Arc::clone(&platform);
        move || platform.announced.lock().unwrap().len() >= count
    };
    until(written(1)).await;
    platform.restore(Vec::new(), 0);
    // Any call shows it; the table of VMs itself is read seldom.
    drop(core.store.snapshot(Table::Fleet).await);
    until(written(2)).await;
}

/// Guards against orders that engines refuse, or take for older ones, since offsets begin again.
#[tokio::test]
async fn fencing_numbers_rise_although_offsets_go_back() {
    let platform = platform(Vec::new());
    let core = vm(&platform, "vm-1", Vec::new());
    {
        let mut engines = platform.engines.lock().unwrap();
        for no in 0..2 {
            let engine = StandinEngine::new(unused());
            let entry = entry("engines", engine.addr);
            engines.push(engine);
            let at = LogPosition::new(Timeline(1), Offset(no));
            let id = format!("e{no}").parse().unwrap();
            core.fleet.lock().apply(&id, entry, at, clock::now());
        }
    }
    tokio::spawn(roll::run(Arc::clone(&core)));
    for version in [2, 3] {
        let weights = Weights {
            model: "m".into(),
            version: WeightsVersion(version),
        };
        core.fleet.lock().name_weights(&weights, clock::now());
        core.weights_named.notify_one();
        until(|| {
            let engines = platform.engines.lock().unwrap();
            engines.iter().all(|engine| engine.version == version)
        })
        .await;
        platform.restore(Vec::new(), 0);
        // Any call shows it.
        drop(core.store.snapshot(Table::Fleet).await);
    }
    let engines = platform.engines.lock().unwrap();
    for engine in engines.iter() {
        let fences: Vec<Fence> = engine.orders.iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted_by(|one, next| one < next), "{fences:?}");
    }
}

/// Guards against a claim made on offsets of before the restoration that passes for one on those of after it.
#[tokio::test]
async fn an_append_across_a_restoration_is_not_taken_for_done() {
    let platform = platform(Vec::new());
    let core = vm(&platform, "vm-1", Vec::new());
    let (_, end) = core
        .store
        .lease_records(LogPosition::default())
        .await
        .unwrap_or_default();
    assert_eq!(
        end,
        LogPosition::default(),
        "its first answer showed the timeline"
    );
    let start = LogPosition::new(Timeline(1), Offset(0));
    let (_, end) = core.store.lease_records(start).await.unwrap();
    platform.restore(Vec::new(), 0);
    let done = core
        .store
        .lease_append(bytes::Bytes::from_static(b"x"), end)
        .await;
    assert_eq!(done, Err(StoreError::Restored(Timeline(2))));
    assert_eq!(core.store.timeline(), Timeline(2));
}

/// Guards against views that go back to a former timeline by an answer that was held up.
#[tokio::test]
async fn an_answer_of_a_former_timeline_changes_nothing() {
    let platform = platform(vec![worker(1, 1)]);
    platform.restore(vec![worker(1, 1)], 0);
    let core = vm(&platform, "vm-1", Vec::new());
    core.store.snapshot(Table::Fleet).await.unwrap();
    for stated in [Some(Timeline(1)), None] {
        *platform.timeline.lock().unwrap() = stated;
        let read = core.store.snapshot(Table::Fleet).await;
        assert!(matches!(read, Err(StoreError::OffTimeline(_))), "{read:?}");
        assert_eq!(core.store.timeline(), Timeline(2));
    }
}

/// Guards against a document that is compared by where it lies and not by its revision.
#[tokio::test]
async fn the_same_document_written_again_changes_nothing() {
    let platform = platform(vec![published(5)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    until(|| core.revision() == Revision(5)).await;
    let catalogue = core.catalogue().unwrap();
    platform.restore(Vec::new(), 0);
    until(|| core.store.timeline() == Timeline(2)).await;
    let again: Arc<Document> = Arc::new(document(5));
    platform
        .records
        .lock()
        .unwrap()
        .push(Record::Document(again));
    until(|| {
        let next = core.known(Table::Settings).position().next();
        next == Some(LogPosition::new(Timeline(2), Offset(1)))
    })
    .await;
    assert!(Arc::ptr_eq(&catalogue, &core.catalogue().unwrap()));
}
