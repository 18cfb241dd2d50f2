//! What the VMs believed while a request ran.

use super::line::{Line, Said, Step, Topic};
use smol_str::SmolStr;
use time::{Duration, OffsetDateTime};

/// Time before a request's end in which lost stores and peers count: what is lost is probed and read
/// again within about a second, and requests wait for one or two.
const TROUBLE: Duration = Duration::seconds(3);

/// Lines that are kept of what changed meanwhile and of troubles, in all; some megabytes. Each of 80
/// VMs says some things about an engine; more tell nothing new.
const KEPT: usize = 10_000;

/// Room for lines.
#[derive(Debug)]
pub struct Room {
    left: usize,
    /// Lines that were left out.
    pub over: u64,
}

/// What was believed at one line of a request.
#[derive(Debug)]
pub struct Moment {
    at: OffsetDateTime,
    until: OffsetDateTime,
    vm: SmolStr,
    upstream: Option<SmolStr>,
    fingerprint: Option<SmolStr>,
    /// The newest line on each topic, of its VM, before.
    pub before: Vec<Line>,
    /// What was said about the upstream by any VM, or of weights by its own, from then on.
    pub after: Vec<Line>,
}

/// What the VMs believed while a request ran.
#[derive(Debug)]
pub struct Beliefs {
    /// One for each line of the request.
    pub moments: Vec<Moment>,
    /// Troubles of its VMs at its end.
    pub troubles: Vec<Line>,
    /// Room for more.
    pub room: Room,
}

impl Beliefs {
    /// None yet.
    pub fn new(steps: &[Line]) -> Self {
        let moment = |line: &Line| Moment {
            at: line.at,
            until: steps.last().map_or(line.at, |last| last.at),
            vm: line.vm.clone(),
            upstream: match line.step() {
                Some(Step::Sent(id)) => Some(id.clone()),
                _ => None,
            },
            fingerprint: match line.step() {
                Some(Step::Held(fingerprint)) => Some(fingerprint.clone()),
                _ => None,
            },
            before: Vec::new(),
            after: Vec::new(),
        };
        Self {
            moments: steps.iter().map(moment).collect(),
            troubles: Vec::new(),
            room: Room {
                left: KEPT,
                over: 0,
            },
        }
    }

    /// Takes a line if it says what was believed.
    pub fn take(&mut self, line: &Line) {
        match &line.said {
            Said::Belief(topic) => {
                for moment in &mut self.moments {
                    moment.take(line, topic, &mut self.room);
                }
            }
            Said::Trouble if self.moments.iter().any(|moment| moment.is_near(line)) => {
                self.room.keep(&mut self.troubles, line);
            }
            _ => {}
        }
    }

    /// Puts what was kept in order of time.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        for moment in &mut self.moments {
            moment.before.sort_by_key(|line| line.at);
            moment.after.sort_by_key(|line| line.at);
        }
        self.troubles.sort_by_key(|line| line.at);
        self
    }
}

impl Moment {
    fn take(&mut self, line: &Line, topic: &Topic, room: &mut Room) {
        let own = line.vm == self.vm;
        let counts = match topic {
            Topic::Document => own && line.at <= self.at,
            // Weights that its VM hears of meanwhile overtake those that the request waits for.
            Topic::Weights(_) => own && (line.at <= self.at || self.upstream.is_some()),
            Topic::Request(fingerprint) => {
                own && line.at <= self.at && self.fingerprint.as_ref() == Some(fingerprint)
            }
            Topic::Upstream(id, _) => {
                self.upstream.as_ref() == Some(id) && (own || line.at > self.at)
            }
        };
        if !counts || line.at > self.until {
            return;
        }
        if line.at > self.at {
            return room.keep(&mut self.after, line);
        }
        match self.before.iter_mut().find(|old| old.said == line.said) {
            Some(old) if old.at > line.at => {}
            Some(old) => *old = line.clone(),
            None => self.before.push(line.clone()),
        }
    }

    fn is_near(&self, line: &Line) -> bool {
        self.vm == line.vm && line.at <= self.until && line.at >= self.until - TROUBLE
    }
}

impl Room {
    fn keep(&mut self, lines: &mut Vec<Line>, line: &Line) {
        if self.left == 0 {
            self.over += 1;
            return;
        }
        self.left -= 1;
        lines.push(line.clone());
    }
}
