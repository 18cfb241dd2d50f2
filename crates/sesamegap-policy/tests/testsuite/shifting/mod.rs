//! Shifting under crashes, changing demand and new versions, and what it must never do.

mod fleet;
mod judge;

use crate::support::cases;
use fleet::{Flaw, Sim};
use quickcheck::{Arbitrary, Gen};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::{Tokens, WeightsVersion};

/// What may happen to the fleet.
#[derive(Debug, Clone)]
enum Step {
    /// Engines work on, and the planner is asked again and again.
    Run(u8),
    /// An engine crashes, to come back empty.
    Crash(u8),
    /// An engine leaves for good.
    Leave(u8),
    /// Demand for a model changes.
    Demand(u8, u8),
    /// Operators publish a new version of a model.
    Version(u8),
    /// The planner is another one, and an order is given twice.
    Repeat,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match pick % 10 {
            0..=4 => Self::Run(a % 8),
            5 => Self::Crash(a),
            6 if b < 40 => Self::Leave(a),
            6 | 7 => Self::Demand(a, b),
            8 => Self::Version(a),
            _ => Self::Repeat,
        }
    }
}

fn spec(least: u32) -> ModelSpec {
    ModelSpec {
        version: WeightsVersion(1),
        block: Tokens(4_096),
        longest: Tokens(100_000),
        answer: Tokens(1_000),
        least,
        engines: Vec::new(),
    }
}

fn sim(slots: usize, flaw: Option<Flaw>) -> Sim {
    let models = [("a", spec(2)), ("b", spec(1)), ("c", spec(0))];
    Sim::new(9, slots, models, flaw)
}

fn apply(sim: &mut Sim, step: &Step) {
    match step {
        Step::Run(seconds) => sim.run(u64::from(*seconds) + 1),
        Step::Crash(engine) => sim.crash(usize::from(*engine)),
        Step::Leave(engine) => sim.leave(usize::from(*engine)),
        Step::Demand(model, demand) => sim.demand(usize::from(*model), f64::from(*demand) * 300.0),
        Step::Version(model) => sim.publish(usize::from(*model)),
        Step::Repeat => sim.repeat(),
    }
}

/// Runs steps and gives the first broken promise with the step that broke it.
fn broken(seed: u64, slots: usize, flaw: Option<Flaw>) -> Option<String> {
    let mut gen_ = Gen::from_size_and_seed(60, seed);
    let steps = Vec::<Step>::arbitrary(&mut gen_);
    let mut sim = sim(slots, flaw);
    for (n, step) in steps.iter().enumerate() {
        apply(&mut sim, step);
        if let Some(fault) = sim.faults.first() {
            return Some(format!("seed {seed}, step {n} {step:?}: {fault}"));
        }
    }
    None
}

/// Engines crash, leave and come back empty while demand and versions change. A planner that
/// acted on each by itself would sooner or later take a model's last copy or load on all engines
/// at once; callers of that model would be refused until it is loaded again.
#[test]
fn keeps_its_promises_under_crashes() {
    for seed in 0..cases(12) {
        for slots in [1, 2, 3] {
            assert_eq!(broken(seed, slots, None), None, "slots {slots}");
        }
    }
}

/// Each flaw is a planner that forgets one of the promises. If the judge let one pass, the test
/// above could not fail.
#[test]
fn the_judge_catches_each_flaw() {
    for flaw in Flaw::ALL {
        let caught = |slots| (0..30).any(|seed| broken(seed, slots, Some(flaw)).is_some());
        assert!(caught(1) || caught(2), "{flaw:?} went unnoticed");
    }
}

/// A new version is published while callers use the old one. If old copies went before new ones
/// were there, callers would be refused for as long as a load takes.
#[test]
fn rolls_a_version_without_a_gap() {
    for slots in [1, 2] {
        let mut sim = sim(slots, None);
        sim.demand(0, 20_000.0);
        sim.run(100);
        let before = sim.holders("a", 1);
        assert!(before >= 2, "{before}");
        sim.publish(0);
        sim.run(800);
        assert_eq!(sim.faults, Vec::<String>::new());
        assert_eq!(sim.holders("a", 1), 0, "slots {slots}: old copies stayed");
        assert!(sim.holders("a", 2) >= before, "slots {slots}");
        assert_eq!(sim.plan(), [], "slots {slots}: not at rest");
    }
}

/// Demand goes up and down around the edge of one more engine. Weights that moved each time
/// would leave caches cold for good.
#[test]
fn does_not_flap_with_demand() {
    let mut sim = sim(1, None);
    sim.demand(0, 20_000.0);
    sim.run(100);
    let loads = sim.loads;
    for turn in 0..20 {
        sim.demand(0, if turn % 2 == 0 { 18_000.0 } else { 22_000.0 });
        sim.run(30);
    }
    assert!(sim.loads <= loads + 1, "{} loads more", sim.loads - loads);
}

/// A failure domain is lost with all its engines. Models that had all their copies in it would
/// be refused until they are loaded elsewhere.
#[test]
fn survives_a_lost_domain() {
    let mut sim = sim(2, None);
    sim.run(100);
    sim.lose_domain("d0");
    assert!(sim.holders("a", 1) >= 1);
    sim.run(120);
    assert!(sim.holders("a", 1) >= 2);
    assert!(sim.holders("b", 1) >= 1);
}

/// The lease changes hands in the middle of a change, and the new holder knows nothing of what
/// the old one ordered. If it decided otherwise, engines would load one thing and drop another.
#[test]
fn another_planner_decides_the_same() {
    let mut sim = sim(2, None);
    sim.demand(1, 25_000.0);
    sim.run(2);
    let orders = sim.plan();
    assert_eq!(orders, sim.plan());
    sim.reverse();
    let mut again = sim.plan();
    again.sort_by(|a, b| a.engine.cmp(&b.engine));
    let mut orders = orders;
    orders.sort_by(|a, b| a.engine.cmp(&b.engine));
    assert_eq!(orders, again);
}
