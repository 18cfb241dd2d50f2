use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::plain::{Worker, choose};

fn worker() -> Worker {
    Worker {
        near: true,
        busy: 0,
        slots: 6,
        slowness: 1.0,
        faults: 0.0,
        state: Availability::Open,
    }
}

/// A worker answers eight times as slowly as the others while its health check passes, so callers sent there would
/// wait a second.
#[test]
fn a_slow_worker_gets_requests_only_when_the_others_are_full() {
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

/// A worker that fails nearly all requests immediately always looks idle.
#[test]
fn a_worker_that_fails_fast_does_not_attract_all_requests() {
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
fn ties_are_spread_over_workers() {
    let workers = [worker(), worker(), worker()];
    let chosen: Vec<_> = (0..3).filter_map(|turn| choose(&workers, turn)).collect();
    assert_eq!(chosen.len(), 3);
    assert!(chosen.iter().any(|no| *no != chosen[0]), "{chosen:?}");
}

/// When all workers were recently unreachable, an attempt may still succeed, whereas a refusal always fails the caller.
#[test]
fn a_suspect_worker_is_chosen_as_a_last_resort_but_a_paused_one_is_not() {
    let suspect = Worker {
        state: Availability::Suspect,
        ..worker()
    };
    assert_eq!(choose(&[suspect], 0), Some(0));
    let paused = Worker {
        state: Availability::Paused,
        ..worker()
    };
    assert_eq!(choose(&[paused], 0), None);
}
