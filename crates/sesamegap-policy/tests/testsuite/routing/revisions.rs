use sesamegap_policy::routing::revisions::NewestHeard;
use sesamegap_wire::Moment;
use std::time::Duration;

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

/// Guards against a VM that refuses its callers although each document is in force there in time: the next one is heard of
/// before the last one has arrived.
#[test]
fn a_vm_that_keeps_up_is_never_behind_for_long() {
    let mut heard = NewestHeard::default();
    for no in 1..100 {
        let now = at(no * 330);
        heard.record(no, no.saturating_sub(2), now);
        let behind = heard.behind_for(no.saturating_sub(2), now).unwrap();
        assert!(behind <= Duration::from_millis(330), "{behind:?} at {no}");
    }
}

/// Guards against a VM that serves by a replaced document for good because newer ones keep coming.
#[test]
fn a_vm_that_gets_no_newer_document_is_behind_since_the_first() {
    let mut heard = NewestHeard::default();
    for no in 1..100 {
        heard.record(no, 0, at(no * 330));
    }
    let behind = heard.behind_for(0, at(33_000));
    assert_eq!(behind, Some(Duration::from_millis(33_000 - 330)));
    assert_eq!(heard.newest(0, at(33_000)), 99);
}

/// Guards against a VM that refuses its callers for ever since all that had a newer document are gone.
#[test]
fn a_claim_that_nobody_repeats_lapses() {
    let mut heard = NewestHeard::default();
    assert!(heard.record(5, 3, at(0)));
    assert!(!heard.record(5, 3, at(7_000)));
    assert!(heard.behind_for(3, at(14_000)).is_some());
    assert_eq!(heard.behind_for(3, at(16_000)), None);
    assert_eq!(heard.newest(3, at(16_000)), 3);
}
