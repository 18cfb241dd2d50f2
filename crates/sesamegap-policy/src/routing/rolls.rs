//! Rolling update of weights: which engines load new weights next, and how long each drains first.
//!
//! Weights are named under full traffic, at times faster than they load, and streams last for seconds. The order
//! and drain times must avoid answers computed with old weights long after new ones were named, and waits because
//! too many engines are out of service.
//!
//! Just over half of the engines go out in the first round and drain briefly, so that soon after a naming enough
//! engines with new weights exist for all new requests. The others then receive no new requests, and drain for
//! as long as their streams last. An engine loads weights only after it has drained, and the version is chosen at
//! that time, so a superseded version is never loaded.

use std::time::Duration;

/// Percentage of a model's engines that may be out at once. The rest carries the load; each engine has half of its
/// capacity to spare at peak load.
const MAX_OUT_PERCENT: usize = 56;

/// Drain time of the first round: answers from old weights lose value from 1.5 s after a naming, and a load takes
/// half a second.
const FIRST_DRAIN: Duration = Duration::from_secs(1);

/// Drain time once enough engines have new weights: eight of ten streams last less than three seconds.
const LATER_DRAIN: Duration = Duration::from_secs(3);

/// Percentage of engines with new weights that can serve all new requests.
const ENOUGH_PERCENT: usize = 40;

/// Minimum percentage of engines that must accept work: a third can carry the load for a while.
const MIN_OPEN_PERCENT: usize = 30;

/// Time reserved before the bound on old weights ends, within which no engine drains. Requests that wait at the engine
/// are refused once the load is ordered and must start elsewhere, and a load with its confirmation takes one second.
const RESERVE: Duration = Duration::from_secs(2);

/// Percentage of the engines that can load concurrently at full speed; beyond it each load takes longer.
const FULL_SPEED_PERCENT: usize = 20;

/// Number of concurrent loads below which loads are not spread over steps, since a step would contain less than one
/// engine.
const MIN_SPREAD: usize = 10;

/// Assumed time of a load at full speed, until one has been observed.
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(400);

/// Minimum number of engines that can load concurrently at full speed.
const MIN_FULL_SPEED: usize = 2;

/// Maximum factor by which a slower load raises the known load time: weights may have grown, but most slow
/// loads merely ran beside others.
const MAX_INCREASE: f64 = 1.1;

/// Multiple of the full-speed number that may load concurrently. Orders already given are carried out even if the VM
/// that gave them crashes, while the others wait for seconds until another VM may give orders.
const OVERCOMMIT: usize = 2;

/// Number of engines that can load concurrently at full speed.
fn at_full_speed(all: usize) -> usize {
    (all * FULL_SPEED_PERCENT / 100).max(MIN_FULL_SPEED)
}

/// Number of engines that may load concurrently.
///
/// If weights are named twice within a bound while engines crash, nine of twelve engines may have to load at once.
/// Loads share the weight store's bandwidth: nine that start together all end after six seconds, during which the
/// rest of the fleet is overloaded. When they take turns, the first return after half of that.
pub fn max_concurrent_loads(all: usize) -> usize {
    at_full_speed(all) * OVERCOMMIT
}

/// Observed time of a load at full speed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadTime {
    load: Option<Duration>,
}

impl LoadTime {
    /// Records how long a load took.
    pub fn loaded(&mut self, took: Duration) {
        let known = self.load.unwrap_or(took);
        self.load = Some(took.min(known.mul_f64(MAX_INCREASE)));
    }

    /// The expected time of a load.
    pub fn load(&self) -> Duration {
        self.load.unwrap_or(DEFAULT_LOAD_TIME)
    }

    /// Engines to take out next, limited to the rate at which they can load.
    ///
    /// A load may take as long as several drains, and drained engines wait for their turn. The limit avoids engines
    /// that neither serve nor load while callers overload the others.
    pub fn next(&self, engines: &[Engine]) -> Vec<usize> {
        let all = engines.len();
        let load = self.load().as_secs_f64();
        let loads_per_cycle = (FIRST_DRAIN.as_secs_f64() + load) / load;
        let busy = (at_full_speed(all) as f64 * loads_per_cycle).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of engines"
        )]
        let busy = busy as usize;
        next_within(engines, max_out(all).min(busy))
    }
}

/// Engines that may be taken out in one step of a rollout: as many as can load within the step.
///
/// All engines of a round drain for the same second and would then load together, so that each would be out for
/// longer than its own drain and load. Small fleets gain nothing from spreading.
pub fn max_per_step(all: usize, step: Duration) -> usize {
    let loading = all * FULL_SPEED_PERCENT / 100;
    if loading < MIN_SPREAD {
        return all;
    }
    let part = loading as f64 * step.as_secs_f64() / DEFAULT_LOAD_TIME.as_secs_f64();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a number of engines"
    )]
    let count = part.ceil() as usize;
    count.max(1)
}

/// Progress of an engine in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has older weights and accepts work.
    Old,
    /// It drains or loads.
    Out,
    /// It has the newest weights.
    Done,
}

/// An engine as the rollout sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Progress in the rollout.
    pub stage: Stage,
    /// Version of its weights.
    pub version: u32,
    /// Whether it is reserved for long prompts.
    pub long: bool,
    /// Known running requests.
    pub running: u32,
    /// Whether it recently failed to answer.
    pub suspect: bool,
    /// Whether its weights are so old that no request may be sent there.
    pub shut: bool,
}

/// Engines to take out next: those with the oldest weights first, since requests may soon no longer start there, and
/// among these the least loaded, since they drain fastest.
///
/// A shut engine serves no requests, so taking it out costs callers nothing, and making it wait for its turn would
/// only leave it shut for longer.
pub fn next(engines: &[Engine]) -> Vec<usize> {
    next_within(engines, max_out(engines.len()))
}

/// Number of engines that may be out at once.
fn max_out(all: usize) -> usize {
    (all * MAX_OUT_PERCENT / 100).max(1)
}

/// Engines to take out next, with at most `most` out, not counting those that already serve no requests.
fn next_within(engines: &[Engine], most: usize) -> Vec<usize> {
    let idle = |engine: &Engine| engine.suspect || engine.shut;
    let unavailable = |engine: &&Engine| engine.stage == Stage::Out || idle(engine);
    let out = engines.iter().filter(unavailable).count();
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

/// Alternates engines for long and short prompts, so that neither kind of prompt is left without one.
fn alternate(due: &[usize], engines: &[Engine]) -> Vec<usize> {
    let (long, short): (Vec<usize>, Vec<usize>) = due.iter().partition(|no| engines[**no].long);
    let mut mixed = Vec::with_capacity(due.len());
    for at in 0..long.len().max(short.len()) {
        mixed.extend(long.get(at));
        mixed.extend(short.get(at));
    }
    mixed
}

/// Whether a draining engine must accept work again, given the number of engines that accept work.
///
/// Engines may crash while others drain; without this, all callers would use the one or two that are left.
pub fn must_return(open: usize, all: usize, left: Duration) -> bool {
    open * 100 < MIN_OPEN_PERCENT * all && left > RESERVE
}

/// How long an engine may drain. `left` is the time, at the start of its drain, until no request may start on its
/// weights.
///
/// That time counts from the first naming that the engine has not loaded, not from the newest: weights may be
/// named faster than they load, and each naming would grant the oldest engine a new drain.
pub fn drain(done: usize, all: usize, left: Duration) -> Duration {
    let enough = done * 100 >= ENOUGH_PERCENT * all;
    let longest = if enough { LATER_DRAIN } else { FIRST_DRAIN };
    longest.min(left.saturating_sub(RESERVE))
}
