//! VMs that keep running while the store is restored from an older backup.

use crate::support::{Platform, StandinEngine, document, entry, settings, unused_addr, wait_until};
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
    let core = Core::new(settings(name, seeds), platform.ports(), Logging::disabled());
    Arc::new(core.unwrap())
}

/// Creates a platform whose store reports its timeline and holds these records.
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
        ..entry("desk", unused_addr())
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

/// Guards against a VM that continues to read at its old offset and misses the records that replaced the lost ones.
#[tokio::test]
async fn records_that_replaced_lost_ones_are_read() {
    let platform = platform(vec![worker(1, 1), worker(2, 1)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Fleet));
    wait_until(|| known(&core) == [id(1), id(2)]).await;
    let restored = [worker(1, 1), worker(3, 1), worker(2, 2), worker(4, 1)];
    platform.restore(restored.to_vec(), 0);
    wait_until(|| known(&core) == [id(1), id(2), id(3), id(4)]).await;
}

/// Guards against workers that get no requests because the backup is older than their entry.
#[tokio::test]
async fn a_worker_missing_from_the_backup_stays_in_use() {
    let platform = platform(vec![worker(1, 1), worker(2, 5)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Fleet));
    wait_until(|| known(&core).len() == 2).await;
    platform.restore(vec![worker(1, 1)], 0);
    wait_until(|| {
        let fleet = core.fleet.lock();
        fleet
            .belief(&id(2))
            .is_some_and(sesamegap_policy::routing::belief::Belief::is_lapsed)
    })
    .await;
    platform.records.lock().unwrap().push(worker(2, 5));
    let bound = core.settings().spans.lapse + Duration::from_millis(1_500);
    let deadline = clock::now() + bound;
    while clock::now() < deadline {
        assert_eq!(known(&core).len(), 2);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a document that is reverted to the older one of the backup.
#[tokio::test]
async fn a_document_is_not_reverted_by_an_older_backup() {
    let platform = platform(vec![published(5)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    wait_until(|| core.revision() == Revision(5)).await;
    platform.restore(vec![published(3)], 0);
    wait_until(|| core.store.timeline() == Timeline(2)).await;
    wait_until(|| {
        let next = core.table_progress(Table::Settings).position().next();
        next.is_some_and(|next| next.timeline == Timeline(2))
    })
    .await;
    assert_eq!(core.revision(), Revision(5));
    platform.records.lock().unwrap().push(published(6));
    wait_until(|| core.revision() == Revision(6)).await;
}

/// Guards against a VM that starts after the restore and serves a document with keys that have been revoked since.
#[tokio::test]
async fn a_starting_vm_serves_no_older_document_than_its_peers() {
    let platform = platform(vec![published(3)]);
    let one = vm(&platform, "vm-1", Vec::new());
    one.adopt(&Arc::new(document(5)), "test");
    serve_peers(&one).await;
    let seeds = vec![one.settings().listen.peers];
    let two = vm(&platform, "vm-2", seeds);
    tokio::spawn(follow(Arc::clone(&two), Table::Settings));
    tokio::spawn(peers::run_probes(Arc::clone(&two)));
    let mut seen: Vec<Revision> = Vec::new();
    wait_until(|| {
        let revision = two.revision();
        if revision != Revision::default() && !seen.contains(&revision) {
            seen.push(revision);
        }
        two.table_progress(Table::Settings)
            .position()
            .next()
            .is_some()
    })
    .await;
    assert_eq!(seen, [Revision(5)]);
}

/// Guards against a VM that never starts to serve because no peer responds.
#[tokio::test]
async fn a_starting_vm_without_peers_uses_the_stores_document() {
    let platform = platform(vec![published(3)]);
    let core = vm(&platform, "vm-1", vec![unused_addr()]);
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    tokio::spawn(peers::run_probes(Arc::clone(&core)));
    wait_until(|| core.revision() == Revision(3)).await;
}

/// Guards against callers that wait or are refused while a VM waits for its peers after all VMs lost power together.
#[tokio::test]
async fn a_vm_does_not_wait_for_unresponsive_vms() {
    let platform = platform(vec![published(3)]);
    // Accepts connections and never responds.
    let unresponsive = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let core = vm(&platform, "vm-1", vec![unresponsive.local_addr().unwrap()]);
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    let probes = peers::run_probes(Arc::clone(&core));
    let served = wait_until(|| core.revision() == Revision(3));
    tokio::select! {
        () = probes => panic!("the probes must not end"),
        () = served => {}
    }
    assert!(core.peers.addrs_by_status().alive.is_empty());
    let contacted = tokio::time::timeout(Duration::ZERO, unresponsive.accept()).await;
    assert!(
        contacted.is_ok(),
        "the VM must have contacted the unresponsive one"
    );
}

async fn serve_peers(core: &Arc<Core>) {
    use poem::listener::TcpAcceptor;
    let addr = core.settings().listen.peers;
    let listener = tokio::net::TcpListener::bind(addr).await.unwrap();
    let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
    let endpoints = peers::endpoints(Arc::clone(core));
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(endpoints));
}

/// Guards against VMs that new VMs cannot find after a restore.
#[tokio::test]
async fn a_vm_rewrites_its_own_entry() {
    let platform = platform(Vec::new());
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow::follow_vms(Arc::clone(&core)));
    let written = |count| {
        let platform = Arc::clone(&platform);
        move || platform.announced.lock().unwrap().len() >= count
    };
    wait_until(written(1)).await;
    platform.restore(Vec::new(), 0);
    // Any call reveals the new timeline; the table of VMs itself is read rarely.
    drop(core.store.snapshot(Table::Fleet).await);
    wait_until(written(2)).await;
}

/// Guards against orders that engines refuse or consider outdated because offsets start again.
#[tokio::test]
async fn fencing_tokens_increase_although_offsets_go_back() {
    let platform = platform(Vec::new());
    let core = vm(&platform, "vm-1", Vec::new());
    {
        let mut engines = platform.engines.lock().unwrap();
        for no in 0..2 {
            let engine = StandinEngine::new(unused_addr());
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
        core.fleet.lock().observe_naming(&weights, clock::now());
        core.weights_named.notify_one();
        wait_until(|| {
            let engines = platform.engines.lock().unwrap();
            engines.iter().all(|engine| engine.version == version)
        })
        .await;
        platform.restore(Vec::new(), 0);
        // Any call reveals the new timeline.
        drop(core.store.snapshot(Table::Fleet).await);
    }
    let engines = platform.engines.lock().unwrap();
    for engine in engines.iter() {
        let fences: Vec<Fence> = engine.orders.iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted_by(|one, next| one < next), "{fences:?}");
    }
}

/// Guards against a lease claim at an offset from before the restore that is taken for one at an offset from after it.
#[tokio::test]
async fn an_append_across_a_restore_is_not_reported_as_done() {
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
        "the first reply reveals the timeline"
    );
    let start = LogPosition::new(Timeline(1), Offset(0));
    let (_, end) = core.store.lease_records(start).await.unwrap();
    platform.restore(Vec::new(), 0);
    let appended = core
        .store
        .lease_append(bytes::Bytes::from_static(b"x"), end)
        .await;
    assert_eq!(appended, Err(StoreError::Restored(Timeline(2))));
    assert_eq!(core.store.timeline(), Timeline(2));
}

/// Guards against a delayed reply that moves the client back to an earlier timeline.
#[tokio::test]
async fn a_reply_from_an_earlier_timeline_is_discarded() {
    let platform = platform(vec![worker(1, 1)]);
    platform.restore(vec![worker(1, 1)], 0);
    let core = vm(&platform, "vm-1", Vec::new());
    core.store.snapshot(Table::Fleet).await.unwrap();
    for reported in [Some(Timeline(1)), None] {
        *platform.timeline.lock().unwrap() = reported;
        let read = core.store.snapshot(Table::Fleet).await;
        assert!(matches!(read, Err(StoreError::OffTimeline(_))), "{read:?}");
        assert_eq!(core.store.timeline(), Timeline(2));
    }
}

/// Guards against comparing documents by their log position instead of their revision.
#[tokio::test]
async fn a_rewritten_document_of_the_same_revision_changes_nothing() {
    let platform = platform(vec![published(5)]);
    let core = vm(&platform, "vm-1", Vec::new());
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    wait_until(|| core.revision() == Revision(5)).await;
    let catalogue = core.catalogue().unwrap();
    platform.restore(Vec::new(), 0);
    wait_until(|| core.store.timeline() == Timeline(2)).await;
    let rewritten: Arc<Document> = Arc::new(document(5));
    platform
        .records
        .lock()
        .unwrap()
        .push(Record::Document(rewritten));
    wait_until(|| {
        let next = core.table_progress(Table::Settings).position().next();
        next == Some(LogPosition::new(Timeline(2), Offset(1)))
    })
    .await;
    assert!(Arc::ptr_eq(&catalogue, &core.catalogue().unwrap()));
}
