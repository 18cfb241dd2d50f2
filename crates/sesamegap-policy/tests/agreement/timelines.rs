use quickcheck::{Arbitrary, Gen, quickcheck};
use sesamegap_policy::agreement::timelines::{ReportedTimeline, TimelineStatus, TimelineTracker};
use sesamegap_wire::{LogPosition, Offset, Timeline};

#[test]
fn a_store_that_states_no_timeline_has_one() {
    let mut timelines = TimelineTracker::default();
    assert_eq!(
        timelines.observe(ReportedTimeline::Missing),
        TimelineStatus::Present
    );
    assert_eq!(timelines.present(), Timeline(0));
}

/// Guards against views built on an answer of which nobody knows where it belongs.
#[test]
fn an_answer_that_states_none_where_one_was_stated_is_unknown() {
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

/// Guards against a late answer of before a restoration that takes a view back.
#[test]
fn a_late_answer_of_a_former_timeline_is_known_as_such() {
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

/// What happens to a log and to a reader of it.
#[derive(Debug, Clone, Copy)]
enum Step {
    Append,
    Restore(u8),
    /// A read whose answer comes at once.
    Read,
    /// A read whose answer comes later.
    Ask,
    /// The oldest such answer comes.
    Answer,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Append,
            5 => Self::Restore(1 + u8::arbitrary(g) % 6),
            6..=8 => Self::Read,
            9 => Self::Ask,
            _ => Self::Answer,
        }
    }
}

/// What a read gave: where it began, what the answer stated, and the records from there on.
type Answer = (LogPosition, Timeline, Option<Vec<u32>>);

/// A log of numbered records, and a reader that goes on where it stopped.
#[derive(Debug, Default)]
struct World {
    log: Vec<u32>,
    timeline: Timeline,
    written: u32,
    timelines: TimelineTracker,
    view: Vec<u32>,
    next: LogPosition,
    under_way: Vec<Answer>,
}

impl World {
    fn act(&mut self, step: Step, told: bool) {
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
                let answer = self.ask();
                self.take(answer, told);
            }
            Step::Ask => {
                let answer = self.ask();
                self.under_way.push(answer);
            }
            Step::Answer if !self.under_way.is_empty() => {
                let answer = self.under_way.remove(0);
                self.take(answer, told);
            }
            Step::Answer => {}
        }
    }

    fn ask(&self) -> Answer {
        let from = usize::try_from(self.next.offset.0).expect("small");
        let records = self.log.get(from..).map(<[u32]>::to_vec);
        (self.next, self.timeline, records)
    }

    /// A reader that is not told takes every answer that joins its offset.
    fn take(&mut self, (from, timeline, records): Answer, told: bool) {
        let stated = if told {
            ReportedTimeline::At(timeline)
        } else {
            ReportedTimeline::Missing
        };
        let verdict = self.timelines.observe(stated);
        let present = self.timelines.present();
        if self.next.timeline < present {
            self.view.clear();
            self.next = LogPosition::new(present, Offset(0));
        }
        let fits =
            verdict != TimelineStatus::Unknown && !matches!(verdict, TimelineStatus::Former(_));
        if !fits || from != self.next {
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

    /// Whether the reader knows the log when all is quiet.
    fn settles(mut self, told: bool) -> bool {
        for _ in 0..3 {
            self.act(Step::Read, told);
        }
        self.view == self.log
    }
}

fn is_true(steps: &[Step], told: bool) -> bool {
    let mut world = World::default();
    for step in steps {
        world.act(*step, told);
    }
    world.settles(told)
}

quickcheck! {
    /// Guards against records that no longer exist, and those passed over, after offsets were given out again.
    fn a_reader_knows_the_present_timeline(steps: Vec<Step>) -> bool {
        is_true(&steps, true)
    }
}

/// Guards against an oracle that would not notice a reader that goes by offsets alone.
#[test]
fn a_reader_by_offsets_alone_is_caught() {
    let mut rng = Gen::new(60);
    let caught = (0..2_000).any(|_| !is_true(&Vec::<Step>::arbitrary(&mut rng), false));
    assert!(caught);
}
