//! How long work takes, relative to usual.

use crate::error::ParseError;
use std::fmt;
use std::str::FromStr;

/// Lowest figure that is believed: no machine works at more than ten times its usual speed.
const MIN_PERCENT: u16 = 10;

/// Highest figure that is believed: an engine that is ten times slower than usual misses all objectives anyway.
const MAX_PERCENT: u16 = 1_000;

/// Time that work takes on a machine, in percent of usual: 100 is usual, 200 twice as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkPercent(u16);

impl WorkPercent {
    /// A figure from 10 to 1,000; `None` for any other, such as zero.
    pub fn new(percent: u16) -> Option<Self> {
        let is_plausible = (MIN_PERCENT..=MAX_PERCENT).contains(&percent);
        is_plausible.then_some(Self(percent))
    }

    /// Time that work takes as a multiple of usual; never zero.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for WorkPercent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WorkPercent {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let shown = || text.chars().take(32).collect::<String>();
        let number: Option<u16> = text.parse().ok();
        number
            .and_then(Self::new)
            .ok_or_else(|| ParseError::new("percentage of work", shown(), "10 to 1000"))
    }
}
