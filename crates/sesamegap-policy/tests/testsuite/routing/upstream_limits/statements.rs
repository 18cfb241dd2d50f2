//! What is known from statements that overtake each other.

use super::world::LIFE;
use sesamegap_policy::routing::upstream_limits::{
    LimitChange, Place, Statement, UpstreamLimits, Verdict,
};
use sesamegap_wire::{Moment, RequestRate};
use std::time::Duration;

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_hours(1) + Duration::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a valid rate")
}

fn said(limit: Option<f64>, sent: u64, received: u64) -> Statement {
    Statement {
        rate: limit.map(rate),
        sent: at(sent),
        received: at(received),
    }
}

/// Nobody names a limit: nothing is kept, whatever comes.
#[test]
fn answers_without_a_limit_leave_nothing() {
    let mut limits = UpstreamLimits::default();
    assert_eq!(limits.observe(LIFE, said(None, 0, 20)), None);
    assert!(limits.is_empty());
}

/// A slow answer to an earlier request arrives after one that ended the limit; it must not bring the limit back.
#[test]
fn a_late_answer_does_not_bring_an_ended_limit_back() {
    let mut limits = UpstreamLimits::default();
    let named = limits.observe(LIFE, said(Some(4.0), 0, 100));
    assert_eq!(named, Some(LimitChange::Named(rate(4.0))));
    let ended = limits.observe(LIFE, said(None, 500, 540));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limits.observe(LIFE, said(Some(4.0), 300, 2_000)), None);
    assert_eq!(limits.rate(LIFE), None);
    let again = limits.observe(LIFE, said(Some(3.0), 2_500, 2_600));
    assert_eq!(again, Some(LimitChange::Named(rate(3.0))));
}

/// A slow answer from before the limit arrives after one that names it; it must not end the limit.
#[test]
fn a_late_answer_does_not_end_a_limit() {
    let mut limits = UpstreamLimits::default();
    limits.observe(LIFE, said(Some(4.0), 100, 140));
    assert_eq!(limits.observe(LIFE, said(None, 0, 3_000)), None);
    assert_eq!(limits.observe(LIFE, said(None, 139, 3_000)), None);
    assert_eq!(limits.rate(LIFE), Some(rate(4.0)));
}

/// A slow answer names an earlier value of a limit that has fallen since.
#[test]
fn a_late_answer_does_not_raise_a_limit_again() {
    let mut limits = UpstreamLimits::default();
    limits.observe(LIFE, said(Some(8.0), 0, 100));
    let fell = limits.observe(LIFE, said(Some(3.0), 200, 240));
    assert_eq!(fell, Some(LimitChange::Changed(rate(3.0))));
    assert_eq!(limits.observe(LIFE, said(Some(8.0), 150, 2_000)), None);
    assert_eq!(limits.rate(LIFE), Some(rate(3.0)));
}

/// Small drifts are known here and not told; together they become notable.
#[test]
fn only_notable_changes_are_told() {
    let mut limits = UpstreamLimits::default();
    limits.observe(LIFE, said(Some(4.0), 0, 10));
    assert_eq!(limits.observe(LIFE, said(Some(4.2), 20, 30)), None);
    assert_eq!(limits.rate(LIFE), Some(rate(4.2)));
    let told = limits.observe(LIFE, said(Some(4.5), 40, 50));
    assert_eq!(told, Some(LimitChange::Changed(rate(4.5))));
}

/// A peer's news counts from when the answer was given, not from when the datagram came.
#[test]
fn news_carries_the_age_of_its_answer() {
    let mut teller = UpstreamLimits::default();
    teller.observe(LIFE, said(Some(4.0), 0, 100));
    let news = teller.news(LIFE, at(1_000)).unwrap();
    let mut hearer = UpstreamLimits::default();
    hearer.observe(LIFE, said(Some(4.0), 300, 400));
    hearer.observe(LIFE, said(None, 800, 900));
    assert_eq!(hearer.learn(&news, at(1_003)), None);
    assert_eq!(hearer.rate(LIFE), None);
}

/// An upstream that is gone is forgotten; one that is listed keeps its limit however little it is sent.
#[test]
fn limits_of_upstreams_that_are_gone_are_forgotten() {
    let mut limits = UpstreamLimits::default();
    limits.observe(1, said(Some(4.0), 0, 100));
    limits.observe(2, said(Some(4.0), 0, 100));
    limits.observe(3, said(Some(4.0), 0, 100));
    limits.observe(3, said(None, 200, 300));
    limits.expire(|life| life != 2, at(70_000));
    assert_eq!(limits.rate(1), Some(rate(4.0)));
    assert_eq!(limits.rate(2), None);
    assert_eq!(limits.count(), 1);
}

/// A request was permitted and its connection failed: the upstream got nothing, so another may go.
#[test]
fn a_permit_that_was_not_used_is_given_back() {
    let mut limits = UpstreamLimits::default();
    limits.observe(LIFE, said(Some(1.0), 0, 0));
    let grant = |limits: &mut UpstreamLimits, ms| limits.try_grant(LIFE, Place::FIRST, at(ms));
    assert_ne!(grant(&mut limits, 10), Verdict::Granted);
    assert_eq!(grant(&mut limits, 3_020), Verdict::Granted);
    assert_ne!(grant(&mut limits, 3_030), Verdict::Granted);
    limits.give_back(LIFE);
    assert_eq!(grant(&mut limits, 3_040), Verdict::Granted);
}

/// VMs that get nothing are told to return one after the other, not together.
#[test]
fn vms_that_get_no_permit_return_at_different_times() {
    let mut limits = UpstreamLimits::default();
    limits.observe(LIFE, said(Some(4.0), 0, 0));
    let wait = |limits: &mut UpstreamLimits| match limits.try_grant(LIFE, Place::FIRST, at(3_000)) {
        Verdict::Closed(ms) => ms,
        other => panic!("{other:?}"),
    };
    let waits: Vec<u32> = (0..5).map(|_| wait(&mut limits)).collect();
    assert!(
        waits.windows(2).all(|pair| pair[0] + 200 <= pair[1]),
        "{waits:?}"
    );
}

/// Limits that are next to nothing, or beyond all that a fleet sends, neither overflow nor close an upstream for good.
#[test]
fn limits_at_the_ends_of_the_range_are_kept() {
    for (limit, grants) in [(0.0, 2), (1e-300, 2), (1e300, 10_000)] {
        let mut limits = UpstreamLimits::default();
        limits.observe(LIFE, said(Some(limit), 0, 0));
        let granted = (0..10_000).filter(|ms| {
            let verdict = limits.try_grant(LIFE, Place::FIRST, at(*ms));
            verdict == Verdict::Granted
        });
        let granted = granted.count();
        assert!(granted <= grants, "{granted} at {limit}");
        assert!(granted >= grants * 9 / 10, "{granted} at {limit}");
    }
}
