//! All VMs are killed at once and lose their records and all knowledge of the past, beside a release.

use super::{Engines, STREAMS, events, list, pause, prompt, send, take_up};
use crate::support::{Act, Platform, Upstream, Vm, offset, unused_addr, vm, wait_until};
use sesamegap_entry::clock;
use sesamegap_entry::ports::Table;
use sesamegap_entry::resumption;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which VMs run on after the last event, before they are killed.
const SETTLED: Duration = Duration::from_millis(500);

/// Starts a VM that has read the list of upstreams.
async fn start(net: u8, platform: &Arc<Platform>) -> Vm {
    let vm = vm(0, net, unused_addr().port(), platform).await;
    vm.core.fleet.lock().record_list(clock::now());
    let known = vm.core.table_progress(Table::Fleet);
    known.position().record_read(offset(1), clock::now());
    vm.core.peers.set_list_known();
    tokio::spawn(resumption::run_history(Arc::clone(&vm.core)));
    tokio::spawn(resumption::run_log(Arc::clone(&vm.core)));
    vm
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
