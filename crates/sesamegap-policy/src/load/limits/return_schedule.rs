//! Return times of prompts that the owner of a shard refuses.
//!
//! The owner sees all prompts of its shard's engines, so it can give each refused prompt a slot of
//! the engines' time. Slots of all ranks advance at one rate: a slot lies after those that more
//! urgent ranks hold, within a bound. A request keeps its slot until the slot's time. A slot
//! beyond the time up to which the caller waits isn't taken, so that lines hold only requests that
//! will return.
//!
//! Lines live in the owner's memory. The first slot of a new owner lies at least the drain time of
//! the engines' backlog ahead, and returns use only [`RETURN_SHARE`] of the rate: those of two
//! owners together bring no more than one engine-second of work a second.

use super::Jitter;
use super::line::Line;
use super::retry_schedule::{MAX_DELAY, MIN_DELAY};
use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{Moment, ParseError};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Bound;
use std::str::FromStr;
use std::time::Duration;

/// Fraction of the engines' rate that slots use; the other half is left to prompts that come for
/// the first time, and to slots that an owner before this one has given out.
pub const RETURN_SHARE: f64 = 0.5;

/// Part of its remaining time up to which a caller honors a return time: a third.
pub const PATIENCE_PART: u32 = 3;

/// Upper bound of the time by which more urgent ranks delay a slot: a third of half a minute,
/// beyond which background callers would give up.
pub const MAX_YIELD: Duration = Duration::from_secs(10);

/// Minimum step of a line, for an owner that has not learned its engines' rate yet.
const MIN_STEP: Duration = Duration::from_millis(1);

/// Upper bound of the jitter within a slot; it separates the owners of several shards.
const MAX_JITTER: Duration = MIN_DELAY;

/// Maximum number of slots held: 500 refused prompts a second up to [`MAX_DELAY`] ahead.
const MAX_HELD: usize = 16_384;

/// Interval at which slots in the past are dropped; lookups ignore them before.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Hash that stays the same when a caller sends a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestHash(pub u64);

impl fmt::Display for RequestHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestHash {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let shown = || text.chars().take(32).collect::<String>();
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("request hash", shown(), "up to 16 hex digits"))
    }
}

/// The properties of a refused prompt that decide its return time.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// Recognizes the prompt when it comes again.
    pub request: RequestHash,
    /// Rank of the prompt; smaller ranks return first.
    pub rank: Rank,
    /// Time until engines may have room, at least the drain time of their backlog.
    pub earliest: Duration,
    /// Time that the shard's engines together need for the prompt.
    pub work: Duration,
    /// Time left to the caller.
    pub patience: Duration,
}

/// When a refused caller should return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnTime {
    /// Time until the caller's slot.
    Slot(Duration),
    /// No slot is free before the caller gives up; `useful` is the latest time that it honors.
    Late {
        /// Time until the last useful return, spread over its second half.
        useful: Duration,
    },
}

/// The lines that give a rank its slots.
#[derive(Debug, Clone, Copy, Default)]
struct RankLines {
    /// Work of this rank alone.
    own: Line,
    /// Work of this rank and all more urgent ones.
    shared: Line,
}

/// Slots of the engines' time given to refused prompts, by rank.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    lines: BTreeMap<Rank, RankLines>,
    held: FxHashMap<RequestHash, Moment>,
    swept: Moment,
}

impl ReturnSchedule {
    /// Reserves a slot for a refused prompt, or returns the one that it holds.
    ///
    /// Made for a burst of refused prompts whose callers obey: without slots they return together
    /// and are refused together again. A caller that returns before its slot is told the same
    /// time again and takes no second slot, so that it delays nobody. Slots are spaced by the work
    /// of their prompts at [`RETURN_SHARE`] of the engines' rate.
    pub fn reserve(&mut self, refused: &Refused, now: Moment, jitter: Jitter) -> ReturnTime {
        self.sweep(now);
        if let Some(left) = self.time_left(refused.request, now) {
            return ReturnTime::Slot(left);
        }
        let step = refused
            .work
            .min(MAX_DELAY)
            .div_f64(RETURN_SHARE)
            .max(MIN_STEP);
        let end = self.next_end(refused, step, now);
        // Jitter stays within the slot, so that slots keep their order and no two overlap.
        let at = end.saturating_sub(step) + step.min(MAX_JITTER).mul_f64(jitter.fraction());
        let useful = (refused.patience / PATIENCE_PART).min(MAX_DELAY);
        if at > now + useful || self.held.len() >= MAX_HELD {
            let useful = useful.mul_f64(f64::midpoint(1.0, jitter.fraction()));
            return ReturnTime::Late { useful };
        }
        self.take(refused, end, step, now);
        self.held.insert(refused.request, at);
        ReturnTime::Slot(at.since(now))
    }

    /// Time until the slot that a request holds; `None` without a slot or once it has come.
    ///
    /// Lets the owner refuse a caller that is early before it takes the room of those whose time
    /// has come.
    pub fn time_left(&self, request: RequestHash, now: Moment) -> Option<Duration> {
        let at = self.held.get(&request).copied()?;
        (at > now).then(|| at.since(now))
    }

    /// End of the next slot of a rank.
    ///
    /// More urgent ranks delay it by at most [`MAX_YIELD`], so that a long stream of urgent
    /// refusals can't put a background caller off until it gives up.
    fn next_end(&self, refused: &Refused, step: Duration, now: Moment) -> Moment {
        let lines = self.lines_of(refused.rank);
        let earliest = first_end(refused, step, now);
        let own = lines.own.next(earliest, step);
        let shared = lines.shared.next(earliest, step);
        shared.min(own + MAX_YIELD)
    }

    /// Records a slot in the lines of its rank and of less urgent ones.
    fn take(&mut self, refused: &Refused, end: Moment, step: Duration, now: Moment) {
        let mut lines = self.lines_of(refused.rank);
        let own = lines.own.next(first_end(refused, step, now), step);
        lines.own.advance(own);
        self.lines.insert(refused.rank, lines);
        for (_, lines) in self.lines.range_mut(refused.rank..) {
            let shared = lines.shared.next(end, step);
            lines.shared.advance(shared);
        }
    }

    /// Lines of a rank; a new one starts after the slots of the next more urgent rank.
    fn lines_of(&self, rank: Rank) -> RankLines {
        if let Some(lines) = self.lines.get(&rank) {
            return *lines;
        }
        let above = (Bound::Unbounded, Bound::Excluded(rank));
        let above = self.lines.range(above).next_back();
        RankLines {
            own: Line::default(),
            shared: above.map_or(Line::default(), |(_, lines)| lines.shared),
        }
    }

    /// Drops slots and lines in the past.
    fn sweep(&mut self, now: Moment) {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.held.retain(|_, at| *at > now);
        self.lines.retain(|_, lines| lines.shared.last() > now);
    }

    /// Returns the lines as JSON for a diagnostic dump, in seconds from now.
    pub fn dump(&self, now: Moment) -> serde_json::Value {
        let ahead = |line: Line| line.last().since(now).as_secs_f64();
        let lines = self.lines.iter().map(|(rank, lines)| {
            serde_json::json!({
                "excess": rank.excess,
                "priority": rank.priority.0,
                "own_seconds": ahead(lines.own),
                "shared_seconds": ahead(lines.shared),
            })
        });
        let lines: Vec<_> = lines.collect();
        serde_json::json!({ "lines": lines, "held": self.held.len() })
    }
}

/// Earliest end of a prompt's slot.
fn first_end(refused: &Refused, step: Duration, now: Moment) -> Moment {
    now + refused.earliest.clamp(MIN_DELAY, MAX_DELAY) + step
}
