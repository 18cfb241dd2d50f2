//! The clock of leases and ages, which goes on while the VM is suspended.

use rustix::time::{ClockId, clock_gettime};
use sesamegap_wire::Moment;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What lies before the start of the clock, so that ages told by peers can be counted back from a VM that was
/// booted a moment ago; much longer than any age that decides.
const BEFORE_BOOT: Duration = Duration::from_hours(24);

/// The present moment.
///
/// The monotonic clock stands still while a VM is suspended, and a lease counted on it would seem
/// to last after another holder has taken over; this one goes on.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Moment(0) + BEFORE_BOOT + Duration::new(secs, nanos)
}

/// Milliseconds since the Unix epoch, for incarnations, which need only differ and mostly rise.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// The moment that lies this long before the present one.
pub fn ago(span: Duration) -> Moment {
    now().less(span)
}

/// A span in whole milliseconds, as messages carry it.
pub fn wire_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// A span in whole milliseconds, for log lines.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
