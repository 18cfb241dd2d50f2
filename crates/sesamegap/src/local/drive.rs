//! Sends a site's requests at their times and gathers how they fared.

use super::caller::{Caller, Fared};
use super::deployment::Deployment;
use super::traffic::{Ask, Traffic, What, demo_key};
use anyhow::Result;
use indicatif::ProgressBar;
use sesamegap_wire::{TeamId, WeightsVersion};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinSet;

/// What to send.
#[derive(Debug)]
pub struct Drive {
    /// How many requests.
    pub count: usize,
    /// Seed of the sequence.
    pub seed: u64,
    /// Shows how far it is.
    pub progress: ProgressBar,
}

/// How one request fared, and what the engines held when it was sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// How it fared.
    pub fared: Fared,
    /// Prompt tokens that some engine held when it was sent.
    pub held: u64,
    /// Length of its prompt.
    pub prompt: u64,
}

/// Sends the requests and returns how each fared, in order of their numbers.
///
/// # Errors
/// If a caller cannot be set up.
pub async fn drive(deployment: &Deployment, drive: Drive) -> Result<Vec<Sent>> {
    let callers = callers(deployment)?;
    let demand = Arc::clone(deployment.demand());
    let traffic = Traffic::new(demand, deployment.catalogue(), drive.seed);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for ask in traffic.take(drive.count) {
        tokio::time::sleep_until((start + ask.at).into()).await;
        let (held, prompt) = held(deployment, &ask);
        let caller = Arc::clone(&callers[&ask.team]);
        let progress = drive.progress.clone();
        tasks.spawn(async move {
            let secret = demo_key(&ask.team);
            let fared = caller.send(ask, &secret).await;
            progress.inc(1);
            Sent {
                fared,
                held,
                prompt,
            }
        });
    }
    let mut all = tasks.join_all().await;
    all.sort_by_key(|sent| sent.fared.ask.number);
    drive.progress.finish_and_clear();
    Ok(all)
}

/// One caller a team, spread over the failure domains.
fn callers(deployment: &Deployment) -> Result<BTreeMap<TeamId, Arc<Caller>>> {
    let site = deployment.site();
    let demand = deployment.demand();
    let teams = deployment.catalogue().teams.keys().enumerate();
    teams
        .map(|(index, team)| {
            let domain = site.domains[index % site.domains.len()].clone();
            let asked = (demand.model.clone(), demand.service.clone());
            let caller = Caller::new(deployment.locators(), domain, asked, site.clients / 2)?;
            Ok((team.clone(), Arc::new(caller)))
        })
        .collect()
}

/// Prompt tokens that some engine holds now, and the prompt's length.
fn held(deployment: &Deployment, ask: &Ask) -> (u64, u64) {
    let What::Model(question) = &ask.what else {
        return (0, 0);
    };
    let demand = deployment.demand();
    let spec = deployment.catalogue().models.get(&demand.model);
    let version = spec.map_or(WeightsVersion(1), |spec| spec.version);
    let block = spec.map_or(0, |spec| spec.block.0);
    let chain = question.chain(&ask.team, demand, version);
    let blocks = deployment.standins().held(&chain.keys) as u64;
    (blocks * block, chain.tokens.0)
}
