//! The requests of a site, made from a seed.
//!
//! A prompt has three nested levels: the team's preamble, a dossier and a form. Some dossiers are
//! much more wanted than others, as a busy substation's is. Texts depend on nothing but the names
//! of their level, so that equal names give byte-equal prefixes.

use super::demand::{Demand, Flow};
use rand::rngs::ChaCha12Rng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use sesamegap_settings::Catalogue;
use sesamegap_wire::chain::{BYTES_PER_TOKEN, Seed};
use sesamegap_wire::{Chain, ClassId, TeamId, Tokens, WeightsVersion};
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Tokens in a block of both sites' models.
const BLOCK: u64 = 4096;

/// Exponent of the popularity of dossiers: the first of ten gets about a third of the requests.
const SKEW: f64 = 1.0;

/// What one caller asks.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Place in the sequence.
    pub number: u64,
    /// When it is sent, from the start.
    pub at: Duration,
    /// Team that asks.
    pub team: TeamId,
    /// What it wants.
    pub what: What,
}

/// The kinds of request.
#[derive(Debug, Clone)]
pub enum What {
    /// A question to the model, streamed.
    Model(Question),
    /// A repeatable call to the plain service.
    Lookup,
    /// A call to the plain service that must run at most once, under a key of its caller.
    Save,
}

/// A question to the model.
#[derive(Debug, Clone)]
pub struct Question {
    /// Its traffic class.
    pub class: ClassId,
    /// The levels of its prompt, outermost first.
    pub levels: Vec<Arc<str>>,
    /// Tokens of the answer.
    pub answer: u64,
}

/// Roles of the levels, as chat messages.
const ROLES: [&str; 3] = ["system", "user", "user"];

impl Question {
    /// The prompt as the engine gets it: each message with its role.
    pub fn prompt(&self) -> String {
        self.parts().concat()
    }

    /// The messages of the request's body.
    pub fn messages(&self) -> Value {
        let levels = self.levels.iter().zip(ROLES);
        levels
            .map(|(text, role)| json!({ "role": role, "content": **text }))
            .collect()
    }

    /// The prompt's blocks, as the router cuts them.
    pub fn chain(&self, team: &TeamId, demand: &Demand, version: WeightsVersion) -> Chain {
        let parts = self.parts();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let seed = Seed {
            team,
            model: &demand.model,
            version,
        };
        Chain::from_parts(seed, &parts, Tokens(BLOCK))
    }

    fn parts(&self) -> Vec<String> {
        let levels = self.levels.iter().zip(ROLES);
        levels
            .map(|(text, role)| format!("{role}: {text}\n"))
            .collect()
    }
}

/// Makes a site's requests in order of their time.
#[derive(Debug)]
pub struct Traffic {
    rng: ChaCha12Rng,
    demand: Arc<Demand>,
    teams: Vec<(TeamId, f64)>,
    texts: HashMap<String, Arc<str>>,
    number: u64,
    at: Duration,
}

impl Traffic {
    /// Starts the sequence of a seed, with teams as unequal as their weights in the tree.
    pub fn new(demand: Arc<Demand>, catalogue: &Catalogue, seed: u64) -> Self {
        let teams = catalogue.teams.iter();
        Self {
            rng: ChaCha12Rng::seed_from_u64(seed),
            demand,
            teams: teams
                .map(|(team, spec)| (team.clone(), spec.weight))
                .collect(),
            texts: HashMap::new(),
            number: 0,
            at: Duration::ZERO,
        }
    }

    fn team(&mut self) -> TeamId {
        let weights: Vec<f64> = self.teams.iter().map(|(_, weight)| *weight).collect();
        let index = self.draw(&weights);
        self.teams[index].0.clone()
    }

    fn question(&mut self, team: &TeamId) -> Question {
        let demand = Arc::clone(&self.demand);
        let shares: Vec<f64> = demand.flows.iter().map(|flow| flow.share).collect();
        let flow = &demand.flows[self.draw(&shares)];
        let dossier = self.popular(flow.dossiers);
        let form = self.rng.random_range(0..flow.forms);
        Question {
            class: flow.class.clone(),
            levels: self.levels(flow, team, dossier, form),
            answer: flow.answer,
        }
    }

    fn levels(&mut self, flow: &Flow, team: &TeamId, dossier: u32, form: u32) -> Vec<Arc<str>> {
        let class = &flow.class;
        let names = [
            format!("preamble of {team}"),
            format!("dossier {dossier} of {team} for {class}"),
            format!("form {form} in dossier {dossier} of {team} for {class}"),
        ];
        let levels = names.into_iter().zip(flow.blocks);
        levels
            .map(|(name, blocks)| self.text(&name, blocks))
            .collect()
    }

    fn text(&mut self, name: &str, blocks: usize) -> Arc<str> {
        let bytes = blocks as u64 * BLOCK * BYTES_PER_TOKEN;
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let text = self
            .texts
            .entry(format!("{name}/{blocks}"))
            .or_insert_with(|| filled(name, bytes));
        Arc::clone(text)
    }

    fn popular(&mut self, count: u32) -> u32 {
        let weights: Vec<f64> = (1..=count).map(|i| f64::from(i).powf(-SKEW)).collect();
        u32::try_from(self.draw(&weights)).unwrap_or(0)
    }

    /// Draws an index by weight.
    fn draw(&mut self, weights: &[f64]) -> usize {
        let sum: f64 = weights.iter().sum();
        let mut point = self.rng.random::<f64>() * sum;
        for (index, weight) in weights.iter().enumerate() {
            point -= weight;
            if point < 0.0 {
                return index;
            }
        }
        weights.len().saturating_sub(1)
    }
}

impl Iterator for Traffic {
    type Item = Ask;

    fn next(&mut self) -> Option<Ask> {
        let team = self.team();
        let kind = self.rng.random::<f64>();
        let demand = Arc::clone(&self.demand);
        let what = if kind < demand.saves {
            What::Save
        } else if kind < demand.saves + demand.lookups {
            What::Lookup
        } else {
            What::Model(self.question(&team))
        };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / demand.rate;
        self.at += Duration::from_secs_f64(gap);
        self.number += 1;
        Some(Ask {
            number: self.number,
            at: self.at,
            team,
            what,
        })
    }
}

/// Text of a length that depends on its name alone.
fn filled(name: &str, bytes: usize) -> Arc<str> {
    let mut text = String::with_capacity(bytes + 64);
    let mut line = 0_u64;
    while text.len() < bytes {
        text.push_str(name);
        // Writing to a string cannot fail.
        let _ = write!(text, ", line {line}. ");
        line += 1;
    }
    text.truncate(bytes);
    text.into()
}

/// The key of a team at a demonstration site.
pub fn demo_key(team: &TeamId) -> String {
    format!("{team}-demo-key")
}
