//! Newtypes for numbers, so that two kinds of number cannot be confused.

mod rate;
mod work;

pub use rate::RequestRate;
pub use work::WorkPercent;

use crate::error::ParseError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::Duration;

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $int:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub $int);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let shown = || text.chars().take(32).collect::<String>();
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseError::new($kind, shown(), "a whole number"))
            }
        }
    };
}

number!(
    /// A number of tokens.
    Tokens,
    u64,
    "number of tokens"
);
number!(
    /// A version of a model's weights; a new version invalidates all older cache entries.
    WeightsVersion,
    u32,
    "weights version"
);
number!(
    /// Identifies one run of a process; each restart takes a higher number.
    Incarnation,
    u64,
    "incarnation"
);
number!(
    /// A record's position in a stream of the platform's log.
    Offset,
    u64,
    "offset"
);
number!(
    /// A history of the platform's log; increases by one each time the log is restored from a copy.
    Timeline,
    u64,
    "timeline"
);
number!(
    /// A fencing number: the position of the lease record under which an order is given.
    Fence,
    u64,
    "fencing number"
);
number!(
    /// The position of a chunk in an answer, from 0.
    Seq,
    u64,
    "sequence number"
);
number!(
    /// Microseconds on the monotonic clock of a process; not comparable between processes.
    Moment,
    u64,
    "moment"
);

impl Offset {
    /// The offset after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A record's position in the platform's log that stays ordered when the log is restored.
///
/// Restoring the log moves its end back, so offsets are reused. Positions compare by timeline
/// first, so any position of a newer timeline comes after all positions of an older one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Timeline that the offset belongs to.
    pub timeline: Timeline,
    /// Offset within the timeline.
    pub offset: Offset,
}

impl LogPosition {
    /// Creates a position from a timeline and an offset.
    #[must_use]
    pub fn new(timeline: Timeline, offset: Offset) -> Self {
        Self { timeline, offset }
    }

    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self::new(self.timeline, self.offset.next())
    }

    /// The position before this one in the same timeline, or `None` at offset 0.
    #[must_use]
    pub fn previous(self) -> Option<Self> {
        let offset = self.offset.0.checked_sub(1)?;
        Some(Self::new(self.timeline, Offset(offset)))
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.timeline, self.offset)
    }
}

impl FromStr for LogPosition {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let shown = || text.chars().take(32).collect::<String>();
        let (timeline, offset) = text
            .split_once(':')
            .ok_or_else(|| ParseError::new("log position", shown(), "TIMELINE:OFFSET"))?;
        Ok(Self::new(timeline.parse()?, offset.parse()?))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Self;

    /// Saturates at zero.
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Moment {
    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` before this one, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
