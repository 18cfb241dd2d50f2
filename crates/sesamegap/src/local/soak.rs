//! Real traffic while faults come and go, and the promises checked at the end.
//!
//! Faults are drawn from a seed, at times one and at times two at once. Afterwards the stand-ins'
//! records are the yardstick: no key of a save ran twice, what was refused as not run was not run,
//! no answer was wrong or cleanly ended too early, and the settings never went back.

use super::caller::{Fared, Outcome};
use super::deployment::Deployment;
use super::drive::{Drive, Extent, Sent, drive};
use super::report::Report;
use super::traffic::What;
use anyhow::Result;
use indicatif::ProgressBar;
use rand::rngs::ChaCha12Rng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use sesamegap_standin::{Executions, Fault, Hit, Span};
use sesamegap_wire::Offset;
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// What a soak does.
#[derive(Debug, Clone, Copy)]
pub struct Soak {
    /// How long requests are sent.
    pub span: Duration,
    /// Seed of requests and faults.
    pub seed: u64,
}

/// Shortest and longest pause between two rounds of faults, in milliseconds.
const PAUSE: (u64, u64) = (500, 3000);

/// Shortest and longest duration of a fault, in milliseconds.
const LASTS: (u64, u64) = (200, 4000);

/// Chance that a second fault comes with the first.
const PAIRED: f64 = 0.4;

/// What a soak found.
#[derive(Debug, Clone, Serialize)]
pub struct Found {
    /// The measures.
    pub report: Report,
    /// Faults brought about, and how often.
    pub faults: BTreeMap<String, u64>,
    /// Promises found broken, each in a sentence.
    pub broken: Vec<String>,
}

impl Found {
    /// Whether no promise was broken.
    pub fn is_sound(&self) -> bool {
        self.broken.is_empty()
    }
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.report)?;
        for (fault, count) in &self.faults {
            writeln!(f, "{count:>6} x fault {fault}")?;
        }
        for broken in &self.broken {
            writeln!(f, "BROKEN: {broken}")?;
        }
        writeln!(f, "{} promises found broken", self.broken.len())
    }
}

/// Soaks a deployment.
///
/// # Errors
/// If callers cannot be set up.
pub async fn soak(deployment: &Deployment, plan: Soak) -> Result<Found> {
    let traffic = Drive {
        extent: Extent::Span(plan.span),
        seed: plan.seed,
        progress: ProgressBar::hidden(),
    };
    let watch = watch_settings(deployment, plan.span);
    let faults = trouble(deployment, plan);
    let (sent, faults, mut broken) = tokio::join!(drive(deployment, traffic), faults, watch);
    let sent = sent?;
    broken.extend(judge(&sent, &deployment.standins().executions()));
    Ok(Found {
        report: Report::new("soak", plan.seed, &sent),
        faults,
        broken,
    })
}

/// Brings about faults until the time is over.
async fn trouble(deployment: &Deployment, plan: Soak) -> BTreeMap<String, u64> {
    let mut rng = ChaCha12Rng::seed_from_u64(plan.seed ^ 0xfa17);
    let until = Instant::now() + plan.span;
    let mut counts = BTreeMap::new();
    while Instant::now() < until {
        let rounds = if rng.random_bool(PAIRED) { 2 } else { 1 };
        for _ in 0..rounds {
            let fault = *Fault::ALL.choose(&mut rng).expect("there are faults");
            if bring_about(deployment, fault, &mut rng) {
                *counts.entry(fault.to_string()).or_default() += 1;
            }
        }
        let pause = rng.random_range(PAUSE.0..PAUSE.1);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    counts
}

fn bring_about(deployment: &Deployment, fault: Fault, rng: &mut ChaCha12Rng) -> bool {
    let lasts = Duration::from_millis(rng.random_range(LASTS.0..LASTS.1));
    let engines: Vec<String> = names(deployment.standins().addresses().engines.keys());
    let workers: Vec<String> = names(deployment.standins().addresses().workers.keys());
    let routers: Vec<String> = names(deployment.routers().vms().iter());
    let target = match fault {
        Fault::ReplyLost => workers.choose(rng),
        Fault::RouterRestart => routers.choose(rng),
        Fault::RoutersRestart | Fault::LogDown | Fault::LogSlow | Fault::LogLostAnswer => None,
        _ => engines.choose(rng),
    };
    // A late or crossed answer hits one answer; a span would hit all of an engine's for seconds.
    let span = match fault {
        Fault::LateAnswer | Fault::CrossedAnswer | Fault::ReplyLost | Fault::LogLostAnswer => {
            Span::Once
        }
        Fault::ChunkDouble | Fault::ChunkDrop | Fault::ChunkSwap | Fault::StreamCut => Span::Once,
        _ => Span::For(lasts),
    };
    let at = Some(sesamegap_wire::Seq(rng.random_range(0..8)));
    let hit = Hit { fault, span, at };
    let done = deployment.standins().fault(hit, target.map(String::as_str));
    done.is_ok()
}

fn names<T: fmt::Display>(all: impl Iterator<Item = T>) -> Vec<String> {
    all.map(|name| name.to_string()).collect()
}

/// Looks at every router's revision again and again: it must never go back.
async fn watch_settings(deployment: &Deployment, span: Duration) -> Vec<String> {
    let until = Instant::now() + span;
    let mut broken = Vec::new();
    let mut highest: BTreeMap<std::net::SocketAddr, Offset> = BTreeMap::new();
    while Instant::now() < until {
        for addr in deployment.routers().addrs() {
            let Ok(client) = deployment.client(&[addr]) else {
                continue;
            };
            let Ok(tree) = client.tree().await else {
                continue;
            };
            let last = highest.entry(addr).or_insert(tree.revision);
            if tree.revision < *last {
                let now = tree.revision;
                broken.push(format!("settings at {addr} went back from {last} to {now}"));
            }
            *last = tree.revision;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    broken
}

/// Compares what callers were told with what the stand-ins ran; each broken promise is a sentence.
pub fn judge(sent: &[Sent], executions: &Executions) -> Vec<String> {
    let wrong = sent.iter().filter_map(wrong);
    let untrue = sent.iter().filter_map(|s| untrue(&s.fared, executions));
    wrong.chain(run_twice(executions)).chain(untrue).collect()
}

fn wrong(sent: &Sent) -> Option<String> {
    let Outcome::Wrong(what) = &sent.fared.outcome else {
        return None;
    };
    Some(format!("request {}: {what}", sent.fared.ask.number))
}

fn run_twice(executions: &Executions) -> Vec<String> {
    let twice = executions.keys.iter().filter(|(_, count)| **count > 1);
    twice
        .map(|(key, count)| format!("key {key} ran {count} times"))
        .collect()
}

/// A save that was refused as not run, and was run; or reported whole, and was not.
fn untrue(fared: &Fared, executions: &Executions) -> Option<String> {
    let key = fared.key.as_ref()?;
    let runs = executions.of_key(key);
    let number = fared.ask.number;
    debug_assert!(matches!(fared.ask.what, What::Save), "only saves have keys");
    match &fared.outcome {
        Outcome::Refused(code, ran) if ran == "no" && runs > 0 => Some(format!(
            "save {number} was refused as not run ({code}), and ran"
        )),
        Outcome::Whole if runs == 0 => Some(format!("save {number} was answered and never ran")),
        _ => None,
    }
}
