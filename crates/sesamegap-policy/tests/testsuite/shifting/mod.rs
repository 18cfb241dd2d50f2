//! Tests the planner under crashes, changing demand and new versions, and checks its invariants.

mod checker;
mod fleet;

use crate::support::cases;
use fleet::{Defect, Simulation};
use quickcheck::{Arbitrary, Gen};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::{Tokens, WeightsVersion};

/// An event in the fleet.
#[derive(Debug, Clone)]
enum Step {
    /// Runs engines and planner for some seconds.
    Run(u8),
    /// An engine crashes and restarts empty.
    Crash(u8),
    /// An engine starts to drain for good.
    Leave(u8),
    /// Demand for a model changes.
    Demand(u8, u8),
    /// Operators publish a new version of a model.
    Version(u8),
    /// A new planner issues the last orders again.
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

fn sim(slots: usize, defect: Option<Defect>) -> Simulation {
    let models = [("a", spec(2)), ("b", spec(1)), ("c", spec(0))];
    Simulation::new(9, slots, models, defect)
}

fn apply(sim: &mut Simulation, step: &Step) {
    match step {
        Step::Run(seconds) => sim.run(u64::from(*seconds) + 1),
        Step::Crash(engine) => sim.crash(usize::from(*engine)),
        Step::Leave(engine) => sim.leave(usize::from(*engine)),
        Step::Demand(model, demand) => sim.demand(usize::from(*model), f64::from(*demand) * 300.0),
        Step::Version(model) => sim.publish(usize::from(*model)),
        Step::Repeat => sim.repeat(),
    }
}

/// Runs random steps and returns the first violated invariant with the step that violated it.
fn first_violation(seed: u64, slots: usize, defect: Option<Defect>) -> Option<String> {
    let mut gen_ = Gen::from_size_and_seed(60, seed);
    let steps = Vec::<Step>::arbitrary(&mut gen_);
    let mut sim = sim(slots, defect);
    for (n, step) in steps.iter().enumerate() {
        apply(&mut sim, step);
        if let Some(fault) = sim.faults.first() {
            return Some(format!("seed {seed}, step {n} {step:?}: {fault}"));
        }
    }
    None
}

/// Engines crash, drain and restart empty while demand and versions change. A planner that reacted
/// to each event separately could drop the last copy of a model or load on all engines at once;
/// callers of the model would be refused until it is loaded again.
#[test]
fn keeps_its_invariants_under_crashes() {
    for seed in 0..cases(12) {
        for slots in [1, 2, 3] {
            assert_eq!(first_violation(seed, slots, None), None, "slots {slots}");
        }
    }
}

/// Each defect makes the planner violate one invariant. If the checker didn't detect it, the test
/// above couldn't fail for that invariant.
#[test]
fn the_checker_detects_each_defect() {
    for defect in Defect::ALL {
        let caught =
            |slots| (0..30).any(|seed| first_violation(seed, slots, Some(defect)).is_some());
        assert!(caught(1) || caught(2), "{defect:?} was not detected");
    }
}

/// A new version is published while callers use the old one. If old copies were dropped before new
/// ones are loaded, callers would be refused for the duration of a load.
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
        assert_eq!(sim.holders("a", 1), 0, "slots {slots}: old copies remain");
        assert!(sim.holders("a", 2) >= before, "slots {slots}");
        assert_eq!(sim.plan(), [], "slots {slots}: orders remain");
    }
}

/// Demand fluctuates around the threshold for one more engine. Weights that moved each time would
/// keep caches cold.
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

/// A failure domain is lost with all its engines. Requests for models with all copies in it would
/// be refused until the models are loaded elsewhere.
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

/// The controller's lease moves during a change, and the new holder doesn't know the orders of the
/// old one. If it decided differently, engines would load and drop weights needlessly.
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
