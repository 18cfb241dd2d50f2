//! A VM that was cut off from the others, or stood still, while upstreams of a new version joined.

use super::{Engines, STREAMS, events, list, listed, prompt, send, take_up};
use crate::support::{Platform, Process, Vm, add_peer, offset, unused_addr, vms, vms_on};
use sesamegap_entry::clock;
use sesamegap_entry::follow::read_list;
use sesamegap_entry::ports::Table;
use sesamegap_entry::resumption::History;
use sesamegap_policy::resumption::{Origin, Partition, StreamBatch, StreamKey};
use sesamegap_wire::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Has a VM know one version, from a list that it has followed for long and that was current just now.
fn follow(vm: &Vm, engines: &Engines) {
    vm.core.fleet.lock().record_list(Moment(1));
    let known = vm.core.table_progress(Table::Fleet);
    known.position().record_read(offset(1), clock::now());
    list(&vm.core, "same", engines.same.addr, "v1");
}

/// A VM that follows the list, and whose peers it cannot reach any more.
async fn cut_off(net: u8, platform: &Arc<Platform>, engines: &Engines) -> Vm {
    let record = listed("same", engines.same.addr, "v1");
    platform.records.lock().unwrap().push(record);
    let vm = vms_on(1, net, platform).await.remove(0);
    follow(&vm, engines);
    for no in 1..6 {
        add_peer(&vm.core, &format!("vm-{no}"), unused_addr());
    }
    vm
}

/// Guards against a VM that is cut off from all others and the store, and joins streams at the only version that it knows.
#[tokio::test]
async fn a_vm_that_is_cut_off_does_not_take_the_version_it_knows_for_the_only_one() {
    let platform = Arc::new(Platform::default());
    *platform.is_unavailable.lock().unwrap() = true;
    let engines = Engines::start().await;
    let vm = cut_off(94, &platform, &engines).await;
    for no in 0..STREAMS {
        let answer = take_up(vm.callers, no, &format!("s{no}")).await;
        let again = answer.header("retry-after");
        assert_eq!((answer.status, again), (503, Some("0.50")), "{answer:?}");
    }
    assert_eq!(engines.same.seen().len(), 0);
}

/// Guards against a VM that is cut off from all others, and does not look into the store's log, which tells the version.
#[tokio::test]
async fn a_vm_that_is_cut_off_from_the_others_asks_the_store() {
    let platform = Arc::new(Platform::default());
    let origin = |software: &str| Origin {
        service: "engines".parse().unwrap(),
        software: software.parse().unwrap(),
    };
    for (stream, software) in [("s0", "v1"), ("s1", "v2")] {
        let stream = StreamKey::of(Some("clerks"), stream);
        let batch: StreamBatch = [(stream, origin(software))].into_iter().collect();
        let mut log = platform.streams.lock().unwrap();
        let partition = log.entry(Partition::of(stream)).or_default();
        partition.push(rmp_serde::to_vec(&batch).unwrap().into());
    }
    let engines = Engines::start().await;
    let vm = cut_off(95, &platform, &engines).await;
    let answer = take_up(vm.callers, 0, "s0").await;
    assert_eq!((answer.status, answer.body), (200, events(4..9)));
    let answer = take_up(vm.callers, 1, "s1").await;
    assert_eq!(
        (answer.status, answer.header("retry-after")),
        (503, Some("0.50"))
    );
    // What the log does not know began while one version served.
    let answer = take_up(vm.callers, 2, "s2").await;
    assert_eq!((answer.status, answer.body), (200, events(4..9)));
    assert_eq!(engines.same.seen().len(), 2);
}

/// Guards against a stream that began at a VM which was cut off from the store, at a version that has joined meanwhile.
#[tokio::test]
async fn a_vm_that_is_cut_off_from_the_others_reads_the_list() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let vm = cut_off(97, &platform, &engines).await;
    let joined = listed("other-0", engines.others[0].addr, "v2");
    platform.records.lock().unwrap().push(joined);
    let answer = take_up(vm.callers, 0, "s0").await;
    let again = answer.header("retry-after");
    assert_eq!((answer.status, again), (503, Some("0.50")), "{answer:?}");
    assert_eq!(engines.same.seen().len() + engines.seen_by_others(), 0);
}

/// Guards against a caller that is told to start anew, since the list of its VM lags behind the version of its stream.
#[tokio::test]
async fn a_version_that_is_not_listed_here_yet_does_not_count_as_gone() {
    let vms = vms(3, 96).await;
    let engines = Engines::start().await;
    for vm in &vms {
        follow(vm, &engines);
    }
    let begun = vms[0].callers;
    list(&vms[0].core, "other-0", engines.others[0].addr, "v2");
    vms[0]
        .core
        .fleet
        .lock()
        .get_mut(&"same".parse().unwrap())
        .unwrap()
        .pause(clock::now() + Duration::from_mins(1));
    let mut caller = send(begun, "s0", &prompt(0)).await;
    assert_eq!(caller.answer().await.body, events(4..9));
    let answer = take_up(vms[1].callers, 0, "s0").await;
    assert_eq!(
        (answer.status, answer.header("retry-after")),
        (503, Some("0.50"))
    );
    list(&vms[1].core, "other-0", engines.others[0].addr, "v2");
    let answer = take_up(vms[1].callers, 0, "s0").await;
    assert_eq!((answer.status, answer.body), (200, events(4..9)));
    assert_eq!(engines.same.seen().len(), 0);
}

/// Guards against a VM that was out of step, reads the whole list anew, and counts as having followed it meanwhile.
#[tokio::test]
async fn a_list_that_is_read_anew_after_a_gap_tells_nothing_of_the_gap() {
    let process = Process::new().await;
    let core = &process.core;
    let engines = Engines::start().await;
    let record = listed("same", engines.same.addr, "v1");
    process.platform.records.lock().unwrap().push(record);
    core.fleet.lock().record_list(Moment(1));
    list(core, "same", engines.same.addr, "v1");
    assert!(core.fleet.lock().list_followed_for(clock::now()) > Some(Duration::from_hours(1)));
    read_list(core).await.unwrap();
    let followed = core.fleet.lock().list_followed_for(clock::now()).unwrap();
    assert!(followed < Duration::from_mins(1), "{followed:?}");
    assert!(core.fleet.lock().lacks_history());
    History::default().step(core).await.unwrap();
    assert!(!core.fleet.lock().lacks_history());
}
