//! Records of other writers in the tables that a process follows.

use crate::support::{
    Act, Lines, Platform, Process, Upstream, ask, document, entry, offset, route, settings, unused,
};
use sesamegap_entry::catalogue::{Kind, Service};
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::follow::{Reading, hear, take};
use sesamegap_entry::ports::{Batch, Record, Table, Unreadable};
use sesamegap_entry::telemetry::Logging;
use sesamegap_wire::{Offset, UpstreamId};
use std::sync::Arc;

fn vm() -> Arc<Core> {
    let platform = Arc::new(Platform::default());
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        Logging::none(),
    );
    Arc::new(core.unwrap())
}

fn id(no: usize) -> UpstreamId {
    format!("i-{no}").parse().unwrap()
}

fn sound(no: usize, beat: u64) -> Record {
    let mut entry = entry("desk", unused());
    entry.beat = beat;
    Record::Upstream(id(no), Box::new(entry))
}

fn broken(no: usize, offset: u64, why: &str) -> Record {
    let record = Unreadable::new(Table::Fleet, Offset(offset), id(no).as_str(), &why);
    Record::Unreadable(record.with_field("state"))
}

/// Takes records in that begin at an offset.
fn read(core: &Core, from: u64, records: Vec<Record>) -> Reading {
    let next = offset(from + records.len() as u64);
    let records = (from..).map(offset).zip(records).collect();
    take(core, Table::Fleet, offset(from), Batch { records, next })
}

fn known(core: &Core) -> Vec<usize> {
    let fleet = core.fleet.lock();
    (0..9).filter(|no| fleet.get(&id(*no)).is_some()).collect()
}

/// Another writer puts something that is no entry over that of an upstream which serves. Nobody can
/// tell any more what is at its address, and requests sent there may be lost. Its next heartbeat says
/// that it is there after all; left out for good, its callers would be refused with servers free.
#[test]
fn a_malformed_entry_over_a_sound_one_takes_the_upstream_out_until_its_next_heartbeat() {
    let (reader, hearer) = (vm(), vm());
    hearer
        .table_progress(Table::Fleet)
        .position()
        .read(offset(0), clock::now());
    let words = [
        (vec![sound(1, 1), sound(2, 1), sound(3, 1)], vec![1, 2, 3]),
        (
            vec![sound(1, 2), broken(2, 4, "missing"), sound(3, 2)],
            vec![1, 3],
        ),
        (vec![sound(1, 3), sound(3, 3)], vec![1, 3]),
        (vec![sound(2, 3)], vec![1, 2, 3]),
    ];
    let mut from = 0;
    for (records, expected) in words {
        let count = records.len() as u64;
        let reading = read(&reader, from, records);
        from += count;
        assert_eq!(known(&reader), expected, "whoever reads, at {from}");
        hear(&hearer, reading);
        assert_eq!(known(&hearer), expected, "whoever is told, at {from}");
    }
}

/// An upstream writes its entry again after another writer's, with the heartbeat that it last had, and
/// two VMs read both records and tell of them. Nothing is written after that for as long as nothing
/// changes, so a VM that leaves the upstream out then leaves it out for good, and refuses callers with
/// servers free.
#[test]
fn a_sound_entry_after_a_malformed_one_holds_however_often_it_is_told() {
    let (one, two, hearer) = (vm(), vm(), vm());
    let mut words = Vec::new();
    for core in [&one, &two, &hearer] {
        core.table_progress(Table::Fleet)
            .position()
            .read(offset(1), clock::now());
        read(core, 0, vec![sound(1, 5)]);
    }
    for reader in [&one, &two] {
        words.push(read(reader, 1, vec![broken(1, 1, "missing"), sound(1, 5)]));
        assert_eq!(known(reader), [1]);
    }
    for word in words {
        hear(&hearer, word);
        assert_eq!(known(&hearer), [1]);
    }
}

/// The store was away and is back, when upstreams whose entries lapsed get time to write again. An
/// entry that cannot be read is no lapsed one: it says now that nobody knows what is at its address.
#[test]
fn a_malformed_entry_takes_the_upstream_out_right_after_an_outage_too() {
    let core = vm();
    read(&core, 0, vec![sound(1, 1), sound(2, 1)]);
    core.fleet.lock().store(false, clock::now());
    core.fleet.lock().store(true, clock::now());
    read(
        &core,
        2,
        vec![broken(1, 2, "missing"), Record::Removed(id(2))],
    );
    assert_eq!(known(&core), [2]);
}

/// An upstream has left, and another writer then writes under its id. A late heartbeat of the upstream
/// must not bring it back.
#[test]
fn a_malformed_entry_does_not_open_the_way_for_a_late_heartbeat() {
    let core = vm();
    read(&core, 0, vec![sound(1, 5), Record::Removed(id(1))]);
    read(&core, 2, vec![broken(1, 2, "missing"), sound(1, 5)]);
    assert_eq!(known(&core), Vec::<usize>::new());
}

/// Lines with the number of unreadable records that something writes.
fn reports(act: impl FnOnce()) -> Vec<String> {
    // A place in the code that logs decides when it is first reached whether anybody listens. If that happens in
    // another test, without a subscriber, while this one installs its own, the place stays mute: so it
    // is reached here before.
    read(&vm(), 0, vec![broken(0, 0, "missing")]);
    let lines = Lines::default();
    let (subscriber, logging) = lines.subscriber();
    tracing::subscriber::with_default(subscriber, act);
    drop(logging);
    lines.of(712)
}

/// Another writer repeats its malformed entry with each of its heartbeats, and each VM reads them all. A
/// line for each would bury the rest of the log and cost processor time.
#[test]
fn a_malformed_entry_is_reported_once_however_often_it_is_read() {
    let core = vm();
    let lines = reports(|| {
        for offset in 0..50 {
            read(&core, offset, vec![broken(1, offset, "missing")]);
        }
        read(&core, 50, vec![broken(1, 50, "another type")]);
        read(&core, 51, vec![broken(2, 51, "missing")]);
    });
    assert_eq!(lines.len(), 3, "{lines:#?}");
    for there in [
        "\"key\":\"i-1\"",
        "\"field\":\"state\"",
        "\"offset\":0",
        "missing",
    ] {
        assert!(lines[0].contains(there), "{there} in {}", lines[0]);
    }
}

/// Another writer makes up a new key for each of its malformed entries. The log would fill with them.
#[test]
fn malformed_entries_under_many_keys_fill_no_log() {
    let core = vm();
    let lines = reports(|| {
        for (no, offset) in (0..3_000).zip(0..) {
            read(&core, offset, vec![broken(no, offset, "missing")]);
        }
    });
    assert!((10..500).contains(&lines.len()), "{} lines", lines.len());
}

/// Upstreams of a new service register before the document that names it is published. They must get
/// no work before, cost no other service anything, and serve as soon as the document is there.
#[tokio::test]
async fn an_upstream_of_an_unnamed_service_serves_once_a_document_names_it() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "a"), Act::Answer(200, "b")]).await;
    let later = Upstream::start(vec![Act::Answer(200, "c")]).await;
    process.add("w1", "desk", desk.addr);
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
