//! How an engine makes an answer: a place in the batch, the prompt, then token after token.

use super::EngineStandin;
use super::cache::Tag;
use super::job::Job;
use super::life::{Due, Life};
use crate::faults::Fault;
use sesamegap_wire::chain::BYTES_PER_TOKEN;
use sesamegap_wire::engine::Dispatch;
use sesamegap_wire::{BlockKey, Tokens};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Makes the answer of one job.
pub(crate) async fn run(
    engine: Arc<EngineStandin>,
    life: Arc<Life>,
    job: Arc<Job>,
    dispatch: Dispatch,
    due: Due,
) {
    let _place = life.slots.enter(dispatch.priority).await;
    engine.record.ran(
        &dispatch.request,
        dispatch.attempt,
        &engine.id,
        dispatch.key.as_deref(),
    );
    let slow = engine.host.switches.take(Fault::EngineSlow).is_some();
    let factor = if slow { engine.limits.slow } else { 1 };
    let run = Run {
        tag: Tag {
            model: dispatch.model.clone(),
            version: dispatch.version,
        },
        engine,
        life,
        factor,
    };
    run.prompt(&job, &dispatch, due).await;
    run.decode(&job).await;
    job.finished();
}

/// Prompt tokens of a dispatch, the text to continue included.
pub(crate) fn prompt_tokens(dispatch: &Dispatch) -> u64 {
    (dispatch.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN) + dispatch.start.0
}

struct Run {
    engine: Arc<EngineStandin>,
    life: Arc<Life>,
    tag: Tag,
    factor: u32,
}

impl Run {
    /// Computes what is missing of the prompt, block by block.
    async fn prompt(&self, job: &Job, dispatch: &Dispatch, mut due: Due) {
        let keys = &dispatch.blocks;
        let mut held = self.life.lock().cache.held(keys);
        held += self.import(dispatch, &keys[held..]).await;
        let block = self.engine.block.0;
        let total = prompt_tokens(dispatch);
        let cached = (held as u64 * block).min(total);
        job.started(Tokens(cached));
        let mut left = total - cached;
        due.lower_to(left);
        let mut missing = keys[held..].iter();
        while left > 0 {
            let part = left.min(block);
            self.compute(part, dispatch.priority).await;
            left -= part;
            due.lower_to(left);
            if let Some(key) = missing.next() {
                self.keep(*key);
            }
        }
    }

    /// Computes at most a block, so that a long prompt does not hold up a short one for long.
    async fn compute(&self, tokens: u64, priority: u8) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let _turn = self.life.compute.enter(priority).await;
        sleep(self.engine.limits.prefill * tokens * self.factor).await;
    }

    /// Imports blocks from where the dispatch says, and returns how many.
    ///
    /// A block computed with other weights is refused: an answer would silently be wrong.
    async fn import(&self, dispatch: &Dispatch, missing: &[BlockKey]) -> usize {
        let Some(from) = &dispatch.import else {
            return 0;
        };
        let mut count = 0;
        for key in missing {
            let Some(tag) = self.engine.holders.export(from, *key) else {
                break;
            };
            if tag != self.tag {
                self.engine.refused_import();
                break;
            }
            sleep(self.engine.limits.import * self.factor).await;
            self.keep(*key);
            count += 1;
        }
        count
    }

    fn keep(&self, key: BlockKey) {
        let lost = self.engine.host.switches.take(Fault::EventGap).is_some();
        let gone = self.life.store(key, self.tag.clone(), lost);
        self.engine.holders.keep(gone);
    }

    /// Makes tokens at an even pace, catching up after a late timer.
    async fn decode(&self, job: &Job) {
        let pace: Duration = self.engine.limits.decode * self.factor;
        let mut due = Instant::now();
        for _ in job.start..job.count {
            due += pace;
            sleep_until(due).await;
            job.made_token();
        }
    }
}
