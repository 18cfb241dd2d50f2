//! Compares the fixed and the adaptive window; prints the figures in `docs/design/load.md`.

use super::{TEAMS, mix};
use crate::support::traffic::calls;
use crate::support::world::{Setup, World, percentile};
use crate::support::{at, catalogue};
use sesamegap_policy::load::windows::WindowKind;

/// With either window, at most 5 % of the admitted requests of the highest class may be late. Use
/// `--nocapture` to print the figures that compare the two.
#[test]
fn fixed_and_adaptive() {
    for (kind, routers, load) in [WindowKind::Fixed, WindowKind::Adaptive]
        .into_iter()
        .flat_map(|kind| [1, 8].map(|routers| (kind, routers)))
        .flat_map(|(kind, routers)| [0.5, 1.0, 2.0, 4.0].map(|load| (kind, routers, load)))
    {
        let mut late = 0;
        let mut admitted = 0;
        let (mut good, mut useful) = (Vec::new(), 0);
        let mut times = Vec::new();
        for seed in 1..=5 {
            let mut world = World::new(Setup {
                catalogue: catalogue(&TEAMS),
                speeds: vec![1.0, 1.0, 1.0, 1.0, 0.6, 0.6],
                routers,
                window: kind,
                calls: calls(seed, at(0), at(60_000), &mix(load)),
            });
            world.run(at(90_000));
            let status = world.tally(|call| call.class == "status");
            late += status.late;
            admitted += status.late + status.good;
            good.push(world.tally(|_| true).good);
            useful += world.useful();
            times.extend(world.first_times(|call| call.class == "status"));
        }
        times.sort();
        good.sort_unstable();
        let p99 = percentile(&times, 99);
        println!(
            "{kind:?}, {routers} routers, load {load}: {} good (median), {} tokens/s useful, \
             highest class p99 {p99:?}, late {late} of {admitted}",
            good[2],
            useful / 300
        );
        assert!(
            late * 20 <= admitted,
            "{kind:?} {routers} {load}: {late} of {admitted}"
        );
    }
}
