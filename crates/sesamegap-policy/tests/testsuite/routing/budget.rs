use quickcheck::quickcheck;
use sesamegap_policy::routing::budget::{Bound, Budget};
use sesamegap_wire::Moment;
use std::time::Duration;

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

/// When a service fails for all callers at once and every VM wants to retry every request, retries must not displace
/// first attempts.
#[test]
fn all_vms_together_stay_under_the_bound() {
    let vms = 7;
    let mut budgets: Vec<Budget> = (0..vms).map(|_| Budget::new(BOUND, at(0))).collect();
    let mut retries: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for ms in (0..30_000).step_by(10) {
        for budget in &mut budgets {
            budget.record_request(at(ms));
            requests.push(ms);
            if budget.try_retry(at(ms), vms).is_granted {
                retries.push(ms);
            }
        }
    }
    for end in (10_000..30_000).step_by(500) {
        let within = |times: &[u64]| {
            let inside = times.iter().filter(|ms| (end - 10_000..end).contains(*ms));
            inside.count() as f64
        };
        let limit = BOUND.ratio * within(&requests) + BOUND.slack;
        assert!(
            within(&retries) <= limit,
            "{} retries of {limit} before {end}",
            within(&retries)
        );
    }
    assert!(
        retries.len() > 1_000,
        "the budget must also be used: {}",
        retries.len()
    );
}

/// A VM that has restarted and knows no peer yet treats the whole allowance as its own.
#[test]
fn a_vm_that_knows_no_peer_takes_less_than_the_fleets_allowance() {
    let mut budget = Budget::new(BOUND, at(0));
    let taken = (0..1_000)
        .filter(|_| budget.try_retry(at(0), 1).is_granted)
        .count();
    assert!((1..54).contains(&taken), "{taken}");
}

quickcheck! {
    fn no_window_of_one_vm_exceeds_its_share(steps: Vec<(u16, bool)>) -> bool {
        let mut budget = Budget::new(BOUND, at(0));
        let mut now = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (pause, is_request) in steps {
            now += u64::from(pause) % 400;
            if is_request {
                budget.record_request(at(now));
                requests.push(now);
            } else if budget.try_retry(at(now), 9).is_granted {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let since = end.saturating_sub(9_500);
            let count = |times: &[u64]| times.iter().filter(|ms| (since..=*end).contains(*ms)).count();
            count(&retries) as f64 <= BOUND.ratio * count(&requests) as f64 + BOUND.slack / 9.0 + 1.0
        })
    }
}
