//! How long silence is tolerated before another upstream is asked.

use sesamegap_policy::routing::timeouts::{
    COMMON_PAUSE, FIRST_EVENT_BUSY, PAUSE, Silence, is_common, may_be_cut,
};
use std::time::Duration;

fn all() -> Vec<Silence> {
    let mut all = Vec::new();
    for bits in 0..8 {
        all.push(Silence {
            started: bits & 1 > 0,
            active_elsewhere: bits & 2 > 0,
            common: bits & 4 > 0,
        });
    }
    all
}

/// Guards against a stream that leaves a sound engine in a pause of about a second.
#[test]
fn a_pause_moves_no_stream() {
    let pause = Duration::from_millis(1_300);
    for silence in all() {
        assert!(silence.tolerated() > pause, "{silence:?}");
    }
}

/// Guards against a stream that leaves one silent engine for others that are silent too, and against one that waits for
/// engines that are lost together.
#[test]
fn a_common_pause_is_borne_for_longer_and_not_for_ever() {
    assert!(COMMON_PAUSE > PAUSE);
    for silence in all() {
        assert!(
            silence.tolerated() <= COMMON_PAUSE.max(FIRST_EVENT_BUSY),
            "{silence:?}"
        );
    }
    let alone = Silence {
        started: true,
        active_elsewhere: false,
        common: false,
    };
    let common = Silence {
        common: true,
        ..alone
    };
    assert!(alone.tolerated() < common.tolerated());
}

/// Guards against silence of one engine that counts as that of all, or the reverse.
#[test]
fn silence_is_common_if_most_others_are_silent() {
    let few = [(0, 0), (0, 1), (1, 2), (1, 3), (3, 6)];
    assert!(
        few.iter()
            .all(|(silent, others)| !is_common(*silent, *others))
    );
    let most = [(1, 1), (2, 2), (2, 3), (4, 6), (6, 6)];
    assert!(
        most.iter()
            .all(|(silent, others)| is_common(*silent, *others))
    );
}

/// Guards against an answer that its upstream cut at its time limit and that counts as whole, and against sound ones that are
/// broken off.
#[test]
fn only_an_answer_that_ends_at_its_limit_may_be_cut() {
    let given = Duration::from_secs(2);
    for ms in 0..=60 {
        assert!(may_be_cut(Duration::from_millis(ms), given));
    }
    for ms in 150..1_000 {
        assert!(!may_be_cut(Duration::from_millis(ms), given));
    }
}

/// Guards against an answer to a request with little time left that never counts as whole.
#[test]
fn an_answer_that_is_prompt_is_not_cut() {
    for ms in 1..1_000 {
        let given = Duration::from_millis(ms);
        assert!(!may_be_cut(given * 9 / 10, given), "{given:?}");
    }
}
