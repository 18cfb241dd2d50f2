//! A line of return times that advances by the service time of each refused request.

use sesamegap_wire::Moment;
use std::time::Duration;

/// The last time that was given out.
///
/// Two times are apart by the service time of the later one, so that requests return no faster
/// than engines can serve them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Line {
    last: Moment,
}

impl Line {
    /// The next time not before `earliest` and `step` after the last one.
    pub(super) fn next(self, earliest: Moment, step: Duration) -> Moment {
        earliest.max(self.last + step)
    }

    /// Records the last time given out.
    pub(super) fn advance(&mut self, last: Moment) {
        self.last = last;
    }

    /// The last time given out.
    pub(super) fn last(self) -> Moment {
        self.last
    }
}
