//! The clock for leases and ages, which keeps running while the VM is suspended.

use rustix::time::{ClockId, clock_gettime};
use sesamegap_wire::Moment;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Offset added to the time since boot, so that ages reported by peers can be subtracted on a VM that
/// has just booted. Much longer than any age that affects a decision.
const BOOT_OFFSET: Duration = Duration::from_hours(24);

/// Returns the current time.
///
/// `CLOCK_MONOTONIC` stops while a VM is suspended, so a lease timed with it would appear valid after another holder
/// has taken over. `CLOCK_BOOTTIME` keeps running.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Moment(0) + BOOT_OFFSET + Duration::new(secs, nanos)
}

/// Returns milliseconds since the Unix epoch, for incarnations, which only need to differ and mostly increase.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| {
        u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the time that lies this long before the current one.
pub fn ago(duration: Duration) -> Moment {
    now().saturating_sub(duration)
}

/// Converts a duration to whole milliseconds, in the width used in messages.
pub fn wire_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a duration to whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
