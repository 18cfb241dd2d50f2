//! Coarse timestamps of 15 bits, which wrap around.

use sesamegap_wire::Moment;

/// Length of a tick. Ticks of 15 bits wrap around after 68 minutes, longer than any block stays unused.
const TICK_MICROS: u64 = 125_000;

/// Mask of the 15 bits of a tick; the sixteenth bit marks a confirmed holding.
pub(super) const TICK_MASK: u16 = 0x7fff;

pub(super) fn tick(now: Moment) -> u16 {
    u16::try_from((now.0 / TICK_MICROS) & u64::from(TICK_MASK)).unwrap_or(0)
}

pub(super) fn ticks_since(now: u16, then: u16) -> u16 {
    now.wrapping_sub(then) & TICK_MASK
}

pub(super) fn seconds(ticks: u16) -> f64 {
    f64::from(ticks) * (TICK_MICROS as f64) / 1e6
}
