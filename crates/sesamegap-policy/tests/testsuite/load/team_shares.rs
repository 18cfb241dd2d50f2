//! Fair shares of teams at the owner of a shard, in replays of virtual time.

use crate::support::{at, millis};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::load::limits::{Claim, Shares};
use sesamegap_wire::{ModelId, Moment, TeamId};
use std::time::Duration;

/// Prefill rate of the shard, in tokens a second: 320 prompts.
const RATE: f64 = 160_000.0;
const COST: u64 = 500;
const TEAMS: usize = 16;

/// Usual prompts a second of each team; together 95 percent of the rate.
const USUAL: f64 = 19.0;

/// How much more than usual a heavy team sends from second 10 to second 16.
const EXCESS: f64 = 7.0;

const BACKGROUND: u8 = 1;
const URGENT: u8 = 9;

/// Prompts of a team in the burst.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    sent: f64,
    refused: f64,
    urgent: f64,
    urgent_refused: f64,
}

impl Tally {
    fn served(&self) -> f64 {
        self.sent - self.refused
    }
}

/// Prompts of all teams in order, at random times; a fifth is urgent.
fn arrivals(seed: u64, heavy: usize) -> Vec<(Moment, usize, u8)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    for ms in 0..16_000 {
        for team in 0..TEAMS {
            let burst = team < heavy && ms >= 10_000;
            let rate = if burst { USUAL * EXCESS } else { USUAL };
            if rng.random_bool(rate / 1_000.0) {
                let urgent = rng.random_bool(0.2);
                all.push((at(ms), team, if urgent { URGENT } else { BACKGROUND }));
            }
        }
    }
    all
}

/// Replays a burst of `heavy` teams at an owner that admits excess only to a short backlog; without
/// shares it admits in order of arrival.
fn replay(seed: u64, heavy: usize, mut shares: Option<Shares>) -> [Tally; TEAMS] {
    let model: ModelId = "m".parse().expect("valid");
    let name = |team| format!("t{team}").parse().expect("valid");
    let teams: Vec<TeamId> = (0..TEAMS).map(name).collect();
    let work = Duration::from_secs_f64(COST as f64 / RATE);
    let (mut backlog, mut last) = (Duration::ZERO, at(0));
    let mut tallies = [Tally::default(); TEAMS];
    for (now, team, priority) in arrivals(seed, heavy) {
        let claim = Claim {
            model: &model,
            team: &teams[team],
            weight: 1.0,
            priority,
            cost: COST,
        };
        let excess = shares
            .as_mut()
            .is_some_and(|shares| shares.is_excess(&claim, Some(RATE), now));
        backlog = backlog.saturating_sub(now.since(last));
        last = now;
        let bound = millis(if excess { 250 } else { 1_000 });
        let refused = backlog + work > bound;
        if !refused {
            backlog += work;
        }
        if now >= at(10_000) {
            let tally = &mut tallies[team];
            let urgent = f64::from(u8::from(priority == URGENT));
            let refused = f64::from(u8::from(refused));
            tally.sent += 1.0;
            tally.refused += refused;
            tally.urgent += urgent;
            tally.urgent_refused += refused * urgent;
        }
    }
    tallies
}

/// Refused part of the prompts of all teams but the heavy ones.
fn light_refused(tallies: &[Tally]) -> f64 {
    let sum = |of: fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>();
    sum(|tally| tally.refused) / sum(|tally| tally.sent)
}

/// A team's share of the rate in the burst, in prompts.
fn share() -> f64 {
    RATE / COST as f64 / TEAMS as f64 * 6.0
}

/// One team's burst must not refuse the prompts of others, and the team must keep its share.
#[test]
fn a_heavy_team_beside_light_ones() {
    for seed in 1..=5 {
        let fair = replay(seed, 1, Some(Shares::of_shard()));
        let light = light_refused(&fair[1..]);
        let router = light_refused(&replay(seed, 1, Some(Shares::default()))[1..]);
        let unfair = light_refused(&replay(seed, 1, None)[1..]);
        println!(
            "seed {seed}: light refused {light:.4}, with a router's settings {router:.4}, without shares {unfair:.4}, heavy {:?}",
            fair[0]
        );
        assert!(light <= 0.002, "{light}");
        assert!(fair[0].served() >= share(), "{:?}", fair[0]);
        // Without shares, the same bound must catch it.
        assert!(unfair > 0.05, "{unfair}");
    }
}

/// Two heavy teams must not refuse light ones, nor one of them the other.
#[test]
fn two_heavy_teams() {
    for seed in 1..=5 {
        let fair = replay(seed, 2, Some(Shares::of_shard()));
        let light = light_refused(&fair[2..]);
        let served = [fair[0].served(), fair[1].served()];
        println!("seed {seed}: light refused {light:.4}, heavy {served:?}");
        assert!(light <= 0.002, "{light}");
        assert!(served.iter().all(|served| *served >= share()), "{served:?}");
        assert!((served[0] / served[1] - 1.0).abs() < 0.2, "{served:?}");
    }
}

/// A heavy team's urgent prompts within its share must come before its own background ones.
#[test]
fn urgent_prompts_within_a_share_come_first() {
    for seed in 1..=5 {
        let heavy = replay(seed, 1, Some(Shares::of_shard()))[0];
        let urgent = heavy.urgent_refused / heavy.urgent;
        let all = heavy.refused / heavy.sent;
        println!("seed {seed}: urgent {urgent:.3}, all {all:.3}");
        assert!(urgent * 4.0 <= all, "{heavy:?}");
    }
}
