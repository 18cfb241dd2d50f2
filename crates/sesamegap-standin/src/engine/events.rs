//! An engine's cache events: numbered, published late, kept for a while.

use sesamegap_wire::engine::CacheEvent;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Events kept for readers; who falls further behind sees a gap.
const KEPT: usize = 4096;

/// Events in one batch at most.
const BATCH: usize = 512;

#[derive(Debug)]
struct Entry {
    number: u64,
    due: Instant,
    /// Nothing where the event is lost.
    event: Option<CacheEvent>,
}

/// The events of one incarnation.
#[derive(Debug)]
pub(crate) struct Events {
    lag: Duration,
    last: u64,
    entries: VecDeque<Entry>,
}

/// Events that are published by now, and when the next one will be.
#[derive(Debug)]
pub(crate) struct Published {
    pub(crate) events: Vec<(u64, CacheEvent)>,
    pub(crate) newest: u64,
    pub(crate) next: Option<Instant>,
}

impl Events {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            last: 0,
            entries: VecDeque::new(),
        }
    }

    /// Number of the newest event, published or not.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Numbers an event, which is published after the lag unless it is lost.
    pub(crate) fn push(&mut self, event: CacheEvent, lost: bool) {
        self.last += 1;
        self.entries.push_back(Entry {
            number: self.last,
            due: Instant::now() + self.lag,
            event: (!lost).then_some(event),
        });
        if self.entries.len() > KEPT {
            self.entries.pop_front();
        }
    }

    /// The events after a number, as far as they are published.
    ///
    /// A batch that is cut short names as newest only the last event it reaches, so that the rest
    /// does not look like a gap.
    pub(crate) fn after(&self, number: u64) -> Published {
        let now = Instant::now();
        let published = self.entries.iter().take_while(|entry| entry.due <= now);
        let mut newest = match self.entries.front() {
            Some(first) => first.number - 1,
            None => self.last,
        };
        let mut events = Vec::new();
        for entry in published {
            newest = entry.number;
            if entry.number <= number {
                continue;
            }
            if let Some(event) = &entry.event {
                events.push((entry.number, event.clone()));
            }
            if events.len() == BATCH {
                break;
            }
        }
        let next = self.entries.iter().find(|entry| entry.due > now);
        Published {
            events,
            newest,
            next: next.map(|entry| entry.due),
        }
    }
}
