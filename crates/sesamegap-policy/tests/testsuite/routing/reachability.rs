//! Virtual time: what a VM concludes from connections that open or fail.

use sesamegap_policy::routing::reachability::{ReachChange, Reachability};
use sesamegap_wire::Moment;
use std::time::Duration;

/// Upstreams that the VM knows.
const KNOWN: usize = 12;

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

/// Connections to these upstreams fail at once, one each 10 ms.
fn fail(reach: &mut Reachability, upstreams: impl Iterator<Item = u64>, from: u64) -> u64 {
    let mut now = from;
    for upstream in upstreams {
        reach.record_unreached(upstream, at(now), KNOWN, at(now));
        now += 10;
    }
    now
}

/// A VM that loses all upstreams goes on trying each of them for its callers.
#[test]
fn failures_at_several_upstreams_show_a_partition() {
    let mut reach = Reachability::default();
    reach.record_connected(at(0));
    fail(&mut reach, 0..2, 1_000);
    assert!(!reach.is_partitioned());
    let change = reach.record_unreached(2, at(1_100), KNOWN, at(1_400));
    let lost = ReachChange::Lost {
        unreached: 3,
        connected_ago: Some(Duration::from_millis(1_400)),
    };
    assert_eq!(change, lost);
    assert!(reach.is_partitioned());
}

/// A crashed upstream is tried again and again; the others work, but are not asked at the moment.
#[test]
fn failures_at_one_upstream_show_no_partition() {
    let mut reach = Reachability::default();
    fail(&mut reach, std::iter::repeat_n(7, 50), 1_000);
    assert!(!reach.is_partitioned());
}

/// A quarter of many upstreams crashed; connections to the others succeed between the failures.
#[test]
fn an_accepted_connection_in_between_shows_that_the_vm_reaches_upstreams() {
    let mut reach = Reachability::default();
    let mut now = 1_000;
    for _ in 0..20 {
        now = fail(&mut reach, 0..2, now);
        reach.record_connected(at(now));
    }
    assert!(!reach.is_partitioned());
}

/// Failures minutes apart on a VM with few requests are no sign of a partition.
#[test]
fn failures_far_apart_do_not_add_up() {
    let mut reach = Reachability::default();
    for upstream in 0..10 {
        fail(&mut reach, upstream..=upstream, upstream * 4_000);
    }
    assert!(!reach.is_partitioned());
}

/// Attempts that began during a partition time out after it has healed; they must not look like a new one.
#[test]
fn attempts_from_before_an_accepted_connection_do_not_count() {
    let mut reach = Reachability::default();
    let now = fail(&mut reach, 0..3, 1_000);
    let change = reach.record_connected(at(now + 500));
    assert!(matches!(change, ReachChange::Regained { .. }));
    for upstream in 0..10 {
        reach.record_unreached(upstream, at(now + 400), KNOWN, at(now + 700));
    }
    assert!(!reach.is_partitioned());
}

/// A VM sends to two workers only. Without tests of other upstreams it would never know that it is partitioned.
#[test]
fn a_failure_calls_for_tests_of_other_upstreams_until_one_accepts_a_connection() {
    let mut reach = Reachability::default();
    assert!(!reach.claim_test(at(1_000)));
    let now = fail(&mut reach, 0..2, 1_000);
    assert!(reach.claim_test(at(now)));
    assert!(!reach.claim_test(at(now)), "one at a time");
    assert!(reach.is_unreached(1) && !reach.is_unreached(2));
    reach.record_unreached(2, at(now), KNOWN, at(now + 300));
    assert!(reach.is_partitioned());
    assert!(reach.claim_test(at(now + 600)));
    reach.record_connected(at(now + 700));
    assert!(!reach.claim_test(at(now + 2_000)));
}

/// A deployment may have fewer upstreams than are needed to tell otherwise.
#[test]
fn a_vm_that_knows_one_upstream_is_partitioned_with_it() {
    let mut reach = Reachability::default();
    let change = reach.record_unreached(1, at(1_000), 1, at(1_300));
    assert!(matches!(change, ReachChange::Lost { unreached: 1, .. }));
}
