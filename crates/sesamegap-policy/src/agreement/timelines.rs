//! Which history of the platform's log an answer belongs to.
//!
//! A log that is restored from a copy loses its newest records and gives their offsets out again. The only sign
//! of it is the timeline that its answers state. A reader that went on by offsets alone would keep records that no
//! longer exist and miss those that took their place.
//!
//! Answers overtake each other: one of a former timeline may come after the first of a newer one. So the highest
//! timeline stated is the present one, and nothing is built on an answer that states a lower one, or none where one
//! was stated before.

use sesamegap_wire::Timeline;

/// What an answer says of its timeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedTimeline {
    /// It states one.
    At(Timeline),
    /// It states none.
    Missing,
    /// What it states cannot be read.
    Malformed,
}

/// What an answer is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimelineStatus {
    /// It belongs to the present timeline.
    Present,
    /// It is the first of a newer timeline; the one before was this.
    Risen(Timeline),
    /// It belongs to a former timeline.
    Former(Timeline),
    /// It does not say where it belongs.
    Unknown,
}

/// The timelines that were stated so far.
#[derive(Debug, Default)]
pub struct TimelineTracker {
    present: Timeline,
    stated: bool,
}

impl TimelineTracker {
    /// The present timeline; the lowest one until an answer states any.
    pub fn present(&self) -> Timeline {
        self.present
    }

    /// Takes in what an answer states.
    pub fn observe(&mut self, stated: ReportedTimeline) -> TimelineStatus {
        match stated {
            ReportedTimeline::At(timeline) if timeline < self.present => {
                TimelineStatus::Former(timeline)
            }
            ReportedTimeline::At(timeline) => {
                self.stated = true;
                let former = std::mem::replace(&mut self.present, timeline);
                if former < timeline {
                    TimelineStatus::Risen(former)
                } else {
                    TimelineStatus::Present
                }
            }
            // A store that never states a timeline has only one.
            ReportedTimeline::Missing if !self.stated => TimelineStatus::Present,
            ReportedTimeline::Missing | ReportedTimeline::Malformed => TimelineStatus::Unknown,
        }
    }
}
