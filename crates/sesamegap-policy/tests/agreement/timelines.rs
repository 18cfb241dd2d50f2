use quickcheck::{Arbitrary, Gen, quickcheck};
use sesamegap_policy::agreement::timelines::{ReportedTimeline, TimelineStatus, TimelineTracker};
use sesamegap_wire::{LogPosition, Offset, Timeline};

#[test]
fn a_store_that_reports_no_timeline_has_one() {
    let mut timelines = TimelineTracker::default();
    assert_eq!(
        timelines.observe(ReportedTimeline::Missing),
        TimelineStatus::Present
    );
    assert_eq!(timelines.present(), Timeline(0));
}

/// Guards against applying a response whose timeline is unknown.
#[test]
fn a_response_without_a_timeline_after_one_was_reported_is_unknown() {
    let mut timelines = TimelineTracker::default();
    assert_eq!(
        timelines.observe(ReportedTimeline::At(Timeline(0))),
        TimelineStatus::Present
    );
    assert_eq!(
        timelines.observe(ReportedTimeline::Missing),
        TimelineStatus::Unknown
    );
    assert_eq!(
        timelines.observe(ReportedTimeline::Malformed),
        TimelineStatus::Unknown
    );
    assert_eq!(timelines.present(), Timeline(0));
}

/// Guards against a delayed response from before a restore that reverts a reader's view.
#[test]
fn a_delayed_response_of_an_earlier_timeline_is_detected() {
    let mut timelines = TimelineTracker::default();
    timelines.observe(ReportedTimeline::At(Timeline(4)));
    assert_eq!(
        timelines.observe(ReportedTimeline::At(Timeline(6))),
        TimelineStatus::Risen(Timeline(4))
    );
    assert_eq!(
        timelines.observe(ReportedTimeline::At(Timeline(5))),
        TimelineStatus::Former(Timeline(5))
    );
    assert_eq!(timelines.present(), Timeline(6));
}

/// An event of the simulated log or its reader.
#[derive(Debug, Clone, Copy)]
enum Step {
    Append,
    Restore(u8),
    /// A read whose response arrives at once.
    Read,
    /// A read whose response is delayed.
    DelayedRead,
    /// The oldest delayed response arrives.
    Deliver,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Append,
            5 => Self::Restore(1 + u8::arbitrary(g) % 6),
            6..=8 => Self::Read,
            9 => Self::DelayedRead,
            _ => Self::Deliver,
        }
    }
}

/// Response to a read: start position, reported timeline, and the records from there on.
type Response = (LogPosition, Timeline, Option<Vec<u32>>);

/// A log of numbered records, and a reader that continues where it stopped.
#[derive(Debug, Default)]
struct World {
    log: Vec<u32>,
    timeline: Timeline,
    written: u32,
    timelines: TimelineTracker,
    view: Vec<u32>,
    next: LogPosition,
    in_flight: Vec<Response>,
}

impl World {
    fn act(&mut self, step: Step, reports_timeline: bool) {
        match step {
            Step::Append => {
                self.written += 1;
                self.log.push(self.written);
            }
            Step::Restore(lost) => {
                self.timeline = Timeline(self.timeline.0 + 1);
                let kept = self.log.len().saturating_sub(usize::from(lost));
                self.log.truncate(kept);
            }
            Step::Read => {
                let response = self.read();
                self.receive(response, reports_timeline);
            }
            Step::DelayedRead => {
                let response = self.read();
                self.in_flight.push(response);
            }
            Step::Deliver if !self.in_flight.is_empty() => {
                let response = self.in_flight.remove(0);
                self.receive(response, reports_timeline);
            }
            Step::Deliver => {}
        }
    }

    fn read(&self) -> Response {
        let from = usize::try_from(self.next.offset.0).expect("small");
        let records = self.log.get(from..).map(<[u32]>::to_vec);
        (self.next, self.timeline, records)
    }

    /// Without reported timelines, the reader applies every response that starts at its offset.
    fn receive(&mut self, (from, timeline, records): Response, reports_timeline: bool) {
        let reported = if reports_timeline {
            ReportedTimeline::At(timeline)
        } else {
            ReportedTimeline::Missing
        };
        let status = self.timelines.observe(reported);
        let present = self.timelines.present();
        if self.next.timeline < present {
            self.view.clear();
            self.next = LogPosition::new(present, Offset(0));
        }
        let applicable =
            status != TimelineStatus::Unknown && !matches!(status, TimelineStatus::Former(_));
        if !applicable || from != self.next {
            return;
        }
        let Some(records) = records else {
            self.view.clear();
            self.next = LogPosition::new(present, Offset(0));
            return;
        };
        self.view.extend(records);
        self.next = LogPosition::new(present, Offset(self.view.len() as u64));
    }

    /// Whether the reader's view equals the log once events have stopped.
    fn converges(mut self, reports_timeline: bool) -> bool {
        for _ in 0..3 {
            self.act(Step::Read, reports_timeline);
        }
        self.view == self.log
    }
}

fn reader_converges(steps: &[Step], reports_timeline: bool) -> bool {
    let mut world = World::default();
    for step in steps {
        world.act(*step, reports_timeline);
    }
    world.converges(reports_timeline)
}

quickcheck! {
    /// Guards against stale and missed records after a restored log reuses offsets.
    fn a_reader_converges_to_the_present_timeline(steps: Vec<Step>) -> bool {
        reader_converges(&steps, true)
    }
}

/// Verifies that the property above detects a reader that relies on offsets alone.
#[test]
fn a_reader_by_offsets_alone_is_detected() {
    let mut rng = Gen::new(60);
    let caught = (0..2_000).any(|_| !reader_converges(&Vec::<Step>::arbitrary(&mut rng), false));
    assert!(caught);
}
