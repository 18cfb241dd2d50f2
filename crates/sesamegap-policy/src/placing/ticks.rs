//! Coarse times in fifteen bits, which wrap.

use sesamegap_wire::Moment;

/// Length of a tick; 15 bits of ticks are 68 minutes, longer than any block is left unused.
const TICK_MICROS: u64 = 125_000;

/// Ticks are kept in 15 bits, the sixteenth tells a confirmed holding.
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
