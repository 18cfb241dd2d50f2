use crate::support::{Platform, entry, offset, settings, until, unused};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::follow::{Reading, follow, hear, take};
use sesamegap_entry::peers;
use sesamegap_entry::ports::{Batch, Record, Table, Weights};
use sesamegap_entry::telemetry::Logging;
use sesamegap_policy::agreement::membership::{MemberUpdate, Status};
use sesamegap_wire::{UpstreamId, WeightsVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An entry VM of which only the datagrams run.
fn vm(name: &str, ip: &str, port: u16) -> Arc<Core> {
    let mut settings = settings(name, Vec::new());
    settings.listen.datagrams = SocketAddr::new(ip.parse().unwrap(), port);
    settings.listen.peers = settings.listen.datagrams;
    let platform = Arc::new(Platform::default());
    let core = Core::new(settings, platform.ports(), Logging::none()).unwrap();
    let core = Arc::new(core);
    tokio::spawn(peers::run_datagrams(Arc::clone(&core)));
    core
}

fn knows(core: &Core, other: &Core) {
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
    let mut entry = entry("desk", unused());
    entry.leaving = leaving;
    entry.beat = beat;
    Record::Upstream(worker(), Box::new(entry))
}

/// Weights are named just when the store drops its history, and a VM that followed it all the time finds them
/// among the newest records, without a time. It took them for named 4.6 s before, so that within two seconds all
/// engines were shut by their weights and every prompt was refused: `weights named ... Guessed`, then
/// `drains before its order ... overtaken_ms=8613` half a second after the naming.
#[tokio::test]
async fn weights_named_while_the_store_drops_its_history_are_taken_for_new() {
    let platform = Arc::new(Platform::default());
    let settings = settings("vm-1", Vec::new());
    let core = Core::new(settings, platform.ports(), Logging::none()).unwrap();
    let core = Arc::new(core);
    tokio::spawn(follow(Arc::clone(&core), Table::Settings));
    until(|| {
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
    *platform.named.lock().unwrap() = Some(weights);
    *platform.dropped.lock().unwrap() = true;
    until(|| core.fleet.lock().namings().newest_of("m").is_some()).await;
    let naming = core.fleet.lock().namings().newest_of("m").unwrap();
    let followed = Duration::from_secs(3);
    assert!(clock::now().since(naming.at) < followed, "{naming:?}");
}

/// One VM reads the fleet list for all, and a worker says that it leaves. The others would go on
/// sending requests to it until it is gone.
#[tokio::test]
async fn a_leaving_worker_that_one_vm_read_of_is_known_to_all() {
    let port = unused().port();
    let reader = vm("vm-1", "127.0.0.1", port);
    let hearer = vm("vm-2", "127.0.0.2", port);
    knows(&reader, &hearer);
    let read = |records: Vec<Record>, from: u64| {
        let next = offset(from + records.len() as u64);
        Batch {
            records: (from..).map(offset).zip(records).collect(),
            next,
        }
    };
    hearer
        .table_progress(Table::Fleet)
        .position()
        .read(offset(4), clock::now());
    let new = take(
        &reader,
        Table::Fleet,
        offset(4),
        read(vec![change(false, 1)], 4),
    );
    reader.peers.outbox.put_reading(new);
    until(|| hearer.fleet.lock().get(&worker()).is_some()).await;
    let beats = read(vec![change(false, 2), change(true, 3)], 5);
    let leaving = take(&reader, Table::Fleet, offset(5), beats);
    assert_eq!(leaving.pieces.len(), 1, "a mere heartbeat is not told");
    reader.peers.outbox.put_reading(leaving);
    until(|| leaves(&hearer)).await;
    assert_eq!(
        hearer.table_progress(Table::Fleet).position().next(),
        Some(offset(7))
    );
}

/// The words of a reader come doubled and in the wrong order. A worker that left must not come back.
#[test]
fn a_word_that_comes_late_brings_nobody_back() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let _guard = runtime.enter();
    let core = vm("vm-1", "127.0.0.1", unused().port());
    core.table_progress(Table::Fleet)
        .position()
        .read(offset(0), clock::now());
    let word = |from: u64, next: u64, record: Record| {
        let other = vm("vm-2", "127.0.0.1", unused().port());
        let known = change(false, 1);
        take(
            &other,
            Table::Fleet,
            offset(0),
            Batch {
                records: vec![(offset(0), known)],
                next: offset(0),
            },
        );
        take(
            &other,
            Table::Fleet,
            offset(from),
            Batch {
                records: vec![(offset(next - 1), record)],
                next: offset(next),
            },
        )
    };
    let first = Reading {
        pieces: Vec::new(),
        ..word(0, 5, change(true, 4))
    };
    let gone = word(5, 9, Record::Removed(worker()));
    hear(&core, word(0, 5, change(true, 4)));
    hear(&core, gone.clone());
    hear(&core, word(0, 5, change(true, 4)));
    hear(&core, first);
    hear(&core, gone);
    assert!(core.fleet.lock().get(&worker()).is_none());
    assert_eq!(
        core.table_progress(Table::Fleet).position().next(),
        Some(offset(9))
    );
}

/// The store of kept cache is down. Every prompt that asks it would wait for a tenth of a second or
/// more; only a few VMs watch it.
#[tokio::test]
async fn a_store_that_one_vm_found_dead_is_left_alone_by_all() {
    let port = unused().port();
    let watcher = vm("vm-1", "127.0.0.1", port);
    let hearer = vm("vm-2", "127.0.0.2", port);
    knows(&watcher, &hearer);
    let store = unused();
    peers::broadcast_store_unavailable(&watcher, store);
    until(|| hearer.fleet.lock().is_store_out(store, clock::now())).await;
    let later = clock::now() + Duration::from_secs(2);
    assert!(
        !hearer.fleet.lock().is_store_out(store, later),
        "it is asked again unless said again"
    );
}
