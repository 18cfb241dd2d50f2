//! Limits the log lines about unreadable records.
//!
//! Another writer may repeat a malformed record with each of its heartbeats, and lists are read repeatedly.
//! One line per read would flood the log, so each key and reason is reported once, and the rate of lines is
//! bounded even if the keys keep changing.

use crate::ports::Unreadable;
use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of remembered reports, of about 200 bytes each; more than a small deployment has upstreams.
const MAX_REPORTS: usize = 128;

/// Minimum time for which a report is remembered when the memory is full, so that at most [`MAX_REPORTS`]
/// lines are written in this time.
const MIN_RETENTION: Duration = Duration::from_mins(1);

/// The remembered reports, oldest first.
#[derive(Debug, Default)]
pub struct Reports(VecDeque<(Unreadable, Moment)>);

impl Reports {
    /// Whether to report a record; if so, the report is remembered.
    pub fn is_due(&mut self, record: &Unreadable, now: Moment) -> bool {
        if self
            .0
            .iter()
            .any(|(known, _)| is_same_report(known, record))
        {
            return false;
        }
        if self.0.len() >= MAX_REPORTS {
            let oldest = self.0.front();
            if oldest.is_some_and(|(_, at)| now.since(*at) < MIN_RETENTION) {
                return false;
            }
            self.0.pop_front();
        }
        self.0.push_back((record.clone(), now));
        true
    }
}

/// Whether two records have the same key and are unreadable for the same reason.
fn is_same_report(one: &Unreadable, other: &Unreadable) -> bool {
    (&one.key, &one.field, &one.why) == (&other.key, &other.field, &other.why)
}
