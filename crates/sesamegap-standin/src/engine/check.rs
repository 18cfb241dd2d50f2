//! What an engine refuses, in which case it did not run the request.

use super::EngineStandin;
use super::job::Job;
use super::life::{Due, Life};
use super::run;
use crate::answer::Answer;
use sesamegap_upstream::wire::Refusal;
use sesamegap_upstream::{Fault, Ran};
use sesamegap_wire::engine::Dispatch;
use std::sync::Arc;
use tokio::time::sleep;

/// Tokens of the longest answer.
const MAX_ANSWER: u64 = 1 << 16;

impl EngineStandin {
    /// Takes a dispatch and starts on it, or refuses it.
    pub(super) fn accept(self: &Arc<Self>, dispatch: Dispatch) -> Result<Arc<Job>, Refusal> {
        let life = self.life();
        let answer = Answer::of(&dispatch.prompt);
        self.check(&life, &dispatch, &answer)
            .map_err(|(fault, detail)| not_run(&dispatch, fault, detail))?;
        let job = Arc::new(Job::new(&dispatch, answer));
        let key = (dispatch.request.clone(), dispatch.attempt);
        let due = Due::new(Arc::clone(&life), self.missing(&life, &dispatch));
        if !life.admit(&job) {
            let detail = "this incarnation has just ended".to_owned();
            return Err(not_run(&dispatch, Fault::Incarnation, detail));
        }
        let work = run::run(
            Arc::clone(self),
            Arc::clone(&life),
            Arc::clone(&job),
            dispatch,
            due,
        );
        let keep = self.limits.keep;
        let task = tokio::spawn(async move {
            work.await;
            sleep(keep).await;
            life.lock().jobs.remove(&key);
        });
        job.runs_in(task.abort_handle());
        Ok(job)
    }

    fn check(
        &self,
        life: &Life,
        dispatch: &Dispatch,
        answer: &Answer,
    ) -> Result<(), (Fault, String)> {
        if self.is_refusing() {
            return Err((Fault::Leaving, format!("{} is leaving", self.id)));
        }
        if dispatch.incarnation != life.incarnation {
            let own = life.incarnation;
            return Err((Fault::Incarnation, format!("this is incarnation {own}")));
        }
        let weights = (dispatch.model.clone(), dispatch.version);
        if !self.holdings().loaded.contains(&weights) {
            let detail = format!("{} version {} is not loaded", weights.0, weights.1);
            return Err((Fault::Weights, detail));
        }
        if dispatch.answer.0 > MAX_ANSWER || !continues(dispatch, answer) {
            let detail = "the answer asked for cannot be given".to_owned();
            return Err((Fault::Refused, detail));
        }
        let (_, waiting) = life.slots.load();
        if waiting >= self.limits.queue {
            return Err((Fault::Busy, format!("{waiting} requests are waiting")));
        }
        Ok(())
    }

    /// Whether new work is refused because the engine is about to go.
    fn is_refusing(&self) -> bool {
        let mut leaving = self.leaving();
        if let Some(since) = leaving.since {
            leaving.latest = Some(since.elapsed());
            return leaving.refuses;
        }
        false
    }

    /// Prompt tokens that will have to be computed, as far as can be told now.
    fn missing(&self, life: &Life, dispatch: &Dispatch) -> u64 {
        let held = life.lock().cache.held(&dispatch.blocks) as u64;
        run::prompt_tokens(dispatch).saturating_sub(held * self.block.0)
    }
}

/// Whether the text to continue is the beginning of the answer.
fn continues(dispatch: &Dispatch, answer: &Answer) -> bool {
    let start = dispatch.start.0;
    if start > MAX_ANSWER {
        return false;
    }
    let mut left = dispatch.prefix.as_str();
    for place in 0..start {
        let Some(rest) = left.strip_prefix(answer.token(place).as_str()) else {
            return false;
        };
        left = rest;
    }
    left.is_empty()
}

fn not_run(dispatch: &Dispatch, fault: Fault, detail: String) -> Refusal {
    Refusal {
        request: dispatch.request.clone(),
        attempt: dispatch.attempt,
        fault,
        ran: Ran::No,
        detail,
    }
}
