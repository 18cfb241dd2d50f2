use sesamegap_entry::process::stopping::StopDeadlines;
use std::time::Duration;

/// Guards against a stream of five seconds that is cut by SIGKILL, since the stopping VM accepted
/// its connection too late.
#[test]
fn the_last_request_taken_has_time_to_end() {
    let grace = Duration::from_secs(8);
    let deadlines = StopDeadlines::new(grace);
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
    let deadlines = StopDeadlines::new(Duration::from_secs(8));
    assert!(deadlines.stop_accepting >= Duration::from_secs(2));
    assert!(deadlines.close_idle < deadlines.stop_accepting);
}
