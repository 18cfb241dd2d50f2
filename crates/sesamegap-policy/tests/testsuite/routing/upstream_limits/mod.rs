//! Limits on requests that upstreams name, in virtual time and by statement.

mod statements;
mod world;

use world::{Outage, Plan, Trouble, World};

/// Sizes at which the sum over all VMs is checked.
const SIZES: [usize; 3] = [7, 84, 985];

/// Requests that upstreams bear in 4 s at a limit.
fn borne(rate: f64) -> f64 {
    rate * 4.0 * 1.5 + 5.0
}

fn plan(vms: usize, limit: fn(u64) -> Option<f64>, seed: u64) -> Plan {
    Plan {
        vms,
        limit,
        outages: Vec::new(),
        demand: 60.0,
        demand_before: 12.0,
        loss: 0.0,
        span: 24_000,
        seed,
    }
}

/// From 1 s on, 4.4 requests a second.
fn steady(ms: u64) -> Option<f64> {
    (ms >= 1_000).then_some(4.4)
}

fn outage(place: usize, trouble: Trouble, from: u64, to: u64) -> Outage {
    Outage {
        place,
        trouble,
        from,
        to,
    }
}

/// All VMs have far more requests for an upstream than it takes: they must keep its limit together, and use it.
#[test]
fn the_sum_over_all_vms_keeps_a_limit_and_uses_it() {
    for vms in SIZES {
        let world = World::run(plan(vms, steady, 1));
        let worst = world.worst_span(4_000, 24_000);
        assert!(worst as f64 <= borne(4.4), "{vms} VMs: {worst} in 4 s");
        let rate = world.rate(5_000, 24_000);
        assert!(rate > 4.4 * 0.8, "{vms} VMs: {rate:.2} a second are used");
        assert!(rate <= 4.4 * 1.02, "{vms} VMs: {rate:.2} a second");
    }
}

/// The VM that counts is killed, frozen or cut off, or two of them are, or views differ: VMs that take over must not add a
/// whole allowance each. No VM is excused here.
#[test]
fn the_sum_holds_while_counting_vms_fail() {
    let cases = |trouble, to| {
        [
            vec![outage(0, trouble, 8_000, to)],
            vec![outage(0, trouble, 8_000, to), outage(1, trouble, 8_000, to)],
            vec![
                outage(0, trouble, 8_000, to),
                outage(1, trouble, 9_500, to + 2_000),
                outage(2, trouble, 12_000, to + 3_000),
            ],
        ]
    };
    let troubles = [
        (Trouble::Kill, 10_000),
        (Trouble::Kill, 23_000),
        (Trouble::Freeze, 12_500),
        (Trouble::Cut, 11_000),
        (Trouble::Cut, 17_000),
        (Trouble::Doubt, 11_000),
        (Trouble::Doubt, 17_000),
    ];
    for vms in SIZES {
        for (trouble, to) in troubles {
            for (no, outages) in cases(trouble, to).into_iter().enumerate() {
                let mut plan = plan(vms, steady, no as u64 + 3);
                plan.outages = outages;
                plan.loss = 0.02;
                let world = World::run(plan);
                let worst = world.worst_span(4_000, 24_000);
                assert!(
                    worst as f64 <= borne(4.4),
                    "{vms} VMs, {trouble:?} to {to}, case {no}: {worst} in 4 s"
                );
            }
        }
    }
}

/// Processes are killed in series at the VM that counts: each new one begins with nothing, not with a burst.
#[test]
fn restarts_in_series_add_no_allowance() {
    for vms in SIZES {
        let mut plan = plan(vms, steady, 5);
        plan.outages = (0..12)
            .map(|no| outage(0, Trouble::Kill, 6_000 + no * 1_200, 6_300 + no * 1_200))
            .collect();
        let world = World::run(plan);
        let worst = world.worst_span(4_000, 24_000);
        assert!(worst as f64 <= borne(4.4), "{vms} VMs: {worst} in 4 s");
    }
}

/// A VM is added that is first in the ranking; for three seconds others take the former first one for it.
#[test]
fn a_vm_that_is_not_known_yet_adds_no_allowance() {
    for vms in SIZES {
        for place in [0, 1] {
            let mut plan = plan(vms, steady, 7);
            plan.outages = vec![outage(place, Trouble::Unknown, 9_000, 12_000)];
            let world = World::run(plan);
            let worst = world.worst_span(4_000, 24_000);
            assert!(worst as f64 <= borne(4.4), "{vms} VMs: {worst} in 4 s");
        }
    }
}

/// A limit drifts, and falls by half: the sum follows the value that is named.
#[test]
fn the_sum_follows_a_limit_that_drifts_and_falls() {
    fn falling(ms: u64) -> Option<f64> {
        let drift = 0.4 * ((ms / 700) % 5) as f64 / 5.0;
        match ms {
            0..1_000 => None,
            1_000..12_000 => Some(8.0 + drift),
            _ => Some(3.0 + drift),
        }
    }
    for vms in SIZES {
        let world = World::run(plan(vms, falling, 9));
        let before = world.worst_span(4_000, 12_000);
        assert!(before as f64 <= borne(8.4), "{vms} VMs: {before} before");
        // A span that begins at the fall, and one answer later.
        let after = world.worst_span(16_200, 24_000);
        assert!(after as f64 <= borne(3.4), "{vms} VMs: {after} after");
    }
}

/// A limit ends: an answer says so at one VM, and all use the upstream again soon, also those that sent nothing there.
#[test]
fn the_end_of_a_limit_reaches_all_vms() {
    fn ending(ms: u64) -> Option<f64> {
        (1_000..9_000).contains(&ms).then_some(2.0)
    }
    for vms in SIZES {
        for loss in [0.0, 0.1] {
            let mut plan = plan(vms, ending, 11);
            plan.loss = loss;
            let demand = plan.demand;
            let world = World::run(plan);
            let kept = world.rate(5_000, 9_000);
            assert!(
                kept <= 2.0 * 1.5 + 1.0,
                "{vms} VMs: {kept:.1} a second before"
            );
            let rate = world.rate(12_500, 24_000);
            assert!(
                rate > demand * 0.9,
                "{vms} VMs, loss {loss}: {rate:.1} a second after the end"
            );
        }
    }
}

/// An upstream takes none, or one in ten seconds: it gets next to none, and the end is still found out.
#[test]
fn the_end_of_a_limit_of_zero_is_found_out() {
    fn zero(ms: u64) -> Option<f64> {
        (1_000..12_000).contains(&ms).then_some(0.0)
    }
    fn tenth(ms: u64) -> Option<f64> {
        (1_000..12_000).contains(&ms).then_some(0.1)
    }
    for vms in SIZES {
        for limit in [zero, tenth] {
            let mut plan = plan(vms, limit, 13);
            plan.demand = 120.0;
            let world = World::run(plan);
            let worst = world.worst_span(5_200, 12_000);
            assert!(worst <= 5, "{vms} VMs: {worst} in 4 s");
            let rate = world.rate(19_500, 24_000);
            assert!(rate > 100.0, "{vms} VMs: {rate:.1} a second after the end");
        }
    }
}
