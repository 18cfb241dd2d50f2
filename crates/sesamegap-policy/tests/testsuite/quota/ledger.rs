use sesamegap_policy::quota::{Charge, Ledger, Pool, RateLimit, ShardSet, Tolerance, Verdict};
use sesamegap_wire::{Moment, TeamId};
use std::time::Duration;

const LIMIT: RateLimit = RateLimit {
    rate: 1_000.0,
    burst: 2_000.0,
};

const START: Moment = Moment(1_000_000_000_000);

/// A pool that holds all parts of shard 0 from two VMs, renewed every 100 ms until `end`.
fn pool(end: Duration) -> Pool {
    let mut pool = Pool::new(START);
    let mut shards = ShardSet::default();
    shards.insert(0);
    let mut at = Duration::ZERO;
    while at <= end {
        let now = START + at;
        pool.record(None, shards, 2, now);
        pool.record(Some(super::world::addr(1)), shards, 2, now);
        pool.advance(2, now);
        at += Duration::from_millis(100);
    }
    pool
}

fn charge(team: &TeamId, cost: f64, priority: u8) -> Charge<'_> {
    Charge {
        team,
        cost,
        priority,
        limit: LIMIT,
        revision: 1,
    }
}

/// A team without use so far, five seconds after all parts were pooled.
fn full_bucket() -> (TeamId, Pool, Ledger, Moment) {
    let age = Duration::from_secs(5);
    let ledger = Ledger::new(Tolerance { slack: 0.0 });
    (super::team(), pool(age), ledger, START + age)
}

/// Refused callers that all return when the first tokens are there would be refused together again.
#[test]
fn refused_callers_return_one_after_the_other() {
    let (team, pool, mut ledger, now) = full_bucket();
    assert_eq!(
        ledger.charge(0, &charge(&team, 2_000.0, 0), &pool, 2, now),
        Verdict::Granted
    );
    let mut waits = Vec::new();
    for _ in 0..3 {
        match ledger.charge(0, &charge(&team, 500.0, 0), &pool, 2, now) {
            Verdict::OverLimit(wait) => waits.push(wait.as_millis()),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(waits, [500, 1_000, 1_500]);
}

/// A prompt that is larger than the burst would never be admitted; it is admitted when the bucket is full, and later
/// ones wait until its tokens are paid off.
#[test]
fn a_request_larger_than_the_burst_is_admitted_from_a_full_bucket() {
    let (team, pool, mut ledger, now) = full_bucket();
    assert_eq!(
        ledger.charge(0, &charge(&team, 6_000.0, 1), &pool, 2, now),
        Verdict::Granted
    );
    let verdict = ledger.charge(0, &charge(&team, 1.0, 0), &pool, 2, now);
    assert_eq!(verdict, Verdict::OverLimit(Duration::from_millis(4_001)));
}

/// A request was refused by its engine, or its caller left before it was sent: its tokens go back.
#[test]
fn a_refund_is_available_again() {
    let (team, pool, mut ledger, now) = full_bucket();
    assert_eq!(
        ledger.charge(0, &charge(&team, 2_000.0, 0), &pool, 2, now),
        Verdict::Granted
    );
    ledger.adjust(&team, -2_000.0);
    assert_eq!(
        ledger.charge(0, &charge(&team, 2_000.0, 0), &pool, 2, now),
        Verdict::Granted
    );
    ledger.adjust(&team, 500.0);
    let verdict = ledger.charge(0, &charge(&team, 500.0, 0), &pool, 2, now);
    assert_eq!(verdict, Verdict::OverLimit(Duration::from_secs(1)));
}

/// An overloaded team's less urgent requests would take all tokens before its urgent ones arrive.
#[test]
fn the_last_tokens_are_kept_for_urgent_requests() {
    let (team, pool, mut ledger, now) = full_bucket();
    assert_eq!(
        ledger.charge(0, &charge(&team, 1_700.0, 1), &pool, 2, now),
        Verdict::Granted
    );
    assert!(matches!(
        ledger.charge(0, &charge(&team, 200.0, 1), &pool, 2, now),
        Verdict::OverLimit(_)
    ));
    assert_eq!(
        ledger.charge(0, &charge(&team, 200.0, 0), &pool, 2, now),
        Verdict::Granted
    );
}
