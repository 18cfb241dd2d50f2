use sesamegap_policy::routing::link_budget::LinkBudget;
use sesamegap_policy::routing::probing::Probing;
use sesamegap_wire::Moment;
use std::time::Duration;

const BASE: Duration = Duration::from_millis(350);

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

/// Guards against VMs that are taken for dead because their answers to probes are slow.
#[test]
fn a_late_answer_of_a_peer_that_was_heard_is_no_failure() {
    let mut probing = Probing::default();
    probing.record_heard("one", at(90));
    probing.record_heard("two", at(110));
    assert!(probing.record_late(&"one", at(100)));
    assert!(!probing.record_late(&"two", at(100)));
    assert!(probing.record_late(&"three", at(100)));
}

/// Guards against a VM on a slow link that takes all its peers for dead, and against one that never finds out again.
#[test]
fn late_answers_in_a_row_lengthen_the_timeout_and_answers_in_time_shorten_it() {
    let mut probing = Probing::default();
    for _ in 0..9 {
        probing.record_late(&"one", at(0));
    }
    assert_eq!(probing.timeout(BASE), 3 * BASE);
    probing.record_answer();
    probing.record_answer();
    assert_eq!(probing.timeout(BASE), BASE);
}

/// Guards against copies that take the link from callers: of 1.25 MB/s, a quarter is for them, and a tenth while callers use
/// nine tenths.
#[test]
fn copies_get_what_callers_leave() {
    for (callers, share) in [(0, 0.25), (800, 0.25), (1_000, 0.16), (1_250, 0.1)] {
        let mut budget = LinkBudget::new(10.0, at(0));
        let mut sent = 0;
        for ms in 1..20_000 {
            budget.count_callers(callers, at(ms));
            if budget.allows_copy(at(ms)) {
                budget.charge(1_000, at(ms));
                sent += 1_000;
            }
        }
        let expected = 1.25e6 * 20.0 * share;
        let ratio = f64::from(sent) / expected;
        assert!((0.95..1.1).contains(&ratio), "{callers}: {ratio}");
    }
}
