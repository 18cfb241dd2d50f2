use crate::support::{Platform, batch, entry, offset, settings, unused_addr, wait_until};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::follow::{TableUpdate, apply_batch, apply_update, follow};
use sesamegap_entry::peers;
use sesamegap_entry::ports::{Batch, Record, Table, Weights};
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_wire::{UpstreamId, WeightsVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An entry VM that runs only the exchange of datagrams.
fn vm(name: &str, ip: &str, port: u16) -> Arc<Core> {
    let mut settings = settings(name, Vec::new());
    settings.listen.loads = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.peers = settings.listen.loads;
    let platform = Arc::new(Platform::default());
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let core = Arc::new(core);
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    core
}

fn add_peer(core: &Core, other: &Core) {
    core.peers.apply_update(
        &MemberUpdate {
            who: other.peers.local_process().clone(),
            addr: other.settings().listen.peers,
            version: 0,
            status: Status::Alive,
        },
        clock::now(),
    );
}

fn worker() -> UpstreamId {
    "i-1".parse().unwrap()
}

fn leaves(core: &Core) -> bool {
    let fleet = core.fleet.lock();
    fleet.get(&worker()).is_some_and(|up| up.entry.leaving)
}

fn change(leaving: bool, beat: u64) -> Record {
    let mut entry = entry("desk", unused_addr());
    entry.leaving = leaving;
    entry.beat = beat;
    Record::Upstream(worker(), Box::new(entry))
}

/// Weights are named at the time at which the store drops its history, and a VM that followed the store without a gap
/// finds them among the newest records, without a naming time. With an estimate of 4.6 s ago, all engines' weights
/// expired within two seconds and every prompt was refused: `weights named ... Guessed`, then
/// `drains before its order ... overtaken_ms=8613` half a second after the naming.
#[tokio::test]
async fn weights_named_while_the_store_drops_its_history_count_as_new() {
    let platform = Arc::new(Platform::default());
    let settings = settings("vm-1", Vec::new());
    let core = Core::new(settings, platform.ports(), Logging::disabled()).unwrap();
    let core = Arc::new(core);
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    wait_until(|| {
        core.table_progress(Table::Settings)
            .position()
            .next()
            .is_some()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let weights = Weights {
        model: "m".into(),
        version: WeightsVersion(2),
    };
    *platform.named_weights.lock().unwrap() = Some(weights);
    *platform.dropped.lock().unwrap() = true;
    wait_until(|| core.fleet.lock().namings().newest_of("m").is_some()).await;
    let naming = core.fleet.lock().namings().newest_of("m").unwrap();
    let followed = Duration::from_secs(3);
    assert!(clock::now().since(naming.at) < followed, "{naming:?}");
}

/// One VM reads the fleet list for all others, and a worker announces that it is leaving. Without the reader's update,
/// the others would send it requests until it is gone.
#[tokio::test]
async fn an_announcement_to_leave_is_relayed_by_the_reader() {
    let port = unused_addr().port();
    let reader = vm("vm-1", "127.0.0.1", port);
    let receiver = vm("vm-2", "127.0.0.2", port);
    add_peer(&reader, &receiver);
    receiver
        .table_progress(Table::Fleet)
        .position()
        .record_read(offset(4), clock::now());
    let new = apply_batch(
        &reader,
        Table::Fleet,
        offset(4),
        batch(4, vec![change(false, 1)]),
    );
    reader.peers.outbox.put_reading(new);
    wait_until(|| receiver.fleet.lock().get(&worker()).is_some()).await;
    let beats = batch(5, vec![change(false, 2), change(true, 3)]);
    let leaving = apply_batch(&reader, Table::Fleet, offset(5), beats);
    assert_eq!(
        leaving.pieces.len(),
        1,
        "a heartbeat without other changes is not relayed"
    );
    reader.peers.outbox.put_reading(leaving);
    wait_until(|| leaves(&receiver)).await;
    assert_eq!(
        receiver.table_progress(Table::Fleet).position().next(),
        Some(offset(7))
    );
}

/// The updates of a reader arrive duplicated and reordered. A worker that left must not be listed again.
#[test]
fn a_delayed_update_does_not_restore_a_removed_worker() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _guard = runtime.enter();
    let core = vm("vm-1", "127.0.0.1", unused_addr().port());
    core.table_progress(Table::Fleet)
        .position()
        .record_read(offset(0), clock::now());
    let update = |from: u64, next: u64, record: Record| {
        let other = vm("vm-2", "127.0.0.1", unused_addr().port());
        let known = change(false, 1);
        apply_batch(
            &other,
            Table::Fleet,
            offset(0),
            Batch {
                records: vec![(offset(0), known)],
                next: offset(0),
                end: offset(0),
            },
        );
        apply_batch(
            &other,
            Table::Fleet,
            offset(from),
            Batch {
                records: vec![(offset(next - 1), record)],
                next: offset(next),
                end: offset(next),
            },
        )
    };
    let empty = TableUpdate {
        pieces: Vec::new(),
        ..update(0, 5, change(true, 4))
    };
    let gone = update(5, 9, Record::Removed(worker()));
    apply_update(&core, update(0, 5, change(true, 4)));
    apply_update(&core, gone.clone());
    apply_update(&core, update(0, 5, change(true, 4)));
    apply_update(&core, empty);
    apply_update(&core, gone);
    assert!(core.fleet.lock().get(&worker()).is_none());
    assert_eq!(
        core.table_progress(Table::Fleet).position().next(),
        Some(offset(9))
    );
}

/// A kept-KV store is down, which only a few VMs monitor. Without their report, every prompt that fetches from it would
/// wait for at least a tenth of a second.
#[tokio::test]
async fn a_store_found_dead_by_one_vm_is_avoided_by_all() {
    let port = unused_addr().port();
    let watcher = vm("vm-1", "127.0.0.1", port);
    let receiver = vm("vm-2", "127.0.0.2", port);
    add_peer(&watcher, &receiver);
    let store = unused_addr();
    peers::broadcast_store_unavailable(&watcher, store);
    wait_until(|| {
        receiver
            .fleet
            .lock()
            .is_store_unavailable(store, clock::now())
    })
    .await;
    let later = clock::now() + Duration::from_secs(2);
    assert!(
        !receiver.fleet.lock().is_store_unavailable(store, later),
        "it is used again unless the report is renewed"
    );
}
