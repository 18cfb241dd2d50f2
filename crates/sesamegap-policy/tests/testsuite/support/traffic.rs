//! Random traffic from fixed seeds.

use super::world::Call;
use rand::rngs::ChaCha12Rng;
use rand::{Rng, SeedableRng};
use sesamegap_wire::Moment;
use std::time::Duration;

/// A kind of call and its rate.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub team: &'static str,
    pub class: &'static str,
    pub tokens: u64,
    pub answer: u64,
    /// Calls per second.
    pub rate: f64,
}

impl Kind {
    pub fn status(team: &'static str, rate: f64) -> Self {
        Self {
            team,
            class: "status",
            tokens: 1_000,
            answer: 16,
            rate,
        }
    }

    pub fn check(team: &'static str, rate: f64) -> Self {
        Self {
            team,
            class: "check",
            tokens: 5_000,
            answer: 64,
            rate,
        }
    }

    pub fn review(team: &'static str, rate: f64) -> Self {
        Self {
            team,
            class: "review",
            tokens: 40_000,
            answer: 64,
            rate,
        }
    }
}

/// Generates calls between two times; each kind is a Poisson process.
pub fn calls(seed: u64, from: Moment, to: Moment, kinds: &[Kind]) -> Vec<Call> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for kind in kinds {
        let mut at = from;
        loop {
            let uniform = (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
            at = at + Duration::from_secs_f64(-uniform.ln() / kind.rate);
            if at >= to {
                break;
            }
            calls.push(Call {
                at,
                team: kind.team,
                class: kind.class,
                tokens: kind.tokens,
                answer: kind.answer,
                max_retries: 0,
            });
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}
