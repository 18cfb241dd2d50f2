//! Records that other writers put into the tables that a process reads.

use crate::support::{
    Act, LogLines, Platform, Process, Upstream, ask, batch, document, entry, offset, route,
    settings, unused_addr,
};
use sesamegap_entry::catalogue::{Kind, Service};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::follow::{TableUpdate, apply_batch, apply_update};
use sesamegap_entry::ports::{Record, Table, Unreadable};
use sesamegap_entry::telemetry::Logging;
use sesamegap_wire::{Offset, UpstreamId};
use std::sync::Arc;

fn new_core() -> Arc<Core> {
    let platform = Arc::new(Platform::default());
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        Logging::disabled(),
    );
    Arc::new(core.unwrap())
}

fn id(no: usize) -> UpstreamId {
    format!("i-{no}").parse().unwrap()
}

fn valid_entry(no: usize, beat: u64) -> Record {
    let mut entry = entry("desk", unused_addr());
    entry.beat = beat;
    Record::Upstream(id(no), Box::new(entry))
}

fn malformed_entry(no: usize, offset: u64, why: &str) -> Record {
    let record = Unreadable::new(Table::Fleet, Offset(offset), id(no).as_str(), &why);
    Record::Unreadable(record.with_field("state"))
}

/// Applies records that start at an offset.
fn read_records(core: &Core, from: u64, records: Vec<Record>) -> TableUpdate {
    apply_batch(core, Table::Fleet, offset(from), batch(from, records))
}

fn known_upstreams(core: &Core) -> Vec<usize> {
    let fleet = core.fleet.lock();
    (0..9).filter(|no| fleet.get(&id(*no)).is_some()).collect()
}

/// Another writer overwrites the entry of a serving upstream with a malformed one. What listens at its address is
/// then unknown, and requests sent there may be lost. The next heartbeat shows that the upstream is still there;
/// if it stayed removed, callers would be refused while it is free.
#[test]
fn a_malformed_entry_removes_the_upstream_until_its_next_heartbeat() {
    let (reader, receiver) = (new_core(), new_core());
    receiver
        .table_progress(Table::Fleet)
        .position()
        .record_read(offset(0), clock::now());
    let steps = [
        (
            vec![valid_entry(1, 1), valid_entry(2, 1), valid_entry(3, 1)],
            vec![1, 2, 3],
        ),
        (
            vec![
                valid_entry(1, 2),
                malformed_entry(2, 4, "missing"),
                valid_entry(3, 2),
            ],
            vec![1, 3],
        ),
        (vec![valid_entry(1, 3), valid_entry(3, 3)], vec![1, 3]),
        (vec![valid_entry(2, 3)], vec![1, 2, 3]),
    ];
    let mut from = 0;
    for (records, expected) in steps {
        let count = records.len() as u64;
        let reading = read_records(&reader, from, records);
        from += count;
        assert_eq!(
            known_upstreams(&reader),
            expected,
            "VM that reads, at {from}"
        );
        apply_update(&receiver, reading);
        assert_eq!(
            known_upstreams(&receiver),
            expected,
            "VM that receives the reading, at {from}"
        );
    }
}

/// An upstream restores its overwritten entry with its previous heartbeat, and two VMs read both records and
/// forward them. No further record is written until something changes, so a VM that removed the upstream then
/// would never add it back, and would refuse callers while the upstream is free.
#[test]
fn a_valid_entry_after_a_malformed_one_survives_repeated_readings() {
    let (one, two, receiver) = (new_core(), new_core(), new_core());
    let mut readings = Vec::new();
    for core in [&one, &two, &receiver] {
        core.table_progress(Table::Fleet)
            .position()
            .record_read(offset(1), clock::now());
        read_records(core, 0, vec![valid_entry(1, 5)]);
    }
    for reader in [&one, &two] {
        readings.push(read_records(
            reader,
            1,
            vec![malformed_entry(1, 1, "missing"), valid_entry(1, 5)],
        ));
        assert_eq!(known_upstreams(reader), [1]);
    }
    for reading in readings {
        apply_update(&receiver, reading);
        assert_eq!(known_upstreams(&receiver), [1]);
    }
}

/// After a store outage, upstreams whose entries lapsed get time to write them again. A malformed entry is not a
/// lapsed one: it means that what listens at the address is unknown now.
#[test]
fn a_malformed_entry_removes_the_upstream_right_after_a_store_outage() {
    let core = new_core();
    read_records(&core, 0, vec![valid_entry(1, 1), valid_entry(2, 1)]);
    core.fleet.lock().record_store_response(false, clock::now());
    core.fleet.lock().record_store_response(true, clock::now());
    read_records(
        &core,
        2,
        vec![malformed_entry(1, 2, "missing"), Record::Removed(id(2))],
    );
    assert_eq!(known_upstreams(&core), [2]);
}

/// An upstream has left, and another writer then writes a malformed entry under its id. A late heartbeat of the
/// upstream must not add it back.
#[test]
fn a_late_heartbeat_after_a_malformed_entry_does_not_restore_a_removed_upstream() {
    let core = new_core();
    read_records(&core, 0, vec![valid_entry(1, 5), Record::Removed(id(1))]);
    read_records(
        &core,
        2,
        vec![malformed_entry(1, 2, "missing"), valid_entry(1, 5)],
    );
    assert_eq!(known_upstreams(&core), Vec::<usize>::new());
}

/// The lines that `act` logs with the event number of unreadable records.
fn logged_reports(act: impl FnOnce()) -> Vec<String> {
    // tracing caches for each callsite, when it is first reached, whether a subscriber is interested. If another
    // test reached it without a subscriber while this test installs its own, the callsite would stay
    // disabled. So it is reached here first.
    read_records(&new_core(), 0, vec![malformed_entry(0, 0, "missing")]);
    let lines = LogLines::default();
    let (subscriber, logging) = lines.subscriber();
    tracing::subscriber::with_default(subscriber, act);
    drop(logging);
    lines.with_event(712)
}

/// Another writer repeats a malformed entry with each heartbeat, and each VM reads them all. A line for each would
/// drown the rest of the log and cost CPU time.
#[test]
fn a_repeated_malformed_entry_is_logged_once() {
    let core = new_core();
    let lines = logged_reports(|| {
        for offset in 0..50 {
            read_records(&core, offset, vec![malformed_entry(1, offset, "missing")]);
        }
        read_records(&core, 50, vec![malformed_entry(1, 50, "another type")]);
        read_records(&core, 51, vec![malformed_entry(2, 51, "missing")]);
    });
    assert_eq!(lines.len(), 3, "{lines:#?}");
    for expected in [
        "\"key\":\"i-1\"",
        "\"field\":\"state\"",
        "\"offset\":0",
        "missing",
    ] {
        assert!(lines[0].contains(expected), "{expected} in {}", lines[0]);
    }
}

/// Another writer uses a new key for each malformed entry. Lines for all of them would fill the log.
#[test]
fn log_lines_for_malformed_entries_under_many_keys_are_bounded() {
    let core = new_core();
    let lines = logged_reports(|| {
        for (no, offset) in (0..3_000).zip(0..) {
            read_records(&core, offset, vec![malformed_entry(no, offset, "missing")]);
        }
    });
    assert!((10..500).contains(&lines.len()), "{} lines", lines.len());
}

/// Upstreams of a new service register before the document that names the service is published. They must get no
/// requests before, must not affect other services, and must serve as soon as the document is in force.
#[tokio::test]
async fn an_upstream_of_an_unconfigured_service_serves_once_a_document_names_it() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Answer(200, "a"), Act::Answer(200, "b")]).await;
    let later = Upstream::start(vec![Act::Answer(200, "c")]).await;
    process.add("w1", "desk", worker.addr);
    process.add("w2", "annex", later.addr);
    for _ in 0..2 {
        assert_eq!(
            ask(process.callers, "GET", "/pull/", "", "").await.status,
            200
        );
    }
    assert_eq!(
        ask(process.callers, "GET", "/annex/", "", "").await.status,
        404
    );
    assert!(later.seen().is_empty(), "{:?}", later.seen());
    let mut next = document(2);
    next.routes
        .push(route("/annex/", Kind::Idempotent, "annex", 1));
    next.services.push(Service {
        name: "annex".parse().unwrap(),
        engine: None,
    });
    process.core.adopt(&Arc::new(next), "test");
    let answer = ask(process.callers, "GET", "/annex/", "", "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "c"));
}
