//! Engines of one shard in virtual time, as far as admission depends on them.

use sesamegap_policy::admission::{Action, Ask, Backlog, Desk, Verdict};
use sesamegap_wire::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tokens that an engine prefills per millisecond.
pub const RATE: u64 = 50;

/// Slots of an engine.
pub const SLOTS: u32 = 16;

/// Prompts that an engine queues beyond its slots before it rejects.
const QUEUE: usize = 48;

/// Time of a step of the world, in milliseconds.
const STEP: u64 = 2;

/// A prompt in the world.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    pub ask: Ask,
    pub arrived: u64,
    /// Duration of its answer after the first token, in milliseconds.
    pub answer: u64,
}

#[derive(Debug)]
struct Held {
    prompt: Prompt,
    unread: u64,
    ends: Option<u64>,
}

/// An engine that prefills the most urgent prompt first.
#[derive(Debug, Default)]
struct Engine {
    held: Vec<Held>,
    peak: usize,
}

/// How prompts are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// At the engine with the least work, whatever its backlog.
    Always,
    /// By a desk.
    Admission,
}

/// What became of the prompts of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub rejected: u32,
}

/// Outcomes by class, and the most prompts that an engine held.
#[derive(Debug, Default)]
pub struct Report {
    pub classes: BTreeMap<u8, Outcome>,
    pub peak: usize,
}

impl Engine {
    fn backlog(&self, ask: &Ask) -> Backlog {
        let unread = |urgent_only: bool| -> u64 {
            let held = self.held.iter();
            let held = held.filter(|held| !urgent_only || held.prompt.ask.priority <= ask.priority);
            held.map(|held| held.unread).sum()
        };
        let more_urgent = |held: &&Held| held.prompt.ask.priority < ask.priority;
        Backlog {
            unread: unread(false),
            before: unread(true),
            own: 0,
            running: self.held.len().try_into().unwrap(),
            urgent: self
                .held
                .iter()
                .filter(more_urgent)
                .count()
                .try_into()
                .unwrap(),
            slots: SLOTS,
            rate: RATE as f64,
        }
    }

    fn step(&mut self, now: u64, report: &mut Report) {
        let mut budget = RATE * STEP;
        self.held
            .sort_by_key(|held| (held.prompt.ask.priority, held.prompt.arrived));
        for held in self.held.iter_mut().take(SLOTS as usize) {
            let read = held.unread.min(budget);
            held.unread -= read;
            budget -= read;
            if held.unread == 0 && held.ends.is_none() {
                held.ends = Some(now + held.prompt.answer);
                let class = report.classes.entry(held.prompt.ask.priority).or_default();
                let took = Duration::from_millis(now - held.prompt.arrived);
                let is_timely = took <= held.prompt.ask.objective;
                class.in_time += u32::from(is_timely);
                class.late += u32::from(!is_timely);
            }
        }
        self.held
            .retain(|held| held.ends.is_none_or(|ends| now < ends));
        self.peak = self.peak.max(self.held.len());
    }
}

/// Plays prompts, sorted by arrival, at a number of engines; `restarts` are the times at which a new VM takes over the
/// decisions and knows nothing of the line.
pub fn play(prompts: &[Prompt], engines: usize, rule: Rule, restarts: &[u64]) -> Report {
    let mut world: Vec<Engine> = (0..engines).map(|_| Engine::default()).collect();
    let mut report = Report::default();
    let mut desk = Desk::default();
    let mut waiting: BTreeMap<(u64, u64), Prompt> = BTreeMap::new();
    let mut next = prompts.iter().peekable();
    let end = prompts.last().map_or(0, |prompt| prompt.arrived) + 10_000;
    for now in (0..end).step_by(usize::try_from(STEP).unwrap()) {
        if restarts.contains(&now) {
            desk = Desk::default();
        }
        while let Some(prompt) = next.next_if(|prompt| prompt.arrived <= now) {
            report.classes.entry(prompt.ask.priority).or_default().asked += 1;
            waiting.insert((now, prompt.ask.key), *prompt);
        }
        let due: Vec<(u64, u64)> = waiting
            .range(..=(now, u64::MAX))
            .map(|(at, _)| *at)
            .collect();
        for at in due {
            let Some(mut prompt) = waiting.remove(&at) else {
                continue;
            };
            prompt.ask.waited = Duration::from_millis(now - prompt.arrived);
            match decide(&mut desk, &prompt.ask, &world, rule, now) {
                Ok(engine) => send(&mut world[engine], prompt, &mut report),
                Err(Action::Wait(after)) => {
                    waiting.insert((now + u64::from(after), prompt.ask.key), prompt);
                }
                Err(Action::Refuse(_)) => {
                    report
                        .classes
                        .entry(prompt.ask.priority)
                        .or_default()
                        .refused += 1;
                }
            }
        }
        for engine in &mut world {
            engine.step(now, &mut report);
        }
    }
    report.peak = world.iter().map(|engine| engine.peak).max().unwrap_or(0);
    report
}

fn decide(
    desk: &mut Desk,
    ask: &Ask,
    world: &[Engine],
    rule: Rule,
    now: u64,
) -> Result<usize, Action> {
    let backlogs: Vec<Backlog> = world.iter().map(|engine| engine.backlog(ask)).collect();
    let keep = match rule {
        Rule::Always => None,
        Rule::Admission => match desk.decide(ask, &backlogs, Moment(now * 1_000)) {
            Verdict::Place(keep) => Some(keep),
            Verdict::PutOff(put_off) => return Err(put_off.action),
        },
    };
    let has_room = |no: &usize| keep.is_none_or(|keep| backlogs[*no].has_room(ask, keep));
    let usable = (0..world.len()).filter(has_room);
    let least = usable.min_by_key(|no| (backlogs[*no].before, backlogs[*no].running));
    Ok(least.expect("a placed prompt has an engine with room"))
}

fn send(engine: &mut Engine, prompt: Prompt, report: &mut Report) {
    if engine.held.len() >= SLOTS as usize + QUEUE {
        report
            .classes
            .entry(prompt.ask.priority)
            .or_default()
            .rejected += 1;
        return;
    }
    engine.held.push(Held {
        unread: prompt.ask.tokens,
        ends: None,
        prompt,
    });
}
