//! Upstreams of several software versions in one service: a stream goes on only at the version that began it.

mod all_killed;
mod fleet;
mod out_of_step;

use crate::support::{
    Act, Answer, Caller, Process, Upstream, document, entry, offset, request_of, vms, wait_until,
};
use sesamegap_entry::catalogue::Target;
use sesamegap_entry::clock;
use sesamegap_entry::core::Core;
use sesamegap_entry::fleet::{Change, Entry};
use sesamegap_entry::ports::{Record, Table};
use sesamegap_entry::resumption::History;
use sesamegap_wire::{Moment, UpstreamId};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Streams of a test, with prompts of their own: which upstream one goes to is a matter of chance.
const STREAMS: usize = 8;

/// Engines of the other version: where a prompt goes is a matter of its hash.
const OTHERS: usize = 3;

fn events(range: Range<u64>) -> String {
    let events = range.map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    events.collect()
}

/// Lists an engine of a software version.
fn list(core: &Core, id: &str, addr: SocketAddr, software: &str) {
    let id: UpstreamId = id.parse().unwrap();
    let entry = Entry {
        software: software.parse().unwrap(),
        ..entry("engines", addr)
    };
    let mut fleet = core.fleet.lock();
    fleet.apply(&id, entry, offset(0), clock::now());
}

/// The record of an engine of a software version in the store.
fn listed(id: &str, addr: SocketAddr, software: &str) -> Record {
    let entry = Entry {
        software: software.parse().unwrap(),
        ..entry("engines", addr)
    };
    Record::Upstream(id.parse().unwrap(), Box::new(entry))
}

fn prompt(no: usize) -> String {
    format!("x-model: m\r\nx-parts: preamble-{no},own-{no}\r\n")
}

async fn send(addr: SocketAddr, id: &str, headers: &str) -> Caller {
    let mut caller = Caller::connect(addr).await;
    let request = request_of(id, "POST", "/review/", headers, "");
    caller.send(&request).await;
    caller
}

/// Takes a stream up again after its third event.
async fn take_up(addr: SocketAddr, no: usize, first: &str) -> Answer {
    let headers = format!("{}x-after: 3\r\nx-resumes: {first}\r\n", prompt(no));
    let mut caller = send(addr, &format!("again-{first}"), &headers).await;
    caller.answer().await
}

/// Engines of two versions that complete a stream after its third event.
#[derive(Debug)]
struct Engines {
    same: Upstream,
    others: Vec<Upstream>,
}

impl Engines {
    async fn start() -> Self {
        let act = || vec![Act::Events(4..9)];
        let mut others = Vec::new();
        for _ in 0..OTHERS {
            others.push(Upstream::start(act()).await);
        }
        Self {
            same: Upstream::start(act()).await,
            others,
        }
    }

    fn list(&self, core: &Core) {
        list(core, "same", self.same.addr, "v1");
        self.list_others(core);
    }

    fn list_others(&self, core: &Core) {
        for (no, other) in self.others.iter().enumerate() {
            list(core, &format!("other-{no}"), other.addr, "v2");
        }
    }

    /// Keeps requests from the engines of the other version, which are listed all the same.
    fn pause_others(&self, core: &Core, time: Duration) {
        let mut fleet = core.fleet.lock();
        for no in 0..self.others.len() {
            let other = fleet.get_mut(&format!("other-{no}").parse().unwrap());
            other.unwrap().pause(clock::now() + time);
        }
    }

    fn seen_by_others(&self) -> usize {
        self.others.iter().map(|other| other.seen().len()).sum()
    }
}

/// An engine crashes in the middle of a stream during a release, and only engines of other versions are left.
#[tokio::test]
async fn a_stream_does_not_go_on_at_another_software_version() {
    let process = Process::new().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    list(&process.core, "first", first.addr, "v1");
    let other = Upstream::start(vec![Act::Events(4..9)]).await;
    let mut caller = send(process.callers, "s0", &prompt(0)).await;
    while first.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    list(&process.core, "other", other.addr, "v2");
    let answer = caller.answer().await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, events(1..4));
    assert_eq!(other.seen().len(), 0);
}

/// As above, while an engine of the same version is left.
#[tokio::test]
async fn a_stream_goes_on_at_an_engine_of_its_software_version() {
    let engines = Engines::start().await;
    for no in 0..STREAMS {
        let process = Process::new().await;
        let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
        list(&process.core, "first", first.addr, "v1");
        let mut caller = send(process.callers, &format!("s{no}"), &prompt(no)).await;
        while first.seen().is_empty() {
            tokio::task::yield_now().await;
        }
        engines.list(&process.core);
        let answer = caller.answer().await;
        assert_eq!(answer.body, events(1..9));
        assert!(answer.is_complete);
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// A VM is killed under a stream, and its caller goes on at another VM.
#[tokio::test]
async fn a_stream_taken_up_at_another_vm_goes_on_at_its_software_version() {
    let vms = vms(3, 61).await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let engines = Engines::start().await;
    for vm in &vms {
        engines.list_others(&vm.core);
    }
    let began_at = &vms[0];
    engines.pause_others(&began_at.core, Duration::from_mins(1));
    list(&began_at.core, "first", first.addr, "v1");
    for no in 0..STREAMS {
        let mut caller = send(began_at.callers, &format!("s{no}"), &prompt(no)).await;
        assert_eq!(caller.answer().await.body, events(1..4));
    }
    for vm in &vms {
        engines.list(&vm.core);
    }
    for no in 0..STREAMS {
        let answer = take_up(vms[1].callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
    assert_eq!(engines.same.seen().len(), STREAMS);
}

/// No VM knows the stream that a caller takes up, and two versions can have begun it.
#[tokio::test]
async fn a_stream_that_two_versions_can_have_begun_is_refused() {
    let vms = vms(3, 62).await;
    let engines = Engines::start().await;
    for vm in &vms {
        engines.list(&vm.core);
    }
    for no in 0..STREAMS {
        let answer = take_up(vms[1].callers, no, &format!("s{no}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(engines.seen_by_others() + engines.same.seen().len(), 0);
}

/// A VM whose list lags knows one version only, and would take it for the one that began the stream.
#[tokio::test]
async fn a_vm_whose_list_lags_asks_others_which_versions_serve() {
    let vms = vms(3, 63).await;
    let engines = Engines::start().await;
    for vm in &vms {
        vm.core.fleet.lock().record_list(Moment(1));
        list(&vm.core, "same", engines.same.addr, "v1");
    }
    engines.list_others(&vms[2].core);
    let answer = take_up(vms[1].callers, 0, "s0").await;
    assert_eq!(answer.status, 503);
    assert_eq!(engines.same.seen().len(), 0);
}

/// Refusals of streams that can only have begun at one version would be needless.
#[tokio::test]
async fn a_stream_without_a_record_goes_on_if_one_version_has_served() {
    let vms = vms(3, 64).await;
    let engines = Engines::start().await;
    for vm in &vms {
        vm.core.fleet.lock().record_list(Moment(1));
        let known = vm.core.table_progress(Table::Fleet);
        known.position().record_read(offset(1), clock::now());
        list(&vm.core, "same", engines.same.addr, "v1");
    }
    let answer = take_up(vms[1].callers, 0, "s0").await;
    assert_eq!((answer.status, answer.body), (200, events(4..9)));
}

/// The last upstream of a version has gone, and one of the streams that it began is taken up.
#[tokio::test]
async fn a_version_that_served_lately_counts() {
    let vms = vms(2, 65).await;
    let engines = Engines::start().await;
    for vm in &vms {
        vm.core.fleet.lock().record_list(Moment(1));
        list(&vm.core, "other-0", engines.others[0].addr, "v2");
        let gone = "other-0".parse().unwrap();
        let mut fleet = vm.core.fleet.lock();
        fleet.remove(&gone, offset(1), clock::now());
        drop(fleet);
        list(&vm.core, "same", engines.same.addr, "v1");
    }
    let answer = take_up(vms[1].callers, 0, "s0").await;
    assert_eq!(answer.status, 503);
}

/// A VM that has just started, or hears from nobody, does not know which versions have served.
#[tokio::test]
async fn a_vm_that_knows_nothing_of_the_past_refuses_a_stream_without_a_record() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::Events(4..9)]).await;
    list(&process.core, "same", engine.addr, "v1");
    let answer = take_up(process.callers, 0, "s0").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), Some("0.50"));
    assert_eq!(engine.seen().len(), 0);
}

/// All VMs were killed at once, and no record is left. Callers would lose every stream although one version serves.
#[tokio::test]
async fn a_stream_goes_on_after_all_vms_restarted_while_one_version_serves() {
    let process = Process::new().await;
    let engines = Engines::start().await;
    let record = listed("same", engines.same.addr, "v1");
    process.platform.records.lock().unwrap().push(record);
    list(&process.core, "same", engines.same.addr, "v1");
    let known = process.core.table_progress(Table::Fleet);
    known.position().record_read(offset(1), clock::now());
    process.core.fleet.lock().record_list(clock::now());
    assert_eq!(take_up(process.callers, 0, "s0").await.status, 503);
    History::default().step(&process.core).await.unwrap();
    let answer = take_up(process.callers, 0, "s0").await;
    assert_eq!((answer.status, answer.body), (200, events(4..9)));
    engines.list_others(&process.core);
    assert_eq!(take_up(process.callers, 1, "s1").await.status, 503);
}

/// A release begins while streams run, whose VM is then killed: other VMs need the records of these too.
#[tokio::test]
async fn streams_that_began_before_a_release_are_known_elsewhere() {
    let vms = vms(3, 66).await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let engines = Engines::start().await;
    for vm in &vms {
        list(&vm.core, "first", first.addr, "v1");
    }
    let began_at = &vms[0];
    for no in 0..STREAMS {
        let mut caller = send(began_at.callers, &format!("s{no}"), &prompt(no)).await;
        caller.until("t3").await;
    }
    for vm in &vms {
        engines.list(&vm.core);
        pause(&vm.core, "first");
    }
    wait_until(|| vms[1].core.resumption.record_count() == STREAMS).await;
    for no in 0..STREAMS {
        let answer = take_up(vms[1].callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// A stream that breaks twice comes to a third VM, which asks for the attempt that brought its first event.
#[tokio::test]
async fn a_stream_taken_up_twice_stays_at_its_software_version() {
    let vms = vms(4, 67).await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let engines = Engines::start().await;
    for vm in &vms {
        engines.list(&vm.core);
    }
    engines.pause_others(&vms[0].core, Duration::from_mins(1));
    list(&vms[0].core, "first", first.addr, "v1");
    vms[0]
        .core
        .fleet
        .lock()
        .get_mut(&"same".parse().unwrap())
        .unwrap()
        .pause(clock::now() + Duration::from_mins(1));
    let mut caller = send(vms[0].callers, "s0", &prompt(0)).await;
    assert_eq!(caller.answer().await.body, events(1..4));
    for vm in &vms[1..] {
        let answer = take_up(vm.callers, 0, "s0").await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// The platform may start another version under the id of an upstream that ended.
#[tokio::test]
async fn another_version_under_the_same_id_is_a_restart() {
    let process = Process::new().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let restarted = Upstream::start(vec![Act::Events(4..9)]).await;
    list(&process.core, "first", first.addr, "v1");
    list(&process.core, "second", restarted.addr, "v1");
    pause(&process.core, "second");
    let mut caller = send(process.callers, "s0", &prompt(0)).await;
    caller.until("t3").await;
    let second: UpstreamId = "second".parse().unwrap();
    let entry = Entry {
        software: "v2".parse().unwrap(),
        beat: 2,
        ..entry("engines", restarted.addr)
    };
    let change = process
        .core
        .fleet
        .lock()
        .apply(&second, entry, offset(1), clock::now());
    assert_eq!(change, Change::Restarted);
    assert!(!caller.answer().await.is_complete);
    assert_eq!(restarted.seen().len(), 0);
}

fn pause(core: &Core, id: &str) {
    let mut fleet = core.fleet.lock();
    let upstream = fleet.get_mut(&id.parse().unwrap()).unwrap();
    upstream.pause(clock::now() + Duration::from_mins(1));
}

/// A route is split over services, and each attempt of a caller would be placed by its own id.
#[tokio::test]
async fn a_stream_goes_on_in_the_service_that_began_it() {
    let vms = vms(2, 68).await;
    let engines = Engines::start().await;
    let spare = Upstream::start(vec![Act::Events(4..9)]).await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let mut split = document(2);
    let target = |service: &str| Target {
        service: service.parse().unwrap(),
        weight: 50,
    };
    let review = split
        .routes
        .iter_mut()
        .find(|route| route.prefix == "/review/");
    review.unwrap().targets = vec![target("engines"), target("spare")];
    for vm in &vms {
        vm.core.adopt(&Arc::new(split.clone()), "test");
        for (id, service, addr) in [
            ("same", "engines", engines.same.addr),
            ("spare", "spare", spare.addr),
        ] {
            let mut listed = entry("engines", addr);
            listed.service = service.parse().unwrap();
            listed.software = "v1".parse().unwrap();
            vm.core
                .fleet
                .lock()
                .apply(&id.parse().unwrap(), listed, offset(0), clock::now());
        }
    }
    pause(&vms[0].core, "same");
    list(&vms[0].core, "first", first.addr, "v1");
    let mut begun = Vec::new();
    for no in 0..4 * STREAMS {
        let mut caller = send(vms[0].callers, &format!("s{no}"), &prompt(no)).await;
        caller.until("t").await;
        let before = first.seen().len();
        if before > begun.len() {
            begun.push(no);
        }
    }
    assert!(begun.len() > STREAMS, "{begun:?}");
    let before = spare.seen().len();
    for no in begun {
        let answer = take_up(vms[1].callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(spare.seen().len(), before);
}
