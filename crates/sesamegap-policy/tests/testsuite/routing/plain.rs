use sesamegap_policy::routing::Openness;
use sesamegap_policy::routing::plain::{Worker, choose};

fn worker() -> Worker {
    Worker {
        near: true,
        busy: 0,
        slots: 6,
        slowness: 1.0,
        faults: 0.0,
        state: Openness::Open,
    }
}

/// One worker answers eight times as slowly while its health check is good. Callers whose work
/// goes there wait a second for what takes the others a moment.
#[test]
fn a_slow_worker_gets_work_only_when_the_others_are_full() {
    let slow = Worker {
        slowness: 8.0,
        ..worker()
    };
    let mut workers = [slow, worker(), worker()];
    let mut sent = [0; 3];
    for turn in 0..30 {
        let no = choose(&workers, turn).expect("all are open");
        workers[no].busy += 1;
        sent[no] += 1;
    }
    assert!(sent[0] <= 2, "{sent:?}");
}

/// A worker fails nearly all it gets, at once, and so always looks idle.
#[test]
fn a_worker_that_fails_fast_does_not_draw_all_work() {
    let failing = Worker {
        faults: 0.9,
        ..worker()
    };
    let loaded = Worker {
        busy: 9,
        ..worker()
    };
    assert_eq!(choose(&[failing, loaded], 0), Some(1));
}

#[test]
fn equals_take_turns() {
    let workers = [worker(), worker(), worker()];
    let chosen: Vec<_> = (0..3).filter_map(|turn| choose(&workers, turn)).collect();
    assert_eq!(chosen.len(), 3);
    assert!(chosen.iter().any(|no| *no != chosen[0]), "{chosen:?}");
}

/// All workers were unreachable a moment ago. A refusal would be certain, a try may succeed.
#[test]
fn a_suspect_is_better_than_none_but_one_that_leaves_is_not() {
    let suspect = Worker {
        state: Openness::Suspect,
        ..worker()
    };
    assert_eq!(choose(&[suspect], 0), Some(0));
    let paused = Worker {
        state: Openness::Paused,
        ..worker()
    };
    assert_eq!(choose(&[paused], 0), None);
}
