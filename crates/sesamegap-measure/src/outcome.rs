//! What became of each request, and the measures made of it.

use crate::site::{BLOCK, Site, TEAMS};
use crate::workload::{Arrival, END, FAULT, SECOND, WARM};
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use sesamegap_policy::RefusalCode;
use sesamegap_wire::{BlockKey, Chain, UpstreamId};

/// Seconds after a fault at which the hit rate must be back, and how long it is then taken.
pub const RECOVERY: (f64, f64) = (10.0, 30.0);

/// One request's fate.
#[derive(Debug, Clone, Default)]
pub struct Job {
    pub attempt: u32,
    pub barred: Vec<UpstreamId>,
    sent: bool,
    refused: Option<RefusalCode>,
    first: Option<f64>,
    finished: bool,
    cut: bool,
    /// Prompt tokens, and those of them cached, over all attempts that an engine started.
    prompt: u64,
    cached: u64,
    /// Tokens computed that some engine had computed before.
    again: u64,
}

/// Keeps the books of a run.
#[derive(Debug)]
pub struct Ledger {
    pub jobs: Vec<Job>,
    seen: FxHashSet<BlockKey>,
}

/// Measures of one policy in one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Outcome {
    /// Cached tokens per prompt token.
    pub hit: f64,
    /// The same where all caches are one and never evict.
    pub bound: f64,
    /// Hit rate in the ten seconds after the fault, and after these.
    pub hit_during: f64,
    pub hit_after: f64,
    /// The same for the second fault, if there is one.
    pub hit_later: f64,
    /// Thousands of tokens computed again, per request.
    pub again_k: f64,
    /// Milliseconds to the first token.
    pub p50: f64,
    pub p99: f64,
    pub p99_long: f64,
    pub p99_short: f64,
    /// Share of requests whose first token came within the deadline and whose answer is whole.
    pub goodput: f64,
    pub good_short: f64,
    /// Answers within the deadline, a second.
    pub good_rate: f64,
    /// Share of requests refused, by kind, and of the largest and smallest team.
    pub refused_long: f64,
    pub refused_short: f64,
    pub refused_largest: f64,
    pub refused_smallest: f64,
    /// Share of short requests sent that missed their deadline.
    pub missed_short: f64,
    /// Requests cut off by a router's restart.
    pub cut: usize,
}

impl Ledger {
    pub fn new(arrivals: &[Arrival]) -> Self {
        Self {
            jobs: vec![Job::default(); arrivals.len()],
            seen: FxHashSet::default(),
        }
    }

    pub fn send(&mut self, job: usize) {
        self.jobs[job].sent = true;
    }

    pub fn refuse(&mut self, job: usize, code: RefusalCode) {
        self.jobs[job].refused = Some(code);
    }

    pub fn start(&mut self, job: usize, chain: &Chain, cached: u64) {
        let known = chain.keys.iter().take_while(|key| self.seen.contains(key));
        let known = known.count() as u64 * BLOCK;
        let job = &mut self.jobs[job];
        job.prompt += chain.tokens.0;
        job.cached += cached;
        job.again += known.saturating_sub(cached);
    }

    pub fn computed(&mut self, chain: &Chain) {
        self.seen.extend(chain.keys.iter());
    }

    pub fn first(&mut self, job: usize, now: f64) {
        self.jobs[job].first.get_or_insert(now);
    }

    pub fn finish(&mut self, job: usize) {
        self.jobs[job].finished = true;
    }

    pub fn lose(&mut self, job: usize, engine: UpstreamId) {
        let job = &mut self.jobs[job];
        job.attempt += 1;
        job.barred.push(engine);
    }

    /// Marks what came in a span and is not over.
    pub fn cut(&mut self, arrivals: &[Arrival], from: f64, to: f64) {
        for (job, arrival) in self.jobs.iter_mut().zip(arrivals) {
            let open = !job.finished && job.refused.is_none();
            job.cut |= open && (from..to).contains(&arrival.at);
        }
    }

    /// Makes the measures.
    pub fn close(&self, site: &Site, arrivals: &[Arrival]) -> Outcome {
        let all: Vec<(&Job, &Arrival)> = self.jobs.iter().zip(arrivals).collect();
        let measured = |from: f64, to: f64| {
            let within = all.iter().filter(move |(_, a)| (from..to).contains(&a.at));
            within.copied()
        };
        let good = |job: &Job, arrival: &Arrival| {
            let deadline = site.kinds[arrival.kind].deadline.as_secs_f64();
            let late = job.first.is_none_or(|first| first - arrival.at > deadline);
            !late && job.finished && !job.cut
        };
        let share = |wanted: &dyn Fn(&Job, &Arrival) -> bool,
                     of: &dyn Fn(&Job, &Arrival) -> bool| {
            let of: Vec<_> = measured(WARM, END).filter(|(j, a)| of(j, a)).collect();
            let wanted = of.iter().filter(|(j, a)| wanted(j, a)).count();
            wanted as f64 / of.len().max(1) as f64
        };
        let refused = |j: &Job, _: &Arrival| j.refused.is_some();
        let count = measured(WARM, END).count() as f64;
        let again: u64 = measured(WARM, END).map(|(job, _)| job.again).sum();
        let quantile = |q: f64, kinds: &[usize]| {
            let first = |(j, a): (&Job, &Arrival)| {
                (!j.cut && kinds.contains(&a.kind)).then_some((j.first? - a.at) * 1e3)
            };
            quantile(measured(WARM, END).filter_map(first).collect(), q)
        };
        let (after, length) = RECOVERY;
        let goodput = share(&good, &|_, _| true);
        Outcome {
            hit: hit(measured(WARM, END)),
            bound: bound(arrivals),
            hit_after: hit(measured(FAULT + after, FAULT + after + length)),
            hit_later: hit(measured(SECOND + after, SECOND + after + length)),
            hit_during: hit(measured(FAULT, FAULT + after)),
            again_k: again as f64 / 1e3 / count,
            p50: quantile(0.5, &[0, 1]),
            p99: quantile(0.99, &[0, 1]),
            p99_long: quantile(0.99, &[0]),
            p99_short: quantile(0.99, &[1]),
            goodput,
            good_short: share(&good, &|_, a| a.kind == 1),
            good_rate: goodput * count / (END - WARM),
            refused_long: share(&refused, &|_, a| a.kind == 0),
            refused_short: share(&refused, &|_, a| a.kind == 1),
            refused_largest: share(&refused, &|_, a| a.team == 0),
            refused_smallest: share(&refused, &|_, a| a.team == TEAMS.len() - 1),
            missed_short: share(&|j, a| !good(j, a), &|j, a| {
                a.kind == 1 && j.sent && j.refused.is_none() && !j.cut
            }),
            cut: self.jobs.iter().filter(|job| job.cut).count(),
        }
    }
}

fn hit<'a>(jobs: impl Iterator<Item = (&'a Job, &'a Arrival)>) -> f64 {
    let (mut cached, mut prompt) = (0, 0);
    for (job, _) in jobs {
        cached += job.cached;
        prompt += job.prompt;
    }
    cached as f64 / (prompt as f64).max(1.0)
}

/// Hit rate over the same arrivals if all caches were one that never evicts.
fn bound(arrivals: &[Arrival]) -> f64 {
    let mut seen: FxHashSet<BlockKey> = FxHashSet::default();
    let (mut cached, mut prompt) = (0, 0);
    for arrival in arrivals {
        let known = arrival
            .chain
            .keys
            .iter()
            .take_while(|key| seen.contains(key));
        if (WARM..END).contains(&arrival.at) {
            cached += known.count() as u64 * BLOCK;
            prompt += arrival.chain.tokens.0;
        }
        seen.extend(arrival.chain.keys.iter());
    }
    cached as f64 / (prompt as f64).max(1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an index into a short list"
)]
fn quantile(mut all: Vec<f64>, q: f64) -> f64 {
    all.sort_unstable_by(f64::total_cmp);
    let at = (all.len().max(1) - 1) as f64 * q;
    all.get(at.ceil() as usize).copied().unwrap_or(0.0)
}
