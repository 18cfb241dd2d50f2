use sesamegap_entry::process::stopping::Times;
use std::time::Duration;

/// A chat comes to a VM that was told to stop, just before that closes its door, and its answer
/// takes five seconds. It would be cut by the kill, half read.
#[test]
fn the_last_request_taken_has_time_to_end() {
    let grace = Duration::from_secs(8);
    let times = Times::of(grace);
    let longest = Duration::from_secs(5);
    assert!(times.accepts + longest <= times.ends, "{times:?}");
    assert!(times.ends < grace);
}

/// Callers keep an address for two seconds after they asked. A door that closes before would turn
/// them away although they did as told.
#[test]
fn callers_that_just_asked_are_still_taken() {
    let times = Times::of(Duration::from_secs(8));
    assert!(times.accepts >= Duration::from_secs(2));
    assert!(times.lingers < times.accepts);
}
