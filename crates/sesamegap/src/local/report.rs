//! The measures that the users look at.

use super::caller::Outcome;
use super::drive::Sent;
use super::traffic::What;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Longest time told apart, in microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;

/// Row for repeatable calls to the plain service.
const LOOKUPS: &str = "service lookups";

/// Row for calls that must run at most once.
const SAVES: &str = "service saves";

/// How the requests of one class fared.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// Requests sent.
    pub requests: u64,
    /// Answers that were whole, in order and the request's own.
    pub whole: u64,
    /// Requests refused for good.
    pub refused: u64,
    /// Answers that ended with an explicit error, or could not be had.
    pub errors: u64,
    /// Answers that broke a promise.
    pub wrong: u64,
    /// Prompt tokens found in an engine's cache, of all in whole answers.
    pub hit_rate: f64,
    /// Prompt tokens computed though some engine held them.
    pub recomputed: u64,
    /// First-token times in milliseconds at 50, 95 and 99 of 100.
    pub first_ms: [f64; 3],
}

/// What one run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The site.
    pub site: String,
    /// The seed.
    pub seed: u64,
    /// All model requests together.
    pub models: Row,
    /// Each traffic class, and the calls to the plain service.
    pub classes: BTreeMap<String, Row>,
    /// Why requests were refused or failed, and how often.
    pub reasons: BTreeMap<String, u64>,
}

/// Sums up a row.
struct Sum {
    row: Row,
    cached: u64,
    prompt: u64,
    first: Histogram<u64>,
}

impl Default for Sum {
    fn default() -> Self {
        let first = Histogram::new_with_bounds(1, LONGEST, 3);
        Self {
            row: Row::default(),
            cached: 0,
            prompt: 0,
            first: first.expect("constant bounds are valid"),
        }
    }
}

impl Report {
    /// Sums up a run.
    pub fn new(site: &str, seed: u64, all: &[Sent]) -> Self {
        let mut models = Sum::default();
        let mut classes: BTreeMap<String, Sum> = BTreeMap::new();
        let mut reasons = BTreeMap::new();
        for sent in all {
            let name = match &sent.fared.ask.what {
                What::Model(question) => {
                    models.add(sent);
                    question.class.to_string()
                }
                What::Lookup => LOOKUPS.to_owned(),
                What::Save => SAVES.to_owned(),
            };
            classes.entry(name).or_default().add(sent);
            if let Some(reason) = reason(&sent.fared.outcome) {
                *reasons.entry(reason).or_default() += 1;
            }
        }
        let finish = |(name, sum): (String, Sum)| (name, sum.finish());
        Self {
            site: site.to_owned(),
            seed,
            models: models.finish(),
            classes: classes.into_iter().map(finish).collect(),
            reasons,
        }
    }

    /// Whether every answer that began was whole, in order and its own request's.
    pub fn is_sound(&self) -> bool {
        self.classes
            .values()
            .all(|row| row.wrong == 0 && row.errors == 0)
    }
}

impl Sum {
    fn add(&mut self, sent: &Sent) {
        self.row.requests += 1;
        match sent.fared.outcome {
            Outcome::Whole => self.add_whole(sent),
            Outcome::Refused(..) => self.row.refused += 1,
            Outcome::Failed(_) | Outcome::Unreached => self.row.errors += 1,
            Outcome::Wrong(_) => self.row.wrong += 1,
        }
    }

    fn add_whole(&mut self, sent: &Sent) {
        self.row.whole += 1;
        self.cached += sent.fared.cached;
        self.prompt += sent.prompt;
        self.row.recomputed += sent.held.saturating_sub(sent.fared.cached);
        if let Some(first) = sent.fared.first {
            self.first.saturating_record(micros(first));
        }
    }

    fn finish(self) -> Row {
        let at = |quantile| self.first.value_at_quantile(quantile) as f64 / 1000.0;
        Row {
            hit_rate: self.cached as f64 / self.prompt.max(1) as f64,
            first_ms: [at(0.5), at(0.95), at(0.99)],
            ..self.row
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1)
}

fn reason(outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Whole => None,
        Outcome::Refused(code, ran) => Some(format!("refused: {code} (ran: {ran})")),
        Outcome::Failed(code) => Some(format!("failed: {code}")),
        Outcome::Wrong(what) => Some(format!("WRONG: {what}")),
        Outcome::Unreached => Some("no router reached".to_owned()),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "site {}, seed {}", self.site, self.seed)?;
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7} {:>11} {:>9} {:>9} {:>9}",
            "class",
            "requests",
            "whole",
            "refused",
            "errors",
            "wrong",
            "hits",
            "recomputed",
            "p50 ms",
            "p95 ms",
            "p99 ms"
        )?;
        for (name, row) in &self.classes {
            writeln!(f, "{}", line(name, row))?;
        }
        writeln!(f, "{}", line("all model", &self.models))?;
        for (reason, count) in &self.reasons {
            writeln!(f, "{count:>6} x {reason}")?;
        }
        Ok(())
    }
}

fn line(name: &str, row: &Row) -> String {
    format!(
        "{:<16} {:>8} {:>8} {:>8} {:>7} {:>6} {:>6.1}% {:>11} {:>9.1} {:>9.1} {:>9.1}",
        name,
        row.requests,
        row.whole,
        row.refused,
        row.errors,
        row.wrong,
        row.hit_rate * 100.0,
        row.recomputed,
        row.first_ms[0],
        row.first_ms[1],
        row.first_ms[2]
    )
}
