//! How fast each engine prefills, relative to the usual engine of its service.
//!
//! Load: a quarter of the engines of a service runs at half the speed of the others, because they share their
//! machines, and which ones changes. With one speed for all, the slow engines get as many prompts as the others, and
//! the prompts queue there. The VM that places an engine's prompts also learns when each was prefilled, so it knows
//! enough to compare engines, without any message.
//!
//! The time of a prompt alone says little: a cached prefix makes it short, a stalled report makes it long, and an
//! engine that shares its VM with others is slower for all. So each sample is compared with the samples of all engines
//! for prompts of the same [`PromptKind`] and size. An engine counts as slower or faster only if its quick, its
//! usual and its late samples all differ from those of all engines in the same direction. A single stall, a run of
//! cache hits, or a mix of prompts that differs from other engines' changes only some of the three.
//!
//! An engine within a fifth of the usual speed counts as usual, so that even engines are served as if none was
//! measured. A speed that is in use changes only by clear steps, since each change moves homes of prefixes, which lose
//! their caches.

mod samples;

use super::engines::PREFILL_TOKENS_PER_MS;
use rustc_hash::FxHashMap;
use samples::{EngineSamples, Kinds};
use sesamegap_wire::{Moment, ParseError, WorkPercent};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Lowest speed: an engine that is slower still gets a trickle of prompts, which tells when it recovers.
const MIN_SPEED: f64 = 0.25;

/// Highest speed: a prompt that is prefilled faster had its prefix cached.
const MAX_SPEED: f64 = 2.0;

/// Speeds from here to [`NEUTRAL_MAX`] count as usual: the load of even engines differs by as much.
const NEUTRAL_MIN: f64 = 0.8;

/// See [`NEUTRAL_MIN`].
const NEUTRAL_MAX: f64 = 1.2;

/// Speed below which a usual engine starts to count as slow; the distance to [`NEUTRAL_MIN`] prevents flapping.
const SLOW_FROM: f64 = 0.72;

/// Speed above which a usual engine starts to count as fast; the distance to [`NEUTRAL_MAX`] prevents flapping.
const FAST_FROM: f64 = 1.35;

/// Relative change from which a speed in use is replaced; a smaller one is not worth moving homes.
const STEP: f64 = 0.2;

/// Minimum time between changes of an engine's speed: the prompts of several changes would lose their caches in turn.
const MIN_HOLD: Duration = Duration::from_secs(4);

/// Consecutive measurements that must be clear before an engine counts as slow: its prompts are late until then.
const SLOW_CONFIRMATIONS: u32 = 3;

/// Consecutive measurements that must be clear before an engine counts as fast or usual: nothing is lost until then.
const OTHER_CONFIRMATIONS: u32 = 8;

/// Time without a sample after which an engine counts as usual, so that it gets prompts that measure it again.
const MAX_SILENCE: Duration = Duration::from_secs(8);

/// Age up to which a report of the machine's work time is used; the machine's other load changes within seconds.
const MAX_WORK_AGE: Duration = Duration::from_millis(500);

/// Maximum number of measured engines, about 400 bytes each; an owner's shard has a few dozen.
const MAX_ENGINES: usize = 2_048;

/// Speed of an engine as a ratio to the usual engine of its service.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Speed(f64);

impl Speed {
    /// The speed of a usual engine.
    pub const USUAL: Self = Self(1.0);

    /// A speed, limited to 0.25 to 2.0; `None` unless the ratio is a positive number.
    pub fn new(ratio: f64) -> Option<Self> {
        let is_valid = ratio.is_finite() && ratio > 0.0;
        is_valid.then(|| Self(ratio.clamp(MIN_SPEED, MAX_SPEED)))
    }

    /// The ratio to the usual engine; 1.0 is usual.
    pub fn ratio(self) -> f64 {
        self.0
    }

    /// Whether it is exactly the usual speed.
    pub fn is_usual(self) -> bool {
        self == Self::USUAL
    }
}

impl Default for Speed {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for Speed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for Speed {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let shown = || text.chars().take(32).collect::<String>();
        let ratio: Option<f64> = text.parse().ok();
        ratio
            .and_then(Self::new)
            .ok_or_else(|| ParseError::new("speed", shown(), "a number above zero"))
    }
}

/// What prefill times of two prompts must share to be comparable, besides the size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptKind {
    /// Number derived from the model's name.
    pub model: u64,
    /// Whether the engine is known to have served the whole shared prefix.
    pub cached: bool,
}

/// A prompt that an engine has prefilled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Seed of the engine's incarnation.
    pub life: u64,
    /// Kind of the prompt.
    pub kind: PromptKind,
    /// Tokens that the engine had to prefill before it.
    pub ahead: u64,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Time from its placement until it was prefilled.
    pub took: Duration,
}

/// A change of an engine's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedChange {
    /// Seed of the engine's incarnation.
    pub life: u64,
    /// Its speed from now on.
    pub speed: Speed,
    /// Number of samples that it rests on.
    pub samples: usize,
    /// Age of the oldest of these samples.
    pub age: Duration,
}

#[derive(Debug)]
struct Engine {
    samples: EngineSamples,
    speed: Speed,
    /// Consecutive measurements by which its speed should change.
    confirmations: u32,
    changed_at: Option<Moment>,
    last: Moment,
    /// When it was last known to have prefilled a prompt.
    read_at: Option<Moment>,
}

/// Speeds of the engines whose prompts this VM has seen, by the seed of the engine's incarnation.
#[derive(Debug, Default)]
pub struct Speeds {
    engines: FxHashMap<u64, Engine>,
    kinds: Kinds,
    /// Last report of each engine's machine.
    work: FxHashMap<u64, (WorkPercent, Moment)>,
}

impl Speeds {
    /// Records how long work takes on an engine's machine at this moment.
    pub fn record_work(&mut self, life: u64, work: WorkPercent, now: Moment) {
        if self.work.len() >= MAX_ENGINES {
            self.work.retain(|_, (_, at)| now.since(*at) < MAX_WORK_AGE);
        }
        if self.work.len() < MAX_ENGINES || self.work.contains_key(&life) {
            self.work.insert(life, (work, now));
        }
    }

    /// Whether engines say that they share their machines, so that they may be of uneven speed.
    pub fn is_sharing_stated(&self) -> bool {
        !self.work.is_empty()
    }

    /// How long work takes on an engine's machine, if that was reported just now.
    pub fn work(&self, life: u64, now: Moment) -> Option<WorkPercent> {
        let (work, at) = self.work.get(&life)?;
        (now.since(*at) <= MAX_WORK_AGE).then_some(*work)
    }

    /// Records a prefilled prompt; returns the engine's speed if that changed.
    ///
    /// A sample of a machine on which work takes longer or shorter than usual is converted to the usual time.
    pub fn record(
        &mut self,
        sample: &Sample,
        work: Option<WorkPercent>,
        now: Moment,
    ) -> Option<SpeedChange> {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&sample.life) {
            return None;
        }
        let engine = self.engines.entry(sample.life).or_insert_with(|| Engine {
            samples: EngineSamples::default(),
            speed: Speed::USUAL,
            confirmations: 0,
            changed_at: None,
            last: now,
            read_at: None,
        });
        let took = own_time(sample, engine.read_at.replace(now), now)?;
        let work = work.map_or(1.0, WorkPercent::factor);
        let relative = self.kinds.compare(sample, took.as_secs_f64() / work, now)?;
        engine.last = now;
        engine.samples.push(relative, now);
        engine.update(now).then(|| SpeedChange {
            life: sample.life,
            speed: engine.speed,
            samples: engine.samples.len(),
            age: engine.samples.age(now),
        })
    }

    /// Speed of an engine; usual if it is unknown or was not measured lately.
    pub fn of(&self, life: u64, now: Moment) -> Speed {
        let engine = self.engines.get(&life);
        let current = engine.filter(|engine| now.since(engine.last) < MAX_SILENCE);
        current.map_or(Speed::USUAL, |engine| engine.speed)
    }

    /// Prompt tokens that an engine prefills per millisecond, for wait estimates.
    pub fn tokens_per_ms(&self, life: u64, now: Moment) -> f64 {
        PREFILL_TOKENS_PER_MS as f64 * self.of(life, now).ratio()
    }

    /// Forgets what was not measured lately; returns the engines that count as usual again.
    pub fn expire(&mut self, now: Moment) -> Vec<SpeedChange> {
        self.kinds.expire(now);
        self.work.retain(|_, (_, at)| now.since(*at) < MAX_WORK_AGE);
        let silent = |engine: &Engine| now.since(engine.last) >= MAX_SILENCE;
        let expired = self.engines.extract_if(|_, engine| silent(engine));
        let expired = expired.filter(|(_, engine)| !engine.speed.is_usual());
        expired
            .map(|(life, engine)| SpeedChange {
                life,
                speed: Speed::USUAL,
                samples: 0,
                age: engine.samples.age(now),
            })
            .collect()
    }
}

impl Engine {
    /// Applies the samples to the speed in use; returns whether it changed.
    fn update(&mut self, now: Moment) -> bool {
        let is_held = self.changed_at.is_some_and(|at| now.since(at) < MIN_HOLD);
        let Some(measured) = self.samples.speed().filter(|_| !is_held) else {
            return false;
        };
        let next = next_speed(self.speed, measured);
        if next == self.speed {
            self.confirmations = 0;
            return false;
        }
        self.confirmations += 1;
        let needed = if next < self.speed {
            SLOW_CONFIRMATIONS
        } else {
            OTHER_CONFIRMATIONS
        };
        if self.confirmations < needed {
            return false;
        }
        self.confirmations = 0;
        self.speed = next;
        self.changed_at = Some(now);
        true
    }
}

/// Time that an engine spent on a prompt itself, if that is known.
///
/// The tokens ahead of a prompt tell little of its wait, since most of them may be cached or already prefilled. So the
/// time of a prompt that waited counts from when the one before it was prefilled.
fn own_time(sample: &Sample, previous: Option<Moment>, now: Moment) -> Option<Duration> {
    let took = if sample.ahead == 0 {
        sample.took
    } else {
        let since_previous = now.since(previous?);
        (since_previous < sample.took).then_some(since_previous)?
    };
    (sample.tokens > 0 && !took.is_zero()).then_some(took)
}

/// The speed to use after a measurement.
fn next_speed(used: Speed, measured: f64) -> Speed {
    let is_clear = if used.is_usual() {
        !(SLOW_FROM..=FAST_FROM).contains(&measured)
    } else {
        !(NEUTRAL_MIN..=NEUTRAL_MAX).contains(&measured)
    };
    if !is_clear {
        return Speed::USUAL;
    }
    let next = Speed::new(measured).unwrap_or_default();
    let change = next.ratio() / used.ratio();
    let is_step = !(1.0 / (1.0 + STEP)..=1.0 + STEP).contains(&change);
    if is_step { next } else { used }
}
