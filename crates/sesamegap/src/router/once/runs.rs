//! The keys that ran on this router.

use crate::router::callers::ApiError;
use crate::router::streams::{Answer, End};
use poem::http::StatusCode;
use rustc_hash::FxHashMap;
use sesamegap_upstream::Ran;
use sesamegap_wire::{RequestId, TeamId};
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A key is remembered for so many times the span in which it may be run first.
///
/// It must be longer than that span, or a key could be forgotten and run a second time.
const REMEMBER: u32 = 4;

type Key = (TeamId, SmolStr);

/// Whether a request runs.
#[derive(Debug)]
pub enum Entry {
    /// It runs, and this is its answer in the making.
    Run(Arc<Answer>),
    /// It ran before or is running, with this answer.
    Known(Arc<Answer>),
}

#[derive(Debug)]
struct Run {
    request: RequestId,
    digest: blake3::Hash,
}

#[derive(Debug)]
pub(super) struct Runs {
    span: Duration,
    runs: FxHashMap<Key, Run>,
    order: VecDeque<(Instant, Key)>,
}

impl Runs {
    pub(super) fn new(keep: Duration) -> Self {
        Self {
            span: keep * REMEMBER,
            runs: FxHashMap::default(),
            order: VecDeque::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(super) fn knows(&self, team: &TeamId, key: &SmolStr) -> bool {
        self.runs.contains_key(&(team.clone(), key.clone()))
    }

    pub(super) fn enter(
        &mut self,
        team: &TeamId,
        key: &SmolStr,
        digest: blake3::Hash,
        find: impl FnOnce(&RequestId) -> Option<Arc<Answer>>,
        open: impl FnOnce() -> Result<Arc<Answer>, ApiError>,
    ) -> Result<Entry, ApiError> {
        self.forget();
        let key = (team.clone(), key.clone());
        if let Some(run) = self.runs.get(&key) {
            if run.digest != digest {
                return Err(reused());
            }
            let answer = find(&run.request).ok_or_else(forgotten)?;
            if !never_ran(&answer) {
                return Ok(Entry::Known(answer));
            }
        }
        let answer = open()?;
        let run = Run {
            request: answer.head.request.clone(),
            digest,
        };
        self.runs.insert(key.clone(), run);
        self.order.push_back((Instant::now(), key));
        Ok(Entry::Run(answer))
    }

    fn forget(&mut self) {
        while let Some((since, _)) = self.order.front()
            && since.elapsed() > self.span
        {
            if let Some((_, key)) = self.order.pop_front() {
                self.runs.remove(&key);
            }
        }
    }
}

/// Whether an answer says for certain that nothing was run, so that the key may be used again.
fn never_ran(answer: &Answer) -> bool {
    matches!(answer.end(), Some(End::Failed(error)) if error.ran == Ran::No)
}

fn reused() -> ApiError {
    ApiError::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "key_reused",
        "the key belongs to a request with another body; this one was not run",
    )
}

fn forgotten() -> ApiError {
    ApiError::unknown(
        StatusCode::GONE,
        "answer_gone",
        "a request with this key was taken before and its answer is kept no longer",
    )
}
