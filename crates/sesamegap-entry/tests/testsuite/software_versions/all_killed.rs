//! All VMs are killed at once and lose their records and all knowledge of the past, beside a release.

use super::{Engines, STREAMS, events, list, pause, prompt, send, take_up};
use crate::support::{Act, Platform, Upstream, Vm, offset, unused_addr, vm, vms_on, wait_until};
use sesamegap_entry::clock;
use sesamegap_entry::ports::Table;
use sesamegap_entry::resumption;
use sesamegap_wire::{Moment, Timeline};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which VMs run on after the last event, before they are killed.
const SETTLED: Duration = Duration::from_millis(500);

/// VMs of a fleet in which most are not those that append to a partition of the log, or read it for all.
const FLEET: usize = 5;

/// Starts a VM that has read the list of upstreams.
async fn start(net: u8, platform: &Arc<Platform>) -> Vm {
    let vm = vm(0, net, unused_addr().port(), platform).await;
    follow(&vm);
    vm
}

/// Starts VMs that know each other and have read the list of upstreams.
async fn start_fleet(net: u8, platform: &Arc<Platform>) -> Vec<Vm> {
    let vms = vms_on(FLEET, net, platform).await;
    vms.iter().for_each(follow);
    vms
}

fn follow(vm: &Vm) {
    vm.core.fleet.lock().record_list(clock::now());
    let known = vm.core.table_progress(Table::Fleet);
    known.position().record_read(offset(1), clock::now());
    vm.core.peers.set_list_known();
    tokio::spawn(resumption::run_history(Arc::clone(&vm.core)));
    tokio::spawn(resumption::run_log(Arc::clone(&vm.core)));
}

/// Begins streams at an upstream of v1 that breaks them off after three events.
async fn begin_streams(vm: &Vm, first: &Upstream) {
    list(&vm.core, "first", first.addr, "v1");
    for no in 0..STREAMS {
        let mut caller = send(vm.callers, &format!("s{no}"), &prompt(no)).await;
        caller.until("t3").await;
    }
}

/// The last upstream of a version leaves while all VMs are off, so that the list has one version when they are back.
#[tokio::test]
async fn a_stream_whose_version_left_while_all_vms_were_off_is_refused() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start(71, &platform).await;
    begin_streams(&before, &first).await;
    engines.list_others(&before.core);
    sleep(SETTLED).await;
    let after = start(72, &platform).await;
    engines.list_others(&after.core);
    for no in 0..STREAMS {
        let answer = take_up(after.callers, no, &format!("s{no}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// Two versions serve before and after, and no VM is left that knows which one began a stream.
#[tokio::test]
async fn a_stream_goes_on_at_its_version_after_all_vms_were_killed() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start(73, &platform).await;
    engines.list_others(&before.core);
    engines.pause_others(&before.core, Duration::from_mins(1));
    begin_streams(&before, &first).await;
    sleep(SETTLED).await;
    let after = start(74, &platform).await;
    engines.list(&after.core);
    for no in 0..STREAMS {
        let answer = take_up(after.callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// A second version appears while streams run that began before it, whose records nobody needed then.
#[tokio::test]
async fn a_stream_that_began_before_a_release_goes_on_after_all_vms_were_killed() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start(75, &platform).await;
    begin_streams(&before, &first).await;
    sleep(SETTLED).await;
    engines.list_others(&before.core);
    pause(&before.core, "first");
    sleep(SETTLED).await;
    let after = start(76, &platform).await;
    engines.list(&after.core);
    for no in 0..STREAMS {
        let answer = take_up(after.callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// The store is still away when the VMs are back: nothing tells the version now, and later the log does.
#[tokio::test]
async fn a_stream_waits_for_the_log_of_a_store_that_is_away() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start(77, &platform).await;
    engines.list_others(&before.core);
    engines.pause_others(&before.core, Duration::from_mins(1));
    begin_streams(&before, &first).await;
    sleep(SETTLED).await;
    *platform.is_unavailable.lock().unwrap() = true;
    let after = start(78, &platform).await;
    engines.list(&after.core);
    let answer = take_up(after.callers, 0, "s0").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), Some("0.50"));
    *platform.is_unavailable.lock().unwrap() = false;
    let answer = take_up(after.callers, 0, "s0").await;
    assert_eq!((answer.status, answer.body), (200, events(4..9)));
    assert_eq!(engines.seen_by_others(), 0);
}

/// The first event of a stream waits for its record, but a store that takes none must hold up no stream.
#[tokio::test]
async fn a_stream_begins_while_the_store_takes_no_record() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let vm = start(79, &platform).await;
    engines.list(&vm.core);
    sleep(SETTLED).await;
    *platform.is_unavailable.lock().unwrap() = true;
    for no in 0..STREAMS {
        let mut caller = send(vm.callers, &format!("s{no}"), &prompt(no)).await;
        assert_eq!(caller.answer().await.body, events(4..9));
    }
    *platform.is_unavailable.lock().unwrap() = false;
    let records = || platform.streams.lock().unwrap().len();
    assert_eq!(records(), 0);
    wait_until(|| records() > 0).await;
}

/// The log's oldest records have expired: what was in them is not known, and the rest still is.
#[tokio::test]
async fn a_stream_whose_record_has_expired_is_refused() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start(80, &platform).await;
    engines.list_others(&before.core);
    engines.pause_others(&before.core, Duration::from_mins(1));
    begin_streams(&before, &first).await;
    sleep(SETTLED).await;
    platform.streams.lock().unwrap().clear();
    let after = start(81, &platform).await;
    engines.list(&after.core);
    for no in 0..STREAMS {
        let answer = take_up(after.callers, no, &format!("s{no}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(engines.seen_by_others() + engines.same.seen().len(), 0);
}

/// A kill of all VMs right after a caller's first event: the stream is known to the store, or its caller cannot go on.
#[tokio::test]
async fn no_event_goes_out_before_the_stream_is_in_the_log() {
    let platform = Arc::new(Platform::default());
    *platform.append_time.lock().unwrap() = Duration::from_millis(60);
    let engines = Engines::start().await;
    let vm = start(82, &platform).await;
    engines.list(&vm.core);
    sleep(SETTLED).await;
    assert!(platform.streams.lock().unwrap().is_empty());
    let mut caller = send(vm.callers, "s0", &prompt(0)).await;
    caller.until("t4").await;
    assert_eq!(platform.streams.lock().unwrap().len(), 1);
}

/// Most VMs neither append to the log nor read it themselves: others do for them, before and after all were killed.
#[tokio::test]
async fn a_stream_is_recorded_and_found_by_other_vms() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start_fleet(83, &platform).await;
    for vm in &before {
        engines.list_others(&vm.core);
        engines.pause_others(&vm.core, Duration::from_mins(1));
        list(&vm.core, "first", first.addr, "v1");
    }
    sleep(SETTLED).await;
    for no in 0..STREAMS {
        let vm = &before[no % FLEET];
        let mut caller = send(vm.callers, &format!("s{no}"), &prompt(no)).await;
        caller.until("t3").await;
    }
    let after = start_fleet(84, &platform).await;
    for vm in &after {
        engines.list(&vm.core);
    }
    for no in 0..STREAMS {
        let vm = &after[no % FLEET];
        let answer = take_up(vm.callers, no, &format!("s{no}")).await;
        assert_eq!((answer.status, answer.body), (200, events(4..9)));
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// The VM that writes the table was cut from the store when a version appeared: the log has its streams, the table lacks it.
#[tokio::test]
async fn a_stream_in_the_log_does_not_go_on_at_the_only_version_of_the_table() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let first = Upstream::start(vec![Act::CutEvents(1..4)]).await;
    let before = start(85, &platform).await;
    engines.list_others(&before.core);
    engines.pause_others(&before.core, Duration::from_mins(1));
    begin_streams(&before, &first).await;
    sleep(SETTLED).await;
    let narrow = BTreeSet::from(["v2".parse().unwrap()]);
    *platform.versions.lock().unwrap() = BTreeMap::from([("engines".parse().unwrap(), narrow)]);
    let after = start(86, &platform).await;
    engines.list_others(&after.core);
    sleep(SETTLED).await;
    for no in 0..STREAMS {
        let answer = take_up(after.callers, no, &format!("s{no}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(engines.seen_by_others(), 0);
}

/// The store comes back from an older copy without the table while all VMs are off: what it lacks is not known.
#[tokio::test]
async fn a_table_that_a_restore_has_emptied_tells_of_no_past() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    *platform.timeline.lock().unwrap() = Some(Timeline(2));
    let after = start(87, &platform).await;
    engines.list_others(&after.core);
    sleep(SETTLED).await;
    let answer = take_up(after.callers, 0, "s0").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), Some("0.50"));
    assert_eq!(engines.seen_by_others(), 0);
}

/// A VM whose list lags becomes the one that writes the table: it would take away a version that others have written.
#[tokio::test]
async fn a_vm_whose_list_lags_narrows_no_table() {
    let platform = Arc::new(Platform::default());
    let engines = Engines::start().await;
    let both = BTreeSet::from(["v1".parse().unwrap(), "v2".parse().unwrap()]);
    let table = BTreeMap::from([("engines".parse().unwrap(), both)]);
    platform.versions.lock().unwrap().clone_from(&table);
    let lagging = vm(0, 88, unused_addr().port(), &platform).await;
    lagging.core.fleet.lock().record_list(Moment(1));
    list(&lagging.core, "same", engines.same.addr, "v1");
    let mut history = resumption::History::default();
    for _ in 0..3 {
        history.step(&lagging.core).await.unwrap();
    }
    assert_eq!(*platform.versions.lock().unwrap(), table);
}
