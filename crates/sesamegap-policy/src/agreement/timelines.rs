//! Tracks which history (timeline) of the platform's log a response belongs to.
//!
//! A log that is restored from a backup loses its newest records and reuses their offsets. The timeline reported in
//! responses is the only sign of this. A reader that relied on offsets alone would keep records that no longer exist
//! and miss the ones that replaced them.
//!
//! Responses can be reordered: one from an earlier timeline may arrive after the first one from a newer timeline.
//! The highest reported timeline is therefore the current one. Responses that report a lower timeline are discarded,
//! and so are those that report none after an earlier response reported one.

use sesamegap_wire::Timeline;

/// Timeline reported by a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedTimeline {
    /// The response reports this timeline.
    At(Timeline),
    /// The response reports no timeline.
    Missing,
    /// The reported timeline cannot be parsed.
    Malformed,
}

/// How a response relates to the current timeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimelineStatus {
    /// The response belongs to the current timeline.
    Present,
    /// The response is the first from a newer timeline; carries the previous timeline.
    Risen(Timeline),
    /// The response belongs to an earlier timeline, which it carries.
    Former(Timeline),
    /// The response does not identify its timeline.
    Unknown,
}

/// Tracks the highest timeline reported so far.
#[derive(Debug, Default)]
pub struct TimelineTracker {
    present: Timeline,
    any_reported: bool,
}

impl TimelineTracker {
    /// Returns the current timeline; the lowest one until a response reports any.
    pub fn present(&self) -> Timeline {
        self.present
    }

    /// Records the timeline reported by a response and classifies the response.
    pub fn observe(&mut self, reported: ReportedTimeline) -> TimelineStatus {
        match reported {
            ReportedTimeline::At(timeline) if timeline < self.present => {
                TimelineStatus::Former(timeline)
            }
            ReportedTimeline::At(timeline) => {
                self.any_reported = true;
                let previous = std::mem::replace(&mut self.present, timeline);
                if previous < timeline {
                    TimelineStatus::Risen(previous)
                } else {
                    TimelineStatus::Present
                }
            }
            // A store that never reports a timeline has only one.
            ReportedTimeline::Missing if !self.any_reported => TimelineStatus::Present,
            ReportedTimeline::Missing | ReportedTimeline::Malformed => TimelineStatus::Unknown,
        }
    }
}
