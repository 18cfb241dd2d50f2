//! When an entry VM reads a table of the store itself, and when another VM's word will do.
//!
//! Load: 84 VMs follow the fleet list and the settings; each call costs, and every heartbeat of 143
//! upstreams is read 84 times. Harm prevented: calls that grow with the number of VMs and bytes with
//! its product with that of upstreams. So a few VMs read for all and tell what changed. A bound counts
//! from the store's word for every VM, whether its peers reach it or not: one that misses a word,
//! or hears none in time, reads for itself from where it stands, so that nothing is ever passed over.

use sesamegap_wire::{LogPosition, Moment};
use std::time::Duration;

/// VMs that read a table for all: with eight, one of them has read it within an eighth of the pace, and
/// smaller fleets all read.
pub const READERS: usize = 8;

/// Time after which a VM reads a whole table again: what was lost on the way to it and concerns an
/// upstream that it sends nothing to would otherwise stay wrong.
const RENEWAL: Duration = Duration::from_secs(30);

/// The part of a table's log that was read at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Where it begins.
    pub from: LogPosition,
    /// Where to read on.
    pub next: LogPosition,
}

/// What a reader's word is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// All up to its end is known with it.
    Joined,
    /// It ends before what is known: a reader that was held up.
    Old,
    /// Something before it was missed, or it does not say all.
    Missed,
}

/// How far a table is known.
#[derive(Debug, Default)]
pub struct Position {
    next: Option<LogPosition>,
    /// Where words that were missed end.
    missed: LogPosition,
    fresh: Moment,
    /// When the whole table was last read.
    whole: Moment,
    /// When this VM's own last call began that was answered.
    asked: Option<Moment>,
}

impl Position {
    /// Where to read on; none if the whole table must be read.
    pub fn next(&self) -> Option<LogPosition> {
        self.next
    }

    /// Notes how far this VM has read.
    pub fn read(&mut self, next: LogPosition, now: Moment) {
        if self.next.is_none() {
            self.whole = now;
        }
        self.next = Some(next);
        self.fresh = now;
    }

    /// Notes when the call began whose answer this VM has just read.
    pub fn asked(&mut self, at: Moment) {
        self.asked = Some(at);
    }

    /// A moment up to which this VM surely knew all of the table; none if it never read it.
    ///
    /// Another VM's word does not count: it may have been held up on its way.
    pub fn complete(&self) -> Option<Moment> {
        self.asked
    }

    /// Notes that the whole table must be read.
    pub fn begin(&mut self) {
        self.next = None;
    }

    /// Has the whole table read if that was long ago.
    pub fn renew(&mut self, now: Moment) {
        if now.since(self.whole) >= RENEWAL {
            self.begin();
        }
    }

    /// Takes in a reader's word; `whole` tells whether it names all that changed.
    pub fn hear(&mut self, span: Span, whole: bool, now: Moment) -> Heard {
        let Some(next) = self.next else {
            return Heard::Missed;
        };
        if span.next < next {
            return Heard::Old;
        }
        let joins = span.from <= next && (whole || span.next == next);
        if !joins {
            self.missed = self.missed.max(span.next);
            return Heard::Missed;
        }
        self.next = Some(span.next);
        self.fresh = now;
        Heard::Joined
    }

    /// Time until this VM must read for itself if it hears nothing.
    pub fn left(&self, pace: Duration, now: Moment) -> Duration {
        if self.next.is_none_or(|next| next < self.missed) {
            return Duration::ZERO;
        }
        pace.saturating_sub(now.since(self.fresh))
    }
}
