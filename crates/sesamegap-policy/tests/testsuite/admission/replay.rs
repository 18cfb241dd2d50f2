use super::world::{Prompt, Report, Rule, SLOTS, play};
use super::{background, urgent};
use rand::rngs::ChaCha8Rng;
use rand::{Rng, RngExt, SeedableRng};

/// Engines of a shard.
const ENGINES: usize = 10;

/// Prompts of a class that arrive at a rate, with a burst.
#[derive(Debug, Clone, Copy)]
struct Load {
    per_s: f64,
    /// Factor of the rate in the burst, and its beginning and end in milliseconds.
    burst: (f64, u64, u64),
}

const LENGTH_MS: u64 = 12_000;

fn arrivals(load: Load, rng: &mut impl Rng) -> Vec<u64> {
    (0..LENGTH_MS)
        .filter(|now| {
            let (factor, from, until) = load.burst;
            let factor = if (from..until).contains(now) {
                factor
            } else {
                1.0
            };
            rng.random_bool((load.per_s * factor / 1_000.0).min(1.0))
        })
        .collect()
}

/// Ten engines prefill 55 background prompts a second; one class or both arrive faster for some seconds.
fn prompts(background_load: Load, urgent_load: Load) -> Vec<Prompt> {
    let mut rng = ChaCha8Rng::seed_from_u64(64);
    let mut prompts: Vec<Prompt> = Vec::new();
    for now in arrivals(background_load, &mut rng) {
        let mut ask = background(rng.random());
        ask.tokens = rng.random_range(3_000..15_000);
        prompts.push(Prompt {
            ask,
            arrived: now,
            answer: 60,
        });
    }
    for now in arrivals(urgent_load, &mut rng) {
        prompts.push(Prompt {
            ask: urgent(rng.random()),
            arrived: now,
            answer: 300,
        });
    }
    prompts.sort_by_key(|prompt| prompt.arrived);
    prompts
}

const CALM: (f64, u64, u64) = (1.0, 0, 0);

fn both_bursts() -> Vec<Prompt> {
    let scans = Load {
        per_s: 35.0,
        burst: (3.0, 2_000, 8_000),
    };
    let questions = Load {
        per_s: 30.0,
        burst: (2.0, 5_000, 9_000),
    };
    prompts(scans, questions)
}

/// Share of the asked prompts of a class that were answered in time.
fn timely(report: &Report, class: u8) -> f64 {
    let outcome = report.classes[&class];
    f64::from(outcome.in_time) / f64::from(outcome.asked)
}

/// Guards against a burst of background prompts, then one of urgent ones, in which all are late: without a decision,
/// engines work off prompts that are late already.
#[test]
fn bursts_of_both_classes_leave_urgent_prompts_on_time() {
    let load = both_bursts();
    let without = play(&load, ENGINES, Rule::Always, &[]);
    let with = play(&load, ENGINES, Rule::Admission, &[]);
    assert!(timely(&with, 0) >= 0.9, "{with:?}");
    assert!(
        timely(&with, 0) >= timely(&without, 0),
        "{with:?} {without:?}"
    );
    assert!(
        timely(&with, 2) > timely(&without, 2),
        "{with:?} {without:?}"
    );
    let rejected: u32 = with.classes.values().map(|outcome| outcome.rejected).sum();
    assert_eq!(rejected, 0, "engines reject nothing that was admitted");
}

/// Guards against a burst of the urgent class alone that its own backlog makes late.
#[test]
fn a_burst_of_the_urgent_class_is_served_as_far_as_the_engines_reach() {
    let questions = Load {
        per_s: 60.0,
        burst: (8.0, 2_000, 6_000),
    };
    let scans = Load {
        per_s: 20.0,
        burst: CALM,
    };
    let load = prompts(scans, questions);
    let with = play(&load, ENGINES, Rule::Admission, &[]);
    assert!(timely(&with, 0) >= 0.9, "{with:?}");
    assert!(with.peak <= (SLOTS + SLOTS / 4) as usize, "{}", with.peak);
}

/// Guards against refusals while engines have room.
#[test]
fn a_calm_load_is_served_without_refusals() {
    let scans = Load {
        per_s: 25.0,
        burst: CALM,
    };
    let questions = Load {
        per_s: 40.0,
        burst: CALM,
    };
    let report = play(&prompts(scans, questions), ENGINES, Rule::Admission, &[]);
    let refused: u32 = report.classes.values().map(|outcome| outcome.refused).sum();
    assert_eq!(refused, 0, "{report:?}");
}

/// Guards against a VM that takes over in a burst and, without the line of the one before, lets engines overflow.
#[test]
fn a_new_deciding_vm_does_not_overfill_engines() {
    let load = both_bursts();
    let report = play(&load, ENGINES, Rule::Admission, &[3_000, 5_000, 7_000]);
    assert!(
        report.peak <= (SLOTS + SLOTS / 4) as usize,
        "{}",
        report.peak
    );
    assert!(timely(&report, 0) >= 0.9, "{report:?}");
}
