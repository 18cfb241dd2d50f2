use quickcheck::quickcheck;
use sesamegap_policy::routing::stopping::StopDeadlines;
use std::time::Duration;

/// Guards against a stream of five seconds that is cut by SIGKILL, since the stopping VM accepted
/// its connection too late.
#[test]
fn the_last_request_taken_has_time_to_end() {
    let grace = Duration::from_secs(8);
    let deadlines = StopDeadlines::new(grace, Duration::ZERO);
    let longest = Duration::from_secs(5);
    assert!(
        deadlines.stop_accepting + longest <= deadlines.exit,
        "{deadlines:?}"
    );
    assert!(deadlines.exit < grace);
}

/// Guards against a stopping VM that refuses callers which got its address from the locator:
/// callers keep an address for two seconds.
#[test]
fn callers_with_a_fresh_address_are_still_accepted() {
    let deadlines = StopDeadlines::new(Duration::from_secs(8), Duration::ZERO);
    assert!(deadlines.stop_accepting >= Duration::from_secs(2));
    assert!(deadlines.close_idle < deadlines.stop_accepting);
}

quickcheck! {
    /// Guards against an answer that the exit cuts although its request came later than operators bear, whatever the grace is and
    /// however late timers are.
    fn what_is_taken_late_ends_before_the_exit(grace: u16, delay: u16, at: (u16, u16)) -> bool {
        let ms = |value: u16| Duration::from_millis(u64::from(value));
        let deadlines = StopDeadlines::new(ms(grace), ms(delay / 64));
        let (elapsed, left) = (ms(at.0), ms(at.1));
        let is_late = elapsed >= Duration::from_secs(3) || elapsed >= deadlines.stop_accepting;
        let ends = elapsed + left <= deadlines.answer;
        !is_late || deadlines.takes(elapsed, left) == ends
    }
}

/// Guards against a stop that refuses requests which callers send on an address that they have just been given.
#[test]
fn requests_are_taken_as_long_as_connections_are_accepted() {
    let deadlines = StopDeadlines::new(Duration::from_secs(8), Duration::ZERO);
    let longest = Duration::from_mins(1);
    let last = deadlines
        .stop_accepting
        .saturating_sub(Duration::from_millis(1));
    assert!(deadlines.takes(last, longest));
    assert!(!deadlines.takes(deadlines.stop_accepting, longest));
    assert!(!deadlines.ends_in_time(Duration::ZERO, longest));
}

/// Guards against a process that is killed with requests in hand, as its timers and so its exit are late.
#[test]
fn late_timers_bring_the_exit_forward() {
    let grace = Duration::from_secs(8);
    let delay = Duration::from_millis(400);
    let deadlines = StopDeadlines::new(grace, delay);
    assert!(deadlines.exit + delay * 2 < grace);
    assert!(deadlines.answer < deadlines.exit);
    // A long pause must not have the process cut what may end in the grace.
    let paused = StopDeadlines::new(grace, Duration::from_secs(3));
    assert!(paused.exit >= grace * 5 / 6);
}
