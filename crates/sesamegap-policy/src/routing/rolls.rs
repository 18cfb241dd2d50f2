//! Which engines take new weights next, and how long each drains first.
//!
//! Load: weights are named under full traffic, at times faster than they load, and streams last
//! for seconds. Harm prevented: callers that get answers from old weights long after new ones were
//! named, and callers that wait because too many engines are out.
//!
//! Just over half of the engines are out in the first round, and they drain briefly, so that soon
//! after a naming there are enough new engines for all that begins. The others then get nothing
//! new, and drain for as long as their streams last. An engine loads weights only after it has
//! drained, and which version it loads is settled then: one that was overtaken is never loaded.

use std::time::Duration;

/// Percentage of a model's engines that may be out at once: the rest carries the load, of which each
/// engine has half to spare at its busiest.
const AT_ONCE: usize = 56;

/// How long engines of the first round drain: answers on old weights lose value from 1.5 s after
/// a naming, and a load takes half a second.
const FIRST_DRAIN: Duration = Duration::from_secs(1);

/// How long engines drain once enough others are new: eight of ten streams last under three seconds.
const LATER_DRAIN: Duration = Duration::from_secs(3);

/// Percentage of the engines that is enough for all that begins.
const ENOUGH: usize = 40;

/// Percentage of the engines below which callers find too few: a third carries the load for a while.
const LEAST_OPEN: usize = 30;

/// Time before the end of the bound on old weights from which no drain is waited out any more: what waits at
/// the engine is refused once the order comes, and must begin elsewhere, and a load and its
/// confirmation take one second.
const SPARE: Duration = Duration::from_secs(2);

/// Percentage of the engines that load at full speed side by side; beyond it each load takes longer.
const LOADING: usize = 20;

/// Engines loading side by side below which nothing is spread: a step would take less than one.
const FEW: usize = 10;

/// Time of one load at full speed, until one was seen.
const LOAD: Duration = Duration::from_millis(400);

/// Engines that load at full speed side by side, however few there are.
const LEAST_LOADING: usize = 2;

/// Share of the known time of a load by which a slower one raises it: weights may have grown, but most
/// slow loads only ran beside others.
const RAISED: f64 = 1.1;

/// How many times as many engines may load as do so at full speed: orders that were given are carried out even if
/// their VM dies, and those that were not wait for seconds until another may order.
const AHEAD: usize = 2;

/// Engines that load at full speed side by side.
fn at_full_speed(all: usize) -> usize {
    (all * LOADING / 100).max(LEAST_LOADING)
}

/// Engines that may load side by side.
///
/// Load: weights are named twice within a bound while engines crash, so that nine of twelve must load at once.
/// Harm prevented: loads share what the weight store gives, and nine that begin together all end after
/// six seconds, in which the rest of the fleet is buried; by turns the first are back after half of that.
pub fn side_by_side(all: usize) -> usize {
    at_full_speed(all) * AHEAD
}

/// How long a load takes at full speed, as far as was seen.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    load: Option<Duration>,
}

impl Pace {
    /// Notes how long a load took.
    pub fn loaded(&mut self, took: Duration) {
        let known = self.load.unwrap_or(took);
        self.load = Some(took.min(known.mul_f64(RAISED)));
    }

    /// The time of a load.
    pub fn load(&self) -> Duration {
        self.load.unwrap_or(LOAD)
    }

    /// Engines to take out next, at the pace at which they can load.
    ///
    /// Load: a load takes as long as several drains, and engines that have drained wait for their turn. Harm
    /// prevented: engines that neither serve nor load, while callers crowd at the others.
    pub fn next(&self, engines: &[Engine]) -> Vec<usize> {
        let all = engines.len();
        let load = self.load().as_secs_f64();
        let turns = (FIRST_DRAIN.as_secs_f64() + load) / load;
        let busy = (at_full_speed(all) as f64 * turns).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of engines"
        )]
        let busy = busy as usize;
        next_within(engines, at_once(all).min(busy))
    }
}

/// Engines that may be taken out in a step of a roll: as many as can load in its time.
///
/// Load: all engines of a round drain for the same second and would then load together. Harm prevented:
/// engines that are out for longer than their own drain and load. Small fleets gain nothing.
pub fn at_a_step(all: usize, step: Duration) -> usize {
    let loading = all * LOADING / 100;
    if loading < FEW {
        return all;
    }
    let part = loading as f64 * step.as_secs_f64() / LOAD.as_secs_f64();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a number of engines"
    )]
    let count = part.ceil() as usize;
    count.max(1)
}

/// How far an engine is in a roll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has older weights, and takes work.
    Old,
    /// It drains or loads.
    Out,
    /// It has the newest weights.
    Done,
}

/// An engine as the roll sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// How far it is.
    pub stage: Stage,
    /// Version of its weights.
    pub version: u32,
    /// Whether long prompts have it.
    pub long: bool,
    /// Requests running there, as far as is known.
    pub running: u32,
    /// Whether it lately failed to answer.
    pub suspect: bool,
    /// Whether its weights are so old that no request may be sent there.
    pub shut: bool,
}

/// Engines to take out next: the oldest first, since requests may soon not begin there any more,
/// and of these the emptiest, since they drain soonest.
///
/// What is shut serves nobody, so taking it out takes nothing from callers either, and waiting for its turn would
/// leave it shut for longer.
pub fn next(engines: &[Engine]) -> Vec<usize> {
    next_within(engines, at_once(engines.len()))
}

/// Engines that may be out at once.
fn at_once(all: usize) -> usize {
    (all * AT_ONCE / 100).max(1)
}

/// Engines to take out next, with this many out at most besides those that serve nobody.
fn next_within(engines: &[Engine], most: usize) -> Vec<usize> {
    let idle = |engine: &Engine| engine.suspect || engine.shut;
    let lost = |engine: &&Engine| engine.stage == Stage::Out || idle(engine);
    let out = engines.iter().filter(lost).count();
    let mut due: Vec<usize> = (0..engines.len())
        .filter(|no| engines[*no].stage == Stage::Old)
        .collect();
    due.sort_by_key(|no| {
        let engine = &engines[*no];
        (idle(engine), engine.version, engine.running)
    });
    let same = |a: &usize, b: &usize| {
        let rank = |no: usize| (idle(&engines[no]), engines[no].version);
        rank(*a) == rank(*b)
    };
    let due: Vec<usize> = due
        .chunk_by(same)
        .flat_map(|group| alternate(group, engines))
        .collect();
    let (idle, open): (Vec<usize>, Vec<usize>) =
        due.into_iter().partition(|no| idle(&engines[*no]));
    let mut chosen = open;
    chosen.truncate(most.saturating_sub(out));
    chosen.extend(idle);
    chosen
}

/// Takes engines of both kinds in turn, so that neither kind of prompt is left with none.
fn alternate(due: &[usize], engines: &[Engine]) -> Vec<usize> {
    let (long, short): (Vec<usize>, Vec<usize>) = due.iter().partition(|no| engines[**no].long);
    let mut mixed = Vec::with_capacity(due.len());
    for at in 0..long.len().max(short.len()) {
        mixed.extend(long.get(at));
        mixed.extend(short.get(at));
    }
    mixed
}

/// Whether an engine that drains must take work again, with this many engines open to callers.
///
/// Load: engines crash while others drain. Harm prevented: all callers at the one or two that are left.
pub fn must_return(open: usize, all: usize, left: Duration) -> bool {
    open * 100 < LEAST_OPEN * all && left > SPARE
}

/// How long an engine may drain, with this time left at the start of its drain until no request may begin on
/// its weights.
///
/// The time counts from the first naming that the engine is behind, not from the newest: weights may be
/// named faster than they load, and each naming would give the oldest engine a drain of its own.
pub fn drain(done: usize, all: usize, left: Duration) -> Duration {
    let enough = done * 100 >= ENOUGH * all;
    let longest = if enough { LATER_DRAIN } else { FIRST_DRAIN };
    longest.min(left.saturating_sub(SPARE))
}
